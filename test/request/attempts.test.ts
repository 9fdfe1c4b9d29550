import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { createAttemptMatcher } from '../../src/request/index.js'
import type { AttemptEffect, AttemptEvent } from '../../src/request/index.js'

const TOKENS = 6
const USAGE = { prompt_tokens: 1, completion_tokens: TOKENS, cached_tokens: 0 }
const FINISHED: AttemptEvent = { kind: 'finished', tokens: TOKENS, finish: 'stop', usage: USAGE }

/** Everything that a healthy attempt sends when it begins at an offset: its words are its own. */
function eventsOf (attempt: number, base: number): AttemptEvent[] {
  const tokens = Array.from({ length: TOKENS - base }, (_, index): AttemptEvent => ({ kind: 'token', offset: base + index, text: `${attempt}` }))
  return [...tokens, FINISHED]
}

/**
 * Each attempt's words, in order, from where it began: what an answer is made of when each of its
 * attempts continued the one before.
 */
function assertContinuous (answer: readonly string[], bases: ReadonlyMap<string, number>): void {
  answer.forEach((attempt, offset) => {
    if (offset > 0 && answer[offset - 1] === attempt) return
    assert.equal(bases.get(attempt), offset, `attempt ${attempt} joins at ${offset}: ${answer.join('')}`)
  })
}

// A stream goes silent, a second attempt begins, and then both answer: late, twice and out of order.
// The caller must read one whole answer, not words of both in turn, and not a fragment.
test('however the pieces of several attempts arrive, there is one whole answer', () => {
  const step = fc.record({ action: fc.constantFrom('begin', 'deliver', 'deliver', 'deliver', 'deliver', 'again', 'fail'), choice: fc.nat(997) })
  let finished = 0
  fc.assert(fc.property(fc.array(step, { maxLength: 60, size: 'max' }), (steps) => {
    const matcher = createAttemptMatcher(0)
    const answer: string[] = []
    const bases = new Map<string, number>()
    const cancelled = new Set<number>()
    let messages: { attempt: number, event: AttemptEvent }[] = []
    let ends = 0

    function carryOut (effects: readonly AttemptEffect[]): void {
      for (const effect of effects) {
        assert.equal(ends, 0, 'nothing follows the final mark')
        switch (effect.kind) {
          case 'append':
            assert.equal(effect.token.offset, answer.length)
            answer.push(effect.token.text)
            break
          case 'finish':
            assert.equal(answer.length, TOKENS)
            ends += 1
            break
          case 'cancel': cancelled.add(effect.attempt); break
          case 'starved': break
        }
      }
    }

    for (const { action, choice } of steps) {
      const message = messages[choice % Math.max(1, messages.length)]
      if (action === 'begin' && ends === 0 && bases.size < 4) {
        const attempt = bases.size + 1
        bases.set(`${attempt}`, answer.length)
        matcher.begin(attempt)
        messages.push(...eventsOf(attempt, answer.length).map((event) => ({ attempt, event })))
      } else if (action === 'fail' && message !== undefined) {
        messages = messages.filter((other) => other.attempt !== message.attempt)
        carryOut(ends > 0 ? [] : matcher.handle(message.attempt, { kind: 'failed' }))
      } else if (message !== undefined) {
        if (action === 'deliver') messages = messages.filter((other) => other !== message)
        const effects = matcher.handle(message.attempt, message.event)
        if (cancelled.has(message.attempt)) assert.deepEqual(effects, [])
        carryOut(effects)
      }
      assertContinuous(answer, bases)
    }
    if (ends === 0) {
      const last = bases.size + 1
      bases.set(`${last}`, answer.length)
      matcher.begin(last)
      for (const event of eventsOf(last, answer.length)) carryOut(ends > 0 ? [] : matcher.handle(last, event))
    }
    assert.equal(ends, 1)
    assertContinuous(answer, bases)
    finished += 1
  }), { seed: 1, numRuns: 3_000 })
  console.log(`# attempts: ${finished} interleavings`)
})

test('an attempt whose pieces leave a gap too wide is cancelled', () => {
  const matcher = createAttemptMatcher(0)
  matcher.begin(1)
  const effects = Array.from({ length: 300 }, (_, index) => matcher.handle(1, { kind: 'token', offset: index + 1, text: 'a' })).flat()
  assert.deepEqual(effects, [{ kind: 'cancel', attempt: 1 }, { kind: 'starved' }])
})

test('the first attempt to answer has the others cancelled at once', () => {
  const matcher = createAttemptMatcher(0)
  matcher.begin(1)
  matcher.begin(2)
  assert.deepEqual(matcher.handle(2, { kind: 'token', offset: 0, text: 'a' }), [{ kind: 'cancel', attempt: 1 }, { kind: 'append', token: { offset: 0, text: 'a' } }])
})
