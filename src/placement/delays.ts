/**
 * Recent delays of first answers by incarnation of an upstream, observed by this node or reported by others.
 *
 * Failure guarded against: an upstream is 2 to 3 times slower for several hundred milliseconds. Its load does not show this, so
 * that nodes keep sending requests to it. A request that is overdue shows it before any answer does.
 */
import type { Milliseconds } from '../clock.js'
import type { UpstreamIncarnation } from './types.js'

/** Delays that a node reports to others. */
export type ReportedDelays = Readonly<Record<UpstreamIncarnation, Milliseconds>>

/** Delays of all upstreams, as one node knows them. */
export interface UpstreamDelays {
  /**
   * A request is dispatched, and its first answer is expected at `due`.
   *
   * @returns the function to be called once when the request is answered, or has ended without an answer
   */
  begin (incarnation: UpstreamIncarnation, due: Milliseconds): (isAnswered: boolean, now: Milliseconds) => void
  /** Replaces the delays of the other live nodes by their latest reports. */
  receive (others: readonly ReportedDelays[], now: Milliseconds): void
  /** Delay that a request sent there now would probably see. */
  of (incarnation: UpstreamIncarnation, now: Milliseconds): Milliseconds
  /** The largest delays that this node observes, as reported to others. Drops those that have decayed. */
  own (now: Milliseconds): ReportedDelays
}

interface Delay {
  readonly delay: Milliseconds
  readonly at: Milliseconds
}

/** Slow periods last several hundred milliseconds. */
const HALF_LIFE: Milliseconds = 500

/** Shorter delays are within the error of the predicted time. */
const MIN_DELAY: Milliseconds = 50

/**
 * Fraction of a reported delay that counts. Reports are 0.4 to 2 s old, and larger fractions make all nodes avoid the same
 * upstreams at once: in a replay with 17 nodes and 12 engines, 72 % of the questions are in time with the whole delay, 90 % with
 * a quarter, and 93 % with a tenth or without reported delays.
 */
const REPORTED_WEIGHT = 0.1

/** Bounds the size of a report. */
const MAX_REPORTED_DELAYS = 16

/**
 * Creates delays without observations.
 *
 * @example
 * const delays = createUpstreamDelays()
 * const finished = delays.begin(upstream.incarnation, clock.now() + 90)
 * finished(true, clock.now())
 */
export function createUpstreamDelays (): UpstreamDelays {
  const observed = new Map<UpstreamIncarnation, Delay>()
  /** Due times of the unanswered requests of this node. */
  const dueTimes = new Map<UpstreamIncarnation, Set<{ readonly due: Milliseconds }>>()
  let reports = new Map<ReportedDelays, Milliseconds>()
  let reported = new Map<UpstreamIncarnation, Delay>()

  function ownDelay (incarnation: UpstreamIncarnation, now: Milliseconds): Milliseconds {
    let delay = decayed(observed.get(incarnation), now)
    for (const { due } of dueTimes.get(incarnation) ?? []) delay = Math.max(delay, now - due)
    return delay
  }

  return {
    begin: (incarnation, due) => {
      const request = { due }
      const unanswered = dueTimes.get(incarnation) ?? new Set()
      unanswered.add(request)
      dueTimes.set(incarnation, unanswered)
      return (isAnswered, now) => {
        if (!unanswered.delete(request)) return
        if (unanswered.size === 0 && dueTimes.get(incarnation) === unanswered) dueTimes.delete(incarnation)
        // The delay shows the state of the upstream at the time when the answer was due, not at the time when it came.
        const delay: Delay = { delay: now - due, at: due }
        if (isAnswered && decayed(delay, now) > decayed(observed.get(incarnation), now)) observed.set(incarnation, delay)
      }
    },
    receive: (others, now) => {
      // Delays of a known report decay with time. Only a new report restarts its time.
      reports = new Map(others.map((report) => [report, reports.get(report) ?? now]))
      reported = new Map()
      for (const [report, at] of reports) {
        for (const [name, value] of Object.entries(report)) {
          const incarnation = name as UpstreamIncarnation
          const delay: Delay = { delay: value * REPORTED_WEIGHT, at }
          if (decayed(delay, now) > decayed(reported.get(incarnation), now)) reported.set(incarnation, delay)
        }
      }
    },
    of: (incarnation, now) => {
      const delay = Math.max(ownDelay(incarnation, now), decayed(reported.get(incarnation), now))
      return delay < MIN_DELAY ? 0 : delay
    },
    own: (now) => {
      for (const [incarnation, delay] of observed) if (decayed(delay, now) < 1) observed.delete(incarnation)
      const delays = [...new Set([...observed.keys(), ...dueTimes.keys()])].map((incarnation) => [incarnation, Math.round(ownDelay(incarnation, now))] as const)
      return largestDelays(delays.filter(([, delay]) => delay >= MIN_DELAY))
    }
  }
}

/**
 * Merges the delays that several nodes report: the largest of each incarnation, and the largest of these.
 *
 * @example
 * mergeDelays([own, ...others])
 */
export function mergeDelays (reports: readonly ReportedDelays[]): Record<UpstreamIncarnation, Milliseconds> {
  const merged = new Map<UpstreamIncarnation, Milliseconds>()
  for (const report of reports) {
    for (const [name, delay] of Object.entries(report)) {
      const incarnation = name as UpstreamIncarnation
      merged.set(incarnation, Math.max(delay, merged.get(incarnation) ?? 0))
    }
  }
  return largestDelays([...merged])
}

/** Equal delays are ordered by incarnation, so that merged reports are the same for any grouping of the nodes. */
function largestDelays (delays: readonly (readonly [UpstreamIncarnation, Milliseconds])[]): Record<UpstreamIncarnation, Milliseconds> {
  if (delays.length <= MAX_REPORTED_DELAYS) return Object.fromEntries(delays)
  return Object.fromEntries([...delays].sort(([leftName, left], [rightName, right]) => right - left || (leftName < rightName ? -1 : 1)).slice(0, MAX_REPORTED_DELAYS))
}

function decayed (delay: Delay | undefined, now: Milliseconds): Milliseconds {
  return delay === undefined ? 0 : delay.delay * 0.5 ** ((now - delay.at) / HALF_LIFE)
}
