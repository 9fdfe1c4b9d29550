/** From offered work to the number of engines that it keeps busy, followed up quickly and down slowly. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { OfferedWork } from './types.js'

/** Part of a request's most generated tokens that is generated on average. */
const GENERATED_PART = 0.6

/** Time of one generated token: a step of some 3 ms, with the prompts that are read in between. */
const PER_GENERATED_TOKEN: Milliseconds = 5

/** Part of an engine's places that streams may take on average, so that a peak finds places. */
const USED_PLACES = 0.5

/**
 * Engines that the work keeps busy all the time.
 *
 * Reading is what keeps them: each token of a prompt takes its own time, while a step generates one for every stream
 * of the batch, and the reading as it is observed has the steps between its parts in it already. Streams need engines
 * of their own only where they would fill the batches. Counted by a sixteenth of a step, generated tokens were half of
 * the load of a customer with long answers, and the fleet too large by that: mean worth of six days 0.501 with it and
 * 0.530 without (processor time not counted).
 *
 * @param slots requests that an engine runs at once
 * @example
 * busyEngines({ requests: 40, reading: 2_900, generatedTokens: 5_000 }, 64) // 2.9
 */
export function busyEngines (work: OfferedWork, slots: number): number {
  const streams = work.generatedTokens * GENERATED_PART * PER_GENERATED_TOKEN / SECOND
  return Math.max(work.reading / SECOND, streams / (slots * USED_PLACES))
}

/** Part of their quotas that organisations use together on a usual day. */
const USED_QUOTA_PART = 0.45

/** What attention adds to the reading of a token, on average over prompts of some 12,000. */
const ATTENTION_FACTOR = 1.2

/**
 * Engines that will be busy by what operators allow their organisations, before any work has come.
 *
 * @param tokens a second that all quotas allow together
 * @param perThousandTokens milliseconds of reading for 1,000 tokens
 * @example
 * expectedEngines(498_000, 16) // 4.3
 */
export function expectedEngines (tokens: number, perThousandTokens: Milliseconds): number {
  return tokens / 1_000 * USED_QUOTA_PART * ATTENTION_FACTOR * perThousandTokens / SECOND
}

/**
 * Sum of several nodes' work.
 *
 * @example
 * sumWork([own, ...others]).plans?.requests
 */
export function sumWork (parts: readonly Readonly<Record<string, OfferedWork>>[]): Record<string, OfferedWork> {
  const sum: Record<string, OfferedWork> = {}
  for (const part of parts) {
    for (const [service, work] of Object.entries(part)) {
      const known = sum[service] ?? { requests: 0, reading: 0, generatedTokens: 0 }
      sum[service] = {
        requests: known.requests + work.requests,
        reading: known.reading + work.reading,
        generatedTokens: known.generatedTokens + work.generatedTokens
      }
    }
  }
  return sum
}

/** Follows a load that is measured with much noise: a prompt may be a hundred times as long as another. */
export interface LoadFollower {
  observe (load: number, now: Milliseconds): void
  value (now: Milliseconds): number
}

/** How long a peak holds the size up: releasing an engine and booting another costs about as much as running it on. */
const HELD: Milliseconds = 8 * SECOND

/** Time constant of the mean. In ten seconds the longest tenth of the prompts comes often enough to be seen in it. */
const MEAN_TIME: Milliseconds = 10 * SECOND

/** Part of a peak of some seconds that is provided for: most of it is a few long prompts that came together. */
const PEAK_PART = 0.8

/**
 * The mean of some ten seconds, or most of the highest of the recent past where that is more.
 *
 * Load pattern answered: by chance few long prompts come for some seconds after the start. A fleet that follows shrinks
 * to a third, is taken back in the next wave of reclaims, and the usual load meets what is left.
 *
 * @param first load that is expected before any was observed
 * @example
 * const follower = createLoadFollower(5.3)
 * follower.observe(3.2, clock.now())
 */
export function createLoadFollower (first: number): LoadFollower {
  let samples: { readonly load: number, readonly at: Milliseconds }[] = []
  let mean = first
  let meanAt: Milliseconds | undefined
  return {
    observe: (load, now) => {
      samples = samples.filter((sample) => now - sample.at < HELD && sample.load > load)
      samples.push({ load, at: now })
      mean += (load - mean) * (1 - Math.exp(-(now - (meanAt ?? now)) / MEAN_TIME))
      meanAt = now
    },
    value: (now) => Math.max(mean, ...samples.filter((sample) => now - sample.at < HELD).map((sample) => sample.load * PEAK_PART))
  }
}
