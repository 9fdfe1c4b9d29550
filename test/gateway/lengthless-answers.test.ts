/** Answers with neither a length nor chunks, as callers receive them. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import type { Server } from 'node:net'
import { after, before, describe, it } from 'node:test'
import { createSystemClock } from '../../src/clock.js'
import { hasBeenReset, RESET_CODE } from '../../src/connection-reset.js'
import type { GatewayNode } from '../../src/gateway/node.js'
import { createMachineDeployment } from '../../stand-ins/machines/deployment.js'
import type { MachineDeployment } from '../../stand-ins/machines/deployment.js'
import { serveUpstream } from '../../stand-ins/machines/upstream.js'
import type { UpstreamStandIn } from '../../stand-ins/machines/upstream.js'
import { listenOnFreePort } from '../listening.js'

const clock = createSystemClock()
const HOST = 'api.example'
const POLL_INTERVAL = 20

/** Time without bytes after which no more are expected on a connection that stays open. */
const SILENCE = 300

/** Bytes of an answer of which the node may hold a part when it is killed. */
const LONG_ANSWER = 20_000

/** Head and first event of a stream, which is broken off behind it. */
const HALF_STREAM = 'HTTP/1.1 200 OK\r\nX-Hornbeamgap-Request-Id: stream\r\nX-Hornbeamgap-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\n'

const configuration = {
  version: 1,
  routes: ['framed', 'lengthless', 'long', 'broken'].map((service) => ({ name: service, host: HOST, prefix: `/${service}/`, kind: service === 'broken' ? 'streaming' : 'idempotent', timeoutMs: 2_000, targetLatencyMs: 500, service, maxAttempts: 2 })),
  services: ['framed', 'lengthless', 'long', 'broken'].map((name) => ({ name, maxConns: 100 }))
}

describe('an answer with neither a length nor chunks', () => {
  let deployment: MachineDeployment
  let node: GatewayNode
  let upstreams: UpstreamStandIn[]
  let broken: Server
  let ids = 0

  before(async () => {
    deployment = await createMachineDeployment(clock)
    deployment.configure(configuration)
    upstreams = await Promise.all(['framed', 'lengthless', 'long'].map((id) => serveUpstream({ id, clock, unframed: id !== 'framed', answerBytes: id === 'long' ? LONG_ANSWER : 0 })))
    for (const upstream of upstreams) deployment.register(upstream, { service: upstream.id })
    broken = createServer((socket) => {
      socket.on('error', () => {})
      socket.once('data', () => socket.write(HALF_STREAM, () => setTimeout(() => socket.end(), POLL_INTERVAL)))
    })
    deployment.register({ id: 'broken', address: await listenOnFreePort(broken) }, { service: 'broken' })
    node = await deployment.startNode('node-1')
    for (const { id } of upstreams) while (!(await ask(id)).startsWith('HTTP/1.1 200 ')) await clock.sleep(POLL_INTERVAL)
  })

  after(async () => {
    await deployment?.close()
    broken?.close()
    await Promise.all((upstreams ?? []).map((upstream) => upstream.close()))
  })

  /** @returns all bytes that came on the connection until it was closed, or until nothing more came */
  async function ask (service: string): Promise<string> {
    const [host, port] = node.addresses.front.split(':')
    const caller = connect(Number(port), host)
    let text = ''
    ids += 1
    caller.write(`GET /${service}/x HTTP/1.1\r\nhost: ${HOST}\r\nx-hornbeamgap-request-id: r${ids}\r\n\r\n`)
    caller.on('data', (chunk) => { text += String(chunk) })
    caller.setTimeout(SILENCE, () => caller.destroy())
    await once(caller, 'close')
    return text
  }

  // Guards against a truncated answer that looks complete: its upstream broke it off as it ends a whole one, with its connection.
  it('gets no length of the node, and ends with its connection', async () => {
    const answer = await ask('lengthless')
    assert.match(answer, /^HTTP\/1\.1 200 /)
    assert.doesNotMatch(answer, /content-length|transfer-encoding/i)
    assert.match(answer, /\r\nconnection: close\r\n/i)
    assert.match(answer, /\r\n\r\nanswer of lengthless$/)
  })

  // Guards against a truncated answer that looks complete: the node is killed, and the kernel ends the connection of what it held in the usual way.
  it('tells its own end if it is longer than what the kernel takes at once', async () => {
    const answer = await ask('long')
    assert.match(answer, /\r\ntransfer-encoding: chunked\r\n/i)
    assert.doesNotMatch(answer, /content-length/i)
    assert.match(answer, /\r\n0\r\n\r\n$/)
  })

  it('does not change how others are sent', async () => {
    const answer = await ask('framed')
    assert.match(answer, /\r\ncontent-length: 16\r\n/i)
    assert.doesNotMatch(answer, /\r\nconnection: close\r\n/i)
  })

  // Guards against half a stream that looks whole: a caller of HTTP/1.0 gets it without chunks, so that the end of its connection ends it.
  it('is reset if its upstream breaks it off, where the caller knows no chunks', async () => {
    const [host, port] = node.addresses.front.split(':')
    let text = ''
    let end = 'ended'
    do {
      const caller = connect(Number(port), host)
      text = ''
      caller.on('data', (chunk) => { text += String(chunk) })
      caller.on('error', ({ code }: NodeJS.ErrnoException) => { end = String(code) })
      caller.on('end', () => { if (hasBeenReset(caller)) end = RESET_CODE })
      caller.write(`GET /broken/x HTTP/1.0\r\nhost: ${HOST}\r\nx-hornbeamgap-request-id: stream\r\nx-hornbeamgap-token-usage: 1,1\r\n\r\n`)
      await new Promise((resolve) => caller.once('close', resolve))
    } while (text.startsWith('HTTP/1.1 503 '))
    assert.match(text, /^HTTP\/1.1 200 .*\r\n\r\nid: 1\ndata: x\n\n$/s)
    assert.equal(end, RESET_CODE)
  })
})
