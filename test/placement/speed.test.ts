/** What a node learns of its engines' speed, on emulated engines with waiting, kept prompts and outliers. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { ASSUMED_SPEED, combineSpeeds, createEngineSpeeds, createSpeedEstimator, readingTime } from '../../src/placement/index.js'
import type { EngineSpeed, ReadingSample } from '../../src/placement/index.js'
import { createRandom } from '../../src/random.js'
import type { Random } from '../../src/random.js'

const SIZES = [120, 500, 1_800, 6_000, 12_000, 25_000, 50_000]

/** A prompt of a size as the users' requests have it, and the time to its first event by the engine's true speed. */
function promptAt (speed: EngineSpeed, random: Random): { readonly sample: ReadingSample, readonly reading: number } {
  const tokens = Math.round(SIZES[random.integer(SIZES.length)]! * (0.6 + 0.8 * random.fraction()))
  const reading = readingTime(tokens, 0, speed)
  return { sample: { tokens, cached: 0, took: (speed.base + reading) * (0.97 + 0.06 * random.fraction()) }, reading }
}

function learn (samples: readonly ReadingSample[]): EngineSpeed {
  const estimator = createSpeedEstimator()
  samples.forEach((sample, index) => {
    estimator.observe(sample)
    if (index % 10 === 9) estimator.update()
  })
  return estimator.speed()
}

/** Mean relative error of the time that a prompt of the users' sizes takes. */
function errorOf (learnt: EngineSpeed, speed: EngineSpeed): number {
  const times = (of: EngineSpeed): number[] => SIZES.map((tokens) => of.base + readingTime(tokens, 0, of))
  const truth = times(speed)
  return times(learnt).reduce((sum, time, index) => sum + Math.abs(time - truth[index]!) / truth[index]!, 0) / SIZES.length
}

const speedOf = fc.record({
  base: fc.double({ min: 8, max: 90, noNaN: true }),
  perThousandTokens: fc.double({ min: 5, max: 50, noNaN: true }),
  perMillionPairs: fc.double({ min: 0.1, max: 1, noNaN: true })
})

describe('the speed of engines', () => {
  it('is what is assumed while nothing was seen', () => {
    const { samples, ...speed } = createSpeedEstimator().speed()
    assert.deepEqual([speed, samples], [ASSUMED_SPEED, 0])
    assert.deepEqual(combineSpeeds([]), ASSUMED_SPEED)
    assert.deepEqual(combineSpeeds([{ base: 1, perThousandTokens: 1, perMillionPairs: 1, samples: 0 }]), ASSUMED_SPEED)
  })

  it('is learnt within a tenth from 200 prompts, on engines that read 20 to 200 tokens in a millisecond', () => {
    fc.assert(fc.property(speedOf, fc.integer({ min: 1, max: 1_000 }), (speed, seed) => {
      const random = createRandom(seed)
      const learnt = learn(Array.from({ length: 200 }, () => promptAt(speed, random).sample))
      assert.ok(errorOf(learnt, speed) < 0.1, `${JSON.stringify(learnt)} for ${JSON.stringify(speed)}`)
    }), { seed: 19, numRuns: 200 })
  })

  // The fleet is sized for engines half as fast as they are, and costs nearly twice what the work needs: at each of
  // them a third of the prompts waited behind another, and the wait was taken for slow reading.
  it('is not led astray by prompts that wait behind others, by kept ones, or by one slow engine', () => {
    const speed: EngineSpeed = { base: 60, perThousandTokens: 11, perMillionPairs: 0.35 }
    const disturbances: Record<string, (took: number, reading: number, random: Random) => number> = {
      waiting: (took, _reading, random) => random.fraction() < 0.35 ? took + 150 * random.fraction() : took,
      kept: (took, reading, random) => random.fraction() < 0.2 ? took - 0.7 * reading : took,
      'a slow engine of twelve': (took, _reading, random) => random.fraction() < 1 / 12 ? took * 4 : took,
      'answers that stall': (took, _reading, random) => random.fraction() < 0.05 ? took + 2_000 : took
    }
    for (const [name, disturb] of Object.entries(disturbances)) {
      for (let seed = 1; seed <= 20; seed += 1) {
        const random = createRandom(seed)
        const learnt = learn(Array.from({ length: 240 }, () => {
          const { sample, reading } = promptAt(speed, random)
          return { ...sample, took: disturb(sample.took, reading, random) }
        }))
        assert.ok(errorOf(learnt, speed) < 0.2, `${name}, seed ${seed}: ${JSON.stringify(learnt)}`)
      }
    }
  })

  it('moves by a fifth at the most in one update, and stays within bounds whatever it is told', () => {
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

  it('is that of most nodes where one sees something else', () => {
    const usual = { base: 60, perThousandTokens: 11, perMillionPairs: 0.35, samples: 240 }
    const odd = { base: 400, perThousandTokens: 60, perMillionPairs: 2, samples: 240 }
    const { samples: _, ...speed } = usual
    assert.deepEqual(combineSpeeds([usual, odd, usual, usual]), speed)
  })

  // All nodes are killed, and each orders engines for the assumed speed again: what the others had learnt was not heard.
  it('is taken from other nodes by one that has just started', () => {
    const speeds = createEngineSpeeds()
    assert.deepEqual(speeds.of('plans'), ASSUMED_SPEED)
    speeds.hear([{ plans: { base: 60, perThousandTokens: 11, perMillionPairs: 0.35, samples: 100 } }])
    assert.equal(speeds.of('plans').perThousandTokens, 11)
    assert.deepEqual(speeds.own(), {})
  })
})
