/**
 * Latency histograms. They are recorded in tenths of a millisecond with two significant digits, merge
 * by addition, and travel in the compressed form that HdrHistogram defines.
 */
import { build, decodeFromCompressedBase64, encodeIntoCompressedBase64 } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import type { Milliseconds } from '../clock.js'

/** What is measured of an answer. */
export const LATENCY_KINDS = ['firstToken', 'betweenTokens', 'wholeAnswer'] as const
export type LatencyKind = typeof LATENCY_KINDS[number]

/** Histograms of one class and organisation; none where nothing was recorded. */
export type Latencies = Partial<Record<LatencyKind, Histogram>>

/** The same, encoded. */
export type EncodedLatencies = { [kind in LatencyKind]?: string | undefined }

const UNITS_PER_MILLISECOND = 10
const SIGNIFICANT_DIGITS = 2

/** 32-bit buckets: the packed form needs a seventh of the memory and forty times the processor time. */
const BUCKET_BITS = 32

/** Longer answers are recorded as this long, so that one stuck clock cannot grow the histogram. */
const LONGEST: Milliseconds = 86_400_000

/**
 * Adds one duration.
 *
 * @example
 * recordLatency(latencies, 'firstToken', 412)
 */
export function recordLatency (latencies: Latencies, kind: LatencyKind, duration: Milliseconds): void {
  if (!Number.isFinite(duration)) return
  const bounded = Math.min(Math.max(duration, 0), LONGEST)
  const histogram = latencies[kind] ?? createHistogram()
  histogram.recordValue(Math.round(bounded * UNITS_PER_MILLISECOND))
  latencies[kind] = histogram
}

/**
 * Adds histograms to others in place.
 *
 * @example
 * addLatencies(sum, decodeLatencies(cell.latency))
 */
export function addLatencies (sum: Latencies, added: Latencies): void {
  for (const kind of LATENCY_KINDS) {
    const histogram = added[kind]
    if (histogram === undefined) continue
    sum[kind] ??= createHistogram()
    sum[kind].add(histogram)
  }
}

/**
 * Takes histograms that were added before out again, in place.
 *
 * @example
 * subtractLatencies(recorded, decodeLatencies(alreadyFolded))
 */
export function subtractLatencies (sum: Latencies, taken: Latencies): void {
  for (const kind of LATENCY_KINDS) {
    const histogram = taken[kind]
    if (histogram !== undefined) sum[kind]?.subtract(histogram)
  }
}

/**
 * @returns texts of the histograms that hold anything
 * @example
 * const { firstToken } = encodeLatencies(latencies)
 */
export function encodeLatencies (latencies: Latencies): EncodedLatencies {
  const encoded: EncodedLatencies = {}
  for (const kind of LATENCY_KINDS) {
    const histogram = latencies[kind]
    if (histogram !== undefined && histogram.totalCount > 0) encoded[kind] = encodeIntoCompressedBase64(histogram)
  }
  return encoded
}

/**
 * @throws Error when a text is not a histogram
 * @example
 * const latencies = decodeLatencies(cell.latency)
 */
export function decodeLatencies (encoded: EncodedLatencies): Latencies {
  const latencies: Latencies = {}
  for (const kind of LATENCY_KINDS) {
    const text = encoded[kind]
    if (text === undefined) continue
    const sum = createHistogram()
    sum.add(decodeFromCompressedBase64(text, BUCKET_BITS))
    latencies[kind] = sum
  }
  return latencies
}

/**
 * Duration that a share of the recorded ones do not exceed.
 *
 * @param share in (0, 1]
 * @returns milliseconds, or undefined when nothing was recorded
 * @example
 * quantile(latencies, 'firstToken', 0.95) // 530
 */
export function quantile (latencies: Latencies, kind: LatencyKind, share: number): Milliseconds | undefined {
  const histogram = latencies[kind]
  if (histogram === undefined || histogram.totalCount === 0) return undefined
  return histogram.getValueAtPercentile(share * 100) / UNITS_PER_MILLISECOND
}

/**
 * Number of recorded durations.
 *
 * @example
 * recordedCount(latencies, 'wholeAnswer') // 1200
 */
export function recordedCount (latencies: Latencies, kind: LatencyKind): number {
  return latencies[kind]?.totalCount ?? 0
}

function createHistogram (): Histogram {
  return build({ bitBucketSize: BUCKET_BITS, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS, lowestDiscernibleValue: 1, highestTrackableValue: 2, autoResize: true })
}
