import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { createUsageWindows, nextStep, sumCounts, windowOf } from '../../src/usage/index.js'
import type { UsageCounts, UsageJournal } from '../../src/usage/index.js'

describe('usage windows', () => {
  it('count each request in the window that its wall time falls into', () => {
    const windows = createUsageWindows(5_000)
    windows.began('a', 4_999)
    windows.began('a', 5_000)
    windows.began('b', 5_001)
    assert.deepEqual(windows.counts(0), { a: 1 })
    assert.deepEqual(windows.counts(1), { a: 1, b: 1 })
    windows.forgetBefore(1)
    assert.deepEqual(windows.counts(0), {})
    assert.equal(windowOf(10_000, 5_000), 2)
    assert.deepEqual(sumCounts([{ a: 1 }, { a: 2, b: 1 }]), { a: 3, b: 1 })
  })
})

describe('the journal of usage reports', () => {
  // An organisation is billed twice: the holder of the duty reports a window and dies before the answer; its
  // successor counts again, finds another number, and reports that. Any holder may die after any call, and
  // a call without an answer may be carried out or not.
  it('makes all holders report one set of counts for a window, in every interleaving', () => {
    const event = fc.constantFrom('write', 'write-unanswered', 'write-lost', 'report', 'report-lost', 'acknowledge', 'time', 'die')
    fc.assert(fc.property(fc.array(event, { maxLength: 80 }), (events) => {
      const store: { journal: UsageJournal | undefined, revision: number } = { journal: undefined, revision: 0 }
      const reported = new Map<number, UsageCounts>()
      let complete = 5
      let counted = 0
      let seen = { journal: store.journal, revision: store.revision }
      for (const one of events) {
        const step = nextStep(seen.journal, complete)
        switch (one) {
          case 'time': complete += 1; break
          case 'die': seen = { ...store }; break
          case 'write':
          case 'write-unanswered':
          case 'write-lost': {
            if (step.kind !== 'decide') break
            counted += 1
            const isWritten = one !== 'write-lost' && seen.revision === store.revision
            if (isWritten) Object.assign(store, { journal: { window: step.window, counts: { a: counted }, acknowledged: false }, revision: store.revision + 1 })
            // A holder without an answer reads the journal again before anything else.
            seen = { ...store }
            break
          }
          case 'report':
          case 'report-lost': {
            if (step.kind !== 'report') break
            const before = reported.get(step.journal.window)
            assert.deepEqual(before ?? step.journal.counts, step.journal.counts)
            reported.set(step.journal.window, step.journal.counts)
            break
          }
          case 'acknowledge':
            if (step.kind !== 'report' || !reported.has(step.journal.window) || seen.revision !== store.revision) break
            Object.assign(store, { journal: { ...step.journal, acknowledged: true }, revision: store.revision + 1 })
            seen = { ...store }
        }
      }
    }), { numRuns: 500 })
  })

  it('makes up for a few windows after an outage and leaves older ones', () => {
    assert.deepEqual(nextStep({ window: 10, counts: {}, acknowledged: true }, 12), { kind: 'decide', window: 11 })
    assert.deepEqual(nextStep({ window: 10, counts: {}, acknowledged: true }, 40), { kind: 'decide', window: 36 })
    assert.deepEqual(nextStep({ window: 10, counts: {}, acknowledged: true }, 10), { kind: 'wait' })
    assert.deepEqual(nextStep(undefined, 3), { kind: 'decide', window: 3 })
  })
})
