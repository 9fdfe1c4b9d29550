/** Which waiting attempt is refused when not all of them can meet their targets. */
import type { Milliseconds } from '../clock.js'
import type { FairShare } from './fair-share.js'
import type { WaitingAttempt } from './waiting.js'

/** A lead this small is noise: the flow is within its share. */
const WITHIN_SHARE: Milliseconds = 500

/**
 * An attempt that is too late whatever is refused goes itself. Otherwise the one, of those that start
 * no later than the first late attempt, whose flow is furthest above its fair share; of the flows
 * above it, those first whose class may still be refused by its reliability; of one flow, the newest.
 *
 * @param late index of the first attempt that would start too late
 * @example
 * const victim = chooseVictim(waiting.entries(), waiting.firstLate(rate, now), shares, now)
 */
export function chooseVictim (entries: readonly WaitingAttempt[], late: number, shares: FairShare, now: Milliseconds): WaitingAttempt {
  const first = entries[late] as WaitingAttempt
  if (first.latestStart <= now) return first
  let victim = first
  let rank = rankOf(first, shares, now)
  for (let index = 0; index < late; index += 1) {
    const entry = entries[index] as WaitingAttempt
    if (entry.attempt.accepted) continue
    const other = rankOf(entry, shares, now)
    if (!isWorse(other, rank)) continue
    victim = entry
    rank = other
  }
  return victim
}

interface Rank {
  readonly above: boolean
  readonly exhausted: boolean
  readonly lead: Milliseconds
  readonly arrivedAt: Milliseconds
}

function rankOf (entry: WaitingAttempt, shares: FairShare, now: Milliseconds): Rank {
  const lead = shares.lead(entry.attempt.organisation, entry.attempt.class, now)
  return { above: lead > WITHIN_SHARE, exhausted: entry.classState.exhausted(), lead, arrivedAt: entry.attempt.arrivedAt }
}

function isWorse (left: Rank, right: Rank): boolean {
  if (left.above !== right.above) return left.above
  if (left.exhausted !== right.exhausted) return right.exhausted
  if (left.lead !== right.lead) return left.lead > right.lead
  return left.arrivedAt >= right.arrivedAt
}
