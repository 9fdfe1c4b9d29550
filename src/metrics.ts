/** Counters, gauges and latency quantiles of one process, in the Prometheus text exposition format. */
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import type { Milliseconds } from './clock.js'
import type { ClassName } from './identifiers.js'
import type { WorkDone } from './report/index.js'
import type { Outcome, RequestKey } from './request/index.js'
import type { Verdict } from './verdict.js'

/** Metrics of an entry node. They are kept apart from the counts of its ledger, from which reports are made. */
export interface EntryMetrics {
  accepted (request: RequestKey): void
  refused (request: RequestKey, code: string): void
  firstToken (request: RequestKey, duration: Milliseconds): void
  attemptFailed (request: RequestKey, verdict: Verdict): void
  ended (request: RequestKey, outcome: Outcome, duration: Milliseconds, work: WorkDone): void
  /** Increments a counter of the process. */
  count (name: CounterName): void
  /** Registers a gauge. `read` is called each time the metrics are scraped. */
  gauge (name: string, read: () => number): void
  /** All metrics in the Prometheus text format. */
  text (): string
}

/** Counters of the process that are not labelled with a request class. */
export type CounterName = 'invalid_requests' | 'unauthenticated_requests' | 'connections_refused' | 'peer_failures'

interface ClassMetrics {
  readonly outcomes: Map<string, number>
  readonly firstToken: Histogram
  readonly wholeAnswer: Histogram
  generatedTokens: number
  recomputedTokens: number
}

/** Percentiles that are exported. */
const QUANTILES = [50, 95, 99]
/** Maximum duration that the histograms record. Longer ones are recorded as this value. */
const MAX_DURATION: Milliseconds = 3_600_000

/**
 * Creates the metrics of an entry node.
 *
 * @example
 * const metrics = createEntryMetrics()
 * metrics.count('invalid_requests')
 */
export function createEntryMetrics (): EntryMetrics {
  const classes = new Map<ClassName, ClassMetrics>()
  const counters = new Map<CounterName, number>()
  const gauges = new Map<string, () => number>()

  function metricsOf (requestClass: ClassName): ClassMetrics {
    const existing = classes.get(requestClass) ?? createClassMetrics()
    classes.set(requestClass, existing)
    return existing
  }

  function countOutcome (request: RequestKey, outcome: string): void {
    const { outcomes } = metricsOf(request.class)
    outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1)
  }

  return {
    accepted: (request) => countOutcome(request, 'accepted'),
    refused: (request) => countOutcome(request, 'refused'),
    firstToken: (request, duration) => metricsOf(request.class).firstToken.recordValue(clamp(duration)),
    attemptFailed: (request, verdict) => countOutcome(request, `attempt-failed-${verdict}`),
    ended: (request, outcome, duration, work) => {
      const metrics = metricsOf(request.class)
      countOutcome(request, outcome.kind === 'served' && outcome.late ? 'late' : outcome.kind)
      metrics.wholeAnswer.recordValue(clamp(duration))
      metrics.generatedTokens += work.generatedTokens
      metrics.recomputedTokens += work.recomputedTokens
    },
    count: (name) => { counters.set(name, (counters.get(name) ?? 0) + 1) },
    gauge: (name, read) => { gauges.set(name, read) },
    text: () => [
      ...[...classes].flatMap(([name, metrics]) => classLines(name, metrics)),
      ...[...counters].map(([name, value]) => `hornbeamgap_${name}_total ${value}`),
      ...[...gauges].map(([name, read]) => `hornbeamgap_${name} ${read()}`),
      ''
    ].join('\n')
  }
}

function createClassMetrics (): ClassMetrics {
  return { outcomes: new Map(), firstToken: createHistogram(), wholeAnswer: createHistogram(), generatedTokens: 0, recomputedTokens: 0 }
}

function createHistogram (): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: MAX_DURATION, numberOfSignificantValueDigits: 2 })
}

function clamp (duration: Milliseconds): number {
  return Math.min(MAX_DURATION, Math.max(0, Math.round(duration)))
}

function classLines (name: ClassName, metrics: ClassMetrics): string[] {
  return [
    ...[...metrics.outcomes].map(([outcome, count]) => `hornbeamgap_requests_total{class="${name}",outcome="${outcome}"} ${count}`),
    `hornbeamgap_generated_tokens_total{class="${name}"} ${metrics.generatedTokens}`,
    `hornbeamgap_recomputed_tokens_total{class="${name}"} ${metrics.recomputedTokens}`,
    ...quantileLines('first_token_ms', name, metrics.firstToken),
    ...quantileLines('whole_answer_ms', name, metrics.wholeAnswer)
  ]
}

function quantileLines (metric: string, name: ClassName, histogram: Histogram): string[] {
  return [
    ...QUANTILES.map((quantile) => `hornbeamgap_${metric}{class="${name}",quantile="${quantile / 100}"} ${histogram.getValueAtPercentile(quantile)}`),
    `hornbeamgap_${metric}_count{class="${name}"} ${histogram.totalCount}`
  ]
}
