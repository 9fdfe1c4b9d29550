/**
 * Latency histograms. Durations are recorded in tenths of a millisecond with two significant digits. Histograms are
 * merged by addition and stored in the compressed encoding of HdrHistogram.
 */
import { build, decodeFromCompressedBase64, encodeIntoCompressedBase64 } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import type { Milliseconds } from '../clock.js'

/** Latencies measured for each answer. */
export const LATENCY_KINDS = ['firstToken', 'betweenTokens', 'wholeAnswer'] as const
export type LatencyKind = typeof LATENCY_KINDS[number]

/** Histograms of one class and organisation. A histogram is missing if nothing was recorded. */
export type Latencies = Partial<Record<LatencyKind, Histogram>>

/** Encoded histograms, base64 of the compressed form. */
export type EncodedLatencies = { [kind in LatencyKind]?: string | undefined }

/** Resolution of the histograms. */
const UNITS_PER_MILLISECOND = 10
const SIGNIFICANT_DIGITS = 2

/** 32-bit buckets. Packed histograms would need a seventh of the memory but forty times the processor time. */
const BUCKET_BITS = 32

/** Longer durations are recorded as this one, so that a faulty clock cannot make the histogram grow without bound. */
const MAX_DURATION: Milliseconds = 86_400_000

/**
 * Records one duration. Non-finite durations are ignored.
 *
 * @example
 * recordLatency(latencies, 'firstToken', 412)
 */
export function recordLatency (latencies: Latencies, kind: LatencyKind, duration: Milliseconds): void {
  if (!Number.isFinite(duration)) return
  const bounded = Math.min(Math.max(duration, 0), MAX_DURATION)
  const histogram = latencies[kind] ?? createHistogram()
  histogram.recordValue(Math.round(bounded * UNITS_PER_MILLISECOND))
  latencies[kind] = histogram
}

/**
 * Adds histograms to `sum` in place.
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
 * Subtracts histograms that were added before from `sum`, in place.
 *
 * @example
 * subtractLatencies(recorded, decodeLatencies(alreadyFolded))
 */
export function subtractLatencies (sum: Latencies, subtracted: Latencies): void {
  for (const kind of LATENCY_KINDS) {
    const histogram = subtracted[kind]
    if (histogram !== undefined) sum[kind]?.subtract(histogram)
  }
}

/**
 * Encodes the histograms that contain values.
 *
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
 * Decodes histograms.
 *
 * @throws Error if a text is not an encoded histogram
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
 * Computes a quantile: the duration that the given fraction of the recorded ones do not exceed.
 *
 * @param share fraction in (0, 1]
 * @returns milliseconds, or undefined if nothing was recorded
 * @example
 * quantile(latencies, 'firstToken', 0.95) // 530
 */
export function quantile (latencies: Latencies, kind: LatencyKind, share: number): Milliseconds | undefined {
  const histogram = latencies[kind]
  if (histogram === undefined || histogram.totalCount === 0) return undefined
  return histogram.getValueAtPercentile(share * 100) / UNITS_PER_MILLISECOND
}

/**
 * Returns the number of recorded durations.
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
