/** Late orders to engines and instances, and the order of weight loads. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { checkCompliance, PREDECESSOR_ORDER_DELAY, findStrays, emptyDesiredState, createInstanceName, startableLoads, orderLoads, serviceOrderSchema } from '../../src/capacity/index.js'
import type { CloudInstance, EngineState, ServiceOrder } from '../../src/capacity/index.js'
import { SECOND } from '../../src/clock.js'
import { serviceNameSchema, upstreamNameSchema } from '../../src/identifiers.js'
import { loadReportSchema } from '../../src/upstream/index.js'

const SERVICE = serviceNameSchema.parse('plans')
const ENGINE = upstreamNameSchema.parse('engine-1')
const WANTED = orderOf(7, 'model-b')

// Guards against an engine that loads model B, then A, then B again and is unavailable for minutes: the successor
// ordered B at once, then the last order of its predecessor arrived. The engine does not check fencing.
test('a new lease holder waits for the last orders of its predecessor', () => {
  const heldSince = 100 * SECOND
  const options = { fencing: 2, heldSince, sent: undefined }
  const early = engineOf({ models: ['model-a'], generation: 6, reportedAt: heldSince + 1, checksFencing: false })
  assert.equal(checkCompliance(early, WANTED, { ...options, now: heldSince + 2 }).kind, 'wait')
  const later = { ...early, reportedAt: heldSince + PREDECESSOR_ORDER_DELAY }
  assert.deepEqual(checkCompliance(later, WANTED, { ...options, now: heldSince + PREDECESSOR_ORDER_DELAY + 1 }), { kind: 'differs', loads: true })
  assert.equal(checkCompliance({ ...early, checksFencing: true }, WANTED, { ...options, now: heldSince + 2 }).kind, 'differs')
})

// Guards against an engine that serves an outdated model for days: a late order replaced the current one, and the
// planner did not compare again because it had already sent its order.
test('an engine that followed a late order is ordered again', () => {
  const sent = { generation: 7, fencing: 2, at: 200 * SECOND }
  const engine = engineOf({ models: ['model-a'], generation: 6, reportedAt: 203 * SECOND, checksFencing: false })
  assert.equal(checkCompliance(engine, WANTED, { now: 204 * SECOND, fencing: 2, heldSince: 0, sent }).kind, 'differs')
})

test('a report from before the last order is ignored, and a load in progress is not interrupted', () => {
  const options = { fencing: 2, heldSince: 0, sent: { generation: 7, fencing: 2, at: 200 * SECOND } }
  const old = engineOf({ models: ['model-a'], generation: 6, reportedAt: 199 * SECOND, checksFencing: false })
  assert.equal(checkCompliance(old, WANTED, { ...options, now: 201 * SECOND }).kind, 'wait')
  const loading = engineOf({ models: [], generation: 7, reportedAt: 260 * SECOND, checksFencing: false })
  assert.equal(checkCompliance(loading, WANTED, { ...options, now: 261 * SECOND }).kind, 'loading')
})

// Guards against a planner that was paused for a minute and releases the machines that its successor has just
// started.
test('an instance of a later generation is not a stray for an older state', () => {
  const state = { ...emptyDesiredState(), generation: 5 }
  assert.deepEqual(findStrays(state, [instanceNamed(4), instanceNamed(6)]), [createInstanceName(SERVICE, 4, 0)])
})

test('loads start for the service that lacks most, as many as keep the store busy', () => {
  const other = serviceNameSchema.parse('questions')
  const pending = [1, 2, 3].flatMap((number) => [
    { upstream: upstreamNameSchema.parse(`plans-${number}`), service: SERVICE, bytes: 10, capacity: 50 },
    { upstream: upstreamNameSchema.parse(`questions-${number}`), service: other, bytes: 10, capacity: 50 }
  ])
  const ordered = orderLoads(pending, [{ service: SERVICE, need: 100, supply: 90 }, { service: other, need: 100, supply: 0 }])
  assert.deepEqual(ordered.map((load) => load.service).slice(0, 3), [other, other, SERVICE])
  const count = (outstanding: number, throughput: number | undefined) => startableLoads(ordered, { outstanding, throughput, rate: 10 }, 2).length
  assert.equal(count(0, undefined), 2)
  assert.equal(count(20, 10), 0)
  assert.equal(count(20, 5), 1)
})

function orderOf (generation: number, model: string): ServiceOrder {
  return serviceOrderSchema.parse({ service: SERVICE, generation, model, version: '1', adapters: [], role: 'mixed' })
}

function engineOf (facts: { models: string[], generation: number, reportedAt: number, checksFencing: boolean }): EngineState {
  const report = loadReportSchema.parse({ upstream: ENGINE, running: 0, waiting: 0, cacheUsed: 0, ageMs: 0, models: facts.models, generation: facts.generation })
  return { upstream: ENGINE, service: SERVICE, report, reportedAt: facts.reportedAt, checksFencing: facts.checksFencing }
}

function instanceNamed (generation: number): CloudInstance {
  return { name: createInstanceName(SERVICE, generation, 0), group: 'sample', service: SERVICE, failureDomain: 'zone-a', machineClass: 'large', market: 'reclaimable', state: 'live' } as unknown as CloudInstance
}
