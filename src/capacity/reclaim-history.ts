/**
 * Reclaim rates of the failure domains, learnt from reclaims. Observations decay, so that old reclaim waves are
 * forgotten and an avoided domain is used again. Times are wall times, because a planner on another instance
 * continues from the stored values.
 */
import * as z from 'zod'
import { HOUR, MINUTE } from '../clock.js'
import type { Milliseconds } from '../clock.js'
import { failureDomainSchema } from '../identifiers.js'
import type { FailureDomain } from '../identifiers.js'

/** Exponentially decayed sums of one failure domain. */
const domainHistorySchema = z.object({
  failureDomain: failureDomainSchema,
  /** Running hours of reclaimable instances. */
  instanceHours: z.number().nonnegative(),
  /** Number of reclaimed instances. */
  reclaims: z.number().nonnegative(),
  /** Hours in which the domain had reclaimable instances. */
  hours: z.number().nonnegative(),
  /** Number of reclaim waves. Reclaims shortly after one another count as one wave. */
  waves: z.number().nonnegative(),
  /** Wall time of the most recent reclaim. Undefined if there was none. */
  lastReclaim: z.number().optional()
})
type DomainHistory = z.infer<typeof domainHistorySchema>

/** Reclaim history of all failure domains. */
export const reclaimHistorySchema = z.object({
  at: z.number(),
  domains: z.array(domainHistorySchema)
})
export type ReclaimHistory = z.infer<typeof reclaimHistorySchema>

/** Observation of a failure domain since the previous observation. */
export interface DomainObservation {
  readonly failureDomain: FailureDomain
  /** Number of running reclaimable instances. */
  readonly reclaimable: number
  /** Number of instances reclaimed since then. */
  readonly reclaimed: number
}

/** Expected reclaim rate of a failure domain. */
export interface ReclaimRate {
  /** Reclaims per hour of one reclaimable instance. */
  readonly perInstanceHour: number
  /** Reclaim waves per hour in the domain. */
  readonly wavesPerHour: number
}

/** Time after which an observation has half its weight. */
const HALF_LIFE: Milliseconds = 24 * HOUR

/** Maximum time between two reclaims of one wave. */
const MAX_WAVE_GAP: Milliseconds = 5 * MINUTE

/** Prior estimate: one reclaim wave a day, weighted like six hours of observation. */
const PRIOR_RECLAIMS_PER_HOUR = 1 / 24
const PRIOR_HOURS = 6

/**
 * Creates a history without observations.
 *
 * @example
 * const history = emptyReclaimHistory(clock.wall())
 */
export function emptyReclaimHistory (now: Milliseconds): ReclaimHistory {
  return { at: now, domains: [] }
}

/**
 * Adds observations to the history. Earlier ones lose weight with the elapsed time.
 *
 * @example
 * const next = observeReclaims(history, now, [{ failureDomain, reclaimable: 4, reclaimed: 0 }])
 */
export function observeReclaims (history: ReclaimHistory, now: Milliseconds, observations: readonly DomainObservation[]): ReclaimHistory {
  const elapsed = Math.max(0, now - history.at)
  const decay = 0.5 ** (elapsed / HALF_LIFE)
  const known = new Map(history.domains.map((domain) => [domain.failureDomain, decayed(domain, decay)]))
  for (const observation of observations) {
    const domain = known.get(observation.failureDomain) ?? emptyDomain(observation.failureDomain)
    known.set(observation.failureDomain, withObservation(domain, observation, elapsed / HOUR, now))
  }
  return { at: now, domains: [...known.values()] }
}

/**
 * Expected reclaim rate of a domain, blended from its history and the prior estimate.
 *
 * @example
 * reclaimRate(history, failureDomain).perInstanceHour // 0.04 without observations
 */
export function reclaimRate (history: ReclaimHistory, failureDomain: FailureDomain): ReclaimRate {
  const domain = history.domains.find((candidate) => candidate.failureDomain === failureDomain) ?? emptyDomain(failureDomain)
  const prior = PRIOR_RECLAIMS_PER_HOUR * PRIOR_HOURS
  return {
    perInstanceHour: (domain.reclaims + prior) / (domain.instanceHours + PRIOR_HOURS),
    wavesPerHour: (domain.waves + prior) / (domain.hours + PRIOR_HOURS)
  }
}

function emptyDomain (failureDomain: FailureDomain): DomainHistory {
  return { failureDomain, instanceHours: 0, reclaims: 0, hours: 0, waves: 0 }
}

function decayed (domain: DomainHistory, decay: number): DomainHistory {
  return {
    ...domain,
    instanceHours: domain.instanceHours * decay,
    reclaims: domain.reclaims * decay,
    hours: domain.hours * decay,
    waves: domain.waves * decay
  }
}

function withObservation (domain: DomainHistory, observation: DomainObservation, hours: number, now: Milliseconds): DomainHistory {
  const used = observation.reclaimable > 0 || observation.reclaimed > 0
  const next = {
    ...domain,
    instanceHours: domain.instanceHours + observation.reclaimable * hours,
    hours: domain.hours + (used ? hours : 0),
    reclaims: domain.reclaims + observation.reclaimed
  }
  if (observation.reclaimed === 0) return next
  const sameWave = domain.lastReclaim !== undefined && now - domain.lastReclaim < MAX_WAVE_GAP
  return { ...next, lastReclaim: now, waves: domain.waves + (sameWave ? 0 : 1) }
}
