/** One attempt of a request at one upstream, including the relay of its answer. */
import { onAbort } from '../abort-listeners.js'
import type { Milliseconds } from '../clock.js'
import { SURVIVAL_TIME } from '../crash-causes/index.js'
import { prefillTime } from '../placement/index.js'
import type { Choice, InFlightRequest, PrefillSample, UpstreamRecord } from '../placement/index.js'
import { ServingError } from '../verdict.js'
import type { Verdict } from '../verdict.js'
import type { AnswerOutcome } from './accounting.js'
import { answerWhole } from './answering.js'
import type { GatewayContext } from './context.js'
import type { RunContinuation, RunLocation, WatchedRun } from './evacuation.js'
import { brokenBy } from './exchange.js'
import type { BrokenBy, ExchangeStart, UpstreamAnswer } from './exchange.js'
import { logBrokenAttempt, recordAnswerStart, recordBrokenRun, recordCrash, recordDispatch, recordLongAnswer, recordNotRun, recordCompleteAnswer, recordSilence, recordSlotTime } from './attempt-records.js'
import { abortFailure, mayRetry, undispatchedFailure } from './proxied-request.js'
import type { ProxiedRequest } from './proxied-request.js'
import { eventTimeout, firstAnswerTimeout, startWatchdog } from './response-watchdog.js'
import type { Watchdog } from './response-watchdog.js'
import { readPlainAnswer } from './plain-answer.js'
import type { PlainAnswerEnd } from './plain-answer.js'
import { relayEvents } from './stream-relay.js'
import { needsOriginRecord, routeKeyOf } from './stream-resumption.js'
import type { VersionObservation } from './rollouts.js'
import type { AbortReason } from './time-limit.js'

/** Result of an attempt. */
export type DispatchResult =
  | { readonly kind: 'done', readonly outcome: AnswerOutcome }
  /** The attempt was not answered. `verdict` states whether it may have run, `upstreamEnded` whether its upstream may have crashed. */
  | { readonly kind: 'again', readonly verdict: Verdict, readonly failure: ServingError, readonly upstreamEnded: boolean }
  /** The attempt timed out or the upstream answered with a server error. A further attempt has already been granted. */
  | { readonly kind: 'granted' }
  /** The upstream is leaving, and the run continues at another one. */
  | { readonly kind: 'moved', readonly continuation: RunContinuation }

/** State of one attempt. */
interface Attempt {
  readonly upstream: UpstreamRecord
  readonly choice: Choice
  /** Whether the upstream generates the answer from its beginning: neither a resumed stream nor a moved run. */
  readonly isWholeRun: boolean
  readonly open: InFlightRequest
  /** Aborts with the request, or when the upstream timed out and a further attempt was granted. */
  readonly signal: AbortSignal
  /** Ends the dependence of the signal on that of the request. */
  readonly unlink: () => void
  readonly watchdog: Watchdog
  readonly isTimedOut: () => boolean
  /** Sample of the engine's prefill speed, completed by the first event; undefined if that time includes other delays. */
  readonly prefillSample: Omit<PrefillSample, 'took'> | undefined
  readonly since: Milliseconds
  /** Evidence about the upstream's version; undefined if no versions are being compared. */
  readonly comparison: VersionObservation | undefined
  /** Predicted time to the answer. */
  readonly expected: Milliseconds
  /** Undefined if the run survives the loss of its upstream, or cannot be moved. */
  readonly watchedRun: WatchedRun | undefined
}

/**
 * Prefill time from which other nodes are notified of a prompt at once. A prompt of this length noticeably delays their
 * requests to the same upstream where nodes are few.
 */
const LONG_PREFILL: Milliseconds = 150

/**
 * Fraction of the target below which answer times count as equal when versions are compared. It prevents a false alarm
 * when a very fast answer takes several times its predicted time, for example 3 ms instead of 1 ms on a busy machine.
 */
const COMPARISON_FLOOR_FRACTION = 1 / 16

/** Urgency that an upstream assumes if none is given. Lower urgencies are not distinguished. */
const DEFAULT_URGENCY = 5

const SUCCESS = 200
const REDIRECTION = 300
const SERVER_ERROR = 500

/**
 * Makes one attempt of a request at an upstream and relays the answer.
 *
 * @param memory reference to the copy of the run's memory from which a moved run continues
 * @throws ServingError when the request's time limit is reached or its caller has disconnected
 * @example
 * const result = await dispatchAttempt(context, proxied, choice)
 */
export async function dispatchAttempt (context: GatewayContext, proxied: ProxiedRequest, choice: Choice, memory?: string): Promise<DispatchResult> {
  const attempt = beginAttempt(context, proxied, choice, memory)
  recordDispatch(context, proxied, choice)
  proxied.attempts += 1
  proxied.deliveredAttempts += 1
  try {
    const started = await context.connections.start(attempt.upstream, buildUpstreamRequest(context, proxied, attempt.upstream, memory), attempt.signal)
    return await handleExchangeStart(context, proxied, attempt, started)
  } catch (error) {
    context.crashes.left(attempt.upstream, proxied.accepted.head.sharedParts)
    throw error
  } finally {
    attempt.watchdog.stop()
    attempt.unlink()
    attempt.open.end(context.clock.now())
    attempt.watchedRun?.end()
  }
}

function beginAttempt (context: GatewayContext, proxied: ProxiedRequest, choice: Choice, memory: string | undefined): Attempt {
  const { upstream, reading: prefill } = choice
  const controller = new AbortController()
  let isTimedOut = false
  const unlink = onAbort(proxied.signal, () => controller.abort(proxied.signal.reason))
  const comparison = memory === undefined ? context.rollouts.begin(proxied.accepted.route.name, upstream) : undefined
  const open = context.upstreams.begin(choice, context.clock.now())
  if (prefill >= LONG_PREFILL) context.announcePrefill(upstream.incarnation, prefill)
  const since = context.clock.now()
  const watchdog = startWatchdog(context.clock, answerTimeout(context, proxied, choice), () => {
    context.connections.checkPath(upstream, since)
    if (!mayRetry(context, proxied, 'may-have-run')) return
    observeAnswerTime(context, proxied, upstream, since)
    isTimedOut = true
    controller.abort()
  })
  return {
    upstream,
    choice,
    isWholeRun: memory === undefined && proxied.progress.events === 0 && proxied.progress.lastId === undefined,
    open,
    signal: controller.signal,
    unlink,
    watchdog,
    isTimedOut: () => isTimedOut,
    prefillSample: memory === undefined ? prefillSampleOf(proxied, choice) : undefined,
    since,
    comparison,
    expected: comparison === undefined ? 0 : expectedTime(context, proxied, choice, comparison),
    watchedRun: watchRun(context, proxied, upstream)
  }
}

/** Time after which a further attempt is made, if the route and the retry budget of the service allow one. */
function answerTimeout ({ speeds, upstreams }: GatewayContext, { accepted, service }: ProxiedRequest, { upstream, reading, waiting, firstAnswer = 0 }: Choice): Milliseconds {
  const { route } = accepted
  const overdueAfter = route.kind === 'idempotent' ? upstreams.answerTimes.overdueAfter(upstream.incarnation, route.name, route.target, waiting + firstAnswer) : undefined
  return overdueAfter ?? firstAnswerTimeout(route, waiting + reading, speeds.of(service).base)
}

/** Adds the time of an answer, or of an attempt that is given up, to those from which overdue answers are recognised. */
function observeAnswerTime ({ clock, upstreams }: GatewayContext, { accepted }: ProxiedRequest, { incarnation }: UpstreamRecord, since: Milliseconds): void {
  const now = clock.now()
  if (accepted.route.kind === 'idempotent') upstreams.answerTimes.observe(incarnation, accepted.route.name, now - since, now)
}

/**
 * Returns undefined for a resumed stream, which does not show the prefill speed. Prompts that wait behind others count: the
 * sizes follow from the speed under load, and the estimate is a low quantile.
 */
function prefillSampleOf ({ accepted, progress }: ProxiedRequest, { cached }: Choice): Attempt['prefillSample'] {
  const { tokens } = accepted.head
  if (tokens === undefined || progress.lastId !== undefined) return undefined
  return { tokens: tokens.prompt - cached, cached }
}

/**
 * Predicts the time to the answer. A newly started engine of the version being tried has no cached prompts, so its
 * whole prompt counts; a missing cache must not be held against the version.
 */
function expectedTime ({ speeds }: GatewayContext, { service, accepted }: ProxiedRequest, { reading: prefill, waiting }: Choice, { side }: VersionObservation): Milliseconds {
  const { tokens } = accepted.head
  if (tokens === undefined) return 0
  const speed = speeds.of(service)
  return speed.base + waiting + (side === 'tried' ? prefillTime(tokens.prompt, 0, speed) : prefill)
}

/** Reports the time to the complete answer, or to the first event of a stream, to the comparison of versions. */
function recordAnswerTime ({ accepted }: ProxiedRequest, { comparison, expected }: Attempt, took: Milliseconds): void {
  const floor = accepted.route.target * COMPARISON_FLOOR_FRACTION
  comparison?.answered(Math.max(took, floor), Math.max(expected, floor))
}

/** Records the first event of a stream, which shows that the prefill is complete. */
function recordPrefillEnd ({ clock, speeds }: GatewayContext, proxied: ProxiedRequest, attempt: Attempt): void {
  const { open, prefillSample: sample, since } = attempt
  const now = clock.now()
  const took = now - since
  open.answered(now)
  if (sample !== undefined) speeds.observe(proxied.service, { ...sample, took })
  recordAnswerTime(proxied, attempt, took)
}

function watchRun (context: GatewayContext, proxied: ProxiedRequest, upstream: UpstreamRecord): WatchedRun | undefined {
  const { route, head } = proxied.accepted
  const isLostWithUpstream = route.kind === 'stream' && !route.resumable
  const canMove = context.routeTable()?.service(proxied.service)?.canMoveRuns === true
  return isLostWithUpstream && canMove ? context.evacuation.watch(upstream, head.id, proxied.signal) : undefined
}

function buildUpstreamRequest (context: GatewayContext, proxied: ProxiedRequest, upstream: UpstreamRecord, memory: string | undefined): Parameters<GatewayContext['connections']['start']>[1] {
  const { accepted, request, limit } = proxied
  return {
    id: accepted.head.id,
    method: request.method ?? 'GET',
    path: request.url ?? '/',
    headers: context.format.upstreamHeaders(request.rawHeaders, {
      deadline: limit.left(context.clock.now()),
      upstream: upstream.id,
      organisation: accepted.organisation?.name,
      urgency: Math.min(accepted.priority, DEFAULT_URGENCY),
      lastEvent: proxied.progress.lastId,
      memory
    }),
    body: proxied.body
  }
}

async function handleExchangeStart (context: GatewayContext, proxied: ProxiedRequest, attempt: Attempt, started: ExchangeStart): Promise<DispatchResult> {
  switch (started.kind) {
    case 'answered': {
      context.crashes.alive(attempt.upstream, attempt.since)
      const isStream = proxied.accepted.route.kind === 'stream' && started.answer.status === SUCCESS
      return isStream ? relayStream(context, proxied, attempt, started.answer) : relayPlainAnswer(context, proxied, attempt, started.answer)
    }
    case 'not-run':
      proxied.attempts -= 1
      proxied.unrun += 1
      if (started.reason === 'unreachable') proxied.deliveredAttempts -= 1
      recordNotRun(context, proxied, attempt.upstream, started.reason)
      if (proxied.signal.aborted) throw abortFailure(proxied)
      return { kind: 'again', verdict: 'not-run', failure: undispatchedFailure(proxied, 'overloaded', `upstream ${attempt.upstream.id}: ${started.reason}`), upstreamEnded: false }
    case 'broken':
      return handleBrokenAttempt(context, proxied, attempt, started)
    // It says nothing about the upstream and must not count as a crash. It goes on counting as an attempt that may have run.
    case 'unsent':
      recordNotRun(context, proxied, attempt.upstream, 'no-connection')
      if (proxied.signal.aborted) throw abortFailure(proxied)
      return { kind: 'granted' }
  }
}

/** How an attempt broke off. */
interface BrokenEnd {
  readonly reason: string
  readonly by: BrokenBy
  /** Time since its answer began; missing if it had not begun. */
  readonly writtenFor?: Milliseconds
}

function handleBrokenAttempt (context: GatewayContext, proxied: ProxiedRequest, attempt: Attempt, { reason, by, writtenFor }: BrokenEnd): DispatchResult {
  const isRelayLost = by === 'relay'
  // A caller that disconnects says nothing about the upstream, nor does a relaying node. An answer that did not arrive in time does.
  if (!isRelayLost && (!proxied.signal.aborted || proxied.signal.reason === ('time-limit' satisfies AbortReason))) attempt.comparison?.interrupted()
  if (proxied.signal.aborted) throw abortFailure(proxied)
  const isTimedOut = attempt.isTimedOut()
  if (by === 'connection' && !isTimedOut) recordCrash(context, proxied, attempt.upstream, writtenFor)
  if (isRelayLost || isTimedOut) context.crashes.left(attempt.upstream, proxied.accepted.head.sharedParts)
  if (isTimedOut && !isRelayLost) recordSilence(context, attempt.upstream)
  if (!isTimedOut && !isRelayLost) recordBrokenRun(context, proxied, attempt.upstream, reason)
  logBrokenAttempt(context, proxied, attempt.upstream, isTimedOut ? 'silent' : reason)
  if (isTimedOut) return { kind: 'granted' }
  return { kind: 'again', verdict: 'may-have-run', failure: new ServingError(reason, { code: 'connection-lost', verdict: 'may-have-run' }), upstreamEnded: by === 'connection' }
}

async function relayStream (context: GatewayContext, proxied: ProxiedRequest, attempt: Attempt, answer: UpstreamAnswer): Promise<DispatchResult> {
  const { response, progress } = proxied
  let events = 0
  let firstEventAt: Milliseconds = 0
  let hasSurvived = false
  const end = await relayEvents(answer, response, progress, (count) => {
    attempt.watchdog.heard(eventTimeout(proxied.accepted.route))
    if (events === 0) {
      firstEventAt = context.clock.now()
      recordPrefillEnd(context, proxied, attempt)
    } else if (!hasSurvived && context.clock.now() - firstEventAt >= SURVIVAL_TIME) {
      hasSurvived = true
      context.crashes.survived(proxied.accepted.head.sharedParts, firstEventAt)
    }
    if (!response.headersSent) {
      recordAnswerStart(context, proxied, attempt.upstream)
      response.writeHead(answer.status, context.format.answerHeaders(answer.headers))
      recordOrigin(context, proxied, attempt.upstream)
    }
    events += count
  }, { held: context.heldAnswers.open(), pace: context.beginPacedAnswer(), signal: attempt.signal })
  const location: RunLocation = await attempt.watchedRun?.location() ?? { kind: 'same' }
  if (proxied.signal.aborted) throw abortFailure(proxied)
  // A moved run continues elsewhere, regardless of how its stream was closed here.
  if (location.kind === 'moved') return { kind: 'moved', continuation: location.continuation }
  if (end.kind === 'broken') return handleBrokenAttempt(context, proxied, attempt, events === 0 ? end : { ...end, writtenFor: context.clock.now() - firstEventAt })
  // An answer that tells its end by itself ended before its run was stopped.
  if (location.kind === 'stopped' && !answer.isFramed) return handleBrokenAttempt(context, proxied, attempt, { reason: 'it was stopped for a move that was refused', by: 'answer' })
  if (location.kind === 'unknown') return handleBrokenAttempt(context, proxied, attempt, { reason: 'it may have been moved', by: 'answer' })
  if (progress.events === 0) return handleBrokenAttempt(context, proxied, attempt, { reason: 'the stream had no event', by: 'answer' })
  recordCompleteAnswer(context, proxied, attempt.upstream)
  if (events > 0) context.crashes.survived(proxied.accepted.head.sharedParts, firstEventAt)
  if (attempt.isWholeRun) recordSlotTime(context, proxied, attempt.choice.reading + context.clock.now() - firstEventAt)
  response.end()
  context.streamOrigins.ended(streamIdOf(proxied))
  return { kind: 'done', outcome: 'served' }
}

/** From its first event on, the stream continues at this version only. */
function recordOrigin (context: GatewayContext, proxied: ProxiedRequest, { version }: UpstreamRecord): void {
  const { accepted, service, limit, progress } = proxied
  const { route } = accepted
  progress.version = version
  if (!route.resumable) return
  context.streamOrigins.began(streamIdOf(proxied), routeKeyOf(route), { origin: { service, version }, until: limit.end, isInferable: () => !needsOriginRecord(context, accepted) })
}

/** Id by which the caller names the stream when it takes it up: that of the attempt that brought the first event. */
function streamIdOf ({ accepted: { head } }: ProxiedRequest): string {
  return head.lastEvent === undefined || head.resumes === undefined ? head.id : head.resumes
}

/**
 * Holds the whole answer before it is sent, so that one that breaks off can be replaced or reported as a failure. An answer for which the
 * node has no room is passed on as it comes.
 */
async function relayPlainAnswer (context: GatewayContext, proxied: ProxiedRequest, attempt: Attempt, answer: UpstreamAnswer): Promise<DispatchResult> {
  const { response } = proxied
  const began = context.clock.now()
  let isPassedOn = false
  let isTooLong = false
  let isGivenUp = false
  let end: PlainAnswerEnd
  try {
    end = await readPlainAnswer(answer, response, { held: context.heldAnswers.open(), pace: context.beginPacedAnswer(), signal: attempt.signal }, {
      onTooLong: () => {
        isTooLong = true
        isGivenUp = hasOtherUpstream(context, proxied) && mayRetry(context, proxied, 'may-have-run')
        return isGivenUp
      },
      onPassingOn: () => {
        isPassedOn = true
        attempt.watchdog.stop()
        recordPlainAnswer(context, proxied, attempt, answer)
        return context.format.answerHeaders(answer.headers)
      }
    })
  } catch (error) {
    // A caller that has left, or that reads slowly, ends the answer as well.
    if (isTooLong && proxied.signal.reason !== ('caller-gone' satisfies AbortReason) && !response.writableNeedDrain) recordLongAnswer(context, attempt.upstream)
    if (isGivenUp) {
      logBrokenAttempt(context, proxied, attempt.upstream, 'its answer is too long')
      return { kind: 'granted' }
    }
    const result = handleBrokenAttempt(context, proxied, attempt, { reason: `the answer broke off: ${String(error)}`, by: brokenBy(error), writtenFor: context.clock.now() - began })
    // What the caller has received can't be taken back.
    if (isPassedOn && result.kind === 'again') throw result.failure
    return result
  }
  attempt.watchdog.stop()
  if (!isPassedOn) recordPlainAnswer(context, proxied, attempt, answer)
  recordCompleteAnswer(context, proxied, attempt.upstream)
  if (answer.status < REDIRECTION) context.crashes.survived(proxied.accepted.head.sharedParts, began)
  if (end.kind === 'held') {
    if (answer.status >= SERVER_ERROR && mayRetry(context, proxied, 'ran')) {
      end.release()
      return { kind: 'granted' }
    }
    answerWhole(response, answer.status, context.format.answerHeaders(answer.headers), end.body, answer.isFramed)
  }
  return { kind: 'done', outcome: answer.status < REDIRECTION ? 'served' : 'upstream-failed' }
}

function hasOtherUpstream ({ upstreams, clock }: GatewayContext, { service, tried }: ProxiedRequest): boolean {
  return upstreams.candidates(service, tried, clock.now()).length > 0
}

/** Records the time of an answer that is sent from now on. */
function recordPlainAnswer (context: GatewayContext, proxied: ProxiedRequest, attempt: Attempt, answer: UpstreamAnswer): void {
  const now = context.clock.now()
  const took = now - attempt.since
  attempt.open.answered(now)
  observeAnswerTime(context, proxied, attempt.upstream, attempt.since)
  if (answer.status >= SERVER_ERROR) attempt.comparison?.failed()
  else recordAnswerTime(proxied, attempt, took)
  if (attempt.isWholeRun && answer.status < REDIRECTION) recordSlotTime(context, proxied, Math.max(attempt.choice.reading, took - attempt.choice.waiting))
  recordAnswerStart(context, proxied, attempt.upstream)
}
