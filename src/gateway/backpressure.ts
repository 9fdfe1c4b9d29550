/** A node's side of upstreams that ask for less work, or for none, in what they answer. */
import type { UpstreamSignals } from '../backpressure/index.js'
import type { EventLog } from '../events/index.js'
import type { UpstreamLife, UpstreamRecord } from '../placement/index.js'

/** What upstreams have asked of this node. */
export interface Backpressure {
  /** An upstream's answer has come with these signals. */
  heard (upstream: UpstreamRecord, signals: UpstreamSignals): void
}

/** Lives whose last limit is remembered; beyond it the ones longest untouched are forgotten. */
const MOST_LIVES = 1_000

/**
 * @example
 * const backpressure = createBackpressure(log)
 * backpressure.heard(upstream, signals)
 */
export function createBackpressure (log: EventLog): Backpressure {
  const limits = new Map<UpstreamLife, number | undefined>()
  const leaving = new Set<UpstreamLife>()

  function noteLimit (upstream: UpstreamRecord, rateLimit: number | undefined): void {
    if (limits.get(upstream.life) === rateLimit) return
    limits.delete(upstream.life)
    limits.set(upstream.life, rateLimit)
    dropOldest(limits)
    log.info('upstream-limit', { upstream: upstream.id, service: upstream.service, rateLimit })
  }

  function noteLeaving (upstream: UpstreamRecord): void {
    if (leaving.has(upstream.life)) return
    leaving.add(upstream.life)
    dropOldest(leaving)
    log.info('upstream-says-leaving', { upstream: upstream.id, service: upstream.service, registered: upstream.leaving ? 'leaving' : 'ready' })
  }

  return {
    heard: (upstream, signals) => {
      noteLimit(upstream, signals.rateLimit)
      if (signals.leaving) noteLeaving(upstream)
      if (signals.retryAfter !== undefined) log.info('upstream-asks-pause', { upstream: upstream.id, service: upstream.service, retryAfter: signals.retryAfter })
    }
  }
}

function dropOldest (known: Map<UpstreamLife, unknown> | Set<UpstreamLife>): void {
  const [oldest] = known.keys()
  if (known.size > MOST_LIVES && oldest !== undefined) known.delete(oldest)
}
