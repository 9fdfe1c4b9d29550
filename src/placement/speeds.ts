/** Speeds of all services' engines at one node: its own estimates, and those that the other nodes tell. */
import { combineSpeeds, createSpeedEstimator, roundSpeed } from './speed.js'
import type { EngineSpeed, LearntSpeed, ReadingSample, SpeedEstimator } from './speed.js'

/** What a node tells of the engines that it sees, by service. */
export type ToldSpeeds = Readonly<Record<string, LearntSpeed>>

/** Speeds by service. */
export interface EngineSpeeds {
  observe (service: string, sample: ReadingSample): void
  /** Takes in what was observed since the last time; to be called at even intervals. */
  update (): void
  /** What the other live nodes last told. */
  hear (others: readonly ToldSpeeds[]): void
  of (service: string): EngineSpeed
  /** What this node has learnt itself. */
  own (): ToldSpeeds
}

/** Digits that are told: an estimate isn't better than that. */
const DIGITS = 3

/**
 * @example
 * const speeds = createEngineSpeeds()
 * readingTime(6_000, 5_000, speeds.of('plans'))
 */
export function createEngineSpeeds (): EngineSpeeds {
  const estimators = new Map<string, SpeedEstimator>()
  const combined = new Map<string, EngineSpeed>()
  let told: readonly ToldSpeeds[] = []

  function combine (service: string): EngineSpeed {
    const own = estimators.get(service)?.speed()
    const others = told.map((speeds) => speeds[service]).filter((speed) => speed !== undefined)
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
    hear: (others) => {
      told = others
      combined.clear()
    },
    of: (service) => {
      const known = combined.get(service) ?? combine(service)
      combined.set(service, known)
      return known
    },
    own: () => Object.fromEntries([...estimators].map(([service, estimator]) => [service, roundSpeed(estimator.speed(), DIGITS)]))
  }
}
