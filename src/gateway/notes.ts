/** What one request's sends teach the node: health of upstreams, usage, broken runs, and lines for the log. */
import type { Milliseconds } from '../clock.js'
import type { Choice, UpstreamRecord } from '../placement/index.js'
import type { GatewayContext } from './context.js'
import type { NotRunReason } from './exchange.js'
import type { Passage } from './passage.js'

/**
 * A request goes to the upstream that was chosen for it.
 *
 * @example
 * noteSent(context, passage, choice)
 */
export function noteSent (context: GatewayContext, passage: Passage, { upstream, reading, waiting, candidates }: Choice): void {
  const now = context.clock.now()
  context.metrics.record('waiting', now - passage.arrival, { route: passage.accepted.route.name })
  context.log.info('request-sent', {
    request: passage.accepted.head.id,
    upstream: upstream.id,
    send: passage.tried.size,
    reading: Math.round(reading),
    waiting: Math.round(waiting),
    candidates,
    tries: context.rollouts.roleOf(upstream) === 'tried' ? upstream.version : undefined,
    ...context.sources()
  })
}

/**
 * A send was not run by the upstream.
 *
 * @example
 * noteUnrun(context, passage, upstream, 'full')
 */
export function noteUnrun (context: GatewayContext, passage: Passage, upstream: UpstreamRecord, reason: NotRunReason): void {
  const { clock, upstreams, metrics, log } = context
  metrics.count('sends_not_run', { reason })
  log.info('send-not-run', { request: passage.accepted.head.id, upstream: upstream.id, reason })
  switch (reason) {
    case 'unreachable':
      pause(context, upstream, reason)
      return
    case 'full':
      upstreams.health.full(upstream.life, clock.now())
      return
    case 'another-upstream':
      // The address is another's now; the registry will say so as well.
      upstreams.forget(upstream.life)
      break
    case 'refused':
  }
}

/**
 * A run broke off or went silent.
 *
 * @example
 * noteBroken(context, passage, upstream, 'other side closed')
 */
export function noteBroken (context: GatewayContext, passage: Passage, upstream: UpstreamRecord, reason: string): void {
  const now = context.clock.now()
  pause(context, upstream, reason)
  context.quarantine.broken(passage.fingerprint, now)
  context.log.info('attempt-broken', {
    request: passage.accepted.head.id,
    upstream: upstream.id,
    events: passage.progress.events,
    attempts: passage.attempts,
    after: Math.round(now - passage.arrival),
    reason
  })
}

/**
 * An upstream gave a whole answer.
 *
 * @example
 * noteWhole(context, passage, upstream)
 */
export function noteWhole (context: GatewayContext, passage: Passage, upstream: UpstreamRecord): void {
  context.upstreams.health.answered(upstream.life)
  context.quarantine.answered(passage.fingerprint, context.clock.now())
}

/**
 * An answer begins: the request has run. Counts it once among those of its organisation, and tells of one
 * that begins after its target, with what placed it.
 *
 * @example
 * noteBegun(context, passage, upstream)
 */
export function noteBegun (context: GatewayContext, passage: Passage, upstream: UpstreamRecord): void {
  const { organisation } = passage.accepted
  if (!passage.counted && organisation !== undefined) {
    passage.counted = true
    context.usage.recordStart(organisation.name, context.sharedWall())
  }
  const waited = context.clock.now() - passage.arrival
  passage.firstAnswer ??= waited
  context.metrics.record('first_answer', waited, { route: passage.accepted.route.name })
  if (waited > passage.accepted.route.target) tellLate(context, passage, upstream, waited)
}

/** One line as it begins, not for each failure while it lasts. */
function pause ({ upstreams, clock, log }: GatewayContext, upstream: UpstreamRecord, reason: string): void {
  const now = clock.now()
  if (upstreams.health.usable(upstream.life, now)) log.info('upstream-paused', { upstream: upstream.id, reason })
  upstreams.health.failed(upstream.life, now)
}

function tellLate (context: GatewayContext, passage: Passage, upstream: UpstreamRecord, waited: Milliseconds): void {
  const { accepted } = passage
  const candidates = context.upstreams.candidates(passage.service, new Set(), context.clock.now())
  context.log.info('answer-late', {
    request: accepted.head.id,
    route: accepted.route.name,
    upstream: upstream.id,
    failureDomain: upstream.failureDomain,
    target: accepted.route.target,
    waited: Math.round(waited),
    sends: passage.tried.size,
    promptTokens: accepted.head.tokens?.prompt,
    // Requests and milliseconds of reading at each upstream; the one that answers is marked.
    loads: candidates.map(({ load, upstream: one }) => `${one.life === upstream.life ? '*' : ''}${load.requests}/${Math.round(load.reading)}`).join(' ')
  })
}
