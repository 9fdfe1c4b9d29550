/** Buckets of positive values that grow geometrically, for quantiles in bounded memory with a bounded relative error. */

/** Ratio of neighbouring buckets. The middle of a bucket is at most 2.5 % away from each value in it. */
const GROWTH = 1.05

/** A number of values in a bucket. */
export interface BucketCount {
  readonly bucket: string
  readonly count: number
}

/**
 * Returns the name of the bucket that contains a value. Values below 1 have a bucket of their own.
 *
 * @example
 * counters.add(['firstAnswer', bucketOf(31)], 1)
 */
export function bucketOf (value: number): string {
  return value < 1 ? '-1' : String(Math.round(Math.log(value) / Math.log(GROWTH)))
}

/**
 * Returns a quantile of values in buckets, as the middle of its bucket.
 *
 * @returns undefined without values
 * @example
 * quantileOf([{ bucket: bucketOf(31), count: 2 }], 0.5)
 */
export function quantileOf (counts: readonly BucketCount[], quantile: number): number | undefined {
  const total = counts.reduce((sum, { count }) => sum + count, 0)
  let before = 0
  for (const { bucket, count } of sortBuckets(counts)) {
    before += count
    if (before >= quantile * total) return middleOf(bucket)
  }
  return undefined
}

/**
 * Sorts buckets by the values that they contain.
 *
 * @example
 * sortBuckets(counts)[0]?.bucket
 */
export function sortBuckets (counts: readonly BucketCount[]): BucketCount[] {
  return counts.toSorted((left, right) => Number(left.bucket) - Number(right.bucket))
}

function middleOf (bucket: string): number {
  return Number(bucket) < 0 ? 0 : GROWTH ** Number(bucket)
}
