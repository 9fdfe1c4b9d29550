/** Which waiting attempt is refused when not all of them can meet their targets. */
import type { Milliseconds } from '../clock.js'
import type { OrganisationName } from '../identifiers.js'
import type { FairShare } from './fair-share.js'
import type { WaitingAttempt } from './waiting.js'

/**
 * An attempt that is too late whatever is refused goes itself. Otherwise one of those that start no
 * later than the first late attempt: of the organisation that had most lately; of its classes, those
 * first whose reliability still allows a refusal, then the one with the largest use and the longest
 * work, so that small classes keep their targets while a large one floods; of one class, the newest.
 *
 * @param late index of the first attempt that would start too late
 * @example
 * const victim = chooseVictim(waiting.entries(), late, shares, now)
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

/** An organisation's use is clearly more than another's from this factor on. */
const CLEARLY = 1.25

interface Rank {
  readonly name: OrganisationName
  readonly organisation: number
  readonly exhausted: boolean
  readonly class: number
  readonly arrivedAt: Milliseconds
}

/** Weighted by the work of one request, classes of long answers give way to those of short ones. */
function rankOf (entry: WaitingAttempt, shares: FairShare, now: Milliseconds): Rank {
  const { organisation, class: requestClass, arrivedAt } = entry.attempt
  return {
    name: organisation,
    organisation: shares.ofOrganisation(organisation, now),
    exhausted: entry.classState.exhausted(),
    class: shares.ofClass(organisation, requestClass, now) * entry.work,
    arrivedAt
  }
}

function isWorse (left: Rank, right: Rank): boolean {
  if (left.name !== right.name && left.organisation > right.organisation * CLEARLY) return true
  if (left.name !== right.name) return false
  if (left.exhausted !== right.exhausted) return right.exhausted
  if (left.class !== right.class) return left.class > right.class
  return left.arrivedAt >= right.arrivedAt
}
