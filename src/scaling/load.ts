/** From offered work to the number of engines that it keeps busy, followed up quickly and down slowly. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { OfferedWork } from './types.js'

/**
 * An engine's time for a generated token: a step of 3.09 ms serves all requests of a batch, some sixteen of
 * them while the engine reads prompts in between.
 */
const PER_GENERATED_TOKEN: Milliseconds = 3.09 / 16

/** Part of a request's most generated tokens that is generated on average. */
const GENERATED_PART = 0.6

/**
 * Engines that the work keeps busy all the time.
 *
 * @example
 * busyEngines({ requests: 40, reading: 2_900, generatedTokens: 5_000 }) // 3.5
 */
export function busyEngines (work: OfferedWork): number {
  return (work.reading + work.generatedTokens * GENERATED_PART * PER_GENERATED_TOKEN) / SECOND
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

/** Follows a load: the highest of the recent past, so that a lull doesn't take away what the next wave needs. */
export interface LoadFollower {
  observe (load: number, now: Milliseconds): void
  value (now: Milliseconds): number
}

/** How long a peak holds the size up: releasing an engine and booting another costs about as much as running it on. */
const HELD: Milliseconds = 8 * SECOND

/**
 * @example
 * const follower = createLoadFollower()
 * follower.observe(3.2, clock.now())
 */
export function createLoadFollower (): LoadFollower {
  let samples: { readonly load: number, readonly at: Milliseconds }[] = []
  return {
    observe: (load, now) => {
      samples = samples.filter((sample) => now - sample.at < HELD && sample.load > load)
      samples.push({ load, at: now })
    },
    value: (now) => Math.max(0, ...samples.filter((sample) => now - sample.at < HELD).map((sample) => sample.load))
  }
}
