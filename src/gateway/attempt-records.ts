/** Records the outcomes of a request's attempts in upstream health, usage, quarantine, metrics and the log. */
import type { Milliseconds } from '../clock.js'
import type { Choice, UpstreamRecord } from '../placement/index.js'
import type { GatewayContext } from './context.js'
import type { NotRunReason } from './exchange.js'
import type { ProxiedRequest } from './proxied-request.js'

/** Maximum number of parts of a prompt in a log line. */
const MAX_LOGGED_PARTS = 8

/**
 * Records that a request is dispatched to the chosen upstream.
 *
 * @example
 * recordDispatch(context, proxied, choice)
 */
export function recordDispatch (context: GatewayContext, proxied: ProxiedRequest, { upstream, reading: prefill, waiting, candidates }: Choice): void {
  const now = context.clock.now()
  context.metrics.record('waiting', now - proxied.arrival, { route: proxied.accepted.route.name })
  context.log.info('request-sent', {
    request: proxied.accepted.head.id,
    upstream: upstream.id,
    send: proxied.tried.size,
    reading: Math.round(prefill),
    waiting: Math.round(waiting),
    candidates,
    version: upstream.version,
    tries: context.rollouts.roleOf(upstream) === 'tried' ? upstream.version : undefined,
    lastEvent: proxied.progress.lastId,
    resumes: proxied.accepted.head.resumes,
    ...context.freshness()
  })
}

/**
 * Records that the upstream did not run an attempt.
 *
 * @example
 * recordNotRun(context, proxied, upstream, 'full')
 */
export function recordNotRun (context: GatewayContext, proxied: ProxiedRequest, upstream: UpstreamRecord, reason: NotRunReason): void {
  const { clock, upstreams, metrics, log } = context
  metrics.count('sends_not_run', { reason })
  log.info('send-not-run', { request: proxied.accepted.head.id, upstream: upstream.id, reason })
  switch (reason) {
    case 'unreachable':
      pauseUpstream(context, upstream, reason)
      return
    case 'full':
      context.backpressure.refused(upstream.incarnation)
      upstreams.health.full(upstream.incarnation, clock.now())
      return
    case 'no-connection':
      upstreams.health.full(upstream.incarnation, clock.now())
      return
    case 'another-upstream':
      // Another upstream uses the address now. The registry will report the change as well.
      upstreams.forget(upstream.incarnation)
      break
    case 'refused':
  }
}

/**
 * Records that an upstream stopped sending while it ran an attempt. Its request may be like any other.
 *
 * @example
 * recordSilence(context, upstream)
 */
export function recordSilence (context: GatewayContext, upstream: UpstreamRecord): void {
  pauseUpstream(context, upstream, 'silent')
}

/**
 * Records that an answer was longer than any that is held, and did not come to its end.
 *
 * Failure guarded against: an upstream whose answers don't end goes on getting as many requests as the others.
 *
 * @example
 * recordLongAnswer(context, upstream)
 */
export function recordLongAnswer (context: GatewayContext, upstream: UpstreamRecord): void {
  pauseUpstream(context, upstream, 'its answer does not end')
}

/**
 * Records that an upstream broke off an attempt, which its request may have caused.
 *
 * @example
 * recordBrokenRun(context, proxied, upstream, 'other side closed')
 */
export function recordBrokenRun (context: GatewayContext, { fingerprint }: ProxiedRequest, upstream: UpstreamRecord, reason: string): void {
  pauseUpstream(context, upstream, reason)
  context.quarantine.broken(fingerprint, context.clock.now())
}

/**
 * Logs that an attempt broke off, for whatever reason.
 *
 * @example
 * logBrokenAttempt(context, proxied, upstream, 'the relaying node ended the connection')
 */
export function logBrokenAttempt (context: GatewayContext, proxied: ProxiedRequest, upstream: UpstreamRecord, reason: string): void {
  context.log.info('attempt-broken', {
    request: proxied.accepted.head.id,
    upstream: upstream.id,
    events: proxied.progress.events,
    attempts: proxied.attempts,
    after: Math.round(context.clock.now() - proxied.arrival),
    reason,
    parts: sharedPartsText(proxied),
    brokenRuns: context.quarantine.brokenRuns(proxied.fingerprint)
  })
}

/** Ids of the parts of the prompt that other requests may share: all but the last one, which belongs to the request itself or its session. */
function sharedPartsText ({ accepted }: ProxiedRequest): string | undefined {
  const shared = accepted.head.parts.slice(0, -1)
  return shared.length === 0 ? undefined : shared.slice(0, MAX_LOGGED_PARTS).map(({ id }) => id).join(' ')
}

/**
 * Records that an attempt ended with its connection, as far as its upstream had not announced that it leaves: an upstream whose
 * time is over ends what still runs there.
 *
 * @param writtenFor time since its answer began; undefined if it had not begun
 * @example
 * recordCrash(context, proxied, upstream, undefined)
 */
export function recordCrash ({ upstreams, crashes }: GatewayContext, { accepted, probedPart }: ProxiedRequest, upstream: UpstreamRecord, writtenFor: Milliseconds | undefined): void {
  const isExpected = upstreams.find(upstream.incarnation)?.leaving !== false
  if (!isExpected) crashes.crashed(upstream, accepted.head.sharedParts, writtenFor, probedPart)
}

/**
 * Records that an upstream has answered completely.
 *
 * @example
 * recordCompleteAnswer(context, proxied, upstream)
 */
export function recordCompleteAnswer (context: GatewayContext, proxied: ProxiedRequest, upstream: UpstreamRecord): void {
  context.upstreams.health.answered(upstream.incarnation)
  context.quarantine.answered(proxied.fingerprint, context.clock.now())
}

/**
 * Records the time for which an attempt with a whole answer held a slot of its upstream. Time in the queue of the upstream
 * is not included: a full fleet would otherwise measure longer slot times and order engines for its own queues.
 *
 * @example
 * recordSlotTime(context, proxied, 240)
 */
export function recordSlotTime ({ work }: GatewayContext, { service, accepted }: ProxiedRequest, held: Milliseconds): void {
  work.attemptEnded(service, accepted.head.tokens?.generated ?? 0, held)
}

/**
 * Records the start of an answer, which shows that the request runs. Counts the request once in the usage of its
 * organisation, and logs an answer that starts after the route's target, with the load of the candidate upstreams.
 *
 * @example
 * recordAnswerStart(context, proxied, upstream)
 */
export function recordAnswerStart (context: GatewayContext, proxied: ProxiedRequest, upstream: UpstreamRecord): void {
  const { organisation } = proxied.accepted
  if (!proxied.usageCounted && organisation !== undefined) {
    proxied.usageCounted = true
    context.usage.recordStart(organisation.name, context.sharedWall())
  }
  const waited = context.clock.now() - proxied.arrival
  proxied.timeToFirstAnswer ??= waited
  context.metrics.record('first_answer', waited, { route: proxied.accepted.route.name })
  if (waited > proxied.accepted.route.target) logLateAnswer(context, proxied, upstream, waited)
}

/** Counts a failure against the upstream's health. Logs only the start of a pause, not each further failure during the pause. */
function pauseUpstream ({ upstreams, clock, log }: GatewayContext, upstream: UpstreamRecord, reason: string): void {
  const now = clock.now()
  if (upstreams.health.usable(upstream.incarnation, now)) log.info('upstream-paused', { upstream: upstream.id, reason })
  upstreams.health.failed(upstream.incarnation, now)
}

function logLateAnswer (context: GatewayContext, proxied: ProxiedRequest, upstream: UpstreamRecord, waited: Milliseconds): void {
  const { accepted } = proxied
  const candidates = context.upstreams.candidates(proxied.service, new Set(), context.clock.now())
  context.log.info('answer-late', {
    request: accepted.head.id,
    route: accepted.route.name,
    upstream: upstream.id,
    failureDomain: upstream.failureDomain,
    target: accepted.route.target,
    waited: Math.round(waited),
    sends: proxied.tried.size,
    promptTokens: accepted.head.tokens?.prompt,
    // Requests and milliseconds of prefill at each candidate. An asterisk marks the upstream that answers.
    loads: candidates.map(({ load, upstream: candidate }) => `${candidate.incarnation === upstream.incarnation ? '*' : ''}${load.requests}/${Math.round(load.reading)}`).join(' ')
  })
}
