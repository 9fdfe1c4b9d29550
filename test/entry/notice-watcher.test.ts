/** Notices on one node, with stubs for the cloud, the instance list and the peers. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { SECOND } from '../../src/clock.js'
import { createNoticeWatcher, refusedAsLeaving } from '../../src/entry/notice-watcher.js'
import { createUpstreamDirectory } from '../../src/entry/upstream-directory.js'
import { failureDomainSchema, incarnationSchema, upstreamNameSchema } from '../../src/identifiers.js'
import { createLog } from '../../src/log.js'
import { nodeRecordSchema } from '../../src/membership/index.js'
import type { NodeRecord } from '../../src/membership/index.js'
import type { Peers } from '../../src/peer/client.js'
import type { NoticesMessage } from '../../src/peer/reclaim.js'
import type { Cloud } from '../../src/protocols/cloud.js'
import { ServingError } from '../../src/verdict.js'
import { instanceSchema } from '../../src/upstream/index.js'
import type { Instance } from '../../src/upstream/index.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'

const UPSTREAM = upstreamNameSchema.parse('engine-1')
const ENGINE = instanceSchema.parse({
  name: 'instance-engine-1',
  failureDomain: 'zone-a',
  machineClass: 'accelerated',
  address: '127.0.0.1:8000',
  role: { kind: 'upstream', upstream: UPSTREAM, service: 'assistant', protocol: 'model' },
  state: 'live'
})

function node (number: number, zone = 'zone-a'): NodeRecord {
  return nodeRecordSchema.parse({ instance: `entry-${number}`, incarnation: `entry-${number}-x`, failureDomain: zone, address: '127.0.0.1:1', peerAddress: `127.0.0.1:${9_000 + number}`, leaving: false })
}

interface SentNotice {
  readonly address: string
  readonly message: NoticesMessage
}

async function start (options: { notice?: number, list?: () => Instance[], deadPool?: boolean, own?: NodeRecord, nodes?: NodeRecord[] } = {}) {
  const clock = createManualClock()
  const owner = new AbortController()
  const log = createLog('notice-keeper-test', 'silent', clock.wall)
  const sentOnPool: SentNotice[] = []
  const sentOnFresh: SentNotice[] = []
  const directory = createUpstreamDirectory({ instanceList: { read: async () => options.list?.() ?? [ENGINE] }, clock, log, signal: owner.signal })
  const cloud = {
    notices: async (after: number) => {
      const noticed = options.notice !== undefined && clock.now() >= SECOND && after === 0
      return noticed ? { notices: [{ sequence: 1, instance: ENGINE.name, failureDomain: ENGINE.failureDomain, remainingMs: options.notice }], next: 1 } : { notices: [], next: after }
    }
  } as unknown as Cloud
  const createPeers = (into: SentNotice[], dead: boolean) => ({
    at: (address: string) => ({
      reclaim: {
        notices: {
          mutate: async (message: NoticesMessage) => {
            if (dead) throw new Error('silent')
            into.push({ address, message })
          }
        }
      }
    })
  }) as unknown as Peers
  const own = options.own ?? node(1)
  const watcher = createNoticeWatcher({
    cloud,
    directory,
    own: () => own,
    nodes: () => options.nodes ?? [node(1), node(2), node(3)],
    peers: createPeers(sentOnPool, options.deadPool ?? false),
    freshPeers: createPeers(sentOnFresh, false),
    clock,
    log,
    signal: owner.signal
  })
  await clock.advance(1)
  return { clock, directory, watcher, told: sentOnPool, sentOnFresh, stop: () => owner.abort() }
}

// Failure guarded against: the cloud has announced a reclaim, but the instance list still shows the engine as live. The
// node sends requests to the engine until it ends, and their answers are cut off.
test('a polling node marks the upstream and notifies the others within a second, whatever the list shows', async () => {
  const run = await start({ notice: 10 * SECOND })
  await run.clock.advance(1_600)
  assert.equal(run.directory.find(UPSTREAM)?.leaving, true)
  assert.deepEqual(run.told.map((notice) => notice.address).sort(), ['127.0.0.1:9002', '127.0.0.1:9003'])
  await run.clock.advance(5 * SECOND)
  assert.equal(run.directory.find(UPSTREAM)?.leaving, true)
  assert.equal(run.told.length, 2, 'each peer is notified once')
  run.stop()
})

test('an instance that is missing from one list and listed as live in the next is still leaving', async () => {
  let reads = 0
  const run = await start({ notice: 10 * SECOND, list: () => (reads++ === 3 ? [] : [ENGINE]) })
  await run.clock.advance(6 * SECOND)
  assert.equal(run.directory.find(UPSTREAM)?.leaving, true)
  run.stop()
})

// Failure guarded against: the pooled connection to a peer no longer responds and the notice is lost. That node keeps
// sending requests to the leaving engine.
test('a notice that is lost on a pooled connection is sent again on a new one', async () => {
  const run = await start({ notice: 10 * SECOND, deadPool: true })
  await run.clock.advance(1_600)
  assert.deepEqual(run.sentOnFresh.map((notice) => notice.address).sort(), ['127.0.0.1:9002', '127.0.0.1:9003'])
  run.stop()
})

test('a peer\'s notice marks the upstream and is reported as leaving with its deadline', async () => {
  const run = await start()
  const leaving = run.watcher.events.once('leaving')
  run.watcher.handlers.notices({ from: incarnationSchema.parse('entry-2-x'), notices: [{ instance: ENGINE.name, address: ENGINE.address, ageMs: 40, remainingMs: 7 * SECOND }] })
  const { view, deadline } = await leaving
  assert.deepEqual([view.name, deadline], [UPSTREAM, run.clock.now() + 7 * SECOND])
  run.stop()
})

test('only the polling nodes of a failure domain ask the cloud', async () => {
  const zone = failureDomainSchema.parse('zone-a')
  const nodes = Array.from({ length: 9 }, (_, index) => node(index + 1, zone))
  const calls: number[] = []
  for (const own of nodes) {
    const run = await start({ own, nodes })
    await run.clock.advance(3 * SECOND)
    calls.push(run.watcher.cloudCallCount())
    run.stop()
  }
  assert.equal(calls.filter((count) => count > 0).length, 3)
})

// Failure guarded against: an engine refuses requests because it is leaving, before the cloud, the instance list or its
// load report say so. Without forwarding, each node finds out only by its own refused request.
test('an engine\'s refusal marks the upstream and is forwarded to peers', async () => {
  const run = await start()
  const refusal = new ServingError('127.0.0.1:8000: status 503: {"error":{"message":"leaving","verdict":"not-run"}}', { code: 'upstream-refused', verdict: 'not-run' })
  assert.equal(refusedAsLeaving(refusal), true)
  assert.equal(refusedAsLeaving(new ServingError(refusal.message, { code: 'upstream-refused', verdict: 'may-have-run' })), false)
  assert.equal(refusedAsLeaving(new ServingError('127.0.0.1:8000: status 503: {"error":{"message":"refused"}}', { code: 'upstream-refused', verdict: 'not-run' })), false)
  run.directory.markLeaving(UPSTREAM, 'connection')
  await run.clock.advance(10)
  assert.deepEqual(run.told.map((notice) => notice.message.notices[0]?.instance), [ENGINE.name, ENGINE.name])
  run.stop()
})
