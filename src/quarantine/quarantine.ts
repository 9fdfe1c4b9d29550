/**
 * Requests that crash the upstreams which run them, known by a fingerprint of what callers send again:
 * path, organisation and body.
 *
 * Failure guarded against: such a request comes again and again, at any node, and each time costs an
 * upstream with all that it runs. Broken runs of one fingerprint are counted over all nodes; after the
 * third the fingerprint is refused. What else was running when an upstream crashed is counted as well,
 * but a whole answer anywhere clears it, and a culprit has none.
 */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'

/** Broken runs by fingerprint, {@link ANSWERED} for one that was answered whole. */
export type BrokenRuns = Readonly<Record<string, number>>

/** Fingerprints at one node. */
export interface Quarantine {
  /** A run of it ended with a broken connection. */
  broken (fingerprint: string, now: Milliseconds): void
  /** It was answered whole. */
  answered (fingerprint: string, now: Milliseconds): void
  isRefused (fingerprint: string, now: Milliseconds): boolean
  /** What this node tells the others. */
  own (now: Milliseconds): BrokenRuns
  /** What the other nodes have told, dead ones included while they are remembered. */
  observe (others: readonly BrokenRuns[]): void
}

/** Stands for "answered whole" in place of a count. */
export const ANSWERED = -1

/** Broken runs after which a fingerprint is refused. Two may be an innocent's bad luck: reclaims come in waves. */
export const MOST_BROKEN_RUNS = 3

/** A fingerprint is forgotten after this time without news; callers that send it again do so within seconds. */
const REMEMBERED: Milliseconds = 60 * SECOND

/** Fingerprints that a node remembers; beyond it the ones longest untouched are forgotten. */
const MOST_FINGERPRINTS = 300

interface Runs {
  count: number
  at: Milliseconds
}

/**
 * @example
 * const quarantine = createQuarantine()
 * quarantine.broken(fingerprint, clock.now())
 */
export function createQuarantine (): Quarantine {
  const runs = new Map<string, Runs>()
  let told: readonly BrokenRuns[] = []

  function forget (now: Milliseconds): void {
    for (const [fingerprint, { at }] of runs) {
      if (now - at < REMEMBERED && runs.size <= MOST_FINGERPRINTS) return
      runs.delete(fingerprint)
    }
  }

  /** Puts a fingerprint at the end, so that the map is in order of the last touch. */
  function touch (fingerprint: string, count: number, now: Milliseconds): void {
    runs.delete(fingerprint)
    runs.set(fingerprint, { count, at: now })
    forget(now)
  }

  return {
    broken: (fingerprint, now) => touch(fingerprint, Math.max(0, runs.get(fingerprint)?.count ?? 0) + 1, now),
    answered: (fingerprint, now) => {
      const isKnown = runs.has(fingerprint) || told.some((other) => other[fingerprint] !== undefined)
      if (isKnown) touch(fingerprint, ANSWERED, now)
    },
    isRefused: (fingerprint, now) => {
      forget(now)
      const counts = [runs.get(fingerprint)?.count ?? 0, ...told.map((other) => other[fingerprint] ?? 0)]
      if (counts.includes(ANSWERED)) return false
      return counts.reduce((sum, count) => sum + count, 0) >= MOST_BROKEN_RUNS
    },
    own: (now) => {
      forget(now)
      return Object.fromEntries([...runs].map(([fingerprint, { count }]) => [fingerprint, count]))
    },
    observe: (others) => { told = others }
  }
}
