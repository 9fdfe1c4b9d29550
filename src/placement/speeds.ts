/** Speeds of the engines of all services: a node's own estimates combined with those that other nodes report. */
import { valueOf } from '../named-values.js'
import { combineSpeeds, createSpeedEstimator, roundSpeed } from './speed.js'
import type { EngineSpeed, EstimatedSpeed, PrefillSample, SpeedEstimator } from './speed.js'

/** Estimates that a node reports to others, by service. */
export type ReportedSpeeds = Readonly<Record<string, EstimatedSpeed>>

/** Engine speeds by service. */
export interface EngineSpeeds {
  /** Adds a sample of the service's engines. */
  observe (service: string, sample: PrefillSample): void
  /** Refits the estimates to the samples observed since the last call. To be called at regular intervals. */
  update (): void
  /** Replaces the estimates of the other live nodes by their latest reports. */
  receive (others: readonly ReportedSpeeds[]): void
  /** Combined speed of the service's engines. */
  of (service: string): EngineSpeed
  /** Estimates of this node alone, as reported to others. */
  ownEstimates (): ReportedSpeeds
}

/** Significant digits that are reported. Estimates are no more precise than that. */
const REPORTED_DIGITS = 3

/**
 * Creates the speeds of a node, with {@link ASSUMED_SPEED} for each service until there are samples or reports.
 *
 * @example
 * const speeds = createEngineSpeeds()
 * prefillTime(6_000, 5_000, speeds.of('plans'))
 */
export function createEngineSpeeds (): EngineSpeeds {
  const estimators = new Map<string, SpeedEstimator>()
  const combined = new Map<string, EngineSpeed>()
  let reported: readonly ReportedSpeeds[] = []

  function combine (service: string): EngineSpeed {
    const own = estimators.get(service)?.speed()
    const others = reported.map((speeds) => valueOf(speeds, service)).filter((speed) => speed !== undefined)
    return combineSpeeds(own === undefined ? others : [own, ...others])
  }

  return {
    observe: (service, sample) => {
      const estimator = estimators.get(service) ?? createSpeedEstimator()
      estimators.set(service, estimator)
      estimator.observe(sample)
    },
    update: () => {
      for (const estimator of estimators.values()) estimator.update()
      combined.clear()
    },
    receive: (others) => {
      reported = others
      combined.clear()
    },
    of: (service) => {
      const known = combined.get(service) ?? combine(service)
      combined.set(service, known)
      return known
    },
    ownEstimates: () => Object.fromEntries([...estimators].map(([service, estimator]) => [service, roundSpeed(estimator.speed(), REPORTED_DIGITS)]))
  }
}
