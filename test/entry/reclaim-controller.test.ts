/** Execution of reclaim plans, with stubs around the controller and a manual clock. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import Emittery from 'emittery'
import { SECOND } from '../../src/clock.js'
import type { NoticeEvents, NoticeWatcher } from '../../src/entry/notice-watcher.js'
import type { ReclaimCoordinator } from '../../src/entry/reclaim-coordinator.js'
import { startReclaimController } from '../../src/entry/reclaim-controller.js'
import type { OpenStream, Streams } from '../../src/entry/streams.js'
import { addressSchema, failureDomainSchema, incarnationSchema, instanceNameSchema, requestIdSchema, serviceNameSchema, upstreamNameSchema } from '../../src/identifiers.js'
import type { Address, RequestId } from '../../src/identifiers.js'
import { createLog } from '../../src/log.js'
import type { NodeRecord } from '../../src/membership/index.js'
import { createPeers } from '../../src/peer/client.js'
import type { Peers } from '../../src/peer/client.js'
import type { PeerHandlers } from '../../src/peer/router.js'
import { createPeerServer } from '../../src/peer/server.js'
import { createConnections } from '../../src/protocols/http.js'
import type { UpstreamView } from '../../src/upstream/index.js'
import type { StreamPlan } from '../../src/upstream/reclaim/index.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'
import { listenOnFreePort } from '../listening.js'

const LEAVING = upstreamNameSchema.parse('engine-1')
const TARGET = upstreamNameSchema.parse('engine-2')
const NOTICE = 10 * SECOND

const VIEW: UpstreamView = {
  name: LEAVING,
  service: serviceNameSchema.parse('assistant'),
  failureDomain: failureDomainSchema.parse('zone-a'),
  address: addressSchema.parse('127.0.0.1:1'),
  protocol: 'model',
  leaving: true,
  inFlight: 0
}

function node (name: string, peerAddress: Address = VIEW.address): NodeRecord {
  return {
    instance: instanceNameSchema.parse(name),
    incarnation: incarnationSchema.parse(`${name}-x`),
    failureDomain: VIEW.failureDomain,
    address: VIEW.address,
    peerAddress,
    leaving: false
  }
}

function idOf (index: number): RequestId {
  return requestIdSchema.parse(`entry-1.${String(index).padStart(16, '0')}`)
}

function exportPlan (index: number): StreamPlan {
  return { kind: 'export', id: idOf(index), target: TARGET, startAfter: index, endAfter: index + 1, otherwise: 'resume' }
}

interface Setup {
  readonly plans: readonly StreamPlan[]
  readonly idempotent?: boolean
  readonly move?: (id: RequestId) => Promise<boolean>
  readonly go?: boolean
  readonly nodes?: readonly NodeRecord[]
  readonly peers?: Peers
}

async function start (setup: Setup) {
  const clock = createManualClock()
  const owner = new AbortController()
  const events = new Emittery<NoticeEvents>()
  const open = new Map<RequestId, OpenStream>(setup.plans.map((plan) => [plan.id, {
    id: plan.id, upstream: LEAVING, handle: 'handle', kind: 'model', idempotent: setup.idempotent ?? true, offset: 5, promptTokens: 2_000, maxTokens: 400, startedAt: 0
  }]))
  const recomputed: RequestId[] = []
  const ended: boolean[] = []
  let planCalls = 0
  const streams: Streams = {
    openAt: () => [...open.values()],
    moveTo: async (id) => {
      const moved = await (setup.move?.(id) ?? Promise.resolve(true))
      open.delete(id)
      return moved
    },
    recompute: (id) => {
      recomputed.push(id)
      return open.delete(id)
    }
  }
  const coordinator: ReclaimCoordinator = {
    plan: async () => {
      planCalls += 1
      return { plans: planCalls === 1 ? setup.plans : setup.plans.map((plan) => ({ kind: 'stay', id: plan.id })) }
    },
    turn: async () => ({ go: setup.go ?? true }),
    turnEnded: ({ moved }) => { ended.push(moved) }
  }
  startReclaimController({
    notices: { events } as unknown as NoticeWatcher,
    coordinator,
    streams,
    findOpenExecution: () => ({ arrivedAt: 0, firstTokenAt: 1, request: { class: 'plan' } }) as never,
    own: () => node('entry-1'),
    nodes: () => setup.nodes ?? [node('entry-1')],
    peers: setup.peers ?? { at: throwDead, separateAt: throwDead } as unknown as Peers,
    configuration: () => undefined,
    clock,
    log: createLog('reclaim-keeper-test', 'silent', clock.wall),
    signal: owner.signal
  })
  await events.emit('leaving', { view: VIEW, deadline: NOTICE })
  return { clock, open, recomputed, ended, planned: () => planCalls, stop: () => owner.abort() }
}

function throwDead (): never {
  throw new Error('the peer is dead')
}

/** A node that plans both exports and lets the second one start once the first has ended. */
async function servePlanningNode () {
  const key = 'planning-node-key'
  let endFirst: () => void = () => {}
  const firstEnded = new Promise<void>((resolve) => { endFirst = resolve })
  const reclaim: PeerHandlers['reclaim'] = {
    notices: () => {},
    plan: async () => ({ plans: [exportPlan(1), exportPlan(2)] }),
    turn: async ({ id }) => {
      if (id === idOf(2)) await firstEnded
      return { go: true }
    },
    turnEnded: ({ id }) => { if (id === idOf(1)) endFirst() }
  }
  const server = createPeerServer(key, { reclaim } as unknown as PeerHandlers, {} as never)
  const address = addressSchema.parse(await listenOnFreePort(server))
  const connections = createConnections(4)
  return {
    record: node('entry-2', address),
    peers: createPeers(connections, key),
    stop: async () => {
      endFirst()
      await connections.destroy()
      server.close()
    }
  }
}

async function waitUntil (condition: () => boolean): Promise<void> {
  for (const end = performance.now() + 5 * SECOND; !condition() && performance.now() < end;) await new Promise((resolve) => { setTimeout(resolve, 5) })
}

test('streams move as planned and the end of each export is reported', async () => {
  const run = await start({ plans: [exportPlan(1), exportPlan(2)] })
  await run.clock.advance(SECOND)
  assert.deepEqual([run.open.size, run.recomputed, run.ended], [0, [], [true, true]])
  run.stop()
})

// Failure guarded against: the target dies during the export, after the engine has sent the stream away. The node waits
// for tokens that no engine sends, and the caller's answer stops midway.
test('a stream whose export fails is recomputed, and the end of the export is reported', async () => {
  const run = await start({ plans: [exportPlan(1)], move: async () => { throw new Error('the target died') } })
  await run.clock.advance(SECOND)
  assert.deepEqual([run.recomputed, run.ended], [[idOf(1)], [false]])
  run.stop()
})

// Failure guarded against: a request that must not run twice is started again from its prompt, and its effects occur
// twice.
test('a stream that is not idempotent is planned again when its export fails, and never recomputed', async () => {
  const run = await start({ plans: [exportPlan(1)], idempotent: false, move: async () => { throw new Error('the target died') } })
  await run.clock.advance(NOTICE)
  assert.deepEqual([run.recomputed, run.planned()], [[], 2])
  run.stop()
})

test('a stream whose export no longer fits before the deadline is recomputed immediately', async () => {
  const run = await start({ plans: [exportPlan(1)], go: false })
  await run.clock.advance(SECOND)
  assert.deepEqual(run.recomputed, [idOf(1)])
  run.stop()
})

// Failure guarded against: an answer that was expected to finish in time has not finished. Its connection to the dead
// engine is silent, and the caller waits seconds for the next token.
test('a stream that is still open shortly before the deadline is recomputed then', async () => {
  const run = await start({ plans: [{ kind: 'finish', id: idOf(1) }] })
  await run.clock.advance(NOTICE * 0.9)
  assert.deepEqual(run.recomputed, [])
  await run.clock.advance(NOTICE * 0.1)
  assert.deepEqual(run.recomputed, [idOf(1)])
  run.stop()
})

// Failure guarded against: the node that is to plan is dead, and the others wait for it until the engine has ended. All
// streams of the engine would have to be recomputed.
test('when the planning nodes do not answer, a node plans its own streams', async () => {
  const run = await start({ plans: [exportPlan(1)], nodes: ['entry-2', 'entry-3', 'entry-4'].map((name) => node(name)) })
  await run.clock.advance(SECOND)
  assert.deepEqual([run.planned(), run.ended], [1, [true]])
  run.stop()
})

// Failure guarded against: the go for an export is held back until the other exports of its node are decided. Nothing is
// moved meanwhile, and the streams are computed again.
test('an export starts while others of its node wait for the link of an upstream that another node plans', async () => {
  const planningNode = await servePlanningNode()
  const run = await start({ plans: [exportPlan(1), exportPlan(2)], nodes: [planningNode.record], peers: planningNode.peers })
  await waitUntil(() => run.open.size === 0)
  run.stop()
  await planningNode.stop()
  assert.deepEqual([run.open.size, run.recomputed, run.planned()], [0, [], 0])
})
