/** Backpressure of upstreams: rate limits, pauses and departures that upstreams announce in their answers. */
import { createBrittleness, createDepartures, createRateLimits, createRequestedPauses } from '../backpressure/index.js'
import type { RateLimitChange, ReportedDepartures, ReportedLimits, UpstreamSignals } from '../backpressure/index.js'
import type { Clock, Milliseconds } from '../clock.js'
import type { EventLog } from '../events/index.js'
import type { UpstreamIncarnation, UpstreamRecord } from '../placement/index.js'
import type { UpstreamAvailability, UpstreamView } from './upstream-view.js'

/** Backpressure of upstreams as one node reports it to the others. */
export interface BackpressureReport {
  readonly limits: ReportedLimits
  readonly departures: ReportedDepartures
}

/** Backpressure known to this node, and what the node may still send. */
export interface Backpressure extends UpstreamAvailability {
  /** Processes the signals in an upstream's answer to a request sent at `sentAt`. */
  heard (upstream: UpstreamRecord, signals: UpstreamSignals, sentAt: Milliseconds): void
  /** Records that the upstream refused a request of this node for want of room. */
  refused (incarnation: UpstreamIncarnation): void
  /** Records that a request of this node is sent to the upstream. */
  taken (incarnation: UpstreamIncarnation, now: Milliseconds): void
  /** Returns the time until the upstream accepts a request of this node; 0 if it does now. */
  wait (incarnation: UpstreamIncarnation, now: Milliseconds): Milliseconds
  /** Returns the report for the other nodes. */
  told (): BackpressureReport
  /** Processes the reports of the other nodes. */
  observe (others: readonly BackpressureReport[]): void
  /** Sets the names of the nodes that may serve, which share each rate limit. */
  setNodes (nodes: readonly string[]): void
  /** Returns the number of upstreams with a rate limit. */
  limitedUpstreams (): number
  /** Returns the number of upstreams that fall over when they must refuse too much. */
  brittleUpstreams (): number
}

/** Options of {@link createBackpressure}. */
export interface BackpressureOptions {
  /** Name of this node. */
  readonly node: string
  readonly clock: Clock
  readonly log: EventLog
  /** The known upstreams. A function, because the view is created after the backpressure. */
  readonly upstreams: () => Pick<UpstreamView, 'find' | 'noteLeaving'>
}

/** How a node learnt of a signal. */
type SignalSource = 'answer' | 'peer'

/**
 * Creates the backpressure of one node.
 *
 * @example
 * const backpressure = createBackpressure({ node: settings.name, clock, log, upstreams: () => upstreams })
 * backpressure.accepts(upstream.incarnation, clock.now())
 */
export function createBackpressure ({ node, clock, log, upstreams }: BackpressureOptions): Backpressure {
  const limits = createRateLimits(node)
  const departures = createDepartures()
  const pauses = createRequestedPauses()
  const brittleness = createBrittleness()

  function logLimits (changes: readonly RateLimitChange[], source: SignalSource | 'shares'): void {
    for (const { incarnation, limit } of changes) {
      const record = upstreams().find(incarnation)
      if (record === undefined) continue
      log.info('upstream-limit', { upstream: record.id, service: record.service, rate: limit?.rate, pause: limit?.pause === undefined ? undefined : Math.round(limit.pause), source })
    }
  }

  function markLeaving (incarnation: UpstreamIncarnation, source: SignalSource): void {
    const record = upstreams().find(incarnation)
    if (record === undefined || !upstreams().noteLeaving(incarnation)) return
    log.info('upstream-says-leaving', { upstream: record.id, service: record.service, source })
  }

  function recordPause (upstream: UpstreamRecord, retryAfter: Milliseconds, now: Milliseconds): void {
    pauses.heard(upstream.incarnation, retryAfter, now)
    log.info('upstream-asks-pause', { upstream: upstream.id, service: upstream.service, retryAfter: Math.round(retryAfter) })
  }

  return {
    heard: (upstream, signals, sentAt) => {
      const now = clock.now()
      const change = limits.heard(upstream.incarnation, signals.rateLimit, sentAt, now)
      if (change !== undefined) logLimits([change], 'answer')
      if (brittleness.heard(upstream.incarnation, signals.maxRefusals, sentAt, now)) log.info('upstream-brittle', { upstream: upstream.id, service: upstream.service, maxRefusals: signals.maxRefusals })
      if (signals.leaving && departures.heard(upstream.incarnation, now)) markLeaving(upstream.incarnation, 'answer')
      if (signals.retryAfter !== undefined) recordPause(upstream, signals.retryAfter, now)
    },
    isLeaving: departures.isLeaving,
    accepts: (incarnation, now) => limits.allows(incarnation, now) && pauses.wait(incarnation, now) === 0 && brittleness.wait(incarnation, now) === 0,
    hasRoom: brittleness.hasRoom,
    refused: (incarnation) => brittleness.refused(incarnation, clock.now()),
    taken: limits.taken,
    wait: (incarnation, now) => Math.max(limits.wait(incarnation, now), pauses.wait(incarnation, now), brittleness.wait(incarnation, now)),
    told: () => ({ limits: limits.told(clock.now()), departures: departures.told(clock.now()) }),
    observe: (others) => {
      logLimits(limits.observe(others.map((report) => report.limits), clock.now()), 'peer')
      for (const incarnation of departures.observe(others.map((report) => report.departures))) markLeaving(incarnation, 'peer')
    },
    setNodes: (nodes) => {
      brittleness.setNodeCount(nodes.length)
      logLimits(limits.setNodes(nodes, clock.now()), 'shares')
    },
    limitedUpstreams: () => limits.all().length,
    brittleUpstreams: brittleness.count
  }
}
