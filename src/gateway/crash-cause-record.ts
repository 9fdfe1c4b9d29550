/**
 * Keeps the parts of prompts that crash upstreams in the store.
 *
 * Failure guarded against: all nodes are killed at once, and what they knew ends with them. Their successors would let the same
 * parts crash as many upstreams again.
 */
import type { Milliseconds } from '../clock.js'
import { crashEvidenceSchema } from '../crash-causes/index.js'
import { readJson } from '../json.js'
import { repeat } from '../repeat.js'
import type { CrashWatch } from './crash-causes.js'
import type { StoreContext } from './follow.js'
import { createUnusableEntries } from './unusable-entries.js'

/** The record in the store, as one node keeps it. */
export interface CrashCauseRecord {
  /** Takes the record as the store has it. */
  received (text: string): void
}

/** Options of {@link createCrashCauseRecord}. */
export interface CrashCauseRecordOptions {
  readonly context: StoreContext
  readonly crashes: Pick<CrashWatch, 'supporting' | 'observe'>
  /** Whether this node is the one that writes. Nodes with different views may both write: what they write is merged by all. */
  readonly isWriter: () => boolean
}

/** Key of the record, under the prefix that all nodes follow. */
export const CRASH_CAUSES_KEY = 'hornbeamgap/fleet/crash-causes'

/** Period at which the record is compared with what this node knows, and written if they differ. */
const WRITE_PERIOD: Milliseconds = 1_000

/** Time after which a record that names causes is written again: it may have been removed, or the store may have come back without it. */
const REWRITE_PERIOD: Milliseconds = 30_000

const NOTHING = '{}'

/** Maximum number of characters of a record in a log line. */
const MAX_LOGGED_LENGTH = 100

/**
 * Starts to keep the record, until the signal of the context aborts.
 *
 * @example
 * const record = createCrashCauseRecord({ context, crashes, isWriter })
 * record.received(entry.value)
 */
export function createCrashCauseRecord ({ context, crashes, isWriter }: CrashCauseRecordOptions): CrashCauseRecord {
  const { store, clock, log, signal } = context
  let stored = NOTHING
  let writtenAt = -Infinity
  const unusable = createUnusableEntries()

  async function write (): Promise<void> {
    const text = JSON.stringify(crashes.supporting())
    const isKept = text === stored && (text === NOTHING || clock.now() - writtenAt < REWRITE_PERIOD)
    if (isKept || !isWriter()) return
    await store.put(CRASH_CAUSES_KEY, text, { signal })
    stored = text
    writtenAt = clock.now()
  }

  repeat({ clock, log, signal }, 'crash-causes', WRITE_PERIOD, write)

  return {
    received: (text) => {
      const evidence = readJson(crashEvidenceSchema, text)
      if (evidence === undefined) {
        const value = text.slice(0, MAX_LOGGED_LENGTH)
        if (unusable.note(CRASH_CAUSES_KEY, value)) log.warn('crash-causes-unreadable', { key: CRASH_CAUSES_KEY, value })
        return
      }
      unusable.forget(CRASH_CAUSES_KEY)
      stored = text
      crashes.observe([evidence])
    }
  }
}
