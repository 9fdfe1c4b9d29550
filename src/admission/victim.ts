/** Choice of the waiting attempt to refuse when not all of them can meet their targets. */
import type { Milliseconds } from '../clock.js'
import type { OrganisationName } from '../identifiers.js'
import type { FairShare } from '../queueing/index.js'
import type { WaitingAttempt } from './waiting.js'

/**
 * Chooses the attempt to refuse.
 *
 * A late attempt that would miss its target even if another were refused is refused itself. Otherwise the choice is
 * among the attempts up to the first late one, in this order:
 *
 * 1. An attempt of the organisation with clearly the highest recent use.
 * 2. Within the organisation, a class whose reliability target still allows a refusal.
 * 3. Of these, the class with the highest product of recent use and work per request. Small classes thus keep their
 *    targets while a large one causes the overload.
 * 4. Within the class, the newest attempt.
 *
 * Accepted attempts are never refused.
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

/** Factor by which the use of an organisation must exceed that of another to count as clearly higher. */
const CLEAR_EXCESS = 1.25

interface Rank {
  readonly name: OrganisationName
  readonly organisation: number
  readonly exhausted: boolean
  readonly class: number
  readonly arrivedAt: Milliseconds
}

/** The use of a class is weighted by the work of one request, so classes with long answers are refused first. */
function rankOf (entry: WaitingAttempt, shares: FairShare, now: Milliseconds): Rank {
  const { organisation, class: requestClass, arrivedAt } = entry.attempt
  return {
    name: organisation,
    organisation: shares.ofOrganisation(organisation, now),
    exhausted: entry.classState.isRefusalBudgetExhausted(),
    class: shares.ofClass(organisation, requestClass, now) * entry.work,
    arrivedAt
  }
}

function isWorse (left: Rank, right: Rank): boolean {
  if (left.name !== right.name && left.organisation > right.organisation * CLEAR_EXCESS) return true
  if (left.name !== right.name) return false
  if (left.exhausted !== right.exhausted) return right.exhausted
  if (left.class !== right.class) return left.class > right.class
  return left.arrivedAt >= right.arrivedAt
}
