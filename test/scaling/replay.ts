/** Replay of a load in virtual time: work meter, estimate, plan, orders, and engines that boot. */
import { SECOND } from '../../src/clock.js'
import type { Milliseconds } from '../../src/clock.js'
import { createLoadEstimator, createWorkMeter, offeredLoad, planPools } from '../../src/scaling/index.js'
import type { LoadEstimator } from '../../src/scaling/index.js'

export const BOOT_TIME: Milliseconds = 4 * SECOND

/** Period of the scaling controller. */
export const TICK: Milliseconds = 400

/** Time from which a replay is counted. The fleet has settled by then. */
export const START: Milliseconds = 60 * SECOND

/** A load, and what happens to the fleet. Times in milliseconds from the start of the count. */
export interface Day {
  /** Engines that the work keeps busy. */
  readonly load: (time: Milliseconds) => number
  readonly length: Milliseconds
  /** Time at which every second engine is reclaimed; no engine is to be had for `outage` afterwards. */
  readonly reclaimAt?: Milliseconds
  readonly outage?: Milliseconds
}

/** Outcome of a replay. */
export interface Outcome {
  /** Engines that are ordered, summed over the seconds of the replay. */
  readonly engineSeconds: number
  readonly maxOrdered: number
  /** Seconds in which the load exceeds what runs. */
  readonly overloaded: number
  /** Seconds in which the load exceeds 0.76 of what runs, the most that the plan allows after a reclaim. */
  readonly tight: number
  /** Estimate at each tick. */
  readonly estimates: readonly number[]
  /** Ordered engines at each tick. */
  readonly ordered: readonly number[]
}

interface Engine {
  readonly failureDomain: string
  readonly reclaimable: boolean
  readonly servesFrom: Milliseconds
}

const MAX_UTILISATION = 0.76

/** Interval between two requests. Each brings prefill for as much of this time as the load says. */
const REQUEST_INTERVAL: Milliseconds = 20

/**
 * Replays a day with a rule for the estimate.
 *
 * @example
 * replay({ load: () => 7, length: 30_000 }, createLoadEstimator).engineSeconds
 */
export function replay (day: Day, createEstimator: (initial: number) => LoadEstimator = createLoadEstimator): Outcome {
  const initial = day.load(-START)
  const estimator = createEstimator(initial)
  const meter = createWorkMeter()
  const failureDomains = ['a', 'b', 'c', 'd']
  const facts = { minUpstreams: 1, maxUpstreams: 50, bootTime: BOOT_TIME, reclaimablePrice: 0.18, prices: {} }
  const estimates: number[] = []
  const ordered: number[] = []
  let engines: Engine[] = []
  let overloadedTicks = 0
  let tightTicks = 0
  for (let time = -START; time < day.length; time += TICK) {
    for (let at = time - TICK; at < time; at += REQUEST_INTERVAL) meter.add('plans', day.load(at) * REQUEST_INTERVAL, 100, at)
    // The rates of the meter have not settled during the first seconds.
    estimator.observe(time < 15 * SECOND - START ? initial : offeredLoad(meter.rates(time).plans!, 64), BOOT_TIME, time)
    if (day.reclaimAt !== undefined && time >= day.reclaimAt && time < day.reclaimAt + TICK) engines = engines.filter((_, index) => index % 2 === 0)
    const isOutage = day.reclaimAt !== undefined && time >= day.reclaimAt && time < day.reclaimAt + (day.outage ?? 0)
    const present = engines.filter(({ servesFrom }) => servesFrom <= time).map(({ failureDomain, reclaimable }) => ({ failureDomain, reclaimable, leaving: false }))
    const plan = planPools({ facts, failureDomains, present, load: estimator.value(), assumeReclaimableRunning: time < 2 * BOOT_TIME - START, unavailableUntil: () => -Infinity, now: time })
    for (const { failureDomain, reclaimable, desired } of plan) {
      const pool = engines.filter((engine) => engine.failureDomain === failureDomain && engine.reclaimable === reclaimable)
      const started = isOutage ? 0 : Math.max(0, desired - pool.length)
      engines = [...engines.filter((engine) => !pool.includes(engine)), ...pool.slice(0, desired), ...Array.from({ length: started }, () => ({ failureDomain, reclaimable, servesFrom: time + BOOT_TIME }))]
    }
    if (time < 0) continue
    estimates.push(estimator.value())
    ordered.push(engines.length)
    if (day.load(time) > present.length) overloadedTicks += 1
    if (day.load(time) > present.length * MAX_UTILISATION) tightTicks += 1
  }
  return {
    engineSeconds: Math.round(ordered.reduce((sum, count) => sum + count, 0) * TICK / SECOND),
    maxOrdered: Math.max(...ordered),
    overloaded: overloadedTicks * TICK / SECOND,
    tight: tightTicks * TICK / SECOND,
    estimates,
    ordered
  }
}

/**
 * Other rules that were weighed, docs/design/sizes-under-load.md. `held` is the earlier rule with 8 s.
 *
 * @example
 * replay(day, held(8_000))
 */
export function held (holdTime: Milliseconds): (initial: number) => LoadEstimator {
  return peakRule((samples, now) => Math.max(0, ...samples.filter(({ at }) => now - at < holdTime).map(({ load }) => load)))
}

/**
 * Rule that provides for a peak only once it has lasted for some time, and then for 8 s.
 *
 * @example
 * replay(day, delayed(BOOT_TIME))
 */
export function delayed (delay: Milliseconds): (initial: number) => LoadEstimator {
  return peakRule((samples, now) => Math.max(0, ...samples.filter(({ at }) => now - at < 8 * SECOND).map((sample) =>
    Math.min(...samples.filter(({ at }) => at <= sample.at && at >= sample.at - delay).map(({ load }) => load)))))
}

type Samples = readonly { readonly load: number, readonly at: Milliseconds }[]

/** The mean over ten seconds, or 0.8 of a peak. */
function peakRule (peakOf: (samples: Samples, now: Milliseconds) => number): (initial: number) => LoadEstimator {
  return (initial) => {
    let samples: Samples = []
    let mean = initial
    let observedAt: Milliseconds | undefined
    return {
      observe: (load, _, now) => {
        samples = [...samples.filter(({ at }) => now - at < 20 * SECOND), { load, at: now }]
        mean += (load - mean) * (1 - Math.exp(-(now - (observedAt ?? now)) / (10 * SECOND)))
        observedAt = now
      },
      value: () => Math.max(mean, 0.8 * peakOf(samples, observedAt ?? 0))
    }
  }
}
