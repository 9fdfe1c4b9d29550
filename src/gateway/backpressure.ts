/** A node's side of upstreams that ask for less work, or for none, in what they answer. */
import { createRateLimits } from '../backpressure/index.js'
import type { PaceChange, ToldLimits, UpstreamSignals } from '../backpressure/index.js'
import type { Clock, Milliseconds } from '../clock.js'
import type { EventLog } from '../events/index.js'
import type { UpstreamLife, UpstreamRecord } from '../placement/index.js'

/** What upstreams have asked of the nodes, and what this one may still send. */
export interface Backpressure {
  /** An upstream's answer has come with these signals. */
  heard (upstream: UpstreamRecord, signals: UpstreamSignals, sentAt: Milliseconds): void
  /** Whether it wants a request of this node now. */
  accepts (life: UpstreamLife, now: Milliseconds): boolean
  /** A request of this node goes there. */
  taken (life: UpstreamLife, now: Milliseconds): void
  /** Time until it wants a request of this node; 0 where it does now. */
  wait (life: UpstreamLife, now: Milliseconds): Milliseconds
  /** What this node tells the others. */
  told (): ToldLimits
  /** What the others tell. */
  observe (others: readonly ToldLimits[]): void
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
}

/** Lives that are remembered to have said that they leave; beyond it the ones that said so first are forgotten. */
const MOST_LIVES = 1_000

/**
 * @example
 * const backpressure = createBackpressure({ node: settings.name, clock, log })
 * backpressure.accepts(upstream.life, clock.now())
 */
export function createBackpressure ({ node, clock, log }: BackpressureOptions): Backpressure {
  const limits = createRateLimits(node)
  const leaving = new Set<UpstreamLife>()

  function tell (changes: readonly PaceChange[], source: 'answer' | 'peer' | 'shares'): void {
    for (const { life, pace } of changes) {
      log.info('upstream-limit', { life, rate: pace?.rate, pause: pace?.pause === undefined ? undefined : Math.round(pace.pause), source })
    }
  }

  function noteLeaving (upstream: UpstreamRecord): void {
    if (leaving.has(upstream.life)) return
    leaving.add(upstream.life)
    const [oldest] = leaving
    if (leaving.size > MOST_LIVES && oldest !== undefined) leaving.delete(oldest)
    log.info('upstream-says-leaving', { upstream: upstream.id, service: upstream.service, registered: upstream.leaving ? 'leaving' : 'ready' })
  }

  return {
    heard: (upstream, signals, sentAt) => {
      const change = limits.heard(upstream.life, signals.rateLimit, sentAt, clock.now())
      if (change !== undefined) tell([change], 'answer')
      if (signals.leaving) noteLeaving(upstream)
      if (signals.retryAfter !== undefined) log.info('upstream-asks-pause', { upstream: upstream.id, service: upstream.service, retryAfter: signals.retryAfter })
    },
    accepts: limits.allows,
    taken: limits.taken,
    wait: limits.wait,
    told: () => limits.told(clock.now()),
    observe: (others) => tell(limits.observe(others, clock.now()), 'peer'),
    deal: (nodes) => tell(limits.deal(nodes, clock.now()), 'shares'),
    limited: () => limits.all().length
  }
}
