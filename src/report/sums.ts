/** Sums of requests over the counts of many nodes, some of which died before they reported everything. */
import type { RequestSums } from './document.js'
import type { RequestCounts } from './counts.js'
import { openOf } from './counts.js'

/**
 * Creates sums that are all zero.
 *
 * @example
 * const sums = zeroSums()
 */
export function zeroSums (): RequestSums {
  return { asked: 0, accepted: 0, served: 0, late: 0, refused: 0, lost: 0, unknown: 0, open: 0, unreported: 0 }
}

/**
 * Computes the sums of one cell from its counts over all nodes, so that each request is counted once.
 *
 * A hand-over moves a request from the counts of one node to those of another, its successor. If the first node died
 * before its final report, its stored report still contains the request as open, although the successor counts the end.
 * The sum then contains more take-overs than hand-overs. This excess first reduces the number of requests counted as
 * abandoned by the dead node. If the excess is even larger than the number of requests reported as open, the dead node
 * never reported the acceptance of the remaining ones. They are then added as accepted, since a take-over proves that
 * the request was accepted.
 *
 * @example
 * sumsOf(counts).open
 */
export function sumsOf (counts: RequestCounts): RequestSums {
  const transit = counts.handedOver - counts.takenOver
  const unresolved = openOf(counts) + transit
  const unreported = Math.max(0, -unresolved)
  const remaining = Math.max(0, unresolved)
  const abandoned = Math.min(Math.max(0, counts.abandoned + Math.min(0, transit)), remaining)
  const refused = counts.refused + counts.refusedLater
  const accepted = counts.accepted + unreported
  return {
    asked: accepted + counts.refused,
    accepted,
    served: counts.served,
    late: counts.late,
    refused,
    lost: counts.lost,
    unknown: counts.unknown + abandoned,
    open: remaining - abandoned,
    unreported
  }
}

/**
 * Adds sums to `sum` in place.
 *
 * @example
 * addSums(total, sumsOf(cell.counts))
 */
export function addSums (sum: RequestSums, added: RequestSums): void {
  for (const name of Object.keys(sum) as (keyof RequestSums)[]) sum[name] += added[name]
}

/**
 * Whether the sums are consistent, so that every received request is accounted for.
 *
 * @example
 * sumsAgree(line.sums) // true
 */
export function sumsAgree (sums: RequestSums): boolean {
  return sums.asked === sums.served + sums.late + sums.refused + sums.lost + sums.unknown + sums.open
}
