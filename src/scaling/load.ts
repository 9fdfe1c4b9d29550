/** Load of a service, in engines that the offered work keeps busy. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import { mergeByName } from '../named-values.js'
import { NO_MEASUREMENTS } from './types.js'
import type { OfferedWork } from './types.js'

/**
 * Time for which a request holds a slot, per token that it allows to be generated. Assumed until attempts were measured.
 * Requests generate about 0.6 of the permitted tokens, and a decoding step with interleaved prefill takes about 5 ms.
 */
const ASSUMED_SLOT_TIME_PER_TOKEN: Milliseconds = 3

/**
 * Number of measured attempts that weigh as much as the assumption. The first attempts to end are the shortest, so a few
 * of them alone would give a slot time that is too low.
 */
const ASSUMPTION_WEIGHT = 20

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
 * offeredLoad({ requests: 40, reading: 2_900, generatedTokens: 5_000, measured: { span: 0, attempts: 0, tokens: 0, held: 0 } }, 64) // 2.9
 */
export function offeredLoad (work: OfferedWork, slots: number): number {
  return Math.max(work.reading / SECOND, enginesForSlots(work, slots))
}

/** What limits the engines of a service: the time for prefill, or the slots. */
export type BindingConstraint = 'prefill' | 'slots'

/**
 * The constraint that determines {@link offeredLoad}.
 *
 * @example
 * bindingConstraint({ requests: 40, reading: 2_900, generatedTokens: 5_000, measured: { span: 0, attempts: 0, tokens: 0, held: 0 } }, 64) // 'prefill'
 */
export function bindingConstraint (work: OfferedWork, slots: number): BindingConstraint {
  return enginesForSlots(work, slots) > work.reading / SECOND ? 'slots' : 'prefill'
}

/** A measured slot time below the assumed one does not shrink the fleet, since it leaves no reserve for bursts. */
function enginesForSlots (work: OfferedWork, slots: number): number {
  const assumed = work.generatedTokens * ASSUMED_SLOT_TIME_PER_TOKEN / SECOND
  return Math.max(assumed, occupiedSlots(work)) / (slots * TARGET_SLOT_UTILISATION)
}

/**
 * Mean number of slots that the offered work occupies: the requests per second times the time that each holds a slot.
 *
 * Slot times differ tenfold between deployments. They are therefore measured, in relation to the permitted tokens, since
 * the lengths of answers differ widely within a service. Requests that permit no tokens count by their number.
 *
 * @example
 * occupiedSlots({ requests: 10, reading: 0, generatedTokens: 5_000, measured: { span: 60_000, attempts: 400, tokens: 200_000, held: 800_000 } }) // 19.9
 */
export function occupiedSlots ({ requests, generatedTokens, measured }: OfferedWork): number {
  const { attempts, tokens, held } = measured
  const weight = attempts / (attempts + ASSUMPTION_WEIGHT)
  if (generatedTokens === 0) return attempts === 0 ? 0 : requests * weight * held / attempts / SECOND
  const measuredTime = tokens === 0 ? ASSUMED_SLOT_TIME_PER_TOKEN : held / tokens
  return generatedTokens * (weight * measuredTime + (1 - weight) * ASSUMED_SLOT_TIME_PER_TOKEN) / SECOND
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
  return mergeByName<string, OfferedWork>(workByNode, (previous = { requests: 0, reading: 0, generatedTokens: 0, measured: NO_MEASUREMENTS }, work) => ({
    requests: previous.requests + work.requests,
    reading: previous.reading + work.reading,
    generatedTokens: previous.generatedTokens + work.generatedTokens,
    measured: {
      span: Math.max(previous.measured.span, work.measured.span),
      attempts: previous.measured.attempts + work.measured.attempts,
      tokens: previous.measured.tokens + work.measured.tokens,
      held: previous.measured.held + work.measured.held
    }
  }))
}
