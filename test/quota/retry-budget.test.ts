/** Properties of the retry budget over kills of all nodes. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { SECOND } from '../../src/clock.js'
import type { Milliseconds } from '../../src/clock.js'
import { createRetryBudget } from '../../src/quota/index.js'
import type { RetryBudget, RetryBudgetOptions } from '../../src/quota/index.js'
import { createRandom } from '../../src/random.js'

const OPTIONS: RetryBudgetOptions = { ratio: 0.2, extra: 58, window: 10 * SECOND }

/** Two windows in which the kills fall, and one after them. */
const LENGTH: Milliseconds = 3 * OPTIONS.window

const STEP: Milliseconds = 50

/** Nodes whose upstreams refuse, so that a retry is wanted after each attempt, and which are killed at once at some times. */
const outage = fc.record({
  nodes: fc.integer({ min: 5, max: 30 }),
  requestsPerSecond: fc.integer({ min: 2, max: 300 }),
  retriesPerRequest: fc.integer({ min: 1, max: 3 }),
  kills: fc.uniqueArray(fc.integer({ min: 1, max: 2 * OPTIONS.window / STEP }), { minLength: 0, maxLength: 3 }),
  /** Time from a kill until the processes run again. */
  down: fc.integer({ min: 0, max: 30 }),
  refusedFrom: fc.integer({ min: 0, max: OPTIONS.window / STEP }),
  seed: fc.integer({ min: 1, max: 1_000_000 })
})

interface Arrivals {
  readonly requests: readonly Milliseconds[]
  readonly retries: readonly Milliseconds[]
}

function play ({ nodes, requestsPerSecond, retriesPerRequest, kills, down, refusedFrom, seed }: typeof outage extends fc.Arbitrary<infer Outage> ? Outage : never): Arrivals {
  const random = createRandom(seed)
  const start = (restartedAt: Milliseconds): RetryBudget[] => Array.from({ length: nodes }, () => {
    const budget = createRetryBudget(OPTIONS, restartedAt)
    budget.setNodeCount(nodes)
    return budget
  })
  let budgets = start(-Infinity)
  const requests: Milliseconds[] = []
  const retries: Milliseconds[] = []
  let backlog = 0
  for (let step = 0; step * STEP < LENGTH; step += 1) {
    const now = step * STEP
    if (kills.some((kill) => kill + down === step)) budgets = start(now)
    const isDown = kills.some((kill) => step >= kill && step < kill + down)
    for (backlog += requestsPerSecond * STEP / SECOND; backlog >= 1; backlog -= 1) {
      // Requests that no node receives count as well, since callers have sent them.
      requests.push(now)
      if (isDown) continue
      const budget = budgets[random.integer(nodes)]!
      budget.request(now)
      if (step < refusedFrom) continue
      for (let retry = 0; retry < retriesPerRequest; retry += 1) if (budget.take(now)) retries.push(now)
    }
  }
  return { requests, retries }
}

function countIn (times: readonly Milliseconds[], until: Milliseconds): number {
  return times.filter((at) => at > until - OPTIONS.window && at <= until).length
}

describe('the retry budget over kills of all nodes', () => {
  // Failure guarded against: all processes are killed twice within a window while upstreams refuse, each life of a process
  // takes its share of the extra retries, and an upstream that is overloaded gets 107 of them where 97 are allowed.
  it('keeps the sum of all lives within ratio and extra in every window', () => {
    fc.assert(fc.property(outage, (drawn) => {
      const { requests, retries } = play(drawn)
      for (let until = 0; until <= LENGTH; until += 4 * STEP) {
        // Requests are counted in the window of the retries, the one before it, or the one half a window before it.
        const counted = Math.max(...[0, 0.5, 1].map((back) => countIn(requests, until - back * OPTIONS.window)))
        const allowed = OPTIONS.ratio * counted + OPTIONS.extra
        const seen = countIn(retries, until)
        assert.ok(seen <= allowed, `${seen} of ${allowed} by ${until}`)
      }
    }), { seed: 44, numRuns: 200 })
  })

  // Failure guarded against: a node that has restarted once goes without the extra retries for as long as it lives, and
  // requests to a rarely used service fail where a second attempt would have succeeded.
  it('has its extra retries again one window after its start, also for services that are used later', () => {
    const restartedAt = 5 * SECOND
    const budget = createRetryBudget(OPTIONS, restartedAt)
    budget.setNodeCount(5)
    assert.equal(budget.take(restartedAt + OPTIONS.window), false)
    assert.equal(budget.take(restartedAt + OPTIONS.window + 1), true)
    assert.equal(createRetryBudget(OPTIONS, restartedAt).take(60 * SECOND), true)
  })

  // Failure guarded against: a node that has just restarted makes no retry at all, although its own requests allow some.
  it('allows the ratio of its requests right after a restart', () => {
    const budget = createRetryBudget(OPTIONS, 0)
    for (let count = 0; count < 40; count += 1) budget.request(0)
    assert.equal(budget.take(0), true)
  })
})
