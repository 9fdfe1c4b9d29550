/**
 * How often each failure domain takes instances back, learnt from reclaims with decay, so that an
 * old storm is forgotten and a domain that was left is tried again. Times are wall times, since a
 * successor on another instance goes on from what is kept here.
 */
import * as z from 'zod'
import { HOUR, MINUTE } from '../clock.js'
import type { Milliseconds } from '../clock.js'
import { failureDomainSchema } from '../identifiers.js'
import type { FailureDomain } from '../identifiers.js'

/** Decayed sums of one failure domain. */
const domainHistorySchema = z.object({
  failureDomain: failureDomainSchema,
  /** Hours of reclaimable instances. */
  instanceHours: z.number().nonnegative(),
  /** Instances taken back. */
  reclaims: z.number().nonnegative(),
  /** Hours in which the domain was used. */
  hours: z.number().nonnegative(),
  /** Waves: reclaims that came close together count as one. */
  waves: z.number().nonnegative(),
  /** Wall time of the last wave's last reclaim; undefined when none is remembered. */
  lastReclaim: z.number().optional()
})
type DomainHistory = z.infer<typeof domainHistorySchema>

/** Reclaims of all domains. */
export const reclaimHistorySchema = z.object({
  at: z.number(),
  domains: z.array(domainHistorySchema)
})
export type ReclaimHistory = z.infer<typeof reclaimHistorySchema>

/** What happened in a failure domain since the last observation. */
export interface DomainObservation {
  readonly failureDomain: FailureDomain
  /** Reclaimable instances that ran. */
  readonly reclaimable: number
  /** Instances that were taken back. */
  readonly reclaimed: number
}

/** Expected reclaims of a domain. */
export interface ReclaimRate {
  /** Reclaims of one reclaimable instance an hour. */
  readonly perInstanceHour: number
  /** Waves of the domain an hour. */
  readonly wavesPerHour: number
}

/** Time over which an observation loses half of its weight. */
const HALF_LIFE: Milliseconds = 24 * HOUR

/** Reclaims in one domain closer than this belong to one wave. */
const WAVE_GAP: Milliseconds = 5 * MINUTE

/** Belief before anything was seen: one wave a day, held as firmly as six hours of observation. */
const PRIOR_RATE = 1 / 24
const PRIOR_HOURS = 6

/**
 * @example
 * const history = emptyReclaimHistory(clock.wall())
 */
export function emptyReclaimHistory (now: Milliseconds): ReclaimHistory {
  return { at: now, domains: [] }
}

/**
 * Takes what happened since the last observation into the history.
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
    known.set(observation.failureDomain, extended(domain, observation, elapsed / HOUR, now))
  }
  return { at: now, domains: [...known.values()] }
}

/**
 * Expected reclaims of a domain: what was seen, blended with the belief before anything was seen.
 *
 * @example
 * reclaimRate(history, failureDomain).perInstanceHour // 0.04 before anything was seen
 */
export function reclaimRate (history: ReclaimHistory, failureDomain: FailureDomain): ReclaimRate {
  const domain = history.domains.find((candidate) => candidate.failureDomain === failureDomain) ?? emptyDomain(failureDomain)
  const prior = PRIOR_RATE * PRIOR_HOURS
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

function extended (domain: DomainHistory, observation: DomainObservation, hours: number, now: Milliseconds): DomainHistory {
  const used = observation.reclaimable > 0 || observation.reclaimed > 0
  const next = {
    ...domain,
    instanceHours: domain.instanceHours + observation.reclaimable * hours,
    hours: domain.hours + (used ? hours : 0),
    reclaims: domain.reclaims + observation.reclaimed
  }
  if (observation.reclaimed === 0) return next
  const sameWave = domain.lastReclaim !== undefined && now - domain.lastReclaim < WAVE_GAP
  return { ...next, lastReclaim: now, waves: domain.waves + (sameWave ? 0 : 1) }
}
