/** Counters, gauges and latency histograms of a gateway node, in the Prometheus text format. */
import type { Histogram } from 'hdr-histogram-js'
import type { Milliseconds } from '../clock.js'

/** Labels of one time series. */
export type Labels = Readonly<Record<string, string>>

/** Metrics of a gateway node. */
export interface GatewayMetrics {
  /** Adds one to a counter. */
  count (name: string, labels?: Labels): void
  /** Adds a duration to a histogram. */
  record (name: string, duration: Milliseconds, labels?: Labels): void
  /** Registers a gauge, whose value is read each time the page is written. An undefined value is left out. */
  gauge (name: string, read: () => number | undefined): void
  /** Registers a family of gauges: one series for each key, with the key as the value of `label`. */
  family (name: string, label: string, read: () => Readonly<Record<string, number>>): void
  /** The metrics page in the Prometheus text format. */
  text (): string
  /** Loads the histogram library. The start of a node does not wait for it, since it takes 17 of 110 ms. Durations recorded before are kept. */
  load (): Promise<void>
}

const QUANTILES = [50, 95, 99]
/** Longer durations are recorded as this one. */
const MAX_DURATION: Milliseconds = 600_000

/** Maximum number of durations that are kept until the histogram library is loaded. */
const MAX_PENDING = 2_000

/** Maximum number of series of a kind. Further ones are summed up without labels, so that a hostile caller cannot exhaust the memory. */
const MAX_SERIES = 500

/**
 * @example
 * const metrics = createGatewayMetrics()
 * metrics.count('answers', { route: 'plans', outcome: 'served' })
 */
export function createGatewayMetrics (): GatewayMetrics {
  const counters = new Map<string, number>()
  const histograms = new Map<string, Histogram>()
  const gauges = new Map<string, () => number | undefined>()
  const families: { readonly name: string, readonly label: string, readonly read: () => Readonly<Record<string, number>> }[] = []
  const pending: { readonly series: string, readonly duration: Milliseconds }[] = []
  let createHistogram: (() => Histogram) | undefined

  function recordSeries (series: string, duration: Milliseconds): void {
    if (createHistogram === undefined) {
      if (pending.length < MAX_PENDING) pending.push({ series, duration })
      return
    }
    const histogram = histograms.get(series) ?? createHistogram()
    histograms.set(series, histogram)
    histogram.recordValue(Math.min(MAX_DURATION, Math.max(0, Math.round(duration))))
  }

  /** Name of the series with its labels, or without them if there are too many series. */
  function seriesOf (known: ReadonlyMap<string, unknown>, name: string, labels: Labels): string {
    const series = `${name}${formatLabels(labels)}`
    return known.has(series) || known.size < MAX_SERIES ? series : name
  }

  return {
    count: (name, labels = {}) => {
      const series = seriesOf(counters, `${name}_total`, labels)
      counters.set(series, (counters.get(series) ?? 0) + 1)
    },
    record: (name, duration, labels = {}) => {
      recordSeries(seriesOf(histograms, name, labels), duration)
    },
    load: async () => {
      const { build } = await import('hdr-histogram-js')
      createHistogram = () => build({ lowestDiscernibleValue: 1, highestTrackableValue: MAX_DURATION, numberOfSignificantValueDigits: 2 })
      for (const { series, duration } of pending.splice(0)) recordSeries(series, duration)
    },
    gauge: (name, read) => { gauges.set(name, read) },
    family: (name, label, read) => { families.push({ name, label, read }) },
    text: () => [
      ...[...counters].map(([series, value]) => `hornbeamgap_${series} ${value}`),
      ...[...gauges].flatMap(([name, read]) => {
        const value = read()
        return value === undefined ? [] : [`hornbeamgap_${name} ${value}`]
      }),
      ...families.flatMap(({ name, label, read }) => Object.entries(read()).map(([value, number]) => `hornbeamgap_${name}${formatLabels({ [label]: value })} ${number}`)),
      ...[...histograms].flatMap(([series, histogram]) => histogramLines(series, histogram)),
      ''
    ].join('\n')
  }
}

function formatLabels (labels: Labels): string {
  const entries = Object.entries(labels)
  return entries.length === 0 ? '' : `{${entries.map(([name, value]) => `${name}="${value.replace(/["\\\n]/g, '_')}"`).join(',')}}`
}

function histogramLines (series: string, histogram: Histogram): string[] {
  const brace = series.indexOf('{')
  const name = brace < 0 ? series : series.slice(0, brace)
  const labels = brace < 0 ? '' : `${series.slice(brace + 1, -1)},`
  return [
    ...QUANTILES.map((quantile) => `hornbeamgap_${name}_ms{${labels}quantile="${quantile / 100}"} ${histogram.getValueAtPercentile(quantile)}`),
    `hornbeamgap_${name}_ms_count{${labels.slice(0, -1)}} ${histogram.totalCount}`
  ]
}
