/** Tests of the speed estimates, on emulated engines with queueing, cached prompts and outliers. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { ASSUMED_SPEED, combineSpeeds, createEngineSpeeds, createSpeedEstimator, prefillTime } from '../../src/placement/index.js'
import type { EngineSpeed, PrefillSample } from '../../src/placement/index.js'
import { createRandom } from '../../src/random.js'
import type { Random } from '../../src/random.js'

const SIZES = [120, 500, 1_800, 6_000, 12_000, 25_000, 50_000]

/** A prompt of a typical size, with the time to its first event on an engine of the given speed. */
function samplePrompt (speed: EngineSpeed, random: Random): { readonly sample: PrefillSample, readonly reading: number } {
  const tokens = Math.round(SIZES[random.integer(SIZES.length)]! * (0.6 + 0.8 * random.fraction()))
  const prefill = prefillTime(tokens, 0, speed)
  return { sample: { tokens, cached: 0, took: (speed.base + prefill) * (0.97 + 0.06 * random.fraction()) }, reading: prefill }
}

function estimate (samples: readonly PrefillSample[]): EngineSpeed {
  const estimator = createSpeedEstimator()
  samples.forEach((sample, index) => {
    estimator.observe(sample)
    if (index % 10 === 9) estimator.update()
  })
  return estimator.speed()
}

/** Mean relative error of the estimated times over prompts of typical sizes. */
function errorOf (estimated: EngineSpeed, speed: EngineSpeed): number {
  const times = (of: EngineSpeed): number[] => SIZES.map((tokens) => of.base + prefillTime(tokens, 0, of))
  const trueTimes = times(speed)
  return times(estimated).reduce((sum, time, index) => sum + Math.abs(time - trueTimes[index]!) / trueTimes[index]!, 0) / SIZES.length
}

const speedOf = fc.record({
  base: fc.double({ min: 8, max: 90, noNaN: true }),
  perThousandTokens: fc.double({ min: 5, max: 50, noNaN: true }),
  perMillionPairs: fc.double({ min: 0.1, max: 1, noNaN: true })
})

describe('the speed of engines', () => {
  it('is the assumed speed while there are no samples', () => {
    const { samples, ...speed } = createSpeedEstimator().speed()
    assert.deepEqual([speed, samples], [ASSUMED_SPEED, 0])
    assert.deepEqual(combineSpeeds([]), ASSUMED_SPEED)
    assert.deepEqual(combineSpeeds([{ base: 1, perThousandTokens: 1, perMillionPairs: 1, samples: 0 }]), ASSUMED_SPEED)
  })

  it('is estimated to within 10 % from 200 prompts, on engines that prefill 20 to 200 tokens per millisecond', () => {
    fc.assert(fc.property(speedOf, fc.integer({ min: 1, max: 1_000 }), (speed, seed) => {
      const random = createRandom(seed)
      const estimated = estimate(Array.from({ length: 200 }, () => samplePrompt(speed, random).sample))
      assert.ok(errorOf(estimated, speed) < 0.1, `${JSON.stringify(estimated)} for ${JSON.stringify(speed)}`)
    }), { seed: 19, numRuns: 200 })
  })

  // Guards against an oversized fleet: when a third of the prompts queue behind others and the queueing time is taken for
  // prefill time, the engines are estimated half as fast as they are and nearly twice as many are ordered.
  it('is hardly changed by queueing, unknown cache hits, stalls or one slow engine', () => {
    const speed: EngineSpeed = { base: 60, perThousandTokens: 11, perMillionPairs: 0.35 }
    const disturbances: Record<string, (took: number, prefill: number, random: Random) => number> = {
      waiting: (took, _reading, random) => random.fraction() < 0.35 ? took + 150 * random.fraction() : took,
      kept: (took, prefill, random) => random.fraction() < 0.2 ? took - 0.7 * prefill : took,
      'a slow engine of twelve': (took, _reading, random) => random.fraction() < 1 / 12 ? took * 4 : took,
      'answers that stall': (took, _reading, random) => random.fraction() < 0.05 ? took + 2_000 : took
    }
    for (const [name, disturb] of Object.entries(disturbances)) {
      for (let seed = 1; seed <= 20; seed += 1) {
        const random = createRandom(seed)
        const estimated = estimate(Array.from({ length: 240 }, () => {
          const { sample, reading: prefill } = samplePrompt(speed, random)
          return { ...sample, took: disturb(sample.took, prefill, random) }
        }))
        assert.ok(errorOf(estimated, speed) < 0.2, `${name}, seed ${seed}: ${JSON.stringify(estimated)}`)
      }
    }
  })

  it('changes by at most a fifth in one update and stays within bounds for any samples', () => {
    fc.assert(fc.property(fc.array(fc.record({ tokens: fc.nat(60_000), cached: fc.nat(20_000), took: fc.nat(60_000) }), { minLength: 12, maxLength: 80 }), (samples) => {
      const estimator = createSpeedEstimator()
      let before: EngineSpeed = estimator.speed()
      for (const sample of samples) {
        estimator.observe(sample)
        estimator.update()
        const after: EngineSpeed = estimator.speed()
        for (const value of ['base', 'perThousandTokens', 'perMillionPairs'] as const) {
          assert.ok(Number.isFinite(after[value]) && after[value] >= ASSUMED_SPEED[value] / 8.01 && after[value] <= ASSUMED_SPEED[value] * 8.01, `${value}: ${after[value]}`)
          assert.ok(Math.abs(after[value] - before[value]) <= 0.2001 * Math.max(before[value], ASSUMED_SPEED[value] / 8))
        }
        before = after
      }
    }), { seed: 20, numRuns: 100 })
  })

  it('follows the majority of the nodes where one node differs', () => {
    const usual = { base: 60, perThousandTokens: 11, perMillionPairs: 0.35, samples: 240 }
    const odd = { base: 400, perThousandTokens: 60, perMillionPairs: 2, samples: 240 }
    const { samples: _, ...speed } = usual
    assert.deepEqual(combineSpeeds([usual, odd, usual, usual]), speed)
  })

  // Guards against a node that has just started ignoring the estimates of others and ordering engines for the assumed speed.
  it('is taken over from other nodes by a node that has just started', () => {
    const speeds = createEngineSpeeds()
    assert.deepEqual(speeds.of('plans'), ASSUMED_SPEED)
    speeds.receive([{ plans: { base: 60, perThousandTokens: 11, perMillionPairs: 0.35, samples: 100 } }])
    assert.equal(speeds.of('plans').perThousandTokens, 11)
    assert.deepEqual(speeds.ownEstimates(), {})
  })
})
