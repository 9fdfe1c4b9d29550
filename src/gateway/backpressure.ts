/** A node's side of upstreams that ask for less work, or for none, in what they answer. */
import { createDepartures, createRateLimits, createRequestedPauses } from '../backpressure/index.js'
import type { RateLimitChange, ReportedDepartures, ReportedLimits, UpstreamSignals } from '../backpressure/index.js'
import type { Clock, Milliseconds } from '../clock.js'
import type { EventLog } from '../events/index.js'
import type { UpstreamLife, UpstreamRecord } from '../placement/index.js'
import type { UpstreamAvailability, UpstreamView } from './upstream-view.js'

/** What nodes tell each other of what upstreams asked. */
export interface ToldBackpressure {
  readonly limits: ReportedLimits
  readonly departures: ReportedDepartures
}

/** What upstreams have asked of the nodes, and what this one may still send. */
export interface Backpressure extends UpstreamAvailability {
  /** An upstream's answer has come with these signals. */
  heard (upstream: UpstreamRecord, signals: UpstreamSignals, sentAt: Milliseconds): void
  /** A request of this node goes there. */
  taken (life: UpstreamLife, now: Milliseconds): void
  /** Time until it wants a request of this node; 0 where it does now. */
  wait (life: UpstreamLife, now: Milliseconds): Milliseconds
  /** What this node tells the others. */
  told (): ToldBackpressure
  /** What the others tell. */
  observe (others: readonly ToldBackpressure[]): void
  /** Names of the nodes that may serve. */
  deal (nodes: readonly string[]): void
  /** Upstreams that name a limit now. */
  limited (): number
}

/** What it needs. */
export interface BackpressureOptions {
  /** Name of this node. */
  readonly node: string
  readonly clock: Clock
  readonly log: EventLog
  /** The upstreams that are known; asked for once the node is put together. */
  readonly upstreams: () => Pick<UpstreamView, 'find' | 'noteLeaving'>
}

/** How a node came to know. */
type Source = 'answer' | 'peer'

/**
 * @example
 * const backpressure = createBackpressure({ node: settings.name, clock, log, upstreams: () => upstreams })
 * backpressure.accepts(upstream.life, clock.now())
 */
export function createBackpressure ({ node, clock, log, upstreams }: BackpressureOptions): Backpressure {
  const limits = createRateLimits(node)
  const departures = createDepartures()
  const pauses = createRequestedPauses()

  function tellLimits (changes: readonly RateLimitChange[], source: Source | 'shares'): void {
    for (const { incarnation: life, limit: pace } of changes) {
      const record = upstreams().find(life)
      if (record === undefined) continue
      log.info('upstream-limit', { upstream: record.id, service: record.service, rate: pace?.rate, pause: pace?.pause === undefined ? undefined : Math.round(pace.pause), source })
    }
  }

  function depart (life: UpstreamLife, source: Source): void {
    const record = upstreams().find(life)
    if (record === undefined || !upstreams().noteLeaving(life)) return
    log.info('upstream-says-leaving', { upstream: record.id, service: record.service, source })
  }

  function pause (upstream: UpstreamRecord, retryAfter: Milliseconds, now: Milliseconds): void {
    pauses.heard(upstream.life, retryAfter, now)
    log.info('upstream-asks-pause', { upstream: upstream.id, service: upstream.service, retryAfter: Math.round(retryAfter) })
  }

  return {
    heard: (upstream, signals, sentAt) => {
      const now = clock.now()
      const change = limits.heard(upstream.life, signals.rateLimit, sentAt, now)
      if (change !== undefined) tellLimits([change], 'answer')
      if (signals.leaving && departures.heard(upstream.life, now)) depart(upstream.life, 'answer')
      if (signals.retryAfter !== undefined) pause(upstream, signals.retryAfter, now)
    },
    isLeaving: departures.isLeaving,
    accepts: (life, now) => limits.allows(life, now) && pauses.wait(life, now) === 0,
    taken: limits.taken,
    wait: (life, now) => Math.max(limits.wait(life, now), pauses.wait(life, now)),
    told: () => ({ limits: limits.told(clock.now()), departures: departures.told(clock.now()) }),
    observe: (others) => {
      tellLimits(limits.observe(others.map((told) => told.limits), clock.now()), 'peer')
      for (const life of departures.observe(others.map((told) => told.departures))) depart(life, 'peer')
    },
    deal: (nodes) => tellLimits(limits.setNodes(nodes, clock.now()), 'shares'),
    limited: () => limits.all().length
  }
}
