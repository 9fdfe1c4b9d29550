/** Lasting differences of speed between the upstreams of a service. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ASSUMED_SPEED, chooseUpstream, createSpeedRatios, ENGINE_COSTS, incarnationOf } from '../../src/placement/index.js'
import type { Candidate, SpeedRatios } from '../../src/placement/index.js'
import { createRandom } from '../../src/random.js'
import { upstreamRecord } from './records.js'

const incarnations = Array.from({ length: 6 }, (_, index) => incarnationOf(`i-${index}`, 1))
const [slow, usual] = incarnations as [typeof incarnations[0], typeof incarnations[0]]

/** Times vary by a factor of up to 1.6, and one request in ten waits behind others. */
function observeAll (ratios: SpeedRatios, count: number, slowness: (index: number) => number): void {
  const random = createRandom(5)
  for (let round = 0; round < count; round += 1) {
    incarnations.forEach((incarnation, index) => {
      const wait = random.fraction() < 0.1 ? 400 : 0
      ratios.observe('plans', incarnation, 100 * slowness(index) * (0.8 + 0.5 * random.fraction()) + wait, 100, round * 200)
    })
  }
}

describe('the lasting speed of an upstream', () => {
  // Failure guarded against: one engine is 2.5 times slower for good, and gets as many requests as the others.
  it('is learnt from its first answers', () => {
    const ratios = createSpeedRatios()
    observeAll(ratios, 40, (index) => index === 0 ? 2.5 : 1)
    const ratio = ratios.of('plans', slow, 8_000)
    assert.ok(ratio > 1.7 && ratio < 3.2, `${ratio}`)
    for (const incarnation of incarnations.slice(1)) assert.equal(ratios.of('plans', incarnation, 8_000), 1)
  })

  // Failure guarded against: the prediction is wrong for all engines of a service, and each looks slow.
  it('is compared with the median of the service', () => {
    const ratios = createSpeedRatios()
    observeAll(ratios, 40, () => 2.5)
    for (const incarnation of incarnations) assert.equal(ratios.of('plans', incarnation, 8_000), 1)
  })

  it('starts at 1 with each incarnation and each service', () => {
    const ratios = createSpeedRatios()
    observeAll(ratios, 40, (index) => index === 0 ? 2.5 : 1)
    assert.equal(ratios.of('plans', incarnationOf('i-0', 2), 8_000), 1)
    assert.equal(ratios.of('lookups', slow, 8_000), 1)
    assert.equal(ratios.of('plans', slow, 80_000), 1, 'nothing was observed for a minute')
  })

  it('returns to 1 after the upstream has recovered', () => {
    const ratios = createSpeedRatios()
    observeAll(ratios, 40, (index) => index === 0 ? 2.5 : 1)
    observeAll(ratios, 40, () => 1)
    assert.equal(ratios.of('plans', slow, 8_000), 1)
  })
})

describe('the choice of an upstream', () => {
  it('gives a slow upstream proportionally less load', () => {
    const random = createRandom(6)
    const candidates = [slow, usual].map((incarnation, index): Candidate => ({ upstream: upstreamRecord(`i-${index}`, { incarnation }), load: { requests: 0, reading: 0, unanswered: 0 }, delay: 0, slowness: index === 0 ? 3 : 1 }))
    let toSlow = 0
    for (let count = 0; count < 1_000; count += 1) {
      const choice = chooseUpstream({ service: 's', parts: [], promptTokens: 0, target: 800, lostOnReclaim: false, streams: true }, candidates, { name: 'n', failureDomain: 'a' }, ENGINE_COSTS, { speed: ASSUMED_SPEED, slotTime: 600 }, random)
      if (choice?.upstream.incarnation === slow) toSlow += 1
    }
    assert.ok(toSlow > 210 && toSlow < 290, `${toSlow} of 1,000`)
  })
})
