/** Exponential back-off with jitter for offers that refused a start. */
import * as z from 'zod'
import { MINUTE, SECOND } from '../clock.js'
import type { Milliseconds } from '../clock.js'
import type { Random } from '../random.js'
import type { OfferKey } from './types.js'

/** An offer that refused a start recently. */
export const refusalSchema = z.object({
  offer: z.string().transform((key) => key as OfferKey),
  failures: z.number().int().positive(),
  /** Wall time until which the offer is not requested again. */
  until: z.number()
})
export type Refusal = z.infer<typeof refusalSchema>

const INITIAL_BACK_OFF: Milliseconds = 30 * SECOND
const MAX_BACK_OFF: Milliseconds = 30 * MINUTE

/**
 * Records that an offer refused a start and extends its back-off.
 *
 * @example
 * const refusals = recordRefusal(known, offerKey(slot.offer), clock.wall(), random)
 */
export function recordRefusal (refusals: readonly Refusal[], offer: OfferKey, now: Milliseconds, random: Random): Refusal[] {
  const failures = (refusals.find((refusal) => refusal.offer === offer)?.failures ?? 0) + 1
  const pause = Math.min(MAX_BACK_OFF, INITIAL_BACK_OFF * 2 ** (failures - 1))
  const until = now + pause * (0.5 + random.fraction() / 2)
  return [...refusals.filter((refusal) => refusal.offer !== offer), { offer, failures, until }]
}

/**
 * Clears the back-off of an offer after a successful start.
 *
 * @example
 * const refusals = clearRefusal(known, offerKey(slot.offer))
 */
export function clearRefusal (refusals: readonly Refusal[], offer: OfferKey): Refusal[] {
  return refusals.filter((refusal) => refusal.offer !== offer)
}

/**
 * Whether an offer is in back-off, so that no more instances of it are requested. A back-off that ends later than the
 * maximum allows comes from another instance's wall clock or from before a clock jump, and is ignored.
 *
 * @example
 * const maxCount = isRefusing(refusals, key, clock.wall()) ? running : Infinity
 */
export function isRefusing (refusals: readonly Refusal[], offer: OfferKey, now: Milliseconds): boolean {
  return refusals.some((refusal) => refusal.offer === offer && now < refusal.until && refusal.until - now <= MAX_BACK_OFF)
}
