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

/** A store with the journal, which may come back from a copy and give revisions out again. */
interface JournalStore {
  readonly journal: UsageJournal | undefined
  readonly revision: number
  readonly epoch: number
}

describe('the journal of usage reports', () => {
  // An organisation is billed twice: the holder of the duty reports a window and dies before the answer; its
  // successor counts again, finds another number, and reports that. Any holder may die after any call, a call without an
  // answer may be carried out or not, and the store may come back from a copy.
  it('makes all holders report one set of counts for a window, in every interleaving', () => {
    const event = fc.constantFrom('write', 'write-unanswered', 'write-lost', 'report', 'report-lost', 'acknowledge', 'time', 'die', 'back-up', 'restore')
    fc.assert(fc.property(fc.array(event, { maxLength: 80, size: 'max' }), (events) => {
      let store: JournalStore = { journal: undefined, revision: 0, epoch: 1 }
      let backup = store
      const reported = new Map<number, UsageCounts>()
      let complete = 5
      let counted = 0
      let seen = store
      const write = (journal: UsageJournal): boolean => {
        if (seen.revision !== store.revision) return false
        store = { ...store, journal, revision: store.revision + 1 }
        return true
      }
      for (const one of events) {
        const step = nextStep(seen.journal, seen.epoch, complete)
        switch (one) {
          case 'time': complete += 1; break
          case 'back-up': backup = store; break
          case 'restore': store = { ...backup, epoch: store.epoch + 1 }; break
          case 'die': seen = store; break
          case 'write':
          case 'write-unanswered':
          case 'write-lost': {
            if (step.kind !== 'decide' && step.kind !== 'close') break
            counted += 1
            const journal = { window: step.window, counts: { a: counted }, acknowledged: step.kind === 'close', epoch: seen.epoch }
            if (one !== 'write-lost') write(journal)
            // A holder without an answer, or with one of another epoch, reads the journal again before anything else.
            seen = store
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
            if (step.kind !== 'report' || !reported.has(step.journal.window)) break
            write({ ...step.journal, acknowledged: true })
            seen = store
        }
      }
    }), { numRuns: 2_000, seed: 5 })
  })

  it('makes up for a few windows after an outage and leaves older ones', () => {
    const journal = { window: 10, counts: {}, acknowledged: true, epoch: 1 }
    assert.deepEqual(nextStep(journal, 1, 12), { kind: 'decide', window: 11 })
    assert.deepEqual(nextStep(journal, 1, 40), { kind: 'decide', window: 36 })
    assert.deepEqual(nextStep(journal, 1, 10), { kind: 'wait' })
  })

  it('closes what may have been reported where it is missing or of another epoch', () => {
    assert.deepEqual(nextStep(undefined, 1, 3), { kind: 'close', window: 3 })
    assert.deepEqual(nextStep({ window: 10, counts: { a: 1 }, acknowledged: false, epoch: 1 }, 2, 12), { kind: 'close', window: 12 })
    assert.deepEqual(nextStep({ window: 13, counts: {}, acknowledged: true, epoch: 1 }, 2, 12), { kind: 'close', window: 13 })
  })
})
