/** Offers that refused a start, and when they are asked again: back-off with jitter. */
import * as z from 'zod'
import { MINUTE, SECOND } from '../clock.js'
import type { Milliseconds } from '../clock.js'
import type { Random } from '../random.js'
import type { OfferKey } from './types.js'

/** Offers that refused of late. */
export const refusalSchema = z.object({
  offer: z.string().transform((key) => key as OfferKey),
  failures: z.number().int().positive(),
  /** Wall time before which the offer is not asked again. */
  until: z.number()
})
export type Refusal = z.infer<typeof refusalSchema>

const FIRST_BACK_OFF: Milliseconds = 30 * SECOND
const LONGEST_BACK_OFF: Milliseconds = 30 * MINUTE

/**
 * Notes that an offer refused a start.
 *
 * @example
 * const refusals = noteRefusal(known, offerKey(slot.offer), clock.wall(), random)
 */
export function noteRefusal (refusals: readonly Refusal[], offer: OfferKey, now: Milliseconds, random: Random): Refusal[] {
  const failures = (refusals.find((refusal) => refusal.offer === offer)?.failures ?? 0) + 1
  const pause = Math.min(LONGEST_BACK_OFF, FIRST_BACK_OFF * 2 ** (failures - 1))
  const until = now + pause * (0.5 + random.fraction() / 2)
  return [...refusals.filter((refusal) => refusal.offer !== offer), { offer, failures, until }]
}

/**
 * Notes that an offer was had again.
 *
 * @example
 * const refusals = noteStart(known, offerKey(slot.offer))
 */
export function noteStart (refusals: readonly Refusal[], offer: OfferKey): Refusal[] {
  return refusals.filter((refusal) => refusal.offer !== offer)
}

/**
 * Whether an offer is held at what runs there. A back-off further ahead than any can be comes from
 * another instance's wall clock, or from before a jump, and counts for nothing.
 *
 * @example
 * const most = isRefusing(refusals, key, clock.wall()) ? running : Infinity
 */
export function isRefusing (refusals: readonly Refusal[], offer: OfferKey, now: Milliseconds): boolean {
  return refusals.some((refusal) => refusal.offer === offer && now < refusal.until && refusal.until - now <= LONGEST_BACK_OFF)
}
