/** Registers the gauges of a node's metrics page, and periodically logs request sums and measures the delay of the event loop. */
import type { RequestMemory } from '../caller/request-memory.js'
import type { Clock, Milliseconds } from '../clock.js'
import type { EventLog } from '../events/index.js'
import type { QuotaLimiter, RetryBudget } from '../quota/index.js'
import type { RolloutEvidence } from '../rollout/index.js'
import type { Backpressure } from './backpressure.js'
import type { StateFreshness } from './context.js'
import type { CrashWatch } from './crash-causes.js'
import type { UpstreamConnections } from './exchange.js'
import type { Fleet } from './fleet.js'
import type { GatewayMetrics } from './metrics.js'
import type { RequestSums } from './request-sums.js'
import type { UpstreamView } from './upstream-view.js'

/** Options of `exposeNodeMetrics`: the sources of the metrics. */
export interface NodeMetricsOptions {
  readonly metrics: GatewayMetrics
  readonly clock: Clock
  readonly log: EventLog
  readonly signal: AbortSignal
  readonly sums: RequestSums
  readonly sources: () => StateFreshness
  readonly fleet: Fleet
  readonly upstreams: UpstreamView
  readonly connections: UpstreamConnections
  readonly backpressure: Backpressure
  readonly crashes: CrashWatch
  readonly quotas: QuotaLimiter
  readonly budgets: ReadonlyMap<string, RetryBudget>
  /** Evidence of all nodes on the versions that are compared, by service. */
  readonly rollouts: () => RolloutEvidence
  readonly inFlight: () => number
  /** Bytes of answers that this node holds. */
  readonly heldAnswerBytes: () => number
  /** Memory of the requests that this node holds. */
  readonly requestMemory: RequestMemory
  /** Connections that this node relays for other nodes. */
  readonly tunnels: () => number
  readonly holdsDuties: () => boolean
}

/** Period at which request sums are logged and the delay of the event loop is measured. This gives 45 points in 90 s. */
const PERIOD: Milliseconds = 2_000

/**
 * Registers the gauges and starts the periodic reports, which end with the signal.
 *
 * @example
 * exposeNodeMetrics({ metrics, clock, log, signal, sums, sources, fleet, upstreams, connections, backpressure, crashes, quotas, budgets, rollouts, inFlight, heldAnswerBytes, requestMemory, tunnels, holdsDuties })
 */
export function exposeNodeMetrics (options: NodeMetricsOptions): void {
  const { metrics, clock, sources, fleet, upstreams, connections, quotas, budgets, requestMemory } = options
  metrics.gauge('configuration_version', () => sources().configuration)
  metrics.gauge('configuration_age_ms', () => sources().configurationAge)
  metrics.gauge('upstreams_age_ms', () => sources().upstreamsAge)
  metrics.gauge('upstreams_known', () => upstreams.all().length)
  metrics.gauge('upstream_connections', connections.open)
  metrics.gauge('upstreams_relayed', connections.relayedCount)
  metrics.gauge('tunnels_open', options.tunnels)
  metrics.gauge('stream_origins_held', fleet.streamOrigins.size)
  metrics.gauge('upstreams_limited', options.backpressure.limitedUpstreams)
  metrics.gauge('upstreams_brittle', options.backpressure.brittleUpstreams)
  metrics.gauge('crash_causes', options.crashes.causeCount)
  metrics.gauge('nodes_known', () => sources().nodes)
  metrics.gauge('nodes_live', () => fleet.others().reduce((sum, { nodes }) => sum + nodes, 1))
  metrics.gauge('nodes_oldest_ms', fleet.maxSilence)
  metrics.gauge('requests_in_flight', options.inFlight)
  metrics.gauge('answers_held_bytes', options.heldAnswerBytes)
  metrics.gauge('requests_held_bytes', requestMemory.bytes)
  metrics.gauge('requests_yielded', () => requestMemory.counts().yielded)
  metrics.gauge('requests_without_room', () => requestMemory.counts().refused)
  metrics.gauge('duties_held', () => options.holdsDuties() ? 1 : 0)
  metrics.gauge('resident_bytes', () => process.memoryUsage.rss())
  metrics.family('quota_granted', 'organisation', () => quotas.granted(clock.now()))
  metrics.family('quota_window_fraction', 'organisation', quotas.windowFractions)
  metrics.family('rollout_exposed', 'service', () => mapValues(options.rollouts(), ({ exposed }) => exposed))
  metrics.family('rollout_sent', 'service', () => mapValues(options.rollouts(), ({ sent }) => sent))
  metrics.family('retries_left', 'service', () => Object.fromEntries([...budgets].map(([service, budget]) => [service, budget.left(clock.now())])))
  reportPeriodically(options).catch((error) => { if (!options.signal.aborted) options.log.error('sums-ended', { error: String(error) }) })
}

async function reportPeriodically ({ clock, log, metrics, signal, sums }: NodeMetricsOptions): Promise<void> {
  for (;;) {
    const due = clock.now() + PERIOD
    await clock.sleep(PERIOD, signal)
    metrics.record('loop_delay', clock.now() - due)
    sums.flush(log, clock.now())
  }
}

function mapValues<Value> (values: Readonly<Record<string, Value>>, read: (value: Value) => number): Record<string, number> {
  return Object.fromEntries(Object.entries(values).map(([name, value]) => [name, read(value)]))
}
