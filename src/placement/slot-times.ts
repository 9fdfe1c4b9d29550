/**
 * Mean time for which a request holds a slot, by service: learnt from this node's attempts and the reports of other nodes.
 *
 * It differs tenfold between deployments, and the wait for a slot is proportional to it.
 */
import type { Milliseconds } from '../clock.js'
import { mergeByName, valueOf } from '../named-values.js'
import { assumedSlotTime } from './expected-wait.js'

/** A mean and the number of samples it is based on. */
export interface MeanTime {
  readonly mean: Milliseconds
  readonly samples: number
}

/** Means by service. */
export type MeanTimes = Readonly<Record<string, MeanTime>>

/** Slot times of all services. */
export interface SlotTimes {
  /** Adds an attempt that has ended, with the time since its dispatch. It must not have waited for a slot. */
  observe (service: string, duration: Milliseconds): void
  /** Replaces the means of the other live nodes by their latest reports. */
  receive (others: readonly MeanTimes[]): void
  /** Mean of all nodes; an assumed value until there are samples. */
  of (service: string, hasEngines: boolean): Milliseconds
  /** Means of this node alone, as reported to others. */
  own (): MeanTimes
}

/** Samples after which older ones lose weight. A node gets some ten per second, so the mean follows a change within seconds. */
const WINDOW_SAMPLES = 100

/** Samples of all nodes together from which the assumed value is not used any more. */
const MIN_SAMPLES = 12

/**
 * Creates slot times without samples.
 *
 * @example
 * const slotTimes = createSlotTimes()
 * slotTimes.observe('plans', 1_340)
 * slotTimes.of('plans', true)
 */
export function createSlotTimes (): SlotTimes {
  const ownMeans = new Map<string, MeanTime>()
  let reported: MeanTimes = {}

  return {
    observe: (service, duration) => {
      const { mean, samples } = ownMeans.get(service) ?? { mean: 0, samples: 0 }
      const weight = Math.min(WINDOW_SAMPLES, samples + 1)
      ownMeans.set(service, { mean: mean + (duration - mean) / weight, samples: weight })
    },
    receive: (others) => { reported = mergeMeanTimes(others) },
    of: (service, hasEngines) => {
      const combined = combine(ownMeans.get(service), valueOf(reported, service))
      return combined === undefined || combined.samples < MIN_SAMPLES ? assumedSlotTime(hasEngines) : combined.mean
    },
    own: () => Object.fromEntries([...ownMeans].map(([service, { mean, samples }]) => [service, { mean: Math.round(mean), samples }]))
  }
}

/**
 * Combines the means of several nodes, weighted by their samples.
 *
 * @example
 * mergeMeanTimes([{ plans: { mean: 100, samples: 1 } }, { plans: { mean: 200, samples: 3 } }]).plans // { mean: 175, samples: 4 }
 */
export function mergeMeanTimes (reports: readonly MeanTimes[]): Record<string, MeanTime> {
  return mergeByName(reports, (known, time) => combine(known, time)!)
}

function combine (left: MeanTime | undefined, right: MeanTime | undefined): MeanTime | undefined {
  if (left === undefined || right === undefined) return left ?? right
  const samples = left.samples + right.samples
  return { mean: samples === 0 ? left.mean : (left.mean * left.samples + right.mean * right.samples) / samples, samples }
}
