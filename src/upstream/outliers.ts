/**
 * Detects upstreams of one service that are slow, dead or partly working, and ejects them for a limited time.
 *
 * Failures guarded against:
 * - An upstream that accepts requests without making progress looks idle and would attract all new requests.
 *   Therefore an attempt that waits too long for its first token counts as a failure.
 * - Overload slows down every upstream and must not eject the healthy majority. Therefore slowness is measured
 *   relative to the other upstreams, and only a limited share of a service can be ejected at a time.
 * - One lost connection must not eject an upstream. Therefore at least two failed attempts without progress in
 *   between are required.
 */
import type { Milliseconds } from '../clock.js'
import { MINUTE, SECOND } from '../clock.js'
import type { UpstreamName } from '../identifiers.js'
import { createQuantileEstimate } from './quantile.js'
import type { QuantileEstimate } from './quantile.js'

/**
 * - `healthy`: takes attempts
 * - `suspect`: failed since the last progress; chosen after the others
 * - `ejected`: takes no attempts
 * - `probe`: may take one attempt, which decides whether the upstream is reinstated
 */
export type HealthState = 'healthy' | 'suspect' | 'ejected' | 'probe'

/** Outlier detection among the upstreams of one service. */
export interface OutlierDetector {
  /** Sets the current upstreams and discards the state of all others. */
  retainOnly (upstreams: readonly UpstreamName[]): void
  /** Records that an attempt got its first token. */
  progressed (upstream: UpstreamName): void
  /** Records the time per token of an answer, relative to the median of the service. */
  tokenTimeObserved (upstream: UpstreamName, ratio: number, now: Milliseconds): void
  /** Records that an attempt failed or has waited too long for its first token. */
  failureObserved (upstream: UpstreamName, now: Milliseconds): void
  /** Records that an attempt was dispatched. For an upstream in state `probe` this attempt is the probe. */
  sent (upstream: UpstreamName): void
  /** Records that an attempt ended without showing whether the upstream works. */
  withdrawn (upstream: UpstreamName): void
  /** Current health. Unknown upstreams are healthy. */
  health (upstream: UpstreamName, now: Milliseconds): HealthState
  /** Time per token relative to the other upstreams. 1 is usual, and the value is never lower. */
  slowness (upstream: UpstreamName): number
}

interface UpstreamRecord {
  consecutiveFailures: number
  ratio: QuantileEstimate
  ejectedUntil: Milliseconds | undefined
  ejections: number
  probing: boolean
}

/** Number of failures without progress in between after which an upstream is ejected. */
const FAILURES_TO_EJECT = 2

/** Relative time per token above which an upstream is ejected, provided that enough answers were measured. */
const SLOW_RATIO = 2.5

/** Minimum number of measured answers for an ejection because of slowness. */
const MIN_SLOW_SAMPLES = 5

/** Maximum share of a service's upstreams that is ejected at a time. */
export const MAX_EJECTED_SHARE = 0.34

/** Duration of the first ejection. It doubles with each further ejection. */
const BASE_EJECTION_TIME: Milliseconds = 3 * SECOND

/** Maximum duration of an ejection. */
const MAX_EJECTION_TIME: Milliseconds = MINUTE

/**
 * Creates a detector without upstreams.
 *
 * @example
 * const outliers = createOutlierDetector()
 * outliers.retainOnly(names)
 * outliers.failureObserved(name, now)
 * outliers.health(name, now) // 'suspect'
 */
export function createOutlierDetector (): OutlierDetector {
  const records = new Map<UpstreamName, UpstreamRecord>()

  function create (): UpstreamRecord {
    return { consecutiveFailures: 0, ratio: createQuantileEstimate(0.5, 1), ejectedUntil: undefined, ejections: 0, probing: false }
  }

  function mayEject (): boolean {
    let ejected = 0
    for (const record of records.values()) if (record.ejectedUntil !== undefined) ejected += 1
    return ejected + 1 <= records.size * MAX_EJECTED_SHARE
  }

  function eject (record: UpstreamRecord, now: Milliseconds): void {
    if (record.ejectedUntil === undefined && !mayEject()) return
    record.ejectedUntil = now + Math.min(MAX_EJECTION_TIME, BASE_EJECTION_TIME * 2 ** record.ejections)
    record.ejections += 1
    record.probing = false
  }

  function reinstate (record: UpstreamRecord): void {
    record.ejectedUntil = undefined
    record.probing = false
    record.ratio = createQuantileEstimate(0.5, 1)
  }

  function finishProbe (record: UpstreamRecord, ratio: number, now: Milliseconds): void {
    if (ratio < SLOW_RATIO) reinstate(record)
    else eject(record, now)
  }

  return {
    retainOnly: (upstreams) => {
      const present = new Set(upstreams)
      for (const name of records.keys()) if (!present.has(name)) records.delete(name)
      for (const name of upstreams) if (!records.has(name)) records.set(name, create())
    },
    progressed: (upstream) => {
      const record = records.get(upstream)
      if (record === undefined) return
      record.consecutiveFailures = 0
      if (record.probing && record.ratio.value() < SLOW_RATIO) reinstate(record)
    },
    tokenTimeObserved: (upstream, ratio, now) => {
      const record = records.get(upstream)
      if (record === undefined) return
      if (record.probing) return finishProbe(record, ratio, now)
      record.ratio.observe(ratio)
      if (record.ejectedUntil !== undefined) return
      const slow = record.ratio.value() > SLOW_RATIO && record.ratio.samples() >= MIN_SLOW_SAMPLES
      if (slow) eject(record, now)
      else if (ratio < SLOW_RATIO) record.ejections = 0
    },
    failureObserved: (upstream, now) => {
      const record = records.get(upstream)
      if (record === undefined) return
      record.consecutiveFailures += 1
      if (record.probing || (record.consecutiveFailures >= FAILURES_TO_EJECT && record.ejectedUntil === undefined)) eject(record, now)
    },
    sent: (upstream) => {
      const record = records.get(upstream)
      if (record?.ejectedUntil !== undefined) record.probing = true
    },
    withdrawn: (upstream) => {
      const record = records.get(upstream)
      if (record !== undefined) record.probing = false
    },
    health: (upstream, now) => {
      const record = records.get(upstream)
      if (record === undefined) return 'healthy'
      if (record.ejectedUntil === undefined) return record.consecutiveFailures > 0 ? 'suspect' : 'healthy'
      return now >= record.ejectedUntil && !record.probing ? 'probe' : 'ejected'
    },
    slowness: (upstream) => {
      const record = records.get(upstream)
      return record === undefined ? 1 : Math.max(1, record.ratio.value())
    }
  }
}
