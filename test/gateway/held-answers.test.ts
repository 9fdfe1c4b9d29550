import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import * as fc from 'fast-check'
import { createHeldAnswers } from '../../src/gateway/held-answers.js'
import type { HeldAnswer } from '../../src/gateway/held-answers.js'

const CAPACITY = 64_000_000

/** Bytes that any answer may have held. */
const MIN_HELD = 65_536

describe('the memory for answers', () => {
  // Guards against a node that is killed for its memory: many answers that don't end.
  it('is never exceeded by more than the smallest part of each answer, however they come and go', () => {
    const step = fc.record({ answer: fc.nat(30), bytes: fc.integer({ min: 1, max: 20_000_000 }), isReleased: fc.boolean() })
    fc.assert(fc.property(fc.integer({ min: 100_000, max: CAPACITY }), fc.array(step, { maxLength: 200 }), (capacity, steps) => {
      const memory = createHeldAnswers(capacity)
      const answers = new Map<number, { readonly held: HeldAnswer, bytes: number }>()
      for (const { answer, bytes, isReleased } of steps) {
        const known = answers.get(answer) ?? { held: memory.open(), bytes: 0 }
        answers.set(answer, known)
        if (isReleased) {
          known.held.release()
          known.bytes = 0
        } else if (known.held.take(bytes) === 'held') known.bytes += bytes
        const sum = [...answers.values()].reduce((total, one) => total + one.bytes, 0)
        assert.equal(memory.bytes(), sum)
        assert.ok(sum <= capacity + answers.size * MIN_HELD, `${sum} of ${capacity} bytes with ${answers.size} answers`)
      }
    }), { seed: 1 })
  })

  // Guards against sound answers that lose their second attempt: the memory is full of answers that don't end.
  it('has room for a short answer at any time, and for long ones beside a few that take all that they may', () => {
    const memory = createHeldAnswers(CAPACITY)
    for (let endless = 0; endless < 4; endless += 1) {
      const held = memory.open()
      while (held.take(MIN_HELD) === 'held') { /* as much as it may */ }
    }
    assert.equal(memory.open().take(4_000_000), 'held')
    for (let endless = 0; endless < 100; endless += 1) {
      const held = memory.open()
      while (held.take(MIN_HELD) === 'held') { /* as much as it may */ }
    }
    assert.equal(memory.open().take(MIN_HELD), 'held')
  })

  it('holds an answer of 16 MB, and none that is longer', () => {
    const held = createHeldAnswers(CAPACITY).open()
    for (let bytes = 0; bytes < 16_000_000; bytes += 50_000) assert.equal(held.take(50_000), 'held')
    assert.equal(held.take(1_000_000), 'too-long')
  })
})
