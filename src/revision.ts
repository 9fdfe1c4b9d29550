/**
 * Revisions over the epochs of a key-value service, as single numbers that always rise.
 *
 * Failure guarded against: a service that comes back from a backup gives revisions out again. A number would stand for
 * two changes, a later change would look older than an earlier one, and a fencing number would fall. The epoch goes
 * before the revision.
 */

/** Revisions of one epoch: 34 years of a thousand changes a second; 8,000 epochs fit beside them into a safe integer. */
const REVISIONS_OF_EPOCH = 2 ** 40

/**
 * @param revision the service's own, within the epoch
 * @example
 * revisionIn(2, 17) > revisionIn(1, 1_000_000) // true
 */
export function revisionIn (epoch: number, revision: number): number {
  return epoch * REVISIONS_OF_EPOCH + revision
}

/**
 * @example
 * epochOf(revisionIn(2, 17)) // 2
 */
export function epochOf (revision: number): number {
  return Math.floor(revision / REVISIONS_OF_EPOCH)
}

/**
 * The service's own number.
 *
 * @example
 * withinEpoch(revisionIn(2, 17)) // 17
 */
export function withinEpoch (revision: number): number {
  return revision % REVISIONS_OF_EPOCH
}
