/**
 * Revisions that increase across the epochs of a key-value service, each as a single number.
 *
 * Failure guarded against: a service that is restored from a backup assigns the same revisions a second time. One
 * revision would identify two changes, a later change would look older than an earlier one, and fencing numbers would
 * decrease. Each restore starts a new epoch, and the epoch forms the high-order part of the number.
 */

/**
 * Number of revisions available per epoch. It lasts 34 years at a thousand changes per second, and leaves room for
 * 8,000 epochs in a safe integer.
 */
export const REVISIONS_PER_EPOCH = 2 ** 40

/**
 * Combines an epoch with a revision of the service.
 *
 * @param revision revision that the service assigned within the epoch
 * @example
 * revisionOfEpoch(2, 17) > revisionOfEpoch(1, 1_000_000) // true
 */
export function revisionOfEpoch (epoch: number, revision: number): number {
  return epoch * REVISIONS_PER_EPOCH + revision
}

/**
 * Returns the epoch of a combined revision.
 *
 * @example
 * epochOf(revisionOfEpoch(2, 17)) // 2
 */
export function epochOf (revision: number): number {
  return Math.floor(revision / REVISIONS_PER_EPOCH)
}

/**
 * Returns the revision that the service assigned, without the epoch.
 *
 * @example
 * revisionWithinEpoch(revisionOfEpoch(2, 17)) // 17
 */
export function revisionWithinEpoch (revision: number): number {
  return revision % REVISIONS_PER_EPOCH
}
