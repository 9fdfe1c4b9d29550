/** Merging of the events of several attempts into one answer. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { createAttemptMatcher } from '../../src/request/index.js'
import type { AttemptEffect, AttemptEvent } from '../../src/request/index.js'

const TOKENS = 6

/** More tokens than an attempt sends in any test, however often it sends them. */
const MANY = 1_000
const USAGE = { prompt_tokens: 1, completion_tokens: TOKENS, cached_tokens: 0 }
const FINISHED: AttemptEvent = { kind: 'finished', tokens: TOKENS, finish: 'stop', usage: USAGE }

/** All events of an attempt that begins at an offset. Each token contains the number of the attempt. */
function eventsOf (attempt: number, base: number): AttemptEvent[] {
  const tokens = Array.from({ length: TOKENS - base }, (_, index): AttemptEvent => ({ kind: 'token', offset: base + index, text: `${attempt}` }))
  return [...tokens, FINISHED]
}

/** Asserts that the answer consists of attempts each of which starts where the answer ended when the attempt began. */
function assertContinuous (answer: readonly string[], bases: ReadonlyMap<string, number>): void {
  answer.forEach((attempt, offset) => {
    if (offset > 0 && answer[offset - 1] === attempt) return
    assert.equal(bases.get(attempt), offset, `attempt ${attempt} continues at ${offset}: ${answer.join('')}`)
  })
}

// Guards against an answer that mixes the tokens of two attempts or is incomplete. A stream stalls, a second attempt
// begins, and then events of both arrive late, twice and out of order.
test('there is one complete answer in whatever order the events of several attempts arrive', () => {
  const step = fc.record({ action: fc.constantFrom('begin', 'deliver', 'deliver', 'deliver', 'deliver', 'again', 'fail'), choice: fc.nat(997) })
  let finished = 0
  fc.assert(fc.property(fc.array(step, { maxLength: 60, size: 'max' }), (steps) => {
    const matcher = createAttemptMatcher(0, MANY)
    const answer: string[] = []
    const bases = new Map<string, number>()
    const cancelled = new Set<number>()
    let messages: { attempt: number, event: AttemptEvent }[] = []
    let ends = 0

    function carryOut (effects: readonly AttemptEffect[]): void {
      for (const effect of effects) {
        assert.equal(ends, 0, 'an effect follows the end of the answer')
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

test('an attempt with too many early tokens is cancelled', () => {
  const matcher = createAttemptMatcher(0, MANY)
  matcher.begin(1)
  const effects = Array.from({ length: 300 }, (_, index) => matcher.handle(1, { kind: 'token', offset: index + 1, text: 'a' })).flat()
  assert.deepEqual(effects, [{ kind: 'cancel', attempt: 1 }, { kind: 'starved' }])
})

test('the first attempt that answers cancels the others at once', () => {
  const matcher = createAttemptMatcher(0, MANY)
  matcher.begin(1)
  matcher.begin(2)
  assert.deepEqual(matcher.handle(2, { kind: 'token', offset: 0, text: 'a' }), [{ kind: 'cancel', attempt: 1 }, { kind: 'append', token: { offset: 0, text: 'a' } }])
})

// Guards against a node that is killed for its memory, or works on nothing else: an upstream sends tokens without end.
test('an attempt that sends more tokens than the request allows, or the same ones again and again, is cancelled', () => {
  const ended = [{ kind: 'cancel', attempt: 1 }, { kind: 'starved' }]
  const tooMany = createAttemptMatcher(0, TOKENS)
  tooMany.begin(1)
  for (const event of eventsOf(1, 0).slice(0, TOKENS)) assert.equal(tooMany.handle(1, event)[0]?.kind, 'append')
  assert.deepEqual(tooMany.handle(1, { kind: 'token', offset: TOKENS, text: 'a' }), ended)

  const repeated = createAttemptMatcher(0, TOKENS)
  repeated.begin(1)
  const effects = Array.from({ length: 100 }, () => repeated.handle(1, { kind: 'token', offset: 0, text: 'a' })).flat()
  assert.deepEqual(effects, [{ kind: 'append', token: { offset: 0, text: 'a' } }, ...ended])

  const long = createAttemptMatcher(0, 1_000_000)
  long.begin(1)
  const texts = Array.from({ length: 40 }, (_, offset) => long.handle(1, { kind: 'token', offset, text: 'x'.repeat(1_000_000) })).flat()
  assert.equal(texts.filter(({ kind }) => kind === 'append').length, 16)
  assert.deepEqual(texts.slice(-2), ended)
})
