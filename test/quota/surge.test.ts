import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { SECOND } from '../../src/clock.js'
import type { Milliseconds } from '../../src/clock.js'
import { createSurgeDetector } from '../../src/quota/surge.js'
import type { SurgeDetector } from '../../src/quota/surge.js'
import { createRandom } from '../../src/random.js'
import { hundredfoldCost } from './fleet-model.js'

const STEP: Milliseconds = 20
const START: Milliseconds = 20 * SECOND

/** Mean of the sizes that `hundredfoldCost` makes. */
const MEAN_COST = 9_020

/** Plays random requests at a rate per second, and calls `observe` with the factor at each step. */
function play (rateAt: (now: Milliseconds) => number, length: Milliseconds, seed: number, observe: (factor: number, now: Milliseconds) => void, detector: SurgeDetector = createSurgeDetector(0)): void {
  const random = createRandom(seed)
  for (let now = 0; now < length; now += STEP) {
    if (random.fraction() < rateAt(now) * STEP / SECOND) detector.add(hundredfoldCost(random), now)
    observe(detector.factor(rateAt(0) * MEAN_COST, now), now)
  }
}

describe('the surge detector of a node', () => {
  // Guards against a surge that is granted in full until reports show it: a node that receives three requests of the
  // organisation per second assumes a rise within half a second.
  it('assumes a rise within 0.5 s', () => {
    const factors: number[] = []
    for (let seed = 1; seed <= 20; seed += 1) play((now) => now < START ? 3 : 18, START + 520, seed, (factor, now) => { if (now === START + 500) factors.push(factor) })
    const mean = factors.reduce((sum, factor) => sum + factor, 0) / factors.length
    assert.ok(mean >= 2, `${mean}`)
  })

  // Guards against refusals by chance: at a node that receives a request in three seconds, two requests that arrive together
  // look like a rate many times the usual.
  for (const rate of [0.1, 0.3, 1, 3]) {
    it(`rarely assumes a rise by chance at ${rate} requests per second`, () => {
      let high = 0
      let steps = 0
      for (let seed = 1; seed <= 10; seed += 1) {
        play(() => rate, 60 * SECOND, seed, (factor) => {
          steps += 1
          if (factor > 2) high += 1
        })
      }
      assert.ok(high <= 0.01 * steps, `${high} of ${steps}`)
    })
  }

  // Guards against a surge that is counted twice: once the reports show it, the factor falls back.
  it('assumes nothing beyond what the reports show', () => {
    const detector = createSurgeDetector(0)
    const random = createRandom(1)
    for (let now = 0; now < START; now += 50) {
      if (now % 1_000 < 300 || now > START - SECOND) detector.add(hundredfoldCost(random), now)
    }
    assert.ok(detector.factor(0, START) > 1.5)
    assert.equal(detector.factor(40 * MEAN_COST, START), 1)
  })

  // Guards against a process that has just started and takes its first requests for a surge.
  it('assumes nothing until it knows the usual rate', () => {
    play((now) => now < SECOND ? 1 : 30, 3 * SECOND, 1, (factor) => assert.equal(factor, 1))
  })
})
