/** Upstreams whose answers never end, beside sound ones, at one node. */
import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { after, afterEach, before, describe, it } from 'node:test'
import { HEADER } from '../../platform/names.js'
import { createSystemClock } from '../../src/clock.js'
import type { Milliseconds } from '../../src/clock.js'
import type { GatewayNode } from '../../src/gateway/node.js'
import { createMachineDeployment } from '../../stand-ins/machines/deployment.js'
import type { MachineDeployment } from '../../stand-ins/machines/deployment.js'
import { serveEndlessUpstream } from '../../stand-ins/machines/endless-upstream.js'
import type { EndlessAnswer, EndlessUpstream } from '../../stand-ins/machines/endless-upstream.js'
import { serveUpstream } from '../../stand-ins/machines/upstream.js'
import type { UpstreamStandIn } from '../../stand-ins/machines/upstream.js'

const clock = createSystemClock()
const HOST = 'api.example'
const POLL_INTERVAL: Milliseconds = 10

/** Time limit of a request. An answer without end ends with it at the latest. */
const TIME_LIMIT: Milliseconds = 1_200

const MB = 1_000_000

/** Bytes that the connections between two processes hold, in both directions. */
const MAX_BUFFERED = 12 * MB

const configuration = {
  version: 1,
  routes: [
    { name: 'plain', host: HOST, prefix: '/plain/', kind: 'non_idempotent', timeoutMs: TIME_LIMIT, targetLatencyMs: 1_000, service: 'faulty', maxAttempts: 1 },
    { name: 'sound', host: HOST, prefix: '/sound/', kind: 'idempotent', timeoutMs: 5_000, targetLatencyMs: 1_000, service: 'sound', maxAttempts: 1 }
  ],
  services: ['faulty', 'sound'].map((name) => ({ name, maxConns: 100 }))
}

/** Begin of an answer that has run. */
function head (request: string, more = ''): string {
  return `HTTP/1.1 200 OK\r\nX-Hornbeamgap-Request-Id: ${request}\r\nX-Hornbeamgap-Server-Stamp: s\r\n${more}`
}

const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n'

/** Bytes that are no answer, or not the rest of one. */
const NO_ANSWERS: Readonly<Record<string, EndlessAnswer>> = {
  garbage: { begin: () => '', repeated: 'garbage ' },
  'line ends before the status line': { begin: () => '\r\n', repeated: '\r\n' },
  'a status line': { begin: () => 'HTTP/1.1 200 ', repeated: 'x' },
  'informational answers': { begin: () => '', repeated: 'HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n' },
  'a header line': { begin: (request) => head(request, 'x: '), repeated: 'x' },
  'header lines': { begin: (request) => head(request), repeated: 'x: y\r\n' },
  'answers to other requests': { begin: () => '', repeated: `${head('other')}Content-Length: 1\r\n\r\nx` },
  'the size of a chunk': { begin: (request) => head(request, CHUNKED), repeated: '0' },
  'the extension of a chunk': { begin: (request) => head(request, `${CHUNKED}5;`), repeated: 'x' },
  'chunks of one byte': { begin: (request) => head(request, CHUNKED), repeated: '1\r\nx\r\n' },
  trailers: { begin: (request) => head(request, `${CHUNKED}5\r\nhello\r\n0\r\n`), repeated: 'x: y\r\n' }
}

/** What a caller has got. */
interface Answer {
  readonly status: number | undefined
  readonly bytes: number
  /** Whether it ended as its framing says. */
  readonly isComplete: boolean
}

describe('a node before upstreams whose answers do not end', () => {
  let deployment: MachineDeployment
  let node: GatewayNode
  let sound: UpstreamStandIn
  let faulty: EndlessUpstream | undefined
  let ids = 0

  before(async () => {
    deployment = await createMachineDeployment(clock)
    deployment.configure(configuration)
    sound = await serveUpstream({ id: 'sound-1', clock })
    deployment.register(sound, { service: 'sound' })
    node = await deployment.startNode('node-1')
    while ((await ask('sound')).status !== 200) await clock.sleep(POLL_INTERVAL)
  })

  afterEach(async () => {
    if (faulty === undefined) return
    deployment.unregister(faulty)
    await untilLogged('upstream-gone', faulty.id)
    await faulty.close()
    faulty = undefined
  })

  after(async () => {
    await deployment?.close()
    await sound?.close()
  })

  /** Replaces the faulty upstream by one that sends this. */
  async function serveFaulty (answer: EndlessAnswer): Promise<EndlessUpstream> {
    faulty = await serveEndlessUpstream(`faulty-${ids}`, answer)
    deployment.register(faulty, { service: 'faulty' })
    await untilLogged('upstream-new', faulty.id)
    return faulty
  }

  async function untilLogged (event: string, upstream: string): Promise<void> {
    while (!deployment.lines.some((line) => line.event === event && line.upstream === upstream)) await clock.sleep(POLL_INTERVAL)
  }

  /** Asks on a connection of its own. */
  async function ask (route: string): Promise<Answer> {
    ids += 1
    const [host, port] = node.addresses.front.split(':')
    const socket = connect(Number(port), host)
    socket.on('error', () => {})
    socket.write(`GET /${route}/${ids} HTTP/1.1\r\nhost: ${HOST}\r\nconnection: close\r\n${HEADER.requestId}: r${ids}\r\n\r\n`)
    let start = ''
    let end = ''
    let bytes = 0
    socket.on('data', (chunk: Buffer) => {
      bytes += chunk.length
      if (start.length < 1_000) start += chunk.toString('latin1')
      end = (end + chunk.subarray(-10).toString('latin1')).slice(-10)
    })
    if (!socket.destroyed) await new Promise((resolve) => socket.once('close', resolve))
    return { status: start === '' ? undefined : Number(start.slice(9, 12)), bytes, isComplete: isComplete(start, end, bytes) }
  }

  /** Asks the sound upstream again and again. @returns function that ends this, with the answers */
  function askMeanwhile (): () => Promise<readonly Answer[]> {
    const answers: Promise<Answer>[] = []
    const controller = new AbortController()
    const asking = (async () => {
      while (!controller.signal.aborted) {
        answers.push(ask('sound'))
        await clock.sleep(5 * POLL_INTERVAL)
      }
    })()
    return async () => {
      controller.abort()
      await asking
      return Promise.all(answers)
    }
  }

  function assertAllServed (answers: readonly Answer[]): void {
    assert.deepEqual(answers.filter(({ status }) => status !== 200), [])
    assert.ok(answers.length > 0)
  }

  for (const [name, answer] of Object.entries(NO_ANSWERS)) {
    // Guards against a node that reads, until the time limit of the request, what can't become an answer.
    it(`gives up ${name} without end at once`, async () => {
      const upstream = await serveFaulty(answer)
      const endSound = askMeanwhile()
      const { status, isComplete } = await ask('plain')
      assert.deepEqual({ status, isComplete }, { status: 502, isComplete: true })
      assertAllServed(await endSound())
      assert.ok(upstream.sent[0]! <= MAX_BUFFERED, `${upstream.sent[0]} bytes`)
    })
  }

  // Guards against a refusal that costs more than the answer would have.
  it('drops no more than a short body of a refusal', async () => {
    const upstream = await serveFaulty({ begin: (request) => `HTTP/1.1 503 Full\r\nX-Hornbeamgap-Request-Id: ${request}\r\nX-Hornbeamgap-Not-Executed: 1\r\n\r\n`, repeated: 'x'.repeat(1_000) })
    assert.equal((await ask('plain')).status, 503)
    while (upstream.open() > 0) await clock.sleep(POLL_INTERVAL)
    for (const bytes of upstream.sent) assert.ok(bytes <= MAX_BUFFERED, `${bytes / MB} MB`)
  })

  // Guards against a connection that is kept although it brings bytes that belong to no request.
  it('reads nothing behind a complete answer', async () => {
    const upstream = await serveFaulty({ begin: (request) => head(request, 'Content-Length: 5\r\n\r\nhello'), repeated: 'garbage ' })
    const { status, isComplete } = await ask('plain')
    assert.deepEqual({ status, isComplete }, { status: 200, isComplete: true })
    while (upstream.open() > 0) await clock.sleep(POLL_INTERVAL)
    assert.ok(upstream.sent[0]! <= MAX_BUFFERED, `${upstream.sent[0]} bytes`)
  })
})

/** Whether an answer ended as its framing says. One with neither a length nor chunks always does. */
function isComplete (start: string, end: string, bytes: number): boolean {
  const headEnd = start.indexOf('\r\n\r\n') + 4
  const length = /\r\ncontent-length: (\d+)/i.exec(start.slice(0, headEnd))?.[1]
  if (length !== undefined) return bytes - headEnd === Number(length)
  return /\r\ntransfer-encoding: chunked/i.test(start.slice(0, headEnd)) ? end.endsWith('0\r\n\r\n') : headEnd > 3
}
