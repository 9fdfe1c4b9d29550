/**
 * Acceptance of a configuration change: what to write, and how to settle a write whose reply was lost.
 *
 * One key holds the current revision. The current revision is copied to the history before it is replaced, so that a
 * crash cannot leave a current revision without its predecessors.
 */
import { configurationRevisionSchema } from './schema.js'
import type { Configuration, ConfigurationRevision } from './schema.js'
import { ServingError } from '../verdict.js'

/** A change requested by an operator. */
export interface ChangeRequest {
  /** Unique per change, and sent again with every attempt to apply it. */
  readonly changeId: string
  readonly author: string
  readonly reason: string
  readonly configuration: Configuration
  /** Number of the revision on which the operator has based the change. 0 if there was none. */
  readonly base: number
}

/** The current revision, and the revision of its key in the store for the compare-and-swap. */
export interface StoredRevision {
  readonly stored: ConfigurationRevision
  readonly keyRevision: number
}

/** What an attempt to apply a change has to do. */
export type Proposal =
  | { kind: 'write', revision: ConfigurationRevision }
  | { kind: 'already', revision: ConfigurationRevision }
  | { kind: 'unchanged', revision: ConfigurationRevision }
  | { kind: 'conflict', current: ConfigurationRevision | undefined }

/** What became of a write whose outcome was unknown, according to a later read. */
export type Settlement =
  /** The write took effect. `superseded` says whether another change has followed. */
  | { kind: 'accepted', superseded: boolean }
  /** Another change was accepted instead. The write can no longer take effect. */
  | { kind: 'lost' }
  /** The old value is still stored. The write may still be in transit, so only a repeated write settles it. */
  | { kind: 'open' }
  /** The history does not go back far enough to decide. */
  | { kind: 'untold' }

/** Maximum size of a stored revision in bytes. The key-value store refuses larger values. */
export const MAX_VALUE_BYTES = 1_000_000

/** Number of superseded revisions kept in the history, each under its own key. */
export const MAX_HISTORY_REVISIONS = 200

/**
 * Decides what to write for a change.
 *
 * @param wallTime wall time of the change, shown to people
 * @example
 * const proposal = proposeRevision(current, change, clock.wall())
 */
export function proposeRevision (current: StoredRevision | undefined, change: ChangeRequest, wallTime: number): Proposal {
  const stored = current?.stored
  if (stored?.changeId === change.changeId) return { kind: 'already', revision: stored }
  if (change.base !== (stored?.revision ?? 0)) return { kind: 'conflict', current: stored }
  if (stored !== undefined && JSON.stringify(stored.configuration) === JSON.stringify(change.configuration)) return { kind: 'unchanged', revision: stored }
  return { kind: 'write', revision: revisionFor(stored, change, wallTime) }
}

/**
 * Settles a write of unknown outcome from what is stored now.
 *
 * @param written the revision whose write has an unknown outcome
 * @param current the revision that is stored as current
 * @param archived the revision in the history with the number of the written one, if there is one
 * @example
 * settleWrite(written, current?.stored, archived)
 */
export function settleWrite (written: ConfigurationRevision, current: ConfigurationRevision | undefined, archived: ConfigurationRevision | undefined): Settlement {
  const currentNumber = current?.revision ?? 0
  if (currentNumber < written.revision) return { kind: 'open' }
  if (currentNumber === written.revision) return current?.changeId === written.changeId ? { kind: 'accepted', superseded: false } : { kind: 'lost' }
  if (archived === undefined) return { kind: 'untold' }
  return archived.changeId === written.changeId ? { kind: 'accepted', superseded: true } : { kind: 'lost' }
}

/**
 * Parses a stored revision.
 *
 * @throws ServingError `internal` if the value is not a valid revision
 * @example
 * parseRevision(entry.value).revision
 */
export function parseRevision (value: string): ConfigurationRevision {
  try {
    return configurationRevisionSchema.parse(JSON.parse(value))
  } catch (cause) {
    throw new ServingError('the stored configuration cannot be read', { code: 'internal', verdict: 'not-run', cause })
  }
}

/**
 * Formats a revision for the store.
 *
 * @throws ServingError `too-large` if the result exceeds the maximum size of a stored revision
 * @example
 * const value = formatRevision(revision)
 */
export function formatRevision (revision: ConfigurationRevision): string {
  const value = JSON.stringify(revision)
  const bytes = new TextEncoder().encode(value).length
  if (bytes <= MAX_VALUE_BYTES) return value
  throw new ServingError(`the configuration takes ${bytes} bytes; ${MAX_VALUE_BYTES} can be stored`, { code: 'too-large', verdict: 'not-run' })
}

function revisionFor (stored: ConfigurationRevision | undefined, change: ChangeRequest, wallTime: number): ConfigurationRevision {
  return {
    revision: (stored?.revision ?? 0) + 1,
    changeId: change.changeId,
    author: change.author,
    reason: change.reason,
    changedAt: wallTime,
    configuration: change.configuration
  }
}
