/** Sizes of prompts relative to the other prompts of their class. */
import { sortBuckets } from './day-buckets.js'
import type { BucketCount } from './day-buckets.js'

/** Sizes of prompts, by the rank of a prompt among all prompts of its class, and prompts whose size is not known. */
export const PROMPT_SIZES = ['smallest-half', 'next-four-tenths', 'largest-tenth', 'unknown'] as const
export type PromptSize = typeof PROMPT_SIZES[number]

/** Ranks at which the next size begins, as fractions of the prompts of a class. */
const LARGER_HALF = 0.5
const LARGEST_TENTH = 0.9

/** Name of the bucket of prompts whose size is not known. */
export const UNKNOWN_BUCKET = 'unknown'

/**
 * Assigns sizes to the buckets of the prompts of one class. Equal prompts have the same size, so a size can be larger or
 * smaller than its fraction.
 *
 * @param counts numbers of prompts by bucket of their tokens; a bucket may be there several times
 * @example
 * sizesOfBuckets([{ bucket: bucketOf(400), count: 12 }]).get(bucketOf(400))
 */
export function sizesOfBuckets (counts: readonly BucketCount[]): ReadonlyMap<string, PromptSize> {
  const byBucket = new Map<string, number>()
  for (const { bucket, count } of counts) if (bucket !== UNKNOWN_BUCKET) byBucket.set(bucket, (byBucket.get(bucket) ?? 0) + count)
  const known = [...byBucket].map(([bucket, count]) => ({ bucket, count }))
  const total = known.reduce((sum, { count }) => sum + count, 0)
  const sizes = new Map<string, PromptSize>([[UNKNOWN_BUCKET, 'unknown']])
  let before = 0
  for (const { bucket, count } of sortBuckets(known)) {
    sizes.set(bucket, sizeOfRank((before + count / 2) / total))
    before += count
  }
  return sizes
}

function sizeOfRank (rank: number): PromptSize {
  if (rank < LARGER_HALF) return 'smallest-half'
  return rank < LARGEST_TENTH ? 'next-four-tenths' : 'largest-tenth'
}
