/** Merges the reports of several nodes, so that the volume that a node receives does not grow with the number of nodes. */
import { mergeLimits } from '../backpressure/index.js'
import { mergeEvidence } from '../crash-causes/index.js'
import { mergeByName, valueOf } from '../named-values.js'
import { combineSpeeds, mergeDelays, mergeMeanTimes, roundSpeed } from '../placement/index.js'
import type { NodeLoad, UpstreamIncarnation } from '../placement/index.js'
import { ANSWERED } from '../quarantine/index.js'
import { mergeEvidence as mergeRolloutEvidence } from '../rollout/index.js'
import { sumWork } from '../scaling/index.js'
import type { FleetReport } from './types.js'

/** Significant digits of a combined speed; one more than in the report of a single node. */
const COMBINED_DIGITS = 4

/**
 * Merges reports into one. Counts, loads, evidence and limits are the same for any grouping of the reports.
 *
 * @param reports reports of different nodes
 * @returns undefined where there are no reports
 * @example
 * mergeReports([own, ...members])?.demand.hillside
 */
export function mergeReports (reports: readonly FleetReport[]): FleetReport | undefined {
  if (reports.length === 0) return undefined
  return {
    nodes: reports.reduce((sum, { nodes }) => sum + nodes, 0),
    configuration: Math.max(...reports.map(({ configuration }) => configuration)),
    demand: sumCounts(reports.map(({ demand }) => demand)),
    granted: sumCounts(reports.map(({ granted }) => granted)),
    inFlight: sumLoads(reports),
    delays: mergeDelays(reports.map(({ delays }) => delays)),
    holdTime: mergeMeanTimes(reports.map(({ holdTime }) => holdTime)),
    work: sumWork(reports.map(({ work }) => work)),
    speeds: mergeSpeeds(reports),
    crashes: mergeCrashes(reports),
    crashCauses: mergeEvidence(reports.map(({ crashCauses }) => crashCauses)),
    rollouts: mergeRolloutEvidence(reports.map(({ rollouts }) => rollouts)),
    limits: mergeLimits(reports.map(({ limits }) => limits)),
    departures: [...new Set(reports.flatMap(({ departures }) => departures))]
  }
}

function sumCounts (parts: readonly Readonly<Record<string, number>>[]): Record<string, number> {
  return mergeByName(parts, (known = 0, count) => known + count)
}

function sumLoads (reports: readonly FleetReport[]): FleetReport['inFlight'] {
  return mergeByName<UpstreamIncarnation, NodeLoad>(reports.map(({ inFlight }) => inFlight), (known, load) => known === undefined ? load : { requests: known.requests + load.requests, reading: known.reading + load.reading, unanswered: known.unanswered + load.unanswered })
}

function mergeSpeeds (reports: readonly FleetReport[]): FleetReport['speeds'] {
  const services = new Set(reports.flatMap(({ speeds }) => Object.keys(speeds)))
  return Object.fromEntries([...services].map((service) => {
    const estimates = reports.map(({ speeds }) => valueOf(speeds, service)).filter((speed) => speed !== undefined)
    return [service, roundSpeed({ ...combineSpeeds(estimates), samples: estimates.reduce((sum, { samples }) => sum + samples, 0) }, COMBINED_DIGITS)]
  }))
}

/** Sums crash counts by request fingerprint. A complete answer at any node clears the fingerprint. */
function mergeCrashes (reports: readonly FleetReport[]): Record<string, number> {
  return mergeByName(reports.map(({ crashes }) => crashes), (known = 0, count) => known === ANSWERED || count === ANSWERED ? ANSWERED : known + count)
}
