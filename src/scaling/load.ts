/** Load of a service, in engines that the offered work keeps busy. The estimate rises quickly and falls slowly. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { OfferedWork } from './types.js'

/** Mean fraction of the permitted tokens of an answer that is actually generated. */
const GENERATED_FRACTION = 0.6

/** Time per generated token: a decoding step of about 3 ms and the prefill that runs between two steps. */
const TIME_PER_GENERATED_TOKEN: Milliseconds = 5

/** Fraction of an engine's slots that streams may occupy on average. The rest is kept for peaks. */
const TARGET_SLOT_UTILISATION = 0.5

/**
 * Number of engines that the offered work keeps busy.
 *
 * Prefill dominates: each token of a prompt takes time of its own, whereas one decoding step generates a token for
 * every stream of the batch. The observed prefill time already includes the decoding steps between its chunks.
 * Generated tokens therefore count only where streams would fill the batches. If a sixteenth of a step were charged per
 * generated token, generation would be half of the load of an organisation with long answers, and the fleet would be
 * too large. Over six test days such a charge lowers the mean score from 0.530 to 0.501 (processor time not included).
 *
 * @param slots requests that an engine runs concurrently
 * @example
 * offeredLoad({ requests: 40, reading: 2_900, generatedTokens: 5_000 }, 64) // 2.9
 */
export function offeredLoad (work: OfferedWork, slots: number): number {
  const streams = work.generatedTokens * GENERATED_FRACTION * TIME_PER_GENERATED_TOKEN / SECOND
  return Math.max(work.reading / SECOND, streams / (slots * TARGET_SLOT_UTILISATION))
}

/** Fraction of the sum of all quotas that organisations use on an ordinary day. */
const USED_QUOTA_FRACTION = 0.45

/** Factor by which attention increases the prefill time per token, for prompts of about 12,000 tokens on average. */
const ATTENTION_FACTOR = 1.2

/**
 * Number of engines expected to be busy, derived from the quotas. Used before any work was observed.
 *
 * @param tokens tokens per second that all quotas together allow
 * @param prefillTimePerThousandTokens prefill time for 1,000 tokens, in milliseconds
 * @example
 * expectedLoad(498_000, 16) // 4.3
 */
export function expectedLoad (tokens: number, prefillTimePerThousandTokens: Milliseconds): number {
  return tokens / 1_000 * USED_QUOTA_FRACTION * ATTENTION_FACTOR * prefillTimePerThousandTokens / SECOND
}

/**
 * Sums the offered work of several nodes by service.
 *
 * @example
 * sumWork([own, ...others]).plans?.requests
 */
export function sumWork (workByNode: readonly Readonly<Record<string, OfferedWork>>[]): Record<string, OfferedWork> {
  const sum: Record<string, OfferedWork> = {}
  for (const nodeWork of workByNode) {
    for (const [service, work] of Object.entries(nodeWork)) {
      const previous = sum[service] ?? { requests: 0, reading: 0, generatedTokens: 0 }
      sum[service] = {
        requests: previous.requests + work.requests,
        reading: previous.reading + work.reading,
        generatedTokens: previous.generatedTokens + work.generatedTokens
      }
    }
  }
  return sum
}

/** Smooths a noisy load measurement. The lengths of single prompts differ by a factor of up to a hundred. */
export interface LoadEstimator {
  /** Adds a measured load, in busy engines. */
  observe (load: number, now: Milliseconds): void
  /** Estimated load, in busy engines. */
  value (now: Milliseconds): number
}

/** Time for which a peak is provided for. Replacing an engine costs about as much as keeping it for this time. */
const PEAK_HOLD_TIME: Milliseconds = 8 * SECOND

/** Time constant of the mean. Within ten seconds the longest 10% of the prompts occur often enough to be represented. */
const MEAN_TIME_CONSTANT: Milliseconds = 10 * SECOND

/** Fraction of a short peak that is provided for. Such a peak is mostly a coincidence of a few long prompts. */
const PEAK_FRACTION = 0.8

/**
 * Creates an estimator. The estimate is the mean over about ten seconds, or a fraction of the recent peak if that is
 * higher.
 *
 * Failure guarded against: by chance few long prompts arrive in the first seconds. A fleet that follows this dip shrinks
 * to a third. The next wave of reclaims removes most of that, and too few upstreams remain for the usual load. The mean
 * starts at the expected load and falls slowly, so a short dip does not shrink the fleet.
 *
 * @param initial load expected before any was observed, in busy engines
 * @example
 * const estimator = createLoadEstimator(5.3)
 * estimator.observe(3.2, clock.now())
 */
export function createLoadEstimator (initial: number): LoadEstimator {
  let samples: { readonly load: number, readonly at: Milliseconds }[] = []
  let mean = initial
  let meanAt: Milliseconds | undefined
  return {
    observe: (load, now) => {
      samples = samples.filter((sample) => now - sample.at < PEAK_HOLD_TIME && sample.load > load)
      samples.push({ load, at: now })
      mean += (load - mean) * (1 - Math.exp(-(now - (meanAt ?? now)) / MEAN_TIME_CONSTANT))
      meanAt = now
    },
    value: (now) => Math.max(mean, ...samples.filter((sample) => now - sample.at < PEAK_HOLD_TIME).map((sample) => sample.load * PEAK_FRACTION))
  }
}
