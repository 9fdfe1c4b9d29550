/** Sums of requests out of counts that come from many nodes, some of them gone. */
import type { RequestSums } from './document.js'
import type { Counts } from './counts.js'
import { openOf } from './counts.js'

/** @example const sums = zeroSums() */
export function zeroSums (): RequestSums {
  return { asked: 0, accepted: 0, served: 0, late: 0, refused: 0, lost: 0, unknown: 0, open: 0, unreported: 0 }
}

/**
 * Sums of one cell, counted over all nodes.
 *
 * A hand-over leaves the giver's counts and enters the taker's. When the giver died before its last
 * word, its stored report still holds the request as open although the taker counts its end; seen
 * from the sum, more was taken over than handed over. That excess first lowers what the giver is said
 * to have abandoned. If it exceeds even what was accepted, the acceptance itself was never
 * reported, and it is added: the taker proves it. So each request counts once.
 *
 * @example
 * sumsOf(counts).open
 */
export function sumsOf (counts: Counts): RequestSums {
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
 * Adds sums in place.
 *
 * @example
 * addSums(total, sumsOf(cell.counts))
 */
export function addSums (sum: RequestSums, added: RequestSums): void {
  for (const name of Object.keys(sum) as (keyof RequestSums)[]) sum[name] += added[name]
}

/**
 * Whether every request asked for is accounted for.
 *
 * @example
 * agrees(line.sums) // true
 */
export function agrees (sums: RequestSums): boolean {
  return sums.asked === sums.served + sums.late + sums.refused + sums.lost + sums.unknown + sums.open
}
