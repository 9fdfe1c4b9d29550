/** Long answers of sound upstreams, as callers receive them. */
import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { after, before, describe, it } from 'node:test'
import { HEADER } from '../../platform/names.js'
import { createSystemClock } from '../../src/clock.js'
import type { Milliseconds } from '../../src/clock.js'
import type { GatewayNode } from '../../src/gateway/node.js'
import { createMachineDeployment } from '../../stand-ins/machines/deployment.js'
import type { MachineDeployment } from '../../stand-ins/machines/deployment.js'
import { serveUpstream } from '../../stand-ins/machines/upstream.js'
import type { UpstreamStandIn } from '../../stand-ins/machines/upstream.js'

const clock = createSystemClock()
const HOST = 'api.example'
const POLL_INTERVAL: Milliseconds = 10

/** Time for which a slow caller does not read. */
const PAUSE: Milliseconds = 300

/** An answer that a node holds whole, and one that it passes on as it comes. */
const SIZES = [16_000_000, 30_000_000]

const UPSTREAMS = SIZES.flatMap((answerBytes) => [false, true].map((unframed) => ({ id: `${unframed ? 'lengthless' : 'framed'}-${answerBytes}`, answerBytes, unframed })))

const configuration = {
  version: 1,
  routes: UPSTREAMS.map(({ id }) => ({ name: id, host: HOST, prefix: `/${id}/`, kind: 'idempotent', timeoutMs: 15_000, targetLatencyMs: 10_000, service: id, maxAttempts: 2 })),
  services: UPSTREAMS.map(({ id }) => ({ name: id, maxConns: 100 }))
}

describe('a long answer', () => {
  let deployment: MachineDeployment
  let node: GatewayNode
  let upstreams: UpstreamStandIn[]
  let ids = 0

  before(async () => {
    deployment = await createMachineDeployment(clock)
    deployment.configure(configuration)
    upstreams = await Promise.all(UPSTREAMS.map((options) => serveUpstream({ ...options, clock })))
    for (const upstream of upstreams) deployment.register(upstream, { service: upstream.id })
    node = await deployment.startNode('node-1')
    while ((await ask(UPSTREAMS[0]!.id, 0)).status !== 200) await clock.sleep(POLL_INTERVAL)
  })

  after(async () => {
    await deployment?.close()
    await Promise.all((upstreams ?? []).map((upstream) => upstream.close()))
  })

  /** Asks on a connection of its own and reads the answer after a pause. */
  async function ask (route: string, pause: Milliseconds): Promise<{ readonly status: number, readonly head: string, readonly bytes: number, readonly end: string }> {
    ids += 1
    const [host, port] = node.addresses.front.split(':')
    const socket = connect(Number(port), host)
    socket.on('error', () => {})
    socket.write(`GET /${route}/x HTTP/1.1\r\nhost: ${HOST}\r\nconnection: close\r\n${HEADER.requestId}: r${ids}\r\n\r\n`)
    if (pause > 0) await clock.sleep(pause)
    const chunks: Buffer[] = []
    socket.on('data', (chunk: Buffer) => chunks.push(chunk))
    await new Promise((resolve) => socket.once('close', resolve))
    const bytes = Buffer.concat(chunks)
    const headEnd = bytes.indexOf('\r\n\r\n') + 4
    const head = bytes.subarray(0, headEnd).toString('latin1')
    return { status: Number(head.slice(9, 12)), head, bytes: bytes.length - headEnd, end: bytes.subarray(-7).toString('latin1') }
  }

  for (const { id, answerBytes, unframed } of UPSTREAMS) {
    for (const pause of [0, PAUSE]) {
      it(`of ${answerBytes} bytes, ${unframed ? 'without a length' : 'with a length'}, comes whole to a caller that reads ${pause === 0 ? 'at once' : 'late'}`, async () => {
        const { status, head, bytes, end } = await ask(id, pause)
        assert.equal(status, 200)
        if (/\r\ntransfer-encoding: chunked/i.test(head)) {
          assert.ok(bytes > answerBytes)
          assert.equal(end, '\r\n0\r\n\r\n')
        } else assert.equal(bytes, answerBytes)
        if (!unframed) assert.match(head, new RegExp(`\\r\\ncontent-length: ${answerBytes}\\r\\n`, 'i'))
      })
    }
  }
})
