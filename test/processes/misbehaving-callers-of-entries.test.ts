/** Callers that don't behave, in front of a process of the product's own interface. No time and no share of served requests is checked. */
import assert from 'node:assert/strict'
import { request as sendRequest } from 'node:http'
import { afterEach, describe, it } from 'node:test'
import { createSystemClock } from '../../src/clock.js'
import type { Milliseconds } from '../../src/clock.js'
import { startEntryProcess } from '../../stand-ins/entry-process.js'
import type { EntryProcess } from '../../stand-ins/entry-process.js'
import { BEHAVIOURS, openCrowd } from '../../stand-ins/misbehaving-callers.js'
import type { Crowd, CallerBehaviour } from '../../stand-ins/misbehaving-callers.js'
import { waitUntil } from '../wait-until.js'

/** Memory of the machines in docs/CAPACITY.md; the crowd's bodies together are larger. */
const MEMORY_MB = 350

const LIMITS = { descriptors: 500, connections: 200, bodyBytes: 8_388_608 }

const FILE_DESCRIPTORS = 200

const BYTES_PER_MB = 1_000_000

const CALLERS = 64

const SILENT_CALLERS = 400

/** Callers who send one small request after the other, and what each sends: more answers than the process may keep. */
const KEEN_CALLERS = 8
const REQUESTS_OF_A_KEEN_CALLER = 5_000

/** Paths at the plain service of the sample deployment. */
const ECHO_PATH = '/echo'
const CLASS = 'roster-lookup'

/** Answers that a misbehaving caller may get. */
const REFUSALS: readonly number[] = [400, 404, 408, 413, 429, 431, 503, 504]

/** Answers after which an ordinary caller tries again; 0 stands for none. */
const RETRIED: readonly number[] = [0, 408, 429, 503]

const SUCCESS = 200

const RETRY_PAUSE: Milliseconds = 100

const TEST_TIMEOUT: Milliseconds = 120_000

const clock = createSystemClock()

describe('an entry process in front of callers that misbehave', { concurrency: false }, () => {
  let entry: EntryProcess
  let crowd: Crowd | undefined

  afterEach(async () => {
    crowd?.leave()
    crowd = undefined
    await entry.close()
  })

  function assertStands (): void {
    assert.equal(entry.endedWith(), undefined, `the process has ended: ${entry.output().slice(-2_000)}`)
    const memory = entry.peakMemory()
    assert.ok(memory <= MEMORY_MB * BYTES_PER_MB, `${Math.round(memory / BYTES_PER_MB)} MB of ${MEMORY_MB}`)
    const sockets = entry.peakSockets()
    assert.ok(sockets <= LIMITS.descriptors - FILE_DESCRIPTORS, `${sockets} sockets of ${LIMITS.descriptors - FILE_DESCRIPTORS}`)
  }

  /** @returns the status; 0 if there is no answer */
  function send (body: Buffer): Promise<number> {
    const headers = { authorization: `Bearer ${entry.deployment.key}`, 'content-length': body.length }
    return new Promise((resolve) => {
      const outgoing = sendRequest({ host: '127.0.0.1', port: entry.port, path: `/v1/services/${CLASS}${ECHO_PATH}`, method: 'POST', headers, agent: false }, (response) => {
        response.resume()
        response.on('end', () => resolve(response.statusCode ?? 0))
        response.on('error', () => resolve(0))
      })
      outgoing.on('error', () => resolve(0))
      outgoing.end(body)
    })
  }

  async function servedRequests (): Promise<number> {
    const metrics = await fetch(`http://127.0.0.1:${entry.port}/metrics`).then((response) => response.text(), () => '')
    return Number(new RegExp(`requests_total\\{class="${CLASS}",outcome="served"\\} (\\d+)`).exec(metrics)?.[1] ?? 0)
  }

  async function servesAnOrdinaryRequest (): Promise<void> {
    for (;;) {
      const status = await send(Buffer.from('an ordinary body'))
      if (status === SUCCESS) return
      assert.equal(entry.endedWith(), undefined, `the process has ended: ${entry.output().slice(-2_000)}`)
      assert.ok(RETRIED.includes(status), `an ordinary request got ${status}`)
      await clock.sleep(RETRY_PAUSE)
    }
  }

  async function withstands (behaviour: CallerBehaviour, callers = CALLERS): Promise<void> {
    entry = await startEntryProcess(clock, LIMITS)
    crowd = openCrowd({ port: entry.port, head: () => entry.head(CLASS, ECHO_PATH) }, callers, behaviour)
    await crowd.sent()
    await servesAnOrdinaryRequest()
    assertStands()
    const statuses = crowd.statuses()
    crowd.leave()
    await servesAnOrdinaryRequest()
    assertStands()
    for (const status of statuses) assert.ok(REFUSALS.includes(status), `a misbehaving caller got ${status}`)
  }

  // Guards against bodies that don't end and take the memory of the process.
  it('stands bodies in large chunks that stop short of the limit', { timeout: TEST_TIMEOUT }, () => withstands(BEHAVIOURS.shortOfLimitInLargeChunks(LIMITS.bodyBytes)))

  // Guards against what the runtime keeps for each piece of a body, which is many times the piece.
  it('stands bodies in chunks of one byte', { timeout: TEST_TIMEOUT }, () => withstands(BEHAVIOURS.oneByteChunks(200_000)))

  // Guards against bodies that are held although their last byte doesn't come.
  it('stands bodies one byte short of their length', { timeout: TEST_TIMEOUT }, () => withstands(BEHAVIOURS.shortOfLength(LIMITS.bodyBytes)))

  // Guards against reading on what has been refused.
  it('stands bodies far over the limit', { timeout: TEST_TIMEOUT }, async () => {
    await withstands(BEHAVIOURS.overAnnounced(4 * LIMITS.bodyBytes))
    await entry.close()
    await withstands(BEHAVIOURS.overInChunks(4 * LIMITS.bodyBytes))
  })

  // Guards against requests that are parsed and kept behind one that isn't answered.
  it('stands requests behind one another whose answers are not read', { timeout: TEST_TIMEOUT }, () => withstands(BEHAVIOURS.pipelined(20_000)))

  // Guards against answers that are kept for callers who may still read them, and that take many times what they are counted as.
  it('keeps the answers to many small requests within its memory', { timeout: TEST_TIMEOUT }, async () => {
    entry = await startEntryProcess(clock, LIMITS)
    crowd = openCrowd({ port: entry.port, head: () => entry.head(CLASS, ECHO_PATH) }, KEEN_CALLERS, BEHAVIOURS.pipelined(REQUESTS_OF_A_KEEN_CALLER))
    await crowd.sent()
    await waitUntil(async () => entry.endedWith() !== undefined || await servedRequests() >= KEEN_CALLERS * REQUESTS_OF_A_KEEN_CALLER, { clock, what: 'all answers', limit: TEST_TIMEOUT })
    await servesAnOrdinaryRequest()
    assertStands()
  })

  // Guards against connections that take all descriptors.
  it('stands callers that send nothing', { timeout: TEST_TIMEOUT }, () => withstands(BEHAVIOURS.silent(), SILENT_CALLERS))

  // Guards against limits on misbehaviour that a proper request meets.
  it('serves one of the largest size in calm', { timeout: TEST_TIMEOUT }, async () => {
    entry = await startEntryProcess(clock, LIMITS)
    assert.equal(await send(Buffer.alloc(LIMITS.bodyBytes, 'b')), SUCCESS)
    assertStands()
  })
})
