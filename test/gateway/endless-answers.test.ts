/** Upstreams whose answers never end, beside sound ones, at one node. */
import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { after, before, describe, it } from 'node:test'
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

/** Part of the memory of a node, in bytes, that answers may take. */
const MAX_HELD = 70 * MB

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

/** Bodies that don't end. */
const BODIES: Readonly<Record<string, EndlessAnswer>> = {
  'without a length': { begin: (request) => head(request, '\r\n'), repeated: 'x'.repeat(1_000) },
  'with a length that is never reached': { begin: (request) => head(request, 'Content-Length: 99999999999999\r\n\r\n'), repeated: 'x'.repeat(1_000) },
  'in chunks': { begin: (request) => head(request, CHUNKED), repeated: `400\r\n${'x'.repeat(1_024)}\r\n` },
  'of an error': { begin: (request) => head(request, '\r\n').replace('200 OK', '500 Failed'), repeated: 'x'.repeat(1_000) }
}

/** Streams that don't end, or whose events don't. */
const STREAMS: Readonly<Record<string, EndlessAnswer>> = {
  'of one event': { begin: (request) => head(request, 'Content-Type: text/event-stream\r\n\r\ndata: '), repeated: 'x'.repeat(1_000) },
  'of events': { begin: (request) => head(request, 'Content-Type: text/event-stream\r\n\r\n'), repeated: 'id: 1\ndata: x\n\n' },
  'of empty lines': { begin: (request) => head(request, 'Content-Type: text/event-stream\r\n\r\n'), repeated: '\n' },
  'of comments': { begin: (request) => head(request, 'Content-Type: text/event-stream\r\n\r\n'), repeated: ': x\n' }
}

/** Answers that don't fit in the lists above. */
const REFUSAL: EndlessAnswer = { begin: (request) => `HTTP/1.1 503 Full\r\nX-Hornbeamgap-Request-Id: ${request}\r\nX-Hornbeamgap-Not-Executed: 1\r\n\r\n`, repeated: 'x'.repeat(1_000) }
const TWO_ANSWERS: EndlessAnswer = { begin: (request) => head(request, 'Content-Length: 5\r\n\r\nhello'), repeated: 'garbage ' }

/** Kind of a service's route. */
type RouteKind = 'non_idempotent' | 'idempotent' | 'streaming'

/** A service with one upstream, whose answers never end. */
interface FaultyService {
  readonly name: string
  readonly kind: RouteKind
  readonly answer: EndlessAnswer
}

const SERVICES: readonly FaultyService[] = [
  ...Object.values(NO_ANSWERS).map((answer) => ({ kind: 'non_idempotent' as const, answer })),
  ...Object.values(BODIES).map((answer) => ({ kind: 'non_idempotent' as const, answer })),
  ...Object.values(BODIES).map((answer) => ({ kind: 'idempotent' as const, answer })),
  ...Object.values(STREAMS).map((answer) => ({ kind: 'streaming' as const, answer })),
  { kind: 'non_idempotent' as const, answer: REFUSAL },
  { kind: 'non_idempotent' as const, answer: TWO_ANSWERS }
].map((service, index) => ({ ...service, name: `service-${index}` }))

const SOUND = 'sound'

const configuration = {
  version: 1,
  routes: [
    ...SERVICES.map(({ name, kind }) => ({ name, host: HOST, prefix: `/${name}/`, kind, timeoutMs: kind === 'idempotent' ? 5_000 : TIME_LIMIT, targetLatencyMs: 500, targetGapMs: 1_000, service: name, maxAttempts: kind === 'idempotent' ? 2 : 1 })),
    { name: SOUND, host: HOST, prefix: `/${SOUND}/`, kind: 'idempotent', timeoutMs: 5_000, targetLatencyMs: 1_000, service: SOUND, maxAttempts: 1 }
  ],
  services: [...SERVICES, { name: SOUND }].map(({ name }) => ({ name, maxConns: 100 }))
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
  const faulty = new Map<string, EndlessUpstream>()
  let ids = 0

  before(async () => {
    deployment = await createMachineDeployment(clock)
    deployment.configure(configuration)
    sound = await serveUpstream({ id: SOUND, clock })
    deployment.register(sound, { service: SOUND })
    for (const { name, answer } of SERVICES) {
      const upstream = await serveEndlessUpstream(name, answer)
      faulty.set(name, upstream)
      deployment.register(upstream, { service: name })
    }
    node = await deployment.startNode('node-1')
    while ((await ask(SOUND)).status !== 200) await clock.sleep(POLL_INTERVAL)
  })

  after(async () => {
    await deployment?.close()
    await Promise.all([sound, ...faulty.values()].map((upstream) => upstream?.close()))
  })

  function findService (kind: RouteKind, answer: EndlessAnswer): { readonly name: string, readonly upstream: EndlessUpstream } {
    const { name } = SERVICES.find((service) => service.kind === kind && service.answer === answer)!
    return { name, upstream: faulty.get(name)! }
  }

  /** Asks on a connection of its own, and reads the answer from `readFrom` on. */
  async function ask (route: string, readFrom: Promise<unknown> = Promise.resolve()): Promise<Answer> {
    ids += 1
    const [host, port] = node.addresses.front.split(':')
    const socket = connect(Number(port), host)
    socket.on('error', () => {})
    const stream = SERVICES.some(({ name, kind }) => name === route && kind === 'streaming') ? `${HEADER.tokenUsage}: 10,10\r\n` : ''
    socket.write(`GET /${route}/${ids} HTTP/1.1\r\nhost: ${HOST}\r\nconnection: close\r\n${HEADER.requestId}: r${ids}\r\n${stream}\r\n`)
    let start = ''
    let end = ''
    let bytes = 0
    await readFrom
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
        answers.push(ask(SOUND))
        await clock.sleep(5 * POLL_INTERVAL)
      }
    })()
    return async () => {
      controller.abort()
      await asking
      return Promise.all(answers)
    }
  }

  async function metric (name: string): Promise<number> {
    const response = await fetch(`http://${node.addresses.ready}/metrics`)
    return Number(new RegExp(`^hornbeamgap_${name} (\\d+)$`, 'm').exec(await response.text())?.[1])
  }

  function assertAllServed (answers: readonly Answer[]): void {
    assert.deepEqual(answers.filter(({ status }) => status !== 200), [])
    assert.ok(answers.length > 0)
  }

  for (const [name, answer] of Object.entries(NO_ANSWERS)) {
    // Guards against a node that reads, until the time limit of the request, what can't become an answer.
    it(`gives up ${name} without end at once`, async () => {
      const { name: service, upstream } = findService('non_idempotent', answer)
      const endSound = askMeanwhile()
      const { status, isComplete } = await ask(service)
      assert.deepEqual({ status, isComplete }, { status: 502, isComplete: true })
      assertAllServed(await endSound())
      assert.ok(upstream.sent[0]! <= MAX_BUFFERED, `${upstream.sent[0]} bytes`)
    })
  }

  for (const [name, answer] of Object.entries(BODIES)) {
    // Guards against a node that is killed for its memory, with the requests of all other callers.
    it(`bears a body ${name} without end: it takes no more than its room, passes on no more than its pace, and cuts it off visibly`, async () => {
      const { name: service, upstream } = findService('non_idempotent', answer)
      const endSound = askMeanwhile()
      const answers = await Promise.all(Array.from({ length: 6 }, () => ask(service)))
      assertAllServed(await endSound())
      for (const { status, isComplete } of answers) assert.ok(status === 504 || !isComplete, `${status}, complete: ${isComplete}`)
      const sent = upstream.sent.reduce((sum, bytes) => sum + bytes, 0)
      assert.ok(sent <= MAX_HELD + answers.length * (16 * MB + MAX_BUFFERED), `${sent / MB} MB`)
      while (await metric('answers_held_bytes') > 0) await clock.sleep(POLL_INTERVAL)
    })

    // Guards against the memory of answers that slow callers don't read.
    it(`holds no more than its room of bodies ${name} whose callers don't read`, async () => {
      const { name: service, upstream } = findService('non_idempotent', answer)
      const before = upstream.sent.length
      const isOver = clock.sleep(TIME_LIMIT)
      const answers = Array.from({ length: 8 }, () => ask(service, isOver))
      let held = 0
      const endSound = askMeanwhile()
      while (upstream.sent.length < before + answers.length || upstream.open() > 0) {
        held = Math.max(held, await metric('answers_held_bytes'))
        await clock.sleep(POLL_INTERVAL)
      }
      assertAllServed(await endSound())
      assert.ok(held <= MAX_HELD, `${held / MB} MB`)
      const sent = upstream.sent.slice(before).reduce((sum, bytes) => sum + bytes, 0)
      assert.ok(sent <= MAX_HELD + answers.length * 2 * MAX_BUFFERED, `${sent / MB} MB`)
      await Promise.all(answers)
    })
  }

  for (const [name, answer] of Object.entries(STREAMS)) {
    // Guards against streams that take the processor time of all other requests.
    it(`bears a stream ${name} without end`, async () => {
      const { name: service, upstream } = findService('streaming', answer)
      const endSound = askMeanwhile()
      const answers = await Promise.all(Array.from({ length: 3 }, () => ask(service)))
      assertAllServed(await endSound())
      for (const { status, isComplete } of answers) assert.ok(status === 502 || !isComplete, `${status}, complete: ${isComplete}`)
      for (const bytes of upstream.sent) assert.ok(bytes <= 16 * MB + MAX_BUFFERED, `${bytes / MB} MB`)
    })
  }

  // Guards against a refusal that costs more than the answer would have.
  it('drops no more than a short body of a refusal', async () => {
    const { name, upstream } = findService('non_idempotent', REFUSAL)
    assert.equal((await ask(name)).status, 503)
    while (upstream.open() > 0) await clock.sleep(POLL_INTERVAL)
    for (const bytes of upstream.sent) assert.ok(bytes <= MAX_BUFFERED, `${bytes / MB} MB`)
  })

  // Guards against a connection that is kept although it brings bytes that belong to no request.
  it('reads nothing behind a complete answer', async () => {
    const { name, upstream } = findService('non_idempotent', TWO_ANSWERS)
    const { status, isComplete } = await ask(name)
    assert.deepEqual({ status, isComplete }, { status: 200, isComplete: true })
    while (upstream.open() > 0) await clock.sleep(POLL_INTERVAL)
    assert.ok(upstream.sent[0]! <= MAX_BUFFERED, `${upstream.sent[0]} bytes`)
  })

  for (const [form, answer] of Object.entries(BODIES)) {
    // Guards against requests that go on being sent to an upstream whose answers don't end, while a sound one has room.
    it(`serves requests that may be repeated from another upstream than one with a body ${form} without end, and goes there first afterwards`, async () => {
      const { name, upstream } = findService('idempotent', answer)
      const other = await serveUpstream({ id: `sound-${name}`, clock })
      deployment.register(other, { service: name })
      while (!deployment.lines.some((line) => line.event === 'upstream-new' && line.upstream === other.id)) await clock.sleep(POLL_INTERVAL)
      try {
        for (let asked = 0; asked < 10; asked += 1) {
          const { status, isComplete } = await ask(name)
          assert.deepEqual({ status, isComplete }, { status: 200, isComplete: true })
        }
        assert.ok(upstream.sent.length <= 3, `${upstream.sent.length} requests went to the faulty one`)
      } finally {
        await other.close()
      }
    })
  }
})

/** Whether an answer ended as its framing says. One with neither a length nor chunks always does. */
function isComplete (start: string, end: string, bytes: number): boolean {
  const headEnd = start.indexOf('\r\n\r\n') + 4
  const length = /\r\ncontent-length: (\d+)/i.exec(start.slice(0, headEnd))?.[1]
  if (length !== undefined) return bytes - headEnd === Number(length)
  return /\r\ntransfer-encoding: chunked/i.test(start.slice(0, headEnd)) ? end.endsWith('0\r\n\r\n') : headEnd > 3
}
