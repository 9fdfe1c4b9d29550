/** Logs when upstreams become slow and when they have recovered, and shows the expected wait at each in the metrics. */
import type { Clock, Milliseconds } from '../clock.js'
import type { EventLog } from '../events/index.js'
import { createSlowUpstreams } from '../placement/index.js'
import type { UpstreamState } from '../placement/index.js'
import type { RouteTable } from '../routing/index.js'
import type { GatewayMetrics } from './metrics.js'
import type { UpstreamView } from './upstream-view.js'

/** Dependencies of {@link createSlownessReporter}. */
export interface SlownessReporterOptions {
  readonly clock: Clock
  readonly log: EventLog
  readonly metrics: GatewayMetrics
  readonly upstreams: UpstreamView
  readonly routeTable: () => RouteTable | undefined
}

/**
 * Creates the reporter and registers its metrics.
 *
 * @returns the function that logs the changes since its last call, to be called at regular intervals
 * @example
 * const reportSlowness = createSlownessReporter({ clock, log, metrics, upstreams, routeTable })
 */
export function createSlownessReporter ({ clock, log, metrics, upstreams, routeTable }: SlownessReporterOptions): () => void {
  const slowUpstreams = createSlowUpstreams()

  function states (): UpstreamState[] {
    return upstreams.states((service) => routeTable()?.service(service)?.hasEngines === true, clock.now())
  }

  metrics.family('upstream_wait_ms', 'upstream', () => Object.fromEntries(states().map(({ upstream, waiting }) => [upstream.id, Math.round(waiting)])))

  return () => {
    const targets = smallestTargets(routeTable())
    for (const { upstream, waiting, slowness, isSlow } of slowUpstreams.observe(states(), (service) => targets.get(service))) {
      const facts = { upstream: upstream.id, service: upstream.service, waiting: Math.round(waiting), slowness: Math.round(slowness * 100) / 100 }
      if (isSlow) log.info('upstream-slow', { ...facts, target: targets.get(upstream.service) })
      else log.info('upstream-recovered', facts)
    }
  }
}

function smallestTargets (table: RouteTable | undefined): ReadonlyMap<string, Milliseconds> {
  const targets = new Map<string, Milliseconds>()
  for (const { target, destinations } of table?.configuration.routes ?? []) {
    for (const { service } of destinations) targets.set(service, Math.min(target, targets.get(service) ?? Infinity))
  }
  return targets
}
