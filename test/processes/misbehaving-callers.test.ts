/**
 * Callers that don't behave, in front of a gateway process on the smallest machine. What is checked doesn't depend on the speed of this one:
 * that the process lives within its memory and descriptors, and still answers.
 */
import assert from 'node:assert/strict'
import { request as sendRequest } from 'node:http'
import { afterEach, describe, it } from 'node:test'
import { HEADER, NODE_PATH } from '../../platform/names.js'
import { createSystemClock, SECOND } from '../../src/clock.js'
import type { Milliseconds } from '../../src/clock.js'
import { startGatewayProcess } from '../../stand-ins/machines/gateway-process.js'
import type { GatewayPorts, GatewayProcess } from '../../stand-ins/machines/gateway-process.js'
import { BEHAVIOURS, openCrowd } from '../../stand-ins/misbehaving-callers.js'
import type { CallerBehaviour, CallerTarget, Crowd } from '../../stand-ins/misbehaving-callers.js'
import { waitUntil } from '../wait-until.js'

/** Memory of the smallest machines, and few descriptors, so that a small crowd is enough. */
const LIMITS = { memoryMb: 250, descriptors: 500, bodyBytes: 4_194_304 }

/** Descriptors that the platform keeps for files. Sockets and pipes share the rest. */
const FILE_DESCRIPTORS = 200

const BYTES_PER_MB = 1_000_000

const CALLERS = 64

/** Descriptors, of which callers may take enough for {@link MANY_CALLERS}. */
const MANY_DESCRIPTORS = 1_100

/** More than a process reads at once without harm, if each sends as much as it can. */
const MANY_CALLERS = 400

/** More than the descriptors that sockets may take. */
const SILENT_CALLERS = 400

/** Callers that send each byte by itself. */
const SLOW_CALLERS = 16

/** Times that others ask while bodies come. */
const ASKED_MEANWHILE = 20

const LONG_ANSWER_BYTES = 4_000_000

/** Answers of the node itself that a misbehaving caller may get. */
const REFUSALS: readonly number[] = [400, 404, 408, 413, 429, 431, 503]

/** Statuses that promise that the request was not run and won't be. */
const PROMISES: readonly number[] = [408, 421, 429, 503]

const SUCCESS = 200

/** Pause of an ordinary caller before it tries again where it was told none. */
const RETRY_PAUSE: Milliseconds = 100

const TEST_TIMEOUT: Milliseconds = 120_000

const clock = createSystemClock()

interface Answer {
  /** 0 if there is none. */
  readonly status: number
  readonly retryAfter: Milliseconds | undefined
}

interface OutgoingRequest {
  readonly port: number
  readonly method: 'GET' | 'POST'
  readonly path: string
  readonly id: string
  readonly body?: Buffer
}

/** Sends a request on a connection of its own. */
function send ({ port, method, path, id, body }: OutgoingRequest): Promise<Answer> {
  const headers = { host: 'api.example', [HEADER.requestId]: id, [HEADER.deadline]: '60000', ...(body === undefined ? {} : { 'content-length': body.length }) }
  return new Promise((resolve) => {
    const outgoing = sendRequest({ host: '127.0.0.1', port, path, method, headers, agent: false }, (response) => {
      response.resume()
      const retryAfter = response.headers['retry-after']
      const answer = { status: response.statusCode ?? 0, retryAfter: retryAfter === undefined ? undefined : Number(retryAfter) * SECOND }
      response.on('end', () => resolve(answer))
      response.on('error', () => resolve({ status: 0, retryAfter: undefined }))
    })
    outgoing.on('error', () => resolve({ status: 0, retryAfter: undefined }))
    outgoing.end(body)
  })
}

/** Sends a request until it is answered, as an ordinary caller does; the test ends a wait that is too long. */
async function isServed (gateway: GatewayProcess, request: Omit<OutgoingRequest, 'id'>): Promise<void> {
  for (let attempt = 1; ; attempt += 1) {
    const { status, retryAfter } = await send({ ...request, id: `ordinary-${request.port}-${attempt}` })
    if (status === SUCCESS) return
    assertLives(gateway)
    assert.ok(status === 0 || PROMISES.includes(status), `an ordinary request got ${status}`)
    await clock.sleep(retryAfter ?? RETRY_PAUSE)
  }
}

function ordinaryRequest ({ front }: GatewayPorts): Omit<OutgoingRequest, 'id'> {
  return { port: front, method: 'POST', path: '/plain/x', body: Buffer.from('an ordinary body') }
}

function assertLives (gateway: GatewayProcess): void {
  assert.equal(gateway.endedWith(), undefined, `the process has ended: ${gateway.output().slice(-2_000)}`)
}

function assertStands (gateway: GatewayProcess, descriptors = LIMITS.descriptors): void {
  assertLives(gateway)
  const memory = gateway.peakMemory()
  assert.ok(memory <= LIMITS.memoryMb * BYTES_PER_MB, `${Math.round(memory / BYTES_PER_MB)} MB of ${LIMITS.memoryMb}`)
  const sockets = gateway.peakSockets()
  assert.ok(sockets <= descriptors - FILE_DESCRIPTORS, `${sockets} sockets of ${descriptors - FILE_DESCRIPTORS}`)
}

describe('a gateway process in front of callers that misbehave', { concurrency: false }, () => {
  let gateway: GatewayProcess
  let crowd: Crowd | undefined

  afterEach(async () => {
    crowd?.leave()
    crowd = undefined
    await gateway.close()
  })

  async function start (descriptors = LIMITS.descriptors): Promise<void> {
    gateway = await startGatewayProcess(clock, { ...LIMITS, descriptors }, { plain: {}, hanging: {}, long: { answerBytes: LONG_ANSWER_BYTES } })
    gateway.upstream('hanging').setBehaviour(() => 'hang')
  }

  function targetOf (listener: keyof GatewayPorts, service: string): CallerTarget {
    if (listener === 'front') return { port: gateway.ports.front, head: (index) => gateway.head(service, `crowd-${index}`) }
    const path = listener === 'ready' ? NODE_PATH.ready : `${NODE_PATH.directory}?name=api.example`
    return { port: gateway.ports[listener], head: () => `POST ${path} HTTP/1.1\r\nhost: api.example\r\n` }
  }

  /** Lets a crowd in, and checks the process while the crowd stays and after it has left. */
  async function withstands (listener: keyof GatewayPorts, behaviour: CallerBehaviour, callers = CALLERS, service = 'plain', descriptors = LIMITS.descriptors): Promise<void> {
    await start(descriptors)
    crowd = openCrowd(targetOf(listener, service), callers, behaviour)
    await crowd.sent()
    await isServed(gateway, ordinaryRequest(gateway.ports))
    await answersElsewhere()
    assertStands(gateway, descriptors)
    const statuses = crowd.statuses()
    crowd.leave()
    await isServed(gateway, ordinaryRequest(gateway.ports))
    await answersElsewhere()
    assertStands(gateway, descriptors)
    for (const status of statuses) assert.ok(REFUSALS.includes(status), `a misbehaving caller got ${status}`)
  }

  async function answersElsewhere (): Promise<void> {
    await isServed(gateway, { port: gateway.ports.ready, method: 'GET', path: NODE_PATH.ready })
    await isServed(gateway, { port: gateway.ports.directory, method: 'GET', path: `${NODE_PATH.directory}?name=api.example&region=region&zone=zone-a` })
  }

  // Guards against bodies that don't end and take the memory of the process.
  it('stands bodies in large chunks that stop short of the limit', { timeout: TEST_TIMEOUT }, () => withstands('front', BEHAVIOURS.shortOfLimitInLargeChunks(LIMITS.bodyBytes)))

  // Guards against what the runtime keeps for each piece of a body, which is many times the piece.
  it('stands bodies in chunks of one byte', { timeout: TEST_TIMEOUT }, () => withstands('front', BEHAVIOURS.oneByteChunks(200_000)))

  // Guards against a process that turns to others only once such bodies have been read.
  it('answers others many times while bodies in chunks of one byte come', { timeout: TEST_TIMEOUT }, async () => {
    await start()
    const senders = openCrowd(targetOf('front', 'plain'), SLOW_CALLERS, BEHAVIOURS.wholeInChunks(400_000, 1))
    crowd = senders
    for (let asked = 0; asked < ASKED_MEANWHILE; asked += 1) await answersElsewhere()
    await isServed(gateway, ordinaryRequest(gateway.ports))
    assert.ok(senders.statuses().length < SLOW_CALLERS, 'all bodies had been read before')
    assertStands(gateway)
  })

  // Guards against the same where each piece comes with a read of its own.
  it('stands bodies in chunks of one byte that come one by one', { timeout: TEST_TIMEOUT }, () => withstands('front', BEHAVIOURS.oneByteChunksApart(60_000), SLOW_CALLERS))

  // Guards against bodies that are held although their last byte doesn't come.
  it('stands bodies one byte short of their length', { timeout: TEST_TIMEOUT }, () => withstands('front', BEHAVIOURS.shortOfLength(LIMITS.bodyBytes)))

  // Guards against reading on what has been refused.
  it('stands bodies far over the limit that are announced', { timeout: TEST_TIMEOUT }, () => withstands('front', BEHAVIOURS.overAnnounced(8 * LIMITS.bodyBytes)))

  // Guards against the same without an announcement.
  it('stands bodies far over the limit that are just sent', { timeout: TEST_TIMEOUT }, () => withstands('front', BEHAVIOURS.overInChunks(8 * LIMITS.bodyBytes)))

  // Guards against requests that are parsed and kept behind one that isn't answered.
  it('stands requests behind one another whose answers are not read', { timeout: TEST_TIMEOUT }, () => withstands('front', BEHAVIOURS.pipelined(20_000)))

  // Guards against the same where the first request waits for its upstream.
  it('stands requests behind one that is not answered', { timeout: TEST_TIMEOUT }, () => withstands('front', BEHAVIOURS.pipelined(20_000), CALLERS, 'hanging'))

  // Guards against the pieces of a body that the runtime keeps while its request waits behind another one.
  it('stands bodies in chunks of one byte behind a request that is not answered', { timeout: TEST_TIMEOUT }, () => withstands('front', BEHAVIOURS.oneByteChunksBehindAnother(200_000), CALLERS, 'hanging'))

  // Guards against whole bodies that are kept while their upstream doesn't answer.
  it('stands whole bodies whose upstream does not answer', { timeout: TEST_TIMEOUT }, () => withstands('front', BEHAVIOURS.whole(LIMITS.bodyBytes), CALLERS, 'hanging'))

  // Guards against long answers that are kept for callers that don't read them.
  it('stands callers that read no answer', { timeout: TEST_TIMEOUT }, () => withstands('front', BEHAVIOURS.unreadAnswers(), CALLERS, 'long'))

  // Guards against heads that don't end.
  it('stands half heads', { timeout: TEST_TIMEOUT }, () => withstands('front', BEHAVIOURS.halfHead(15_000)))

  // Guards against framing that is no body.
  it('stands extensions of chunks and trailers without end', { timeout: TEST_TIMEOUT }, async () => {
    await withstands('front', BEHAVIOURS.endlessExtension(1_000_000))
    await gateway.close()
    await withstands('front', BEHAVIOURS.endlessTrailers(1_000_000))
  })

  for (const listener of ['front', 'directory', 'ready'] as const) {
    // Guards against connections that take the descriptors of upstreams, the store and the other listeners.
    it(`stands callers that send nothing to its ${listener} address`, { timeout: TEST_TIMEOUT }, () => withstands(listener, BEHAVIOURS.silent(), SILENT_CALLERS))
  }

  for (const listener of ['directory', 'ready'] as const) {
    // Guards against bodies that nobody asked for and that are read for as long as they come.
    it(`stands bodies without end at its ${listener} address`, { timeout: TEST_TIMEOUT }, async () => {
      await withstands(listener, BEHAVIOURS.overInChunks(64 * LIMITS.bodyBytes), SLOW_CALLERS)
      await gateway.close()
      await withstands(listener, BEHAVIOURS.oneByteChunks(200_000))
    })

    // Guards against requests that are kept while nobody reads their answers.
    it(`stands requests behind one another at its ${listener} address`, { timeout: TEST_TIMEOUT }, () => withstands(listener, BEHAVIOURS.pipelinedWithoutBody(20_000)))
  }

  describe('and that are many', () => {
    const withstandsMany = (behaviour: CallerBehaviour, service?: string): Promise<void> => withstands('front', behaviour, MANY_CALLERS, service, MANY_DESCRIPTORS)

    // Guards against memory that has been given back by the account alone.
    it('stands whole bodies whose upstream does not answer', { timeout: TEST_TIMEOUT }, () => withstandsMany(BEHAVIOURS.whole(LIMITS.bodyBytes), 'hanging'))

    // Guards against a turn of the event loop in which all that they have sent is parsed.
    it('stands requests behind one another whose answers are not read', { timeout: TEST_TIMEOUT }, () => withstandsMany(BEHAVIOURS.pipelined(20_000)))

    // Guards against the same where the first request waits for its upstream.
    it('stands requests behind one that is not answered', { timeout: TEST_TIMEOUT }, () => withstandsMany(BEHAVIOURS.pipelined(20_000), 'hanging'))

    // Guards against the same with the most requests that a read can hold.
    it('stands the smallest requests behind one another', { timeout: TEST_TIMEOUT }, () => withstandsMany(BEHAVIOURS.smallest(10_000)))

    // Guards against the same where a read is full of pieces of a body.
    it('stands bodies in chunks of one byte behind a request that is not answered', { timeout: TEST_TIMEOUT }, () => withstandsMany(BEHAVIOURS.oneByteChunksBehindAnother(200_000), 'hanging'))
  })

  describe('and those that behave', () => {
    const wholeBody = Buffer.alloc(LIMITS.bodyBytes, 'b')
    const forms = [
      { name: 'by its length', behaviour: BEHAVIOURS.whole(LIMITS.bodyBytes) },
      { name: 'in large chunks', behaviour: BEHAVIOURS.wholeInChunks(LIMITS.bodyBytes, 16_384) },
      { name: 'in chunks of one byte', behaviour: BEHAVIOURS.wholeInChunks(LIMITS.bodyBytes, 1) }
    ]

    for (const { name, behaviour } of forms) {
      // Guards against limits on misbehaviour that a proper request meets.
      it(`serves one of the largest size in calm, ${name}`, { timeout: TEST_TIMEOUT }, async () => {
        await start()
        const caller = openCrowd(targetOf('front', 'plain'), 1, behaviour)
        crowd = caller
        await waitUntil(() => caller.statuses().length > 0 || gateway.endedWith() !== undefined, { clock, what: 'the answer', limit: TEST_TIMEOUT })
        assertStands(gateway)
        assert.deepEqual(caller.statuses(), [SUCCESS])
        assert.equal(gateway.upstream('plain').runs[0]?.body.length, LIMITS.bodyBytes)
      })
    }

    // Guards against bodies that are kept after their answers, for as long as their callers stay connected.
    it('keeps no bodies of the requests that it has answered', { timeout: TEST_TIMEOUT }, async () => {
      await start()
      const callers: Crowd[] = []
      try {
        for (let index = 0; index < CALLERS; index += 1) {
          const caller = openCrowd(targetOf('front', 'plain'), 1, BEHAVIOURS.whole(LIMITS.bodyBytes))
          callers.push(caller)
          await waitUntil(() => caller.statuses().length > 0 || gateway.endedWith() !== undefined, { clock, what: 'the answer', limit: TEST_TIMEOUT })
          assertLives(gateway)
        }
        assert.deepEqual(callers.flatMap((caller) => caller.statuses()), Array<number>(CALLERS).fill(SUCCESS))
        await isServed(gateway, ordinaryRequest(gateway.ports))
        assertStands(gateway)
      } finally {
        for (const caller of callers) caller.leave()
      }
    })

    // Guards against refusals that promise what doesn't hold, and against silence.
    it('answers many of the largest size at once, or refuses them as not run', { timeout: TEST_TIMEOUT }, async () => {
      await start()
      const ids = Array.from({ length: CALLERS }, (_, index) => `large-${index}`)
      const answers = await Promise.all(ids.map(async (id) => ({ id, ...await send({ port: gateway.ports.front, method: 'POST', path: '/plain/x', id, body: wholeBody }) })))
      const runs = new Set(gateway.upstream('plain').runs.map(({ id }) => id))
      assert.ok(answers.some(({ status }) => status === SUCCESS))
      for (const { id, status, retryAfter } of answers) {
        if (status === SUCCESS) continue
        assert.ok(PROMISES.includes(status), `${id} got ${status}`)
        assert.ok(retryAfter !== undefined, `${id} is not told when to come back`)
        assert.ok(!runs.has(id), `${id} was refused and has run`)
      }
      await isServed(gateway, ordinaryRequest(gateway.ports))
      assertStands(gateway)
    })
  })
})
