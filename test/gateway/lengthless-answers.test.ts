/** Answers with neither a length nor chunks, as callers receive them. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect } from 'node:net'
import { after, before, describe, it } from 'node:test'
import { createSystemClock } from '../../src/clock.js'
import type { GatewayNode } from '../../src/gateway/node.js'
import { createMachineDeployment } from '../../stand-ins/machines/deployment.js'
import type { MachineDeployment } from '../../stand-ins/machines/deployment.js'
import { serveUpstream } from '../../stand-ins/machines/upstream.js'
import type { UpstreamStandIn } from '../../stand-ins/machines/upstream.js'

const clock = createSystemClock()
const HOST = 'api.example'
const POLL_INTERVAL = 20

/** Time without bytes after which no more are expected on a connection that stays open. */
const SILENCE = 300

/** Bytes of an answer of which the node may hold a part when it is killed. */
const LONG_ANSWER = 20_000

const configuration = {
  version: 1,
  routes: ['framed', 'lengthless', 'long'].map((service) => ({ name: service, host: HOST, prefix: `/${service}/`, kind: 'idempotent', timeoutMs: 2_000, targetLatencyMs: 500, service, maxAttempts: 2 })),
  services: [{ name: 'framed', maxConns: 100 }, { name: 'lengthless', maxConns: 100 }, { name: 'long', maxConns: 100 }]
}

describe('an answer with neither a length nor chunks', () => {
  let deployment: MachineDeployment
  let node: GatewayNode
  let upstreams: UpstreamStandIn[]
  let ids = 0

  before(async () => {
    deployment = await createMachineDeployment(clock)
    deployment.configure(configuration)
    upstreams = await Promise.all(['framed', 'lengthless', 'long'].map((id) => serveUpstream({ id, clock, unframed: id !== 'framed', answerBytes: id === 'long' ? LONG_ANSWER : 0 })))
    for (const upstream of upstreams) deployment.register(upstream, { service: upstream.id })
    node = await deployment.startNode('node-1')
    for (const { id } of upstreams) while (!(await ask(id)).startsWith('HTTP/1.1 200 ')) await clock.sleep(POLL_INTERVAL)
  })

  after(async () => {
    await deployment?.close()
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
})
