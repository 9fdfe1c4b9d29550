/** What a node knows of one fingerprint: its crashes, what explained them, and its permits in force. */
import type { Milliseconds } from '../clock.js'
import type { Incarnation } from '../identifiers.js'
import type { Evidence } from './permit.js'

/** A permit in force, as its owner keeps it. */
export interface Permit {
  readonly holder: Incarnation
  /** Granted beside others, since an earlier dispatch had been answered. */
  readonly proven: boolean
  /** When another dispatch first had to wait for it. */
  blockedSince: Milliseconds | undefined
}

/** State of one fingerprint. */
export interface FingerprintRecord {
  readonly crashes: Set<string>
  readonly cleared: Set<string>
  readonly permits: Map<string, Permit>
  /** Permits that ended: a request for one of them that arrives late grants nothing. */
  readonly ended: Set<string>
  /** A dispatch was answered and nothing crashed since: any number may run at once. */
  proven: boolean
  quarantinedAt: Milliseconds | undefined
}

/** Ends the name of a crash before which the dispatch had given tokens. */
const PROGRESSED = '+'

/** Names that travel and are remembered; what is older has been heard of everywhere. */
const MOST_NAMES = 64

/** @example const record = createFingerprintRecord() */
export function createFingerprintRecord (): FingerprintRecord {
  return { crashes: new Set(), cleared: new Set(), permits: new Map(), ended: new Set(), proven: false, quarantinedAt: undefined }
}

/**
 * Name of a crash, from which {@link silentCrashes} tells whether tokens had come before it.
 *
 * @example
 * crashName('entry-1-x7.0123456789abcdef#1', true)
 */
export function crashName (permit: string, progressed: boolean): string {
  return progressed ? permit + PROGRESSED : permit
}

/**
 * Counts a crash.
 *
 * Failure guarded against: a harmless question runs several times on an upstream that something else
 * crashes, and the one crash counts against it once for each. Permits granted beside others count
 * together as one crash.
 *
 * @param crash a {@link crashName}
 * @example
 * addCrash(record, crashName(end.permit, false))
 */
export function addCrash (record: FingerprintRecord, crash: string): void {
  if (record.cleared.has(crash) || record.crashes.has(crash)) return
  record.proven = false
  if (record.crashes.size > 0 && record.permits.get(plainName(crash))?.proven === true) record.cleared.add(crash)
  else record.crashes.add(crash)
}

/**
 * Counts crashes of dispatches that had given no token: what crashes upstreams does so when its prompt is computed.
 *
 * @example
 * const apart = silentCrashes(record) > 0
 */
export function silentCrashes (record: FingerprintRecord): number {
  let count = 0
  for (const name of record.crashes) if (!name.endsWith(PROGRESSED)) count += 1
  return count
}

/**
 * Takes crashes out that an answer explained.
 *
 * @returns whether any of them was news
 * @example
 * const news = clearCrashes(record, [...end.suspectedFor, end.permit])
 */
export function clearCrashes (record: FingerprintRecord, permits: readonly string[]): boolean {
  const before = record.crashes.size
  for (const permit of permits) {
    record.cleared.add(permit)
    record.crashes.delete(permit)
  }
  trimNames(record.cleared)
  return record.crashes.size < before
}

/**
 * Forgets the oldest names beyond the bound.
 *
 * @example
 * trimNames(record.ended)
 */
export function trimNames (names: Set<string>): void {
  for (const name of names) {
    if (names.size <= MOST_NAMES) return
    names.delete(name)
  }
}

/**
 * What other nodes must know of a fingerprint.
 *
 * @example
 * spread(toEvidence(fingerprint, record))
 */
export function toEvidence (fingerprint: string, record: FingerprintRecord): Evidence {
  return { fingerprint, crashes: [...record.crashes].slice(0, MOST_NAMES), cleared: [...record.cleared].slice(-MOST_NAMES), quarantined: record.quarantinedAt !== undefined }
}

function plainName (crash: string): string {
  return crash.endsWith(PROGRESSED) ? crash.slice(0, -PROGRESSED.length) : crash
}
