/** Usage windows, and the journal that makes usage reports repeatable. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { createUsageWindows, nextUsageStep, sumCounts, windowOf } from '../../src/usage/index.js'
import type { UsageCounts, UsageJournal } from '../../src/usage/index.js'

describe('usage windows', () => {
  it('count each request in the window of its wall time', () => {
    const windows = createUsageWindows(5_000)
    windows.recordStart('a', 4_999)
    windows.recordStart('a', 5_000)
    windows.recordStart('b', 5_001)
    assert.deepEqual(windows.counts(0), { a: 1 })
    assert.deepEqual(windows.counts(1), { a: 1, b: 1 })
    windows.discardBefore(1)
    assert.deepEqual(windows.counts(0), {})
    assert.equal(windowOf(10_000, 5_000), 2)
    assert.deepEqual(sumCounts([{ a: 1 }, { a: 2, b: 1 }]), { a: 3, b: 1 })
  })
})

/** A store with the journal. It can be restored from a backup and then reuse revisions. */
interface JournalStore {
  readonly journal: UsageJournal | undefined
  readonly revision: number
  readonly epoch: number
}

describe('the journal of usage reports', () => {
  // Guards against billing an organisation twice: the holder of the duty reports a window and dies before the
  // acknowledgement, and its successor counts again and reports another number. Any holder may die after any call, a
  // call without an answer may or may not have been executed, and the store may be restored from a backup.
  it('makes all holders report the same counts for a window, in every interleaving', () => {
    const eventArbitrary = fc.constantFrom('write', 'write-unanswered', 'write-lost', 'report', 'report-lost', 'acknowledge', 'time', 'die', 'back-up', 'restore')
    fc.assert(fc.property(fc.array(eventArbitrary, { maxLength: 80, size: 'max' }), (events) => {
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
      for (const event of events) {
        const step = nextUsageStep(seen.journal, seen.epoch, complete)
        switch (event) {
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
            if (event !== 'write-lost') write(journal)
            // A holder that got no answer, or one of another epoch, reads the journal again first.
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

  it('reports a few past windows after an outage and skips older ones', () => {
    const journal = { window: 10, counts: {}, acknowledged: true, epoch: 1 }
    assert.deepEqual(nextUsageStep(journal, 1, 12), { kind: 'decide', window: 11 })
    assert.deepEqual(nextUsageStep(journal, 1, 40), { kind: 'decide', window: 36 })
    assert.deepEqual(nextUsageStep(journal, 1, 10), { kind: 'wait' })
  })

  it('closes windows that may have been reported when it is missing or of another epoch', () => {
    assert.deepEqual(nextUsageStep(undefined, 1, 3), { kind: 'close', window: 3 })
    assert.deepEqual(nextUsageStep({ window: 10, counts: { a: 1 }, acknowledged: false, epoch: 1 }, 2, 12), { kind: 'close', window: 12 })
    assert.deepEqual(nextUsageStep({ window: 13, counts: {}, acknowledged: true, epoch: 1 }, 2, 12), { kind: 'close', window: 13 })
  })
})
