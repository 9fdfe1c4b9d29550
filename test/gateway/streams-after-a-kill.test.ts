/** Resumable streams whose callers take them up after all nodes were killed, where the service has had two versions. */
import assert from 'node:assert/strict'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { createSystemClock } from '../../src/clock.js'
import type { Milliseconds } from '../../src/clock.js'
import type { NodeThreads } from '../../stand-ins/machines/node-threads.js'
import { createResumedStreams, DEFAULT_SERVICE } from '../../stand-ins/machines/resumed-streams.js'
import type { ResumedStreams, ResumptionOutcome } from '../../stand-ins/machines/resumed-streams.js'

const clock = createSystemClock()
const NODE_NAMES = ['node-1', 'node-2', 'node-3']
const STREAMS = 24
const OTHER_SERVICE = 'elsewhere'

/** Streams that are taken up go on at least half as often as new ones begin, while two upstreams of their version serve. All new ones begin here. */
const MIN_RESUMED_FRACTION = 1 / 2

/** Time after their start at which nodes without knowledge of the past have taken the version that they saw for the only one. */
const LONG_AFTER_START: Milliseconds = 4_000

/** Time within which nodes have written what they know. */
const WRITTEN_WITHIN: Milliseconds = 1_000

const TEST_TIMEOUT: Milliseconds = 40_000

function assertNoneCrossed (outcomes: readonly ResumptionOutcome[]): void {
  const crossed = outcomes.filter(({ begunAt, wentOnAt = begunAt }) => wentOnAt !== begunAt)
  assert.equal(crossed.length, 0, `${crossed.length} of ${outcomes.length} went on at another version`)
}

function assertMostWentOn (outcomes: readonly ResumptionOutcome[]): void {
  const whole = outcomes.filter(({ isWhole }) => isWhole)
  assert.ok(whole.length >= outcomes.length * MIN_RESUMED_FRACTION, `${whole.length} of ${outcomes.length} went on`)
}

describe('streams that are taken up after all nodes were killed', () => {
  let streams: ResumedStreams
  let nodes: NodeThreads

  beforeEach(async () => {
    streams = await createResumedStreams(clock)
    await streams.addVersion('v1')
    nodes = await streams.startNodes(NODE_NAMES)
  })

  afterEach(async () => {
    await nodes.kill()
    await streams.close()
  })

  // Guards against streams of two versions: nodes that have just started take the only version that they see for the only one that there was.
  it('do not go on at another version where theirs left before the kill', { timeout: TEST_TIMEOUT }, async () => {
    const begun = await streams.begin(nodes, STREAMS)
    await streams.addVersion('v2')
    streams.removeVersion('v1')
    await streams.untilNodesKnow(NODE_NAMES, 'upstream-gone', 'v1')
    await nodes.kill()
    nodes = await streams.startNodes(NODE_NAMES)
    await clock.sleep(LONG_AFTER_START)
    assertNoneCrossed(await streams.takeUp(nodes, begun))
  })

  // Guards against the same where the old version is gone when the nodes come back.
  it('do not go on at another version where theirs left while no node was there', { timeout: TEST_TIMEOUT }, async () => {
    const begun = await streams.begin(nodes, STREAMS)
    await nodes.kill()
    await streams.addVersion('v2')
    streams.removeVersion('v1')
    nodes = await streams.startNodes(NODE_NAMES)
    const early = await streams.takeUp(nodes, begun.slice(STREAMS / 2))
    await clock.sleep(LONG_AFTER_START)
    assertNoneCrossed([...early, ...await streams.takeUp(nodes, begun.slice(0, STREAMS / 2))])
  })

  // Guards against losing streams with the memory of the nodes although upstreams of their version serve.
  it('go on at their versions where both serve', { timeout: TEST_TIMEOUT }, async () => {
    await streams.addVersion('v2')
    await streams.untilServed(nodes, 'v2')
    const begun = await streams.begin(nodes, STREAMS)
    assert.equal(new Set(begun.map(({ version }) => version)).size, 2)
    await nodes.kill()
    nodes = await streams.startNodes(NODE_NAMES)
    const outcomes = await streams.takeUp(nodes, begun)
    assertNoneCrossed(outcomes)
    assertMostWentOn(outcomes)
  })

  // Guards against a stream that is known by its first attempt alone, whose node's checkpoint is gone: its caller names that attempt each time.
  it('go on at their versions after another kill', { timeout: TEST_TIMEOUT }, async () => {
    await streams.addVersion('v2')
    await streams.untilServed(nodes, 'v2')
    const begun = await streams.begin(nodes, STREAMS)
    await nodes.kill()
    const firstCheckpoints = streams.checkpoints()
    nodes = await streams.startNodes(NODE_NAMES)
    const continued = await streams.continue(nodes, begun)
    await nodes.kill()
    streams.removeCheckpoints(firstCheckpoints)
    nodes = await streams.startNodes(NODE_NAMES)
    const outcomes = await streams.takeUp(nodes, continued)
    assertNoneCrossed(outcomes)
    assertMostWentOn(outcomes)
  })

  // Guards against losing the streams that began before there was a second version, of which no node kept a record.
  it('go on at their version where another one came while they ran', { timeout: TEST_TIMEOUT }, async () => {
    const begun = await streams.begin(nodes, STREAMS)
    await streams.addVersion('v2')
    await streams.untilNodesKnow(NODE_NAMES, 'upstream-new', 'v2')
    await clock.sleep(WRITTEN_WITHIN)
    await nodes.kill()
    nodes = await streams.startNodes(NODE_NAMES)
    const outcomes = await streams.takeUp(nodes, begun)
    assertNoneCrossed(outcomes)
    assertMostWentOn(outcomes)
  })

  // Guards against streams of two services: no record is kept while the service has one version, and the only version of the new one is inferred.
  it('do not go on at the service to which their route was moved', { timeout: TEST_TIMEOUT }, async () => {
    await streams.addVersion('other', OTHER_SERVICE)
    const begun = await streams.begin(nodes, STREAMS)
    await streams.untilInForce(NODE_NAMES, streams.routeTo(OTHER_SERVICE))
    await nodes.kill()
    nodes = await streams.startNodes(NODE_NAMES)
    assertNoneCrossed(await streams.takeUp(nodes, begun))
  })

  // Guards against losing streams whose upstreams serve: nothing is inferred on a route with two services, and no record was kept before.
  it('go on at their service where their route was split', { timeout: TEST_TIMEOUT }, async () => {
    await streams.addVersion('other', OTHER_SERVICE)
    const begun = await streams.begin(nodes, STREAMS)
    await streams.untilInForce(NODE_NAMES, streams.routeTo(DEFAULT_SERVICE, OTHER_SERVICE))
    await clock.sleep(WRITTEN_WITHIN)
    await nodes.kill()
    nodes = await streams.startNodes(NODE_NAMES)
    const outcomes = await streams.takeUp(nodes, begun)
    assertNoneCrossed(outcomes)
    assertMostWentOn(outcomes)
  })
})
