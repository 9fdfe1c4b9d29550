/**
 * Finds the upstreams of one service that are slow, dead or half dead, and takes them out for a while.
 *
 * Failures guarded against: an upstream that accepts requests and makes no progress looks idle and
 * would attract all new work; overload that slows every upstream must not eject the healthy
 * majority; one lost connection must not eject an upstream. So evidence comes from at least two
 * attempts with no progress in between, slowness is relative to the other upstreams, and only a part
 * of a service can be out at a time.
 */
import type { Milliseconds } from '../clock.js'
import { MINUTE, SECOND } from '../clock.js'
import type { UpstreamName } from '../identifiers.js'
import { createQuantileEstimate } from './quantile.js'
import type { QuantileEstimate } from './quantile.js'

/**
 * - `healthy`: takes work
 * - `suspect`: one sign of failure; chosen after the others
 * - `ejected`: takes no work
 * - `probe`: may take one attempt, which decides
 */
export type UpstreamHealth = 'healthy' | 'suspect' | 'ejected' | 'probe'

/** Outlier detection among the upstreams of one service. */
export interface OutlierDetector {
  /** The upstreams there are now; others are forgotten. */
  keep (upstreams: readonly UpstreamName[]): void
  /** An attempt got its first token. */
  progressed (upstream: UpstreamName): void
  /** Time per token of an answer, relative to the service's median. */
  measured (upstream: UpstreamName, ratio: number, now: Milliseconds): void
  /** An attempt failed there, or has waited far too long for its first token. */
  struck (upstream: UpstreamName, now: Milliseconds): void
  /** An attempt was sent: to an upstream in `probe` it is the probe. */
  sent (upstream: UpstreamName): void
  /** An attempt ended without any evidence. */
  withdrawn (upstream: UpstreamName): void
  health (upstream: UpstreamName, now: Milliseconds): UpstreamHealth
  /** Time per token relative to the others, 1 for usual. */
  slowness (upstream: UpstreamName): number
}

interface Record {
  strikes: number
  ratio: QuantileEstimate
  ejectedUntil: Milliseconds | undefined
  ejections: number
  probing: boolean
}

/** Signs of failure, without progress in between, that eject. */
const STRIKES = 2

/** Relative time per token that ejects, once it was measured often enough. */
const SLOW_RATIO = 2.5
const SLOW_SAMPLES = 5

/** Largest share of a service's upstreams that is out at a time. */
export const LARGEST_EJECTED_SHARE = 0.34

const FIRST_EJECTION: Milliseconds = 3 * SECOND
const LONGEST_EJECTION: Milliseconds = MINUTE

/**
 * @example
 * const outliers = createOutlierDetector()
 * outliers.keep(names)
 * outliers.struck(name, now)
 * outliers.health(name, now) // 'suspect'
 */
export function createOutlierDetector (): OutlierDetector {
  const records = new Map<UpstreamName, Record>()

  function create (): Record {
    return { strikes: 0, ratio: createQuantileEstimate(0.5, 1), ejectedUntil: undefined, ejections: 0, probing: false }
  }

  function mayEject (): boolean {
    let out = 0
    for (const record of records.values()) if (record.ejectedUntil !== undefined) out += 1
    return out + 1 <= records.size * LARGEST_EJECTED_SHARE
  }

  function eject (record: Record, now: Milliseconds): void {
    if (record.ejectedUntil === undefined && !mayEject()) return
    record.ejectedUntil = now + Math.min(LONGEST_EJECTION, FIRST_EJECTION * 2 ** record.ejections)
    record.ejections += 1
    record.probing = false
  }

  function reinstate (record: Record): void {
    record.ejectedUntil = undefined
    record.probing = false
    record.ratio = createQuantileEstimate(0.5, 1)
  }

  function finishProbe (record: Record, ratio: number, now: Milliseconds): void {
    if (ratio < SLOW_RATIO) reinstate(record)
    else eject(record, now)
  }

  return {
    keep: (upstreams) => {
      const present = new Set(upstreams)
      for (const name of records.keys()) if (!present.has(name)) records.delete(name)
      for (const name of upstreams) if (!records.has(name)) records.set(name, create())
    },
    progressed: (upstream) => {
      const record = records.get(upstream)
      if (record === undefined) return
      record.strikes = 0
      if (record.probing && record.ratio.value() < SLOW_RATIO) reinstate(record)
    },
    measured: (upstream, ratio, now) => {
      const record = records.get(upstream)
      if (record === undefined) return
      if (record.probing) return finishProbe(record, ratio, now)
      record.ratio.observe(ratio)
      if (record.ejectedUntil !== undefined) return
      const slow = record.ratio.value() > SLOW_RATIO && record.ratio.samples() >= SLOW_SAMPLES
      if (slow) eject(record, now)
      else if (ratio < SLOW_RATIO) record.ejections = 0
    },
    struck: (upstream, now) => {
      const record = records.get(upstream)
      if (record === undefined) return
      record.strikes += 1
      if (record.probing || (record.strikes >= STRIKES && record.ejectedUntil === undefined)) eject(record, now)
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
      if (record.ejectedUntil === undefined) return record.strikes > 0 ? 'suspect' : 'healthy'
      return now >= record.ejectedUntil && !record.probing ? 'probe' : 'ejected'
    },
    slowness: (upstream) => {
      const record = records.get(upstream)
      return record === undefined ? 1 : Math.max(1, record.ratio.value())
    }
  }
}
