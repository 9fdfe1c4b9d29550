/**
 * Lasting speed of upstreams by incarnation: the ratio of the observed to the predicted time of first answers, compared with the
 * median of the service.
 *
 * Failure guarded against: one upstream of a service is permanently 2.5 times slower than the others. Each of its delays is
 * short, so that it keeps receiving as many requests as the others, and its answers are late.
 */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { UpstreamIncarnation } from './types.js'

/** Speeds of all upstreams, as observed by one node. */
export interface SpeedRatios {
  /** Adds a first answer that did not have to wait. */
  observe (service: string, incarnation: UpstreamIncarnation, observed: Milliseconds, predicted: Milliseconds, now: Milliseconds): void
  /** Factor by which the upstream is slower than the median of its service; 1 where it is not noticeably slower. */
  of (service: string, incarnation: UpstreamIncarnation, now: Milliseconds): number
}

interface Speed {
  /** Median of the logarithms of the ratios. */
  level: number
  at: Milliseconds
}

interface ServiceSpeeds {
  readonly byIncarnation: Map<UpstreamIncarnation, Speed>
  median: number
  medianAt: Milliseconds
}

/**
 * Change of the logarithm at each observation, towards it (Robbins and Monro, A stochastic approximation method, 1951). The
 * size of a deviation has no effect, so that single requests that waited behind others do not make an upstream look slow. A
 * factor of 2 is learnt within about ten observations.
 */
const STEP = 0.08

/** Bounds what a long series of failures can add up to. */
const MAX_LEVEL = Math.log(4)

/** Smaller ratios are within the error of the estimate. */
const MIN_RATIO = 1.3

/** An incarnation without observations for this time is forgotten, and starts at 1 again. */
const LIFETIME: Milliseconds = 60 * SECOND

const MEDIAN_PERIOD: Milliseconds = SECOND

/**
 * Creates ratios of 1 for all upstreams.
 *
 * @example
 * const ratios = createSpeedRatios()
 * ratios.observe('plans', upstream.incarnation, 310, 130, clock.now())
 * ratios.of('plans', upstream.incarnation, clock.now())
 */
export function createSpeedRatios (): SpeedRatios {
  const services = new Map<string, ServiceSpeeds>()

  function medianOf (speeds: ServiceSpeeds, now: Milliseconds): number {
    if (now - speeds.medianAt < MEDIAN_PERIOD) return speeds.median
    for (const [incarnation, { at }] of speeds.byIncarnation) if (now - at > LIFETIME) speeds.byIncarnation.delete(incarnation)
    const levels = [...speeds.byIncarnation.values()].map(({ level }) => level).sort((left, right) => left - right)
    // With an even number the lower one is taken, so that the slower of two upstreams is recognised.
    speeds.median = levels[Math.floor((levels.length - 1) / 2)] ?? 0
    speeds.medianAt = now
    return speeds.median
  }

  return {
    observe: (service, incarnation, observed, predicted, now) => {
      const speeds = services.get(service) ?? { byIncarnation: new Map(), median: 0, medianAt: -Infinity }
      services.set(service, speeds)
      const level = speeds.byIncarnation.get(incarnation)?.level ?? 0
      const direction = Math.sign(observed - predicted * Math.exp(level))
      speeds.byIncarnation.set(incarnation, { level: Math.min(MAX_LEVEL, Math.max(-MAX_LEVEL, level + direction * STEP)), at: now })
    },
    of: (service, incarnation, now) => {
      const speeds = services.get(service)
      const speed = speeds?.byIncarnation.get(incarnation)
      if (speeds === undefined || speed === undefined || now - speed.at > LIFETIME) return 1
      const ratio = Math.exp(speed.level - medianOf(speeds, now))
      return ratio < MIN_RATIO ? 1 : ratio
    }
  }
}
