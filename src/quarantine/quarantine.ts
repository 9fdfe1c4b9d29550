/**
 * Quarantine of requests that crash upstreams. A request is identified by a fingerprint of the data that a caller
 * repeats when it retries: path, organisation and body.
 *
 * Failure guarded against: a caller retries such a request at any node, and each attempt crashes an upstream together
 * with all requests that run there. Attempts that end with a broken connection are counted by fingerprint over all
 * nodes. After the third the fingerprint is refused. Requests that merely ran at a crashed upstream are counted as
 * well, but one complete answer at any node clears them. A request that crashes upstreams never gets one.
 */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'

/** Number of broken runs by fingerprint, or {@link ANSWERED} after a complete answer. Exchanged between nodes. */
export type BrokenRuns = Readonly<Record<string, number>>

/** The fingerprints that one node knows. */
export interface Quarantine {
  /** Records that an attempt ended with a broken connection. */
  broken (fingerprint: string, now: Milliseconds): void
  /** Records a complete answer. */
  answered (fingerprint: string, now: Milliseconds): void
  /** Whether requests with the fingerprint are refused. */
  isRefused (fingerprint: string, now: Milliseconds): boolean
  /** Number of broken runs of the fingerprint that are known, at all nodes; 0 after a complete answer. */
  brokenRuns (fingerprint: string): number
  /** Counts of this node, to be reported to other nodes. */
  own (now: Milliseconds): BrokenRuns
  /** Replaces the counts that other nodes have reported, including dead nodes whose reports are still kept. */
  observe (others: readonly BrokenRuns[]): void
}

/** Value in place of a count for a fingerprint with a complete answer. */
export const ANSWERED = -1

/**
 * Number of broken runs after which a fingerprint is refused. Reclaims come in waves, so a harmless request may have
 * two broken runs.
 */
export const MAX_BROKEN_RUNS = 3

/** Time after the last change for which a fingerprint is kept. Callers that retry do so within seconds. */
const RETENTION: Milliseconds = 60 * SECOND

/** Maximum number of fingerprints kept. The least recently updated ones are evicted beyond it. */
const MAX_FINGERPRINTS = 300

/** Broken runs of one fingerprint and the time of the last update. */
interface RunCount {
  count: number
  at: Milliseconds
}

/**
 * Creates an empty quarantine.
 *
 * @example
 * const quarantine = createQuarantine()
 * quarantine.broken(fingerprint, clock.now())
 */
export function createQuarantine (): Quarantine {
  const runs = new Map<string, RunCount>()
  let reported: readonly BrokenRuns[] = []

  function evictExpired (now: Milliseconds): void {
    for (const [fingerprint, { at }] of runs) {
      if (now - at < RETENTION && runs.size <= MAX_FINGERPRINTS) return
      runs.delete(fingerprint)
    }
  }

  /** Sets a count and moves the fingerprint to the end of the map, which is ordered by the last update. */
  function touch (fingerprint: string, count: number, now: Milliseconds): void {
    runs.delete(fingerprint)
    runs.set(fingerprint, { count, at: now })
    evictExpired(now)
  }

  function brokenRuns (fingerprint: string): number {
    const counts = [runs.get(fingerprint)?.count ?? 0, ...reported.map((other) => other[fingerprint] ?? 0)]
    return counts.includes(ANSWERED) ? 0 : counts.reduce((sum, count) => sum + count, 0)
  }

  return {
    broken: (fingerprint, now) => touch(fingerprint, Math.max(0, runs.get(fingerprint)?.count ?? 0) + 1, now),
    answered: (fingerprint, now) => {
      const isKnown = runs.has(fingerprint) || reported.some((other) => other[fingerprint] !== undefined)
      if (isKnown) touch(fingerprint, ANSWERED, now)
    },
    isRefused: (fingerprint, now) => {
      evictExpired(now)
      return brokenRuns(fingerprint) >= MAX_BROKEN_RUNS
    },
    brokenRuns,
    own: (now) => {
      evictExpired(now)
      return Object.fromEntries([...runs].map(([fingerprint, { count }]) => [fingerprint, count]))
    },
    observe: (others) => { reported = others }
  }
}
