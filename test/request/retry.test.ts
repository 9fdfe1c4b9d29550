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

// A bus order goes out and its connection breaks before the answer. The coach company may have the
// order. Sending it again would order a second coach, whatever the reason of the break.
test('what may have run and is not idempotent is never retried', () => {
  const cause = fc.constantFrom('failure' as const, 'leaving' as const)
  const verdict = fc.constantFrom('may-have-run' as const, 'ran' as const)
  fc.assert(fc.property(cause, verdict, fc.integer({ min: 1, max: 5 }), (cause, verdict, attempt) => {
    const decision = createRetryPolicy().afterFailure(failed({ idempotent: false, cause, verdict, attempt }), createRandom(1))
    assert.ok(decision.kind === 'give-up' && decision.reason === 'may-have-run' && decision.retryAfter > 0)
  }), { seed: 1, numRuns: 100 })
})

// All upstreams of a class begin to fail. Every request is retried and the retries keep the upstreams
// down after the cause is gone. Attempts must stay near the number of requests.
test('retries stay within a fifth of first attempts and the burst', () => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 500 }), fc.integer(), (requests, seed) => {
    const policy = createRetryPolicy({ ratio: 0.2, burst: 10, mostAttempts: 4 })
    const random = createRandom(seed)
    let attempts = 0
    for (let request = 0; request < requests; request += 1) {
      policy.firstAttempt(booking)
      for (let attempt = 1; ; attempt += 1) {
        attempts += 1
        if (policy.afterFailure(failed({ attempt }), random).kind === 'give-up') break
      }
    }
    assert.ok(attempts <= requests * 1.2 + 10 + 1e-6, `${attempts} attempts for ${requests} requests`)
  }), { seed: 1, numRuns: 100 })
})

test('a reclaim costs neither budget nor attempts, and one class does not spend for another', () => {
  const policy = createRetryPolicy({ burst: 1 })
  const random = createRandom(1)
  assert.deepEqual(policy.afterFailure(failed({ cause: 'leaving', attempt: 9 }), random), { kind: 'retry', delay: 0 })
  assert.equal(policy.afterFailure(failed({}), random).kind, 'retry')
  assert.equal(policy.afterFailure(failed({}), random).kind, 'give-up')
  assert.equal(policy.afterFailure(failed({ class: classNameSchema.parse('plan') }), random).kind, 'retry')
})

// An engine with fifty plans dies. The plans beyond the budget of retries would be lost, although other
// engines are idle: one death is not a storm of failures.
test('the death of an upstream costs attempts and no budget', () => {
  const policy = createRetryPolicy({ burst: 1 })
  const random = createRandom(1)
  assert.equal(policy.afterFailure(failed({}), random).kind, 'retry')
  for (let plan = 0; plan < 50; plan += 1) assert.equal(policy.afterFailure(failed({ cause: 'upstream-died' }), random).kind, 'retry')
  assert.equal(policy.afterFailure(failed({ cause: 'upstream-died', attempt: 4 }), random).kind, 'give-up')
  assert.equal(policy.afterFailure(failed({ cause: 'upstream-died', idempotent: false }), random).kind, 'give-up')
  assert.equal(policy.budget(booking), 0)
})
