/** What a node knows of one fingerprint: its crashes, the crashes that were cleared, and its permits in force. */
import type { Milliseconds } from '../clock.js'
import type { Incarnation } from '../identifiers.js'
import type { Evidence } from './permit.js'

/** A permit in force, as stored by its owner. */
export interface Permit {
  readonly holder: Incarnation
  /** Whether the permit was granted while others were in force, because an earlier dispatch had been answered. */
  readonly proven: boolean
  /** When another dispatch first had to wait for this permit. */
  blockedSince: Milliseconds | undefined
}

/** State of one fingerprint. */
export interface FingerprintRecord {
  readonly crashes: Set<string>
  readonly cleared: Set<string>
  readonly permits: Map<string, Permit>
  /** Permits that have ended. A delayed request for one of them is not granted. */
  readonly ended: Set<string>
  /** Whether a dispatch was answered and no crash followed. Any number of dispatches may then run at once. */
  proven: boolean
  quarantinedAt: Milliseconds | undefined
}

/** Suffix of a crash name. It marks that the dispatch had produced tokens before the crash. */
const PROGRESSED_SUFFIX = '+'

/** Maximum number of names that are kept and sent. Older ones have already reached all nodes. */
const MAX_NAMES = 64

/**
 * Creates the record of a fingerprint without crashes and permits.
 *
 * @example
 * const record = createFingerprintRecord()
 */
export function createFingerprintRecord (): FingerprintRecord {
  return { crashes: new Set(), cleared: new Set(), permits: new Map(), ended: new Set(), proven: false, quarantinedAt: undefined }
}

/**
 * Name of a crash. It tells {@link countCrashesBeforeFirstToken} whether tokens had arrived before the crash.
 *
 * @example
 * crashName('entry-1-x7.0123456789abcdef#1', true)
 */
export function crashName (permit: string, progressed: boolean): string {
  return progressed ? permit + PROGRESSED_SUFFIX : permit
}

/**
 * Adds a crash.
 *
 * Failure guarded against: a harmless request runs several times on an upstream that another request crashes, and
 * this one crash counts several times against it. The crashes of permits that were granted while others were in force
 * therefore count as one.
 *
 * @param crash a {@link crashName}
 * @example
 * addCrash(record, crashName(end.permit, false))
 */
export function addCrash (record: FingerprintRecord, crash: string): void {
  if (record.cleared.has(crash) || record.crashes.has(crash)) return
  record.proven = false
  if (record.crashes.size > 0 && record.permits.get(permitOf(crash))?.proven === true) record.cleared.add(crash)
  else record.crashes.add(crash)
}

/**
 * Number of crashes of dispatches that had produced no token. A request that crashes upstreams usually does so during
 * prefill.
 *
 * @example
 * const apart = countCrashesBeforeFirstToken(record) > 0
 */
export function countCrashesBeforeFirstToken (record: FingerprintRecord): number {
  let count = 0
  for (const name of record.crashes) if (!name.endsWith(PROGRESSED_SUFFIX)) count += 1
  return count
}

/**
 * Removes crashes that the request did not cause, since it has been answered completely.
 *
 * @returns whether any of them had counted until now
 * @example
 * const anyCleared = clearCrashes(record, [...end.suspectedFor, end.permit])
 */
export function clearCrashes (record: FingerprintRecord, permits: readonly string[]): boolean {
  const before = record.crashes.size
  for (const permit of permits) {
    record.cleared.add(permit)
    record.crashes.delete(permit)
  }
  evictOldestNames(record.cleared)
  return record.crashes.size < before
}

/**
 * Evicts the oldest names beyond the maximum.
 *
 * @example
 * evictOldestNames(record.ended)
 */
export function evictOldestNames (names: Set<string>): void {
  for (const name of names) {
    if (names.size <= MAX_NAMES) return
    names.delete(name)
  }
}

/**
 * What other nodes need to know of a fingerprint.
 *
 * @example
 * notifyAllNodes(toEvidence(fingerprint, record))
 */
export function toEvidence (fingerprint: string, record: FingerprintRecord): Evidence {
  return { fingerprint, crashes: [...record.crashes].slice(0, MAX_NAMES), cleared: [...record.cleared].slice(-MAX_NAMES), quarantined: record.quarantinedAt !== undefined }
}

function permitOf (crash: string): string {
  return crash.endsWith(PROGRESSED_SUFFIX) ? crash.slice(0, -PROGRESSED_SUFFIX.length) : crash
}
