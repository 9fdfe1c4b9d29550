/** Property: no window holds more than the bound, whatever the surge, the sizes, the ages of reports and the number of nodes. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { SECOND } from '../../src/clock.js'
import type { Milliseconds } from '../../src/clock.js'
import { fullestWindow, playFleet } from './fleet-model.js'

/** Start of the surges. The window is full of usual grants by then. */
const START: Milliseconds = 9 * SECOND

/**
 * Surges from up to 0.55 of the rate to at most 3.4 times the rate. Nodes grant what arrives until something shows the surge,
 * so a steeper one can exceed the bound whatever is decided afterwards. See docs/design/quotas-under-surges.md.
 */
const surge = fc.record({
  nodes: fc.integer({ min: 5, max: 120 }),
  rate: fc.integer({ min: 60_000, max: 900_000 }),
  usual: fc.double({ min: 0.3, max: 0.55, noNaN: true }),
  peak: fc.double({ min: 2, max: 3.4, noNaN: true }),
  length: fc.integer({ min: 1_500, max: 11_000 }),
  largest: fc.integer({ min: 2_000, max: 50_000 }),
  least: fc.integer({ min: 1, max: 2 }),
  spread: fc.integer({ min: 0, max: 3 }),
  seed: fc.integer({ min: 1, max: 1_000_000 })
})

describe('the bound on the window', () => {
  // Guards against more units in a window than the operators allow, which other organisations would pay for.
  it('is kept for random surges', () => {
    fc.assert(fc.property(surge, ({ nodes, rate, usual, peak, length, largest, least, spread, seed }) => {
      const attempts = playFleet({
        nodes,
        rate,
        seed,
        length: START + length + 4 * SECOND,
        loadAt: (now) => now >= START && now < START + length ? peak : usual,
        costOf: (random) => Math.round(200 * (largest / 200) ** random.fraction()),
        age: { least, spread }
      })
      const fullest = fullestWindow(attempts, rate)
      assert.ok(fullest <= 1, `${fullest}`)
    }), { seed: 35, numRuns: 60 })
  })
})
