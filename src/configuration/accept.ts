/**
 * Acceptance of a change: what to write, and what a read says about a write whose reply was lost.
 *
 * One key holds the current revision. Before it is replaced, it is copied to the history, so that no
 * crash leaves a current revision whose predecessors are lost.
 */
import { configurationRevisionSchema } from './schema.js'
import type { Configuration, ConfigurationRevision } from './schema.js'
import { ServingError } from '../verdict.js'

/** A change as the operator asks for it. */
export interface ChangeRequest {
  /** Minted once for the change and sent again with every attempt. */
  readonly changeId: string
  readonly author: string
  readonly reason: string
  readonly configuration: Configuration
  /** Revision that the operator has seen and changes; 0 for none. */
  readonly base: number
}

/** The current revision as stored, with the service's revision for the compare-and-swap. */
export interface StoredRevision {
  readonly stored: ConfigurationRevision
  readonly keyRevision: number
}

/** What an attempt does, given what is stored. */
export type Proposal =
  | { kind: 'write', revision: ConfigurationRevision }
  | { kind: 'already', revision: ConfigurationRevision }
  | { kind: 'unchanged', revision: ConfigurationRevision }
  | { kind: 'conflict', current: ConfigurationRevision | undefined }

/** What a read says about a write whose outcome is unknown. */
export type Settlement =
  /** It took effect; `superseded` when another change has followed. */
  | { kind: 'accepted', superseded: boolean }
  /** Another change took its place; it can never take effect. */
  | { kind: 'lost' }
  /** The old value is still there: the write may still be on its way, only a repetition settles it. */
  | { kind: 'open' }
  /** The history does not reach back far enough to tell. */
  | { kind: 'untold' }

/** Longest stored value; the service refuses larger ones. */
export const LONGEST_VALUE = 1_000_000

/** Superseded revisions that are kept, one key each. */
export const HISTORY_KEPT = 200

/**
 * What to write for a change.
 *
 * @param wall wall time of the change, for people
 * @example
 * const proposal = propose(current, change, clock.wall())
 */
export function propose (current: StoredRevision | undefined, change: ChangeRequest, wall: number): Proposal {
  const stored = current?.stored
  if (stored?.changeId === change.changeId) return { kind: 'already', revision: stored }
  if (change.base !== (stored?.revision ?? 0)) return { kind: 'conflict', current: stored }
  if (stored !== undefined && JSON.stringify(stored.configuration) === JSON.stringify(change.configuration)) return { kind: 'unchanged', revision: stored }
  return { kind: 'write', revision: revisionFor(stored, change, wall) }
}

/**
 * Settles a write by what is stored now.
 *
 * @param written the revision whose write has an unknown outcome
 * @param current what the current key holds now
 * @param archived what the history holds at the written revision's number, if anything
 * @example
 * settle(written, current?.stored, archived)
 */
export function settle (written: ConfigurationRevision, current: ConfigurationRevision | undefined, archived: ConfigurationRevision | undefined): Settlement {
  const present = current?.revision ?? 0
  if (present < written.revision) return { kind: 'open' }
  if (present === written.revision) return current?.changeId === written.changeId ? { kind: 'accepted', superseded: false } : { kind: 'lost' }
  if (archived === undefined) return { kind: 'untold' }
  return archived.changeId === written.changeId ? { kind: 'accepted', superseded: true } : { kind: 'lost' }
}

/**
 * A stored value as a revision.
 *
 * @throws ServingError `internal` when the value is not a revision
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
 * A revision as it is stored.
 *
 * @throws ServingError `too-large` when the service would refuse it
 * @example
 * const value = formatRevision(revision)
 */
export function formatRevision (revision: ConfigurationRevision): string {
  const value = JSON.stringify(revision)
  const bytes = new TextEncoder().encode(value).length
  if (bytes <= LONGEST_VALUE) return value
  throw new ServingError(`the configuration takes ${bytes} bytes; ${LONGEST_VALUE} can be stored`, { code: 'too-large', verdict: 'not-run' })
}

function revisionFor (stored: ConfigurationRevision | undefined, change: ChangeRequest, wall: number): ConfigurationRevision {
  return {
    revision: (stored?.revision ?? 0) + 1,
    changeId: change.changeId,
    author: change.author,
    reason: change.reason,
    changedAt: wall,
    configuration: change.configuration
  }
}
