/** From offered work to the number of engines that it keeps busy, followed up quickly and down slowly. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { OfferedWork } from './types.js'

/**
 * Processor time of an engine for a token of a prompt, in milliseconds: 61.8 tokens a millisecond for those
 * that aren't cached, of which there are some 0.75 of all, and attention that grows with the prompt.
 */
const PER_PROMPT_TOKEN: Milliseconds = 0.75 / 61.8 * 1.15

/** An engine's time for a generated token: a step of 3.09 ms serves all requests of a batch, some eight at usual load. */
const PER_GENERATED_TOKEN: Milliseconds = 3.09 / 8

/** Part of a request's most generated tokens that is generated on average. */
const GENERATED_PART = 0.6

/**
 * Engines that the work keeps busy all the time.
 *
 * @example
 * busyEngines({ requests: 40, promptTokens: 200_000, generatedTokens: 5_000 }) // 4
 */
export function busyEngines (work: OfferedWork): number {
  return (work.promptTokens * PER_PROMPT_TOKEN + work.generatedTokens * GENERATED_PART * PER_GENERATED_TOKEN) / SECOND
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
      const known = sum[service] ?? { requests: 0, promptTokens: 0, generatedTokens: 0 }
      sum[service] = {
        requests: known.requests + work.requests,
        promptTokens: known.promptTokens + work.promptTokens,
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
