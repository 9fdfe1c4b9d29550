/** Tests of the individual decisions of roll-outs. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { canaryFraction, createExposureShare, mergeEvidence, nextStatus, roleOf, timeStepOf } from '../../src/rollout/index.js'
import type { RolloutOrder, RolloutSituation, RolloutStage, RolloutStatus } from '../../src/rollout/index.js'
import { createRandom } from '../../src/random.js'

const BOUNDS = { exposedPart: 0.1, exposedExtra: 50 }
const STAGES: readonly RolloutStage[] = ['canary', 'probe', 'cutover', 'done', 'rolled-back']

const order = (version: string, revision: number): RolloutOrder => ({ service: 's', version, duration: 20_000, revision })

const status = (version: string, answered: number, stage: RolloutStage, avoided: string[] = []): RolloutStatus => ({ service: 's', version, order: answered, stage, probedPart: undefined, orderedAt: 0, avoided })

const situation = (more: Partial<RolloutSituation> = {}): RolloutSituation => ({
  bounds: BOUNDS, verdict: { kind: 'good' }, elapsed: 15_000, timeInStage: 5_000, tried: 4, serving: 4, versions: ['v1', 'v2'], nodes: 9, followers: 9, runningAtOtherVersions: 0, sent: 3_000, exposed: 200, rate: 200, ...more
})

describe('the role of a version', () => {
  it('is avoided for versions that were rolled back, replaced or abandoned, whatever is ordered later', () => {
    fc.assert(fc.property(fc.constantFrom(...STAGES), fc.boolean(), (stage, isSameOrder) => {
      const known = status('v2', 7, stage, ['v0'])
      const later = order('v3', isSameOrder ? 7 : 9)
      assert.equal(roleOf('v0', later, known), 'avoided')
      assert.equal(roleOf('v2', later, known), stage === 'done' ? 'serving' : 'avoided')
      assert.equal(roleOf('v1', later, known), 'serving')
    }))
  })

  it('is tried again where an operator orders a rolled-back version anew', () => {
    assert.equal(roleOf('v2', order('v2', 7), status('v2', 7, 'rolled-back')), 'avoided')
    assert.equal(roleOf('v2', order('v2', 9), status('v2', 7, 'rolled-back', ['v2'])), 'tried')
  })
})

describe('a node\'s share of a trial', () => {
  it('keeps to its fraction of the node\'s own requests', () => {
    fc.assert(fc.property(fc.integer(), fc.integer({ min: 1, max: 200 }), fc.integer({ min: 1, max: 3_000 }), (seed, nodes, requests) => {
      const share = createExposureShare(BOUNDS, nodes, createRandom(seed))
      const taken = Array.from({ length: requests }, () => share.take(canaryFraction(BOUNDS))).filter(Boolean).length
      assert.ok(taken <= requests * canaryFraction(BOUNDS) + 1 + BOUNDS.exposedExtra / nodes)
    }))
  })

  // Guards against too many requests for a bad version: a hundred nodes start at once, and each sends its first request there.
  it('keeps the sum within the bound over many nodes that each get few requests', () => {
    fc.assert(fc.property(fc.integer(), fc.integer({ min: 20, max: 200 }), fc.integer({ min: 0, max: 40 }), (seed, nodes, requests) => {
      const random = createRandom(seed)
      let taken = 0
      for (let node = 0; node < nodes; node += 1) {
        const share = createExposureShare(BOUNDS, nodes, random)
        for (let count = 0; count < requests; count += 1) if (share.take(canaryFraction(BOUNDS))) taken += 1
      }
      assert.ok(taken <= nodes * requests * BOUNDS.exposedPart + BOUNDS.exposedExtra, `${taken} of ${nodes * requests}`)
    }))
  })
})

describe('the next stage', () => {
  it('of a new order is the canary, except for a version that already serves', () => {
    assert.equal(nextStatus(order('v2', 7), undefined, undefined, 5)?.stage, 'canary')
    assert.equal(nextStatus(order('v2', 9), status('v2', 7, 'done'), undefined, 5)?.stage, 'done')
    assert.deepEqual(nextStatus(order('v3', 9), status('v2', 7, 'probe', ['v0']), undefined, 5)?.avoided, ['v0', 'v2'])
  })

  it('never changes once the roll-out is done or rolled back', () => {
    for (const stage of ['done', 'rolled-back'] as const) {
      assert.equal(nextStatus(order('v2', 7), status('v2', 7, stage), situation({ verdict: { kind: 'bad', route: 'r', fault: 'slow' } }), 5), undefined)
    }
  })

  it('is the rollback from every earlier stage as soon as the version is bad', () => {
    for (const stage of ['canary', 'probe', 'cutover'] as const) {
      assert.equal(nextStatus(order('v2', 7), status('v2', 7, stage), situation({ verdict: { kind: 'bad', route: 'r', fault: 'slow' } }), 5)?.stage, 'rolled-back')
    }
  })

  it('is not the cutover without a good verdict, enough upstreams and a trial of sufficient length', () => {
    const canary = status('v2', 7, 'canary')
    for (const more of [{ verdict: { kind: 'open' } }, { tried: 1, serving: 4 }, { elapsed: 3_000 }] as const) {
      assert.equal(nextStatus(order('v2', 7), canary, situation(more), 5), undefined)
    }
    assert.equal(nextStatus(order('v2', 7), canary, situation(), 5)?.stage, 'probe')
    assert.equal(nextStatus(order('v2', 7), canary, situation({ exposed: 340 }), 5)?.stage, 'cutover')
  })

  // Guards against requests that are cut off at the end of a roll-out, because a node has not received the cutover or requests
  // still run at other versions.
  it('is not done while a node does not follow the cutover or requests run at other versions', () => {
    const cutover = status('v2', 7, 'cutover')
    assert.equal(nextStatus(order('v2', 7), cutover, situation({ followers: 8 }), 5), undefined)
    assert.equal(nextStatus(order('v2', 7), cutover, situation({ runningAtOtherVersions: 1, timeInStage: 60_000 }), 5), undefined)
    assert.deepEqual(nextStatus(order('v2', 7), cutover, situation(), 5)?.avoided, ['v1'])
    assert.equal(nextStatus(order('v2', 7), cutover, situation({ followers: 8, timeInStage: 9_000 }), 5)?.stage, 'done')
  })
})

describe('evidence', () => {
  it('of an earlier order does not count', () => {
    const evidence = (revision: number, sent: number) => ({ s: { order: revision, sent, exposed: 0, followers: 0, routes: {} } })
    assert.equal(mergeEvidence([evidence(7, 5), evidence(9, 2), evidence(7, 5), evidence(9, 1)])['s']?.sent, 3)
  })

  // Guards against unnoticed failures: if a sum shares objects with a node's own counts, later answers also change the sum that
  // was evaluated last, and no answer is ever new.
  it('in a sum does not change with later counts', () => {
    const own = { order: 7, sent: 1, exposed: 1, followers: 0, routes: { r: { serving: { failures: 0, times: {} }, tried: { failures: 1, times: {} as Record<string, number> } } } }
    const summed = mergeEvidence([{ s: own }])['s']
    own.routes.r.tried.failures += 1
    own.routes.r.tried.times['2'] = 1
    assert.deepEqual(summed?.routes['r']?.tried, { failures: 1, times: {} })
  })

  it('groups times in steps of half a doubling', () => {
    assert.deepEqual([timeStepOf(60, 60), timeStepOf(120, 60), timeStepOf(30, 60), timeStepOf(0, 0)], [0, 2, -2, 0])
  })
})
