/** Retry decisions and retry budgets. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { classNameSchema } from '../../src/identifiers.js'
import { createRandom } from '../../src/random.js'
import { createRetryPolicy } from '../../src/request/index.js'
import type { FailedAttempt } from '../../src/request/index.js'

const booking = classNameSchema.parse('booking')
const failed = (changes: Partial<FailedAttempt>): FailedAttempt =>
  ({ class: booking, idempotent: true, attempt: 1, verdict: 'may-have-run', code: 'connection-lost', cause: 'failure', ...changes })

// Guards against a non-idempotent request that runs twice. Its connection is lost before the answer, so the upstream
// may have run it, and it must not be sent again whatever ended the connection.
test('a non-idempotent request that may have run is never retried', () => {
  const cause = fc.constantFrom('failure' as const, 'leaving' as const)
  const verdict = fc.constantFrom('may-have-run' as const, 'ran' as const)
  fc.assert(fc.property(cause, verdict, fc.integer({ min: 1, max: 5 }), (cause, verdict, attempt) => {
    const decision = createRetryPolicy().afterFailure(failed({ idempotent: false, cause, verdict, attempt }), createRandom(1))
    assert.ok(decision.kind === 'give-up' && decision.reason === 'may-have-run' && decision.retryAfter > 0)
  }), { seed: 1, numRuns: 100 })
})

// Guards against a retry storm: all upstreams of a class begin to fail, and the retries keep them overloaded after
// the cause is gone. The number of attempts must stay close to the number of requests.
test('retries do not exceed a fifth of the first attempts plus the burst', () => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 500 }), fc.integer(), (requests, seed) => {
    const policy = createRetryPolicy({ ratio: 0.2, burst: 10, maxAttempts: 4 })
    const random = createRandom(seed)
    let attempts = 0
    for (let request = 0; request < requests; request += 1) {
      policy.recordFirstAttempt(booking)
      for (let attempt = 1; ; attempt += 1) {
        attempts += 1
        if (policy.afterFailure(failed({ attempt }), random).kind === 'give-up') break
      }
    }
    assert.ok(attempts <= requests * 1.2 + 10 + 1e-6, `${attempts} attempts for ${requests} requests`)
  }), { seed: 1, numRuns: 100 })
})

test('a reclaim counts neither as an attempt nor against the budget, and classes have separate budgets', () => {
  const policy = createRetryPolicy({ burst: 1 })
  const random = createRandom(1)
  assert.deepEqual(policy.afterFailure(failed({ cause: 'leaving', attempt: 9 }), random), { kind: 'retry', delay: 0 })
  assert.equal(policy.afterFailure(failed({}), random).kind, 'retry')
  assert.equal(policy.afterFailure(failed({}), random).kind, 'give-up')
  assert.equal(policy.afterFailure(failed({ class: classNameSchema.parse('plan') }), random).kind, 'retry')
})

// Guards against lost requests when an engine with many streams dies. If their retries counted against the budget,
// most streams would not be retried, although other engines are idle.
test('the death of an upstream counts as an attempt but not against the budget', () => {
  const policy = createRetryPolicy({ burst: 1 })
  const random = createRandom(1)
  assert.equal(policy.afterFailure(failed({}), random).kind, 'retry')
  for (let plan = 0; plan < 50; plan += 1) assert.equal(policy.afterFailure(failed({ cause: 'upstream-died' }), random).kind, 'retry')
  assert.equal(policy.afterFailure(failed({ cause: 'upstream-died', attempt: 4 }), random).kind, 'give-up')
  assert.equal(policy.afterFailure(failed({ cause: 'upstream-died', idempotent: false }), random).kind, 'give-up')
  assert.equal(policy.budget(booking), 0)
})
