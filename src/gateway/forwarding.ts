/**
 * Life cycle of a request: acceptance, attempts at one or more upstreams as far as the route allows, answer and
 * accounting.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { readBody } from '../caller/http.js'
import type { RequestShare } from '../caller/request-memory.js'
import { afterPendingInput } from '../clock.js'
import type { Milliseconds } from '../clock.js'
import { EVENT_SEPARATION } from '../crash-causes/index.js'
import type { PartId } from '../crash-causes/index.js'
import type { Choice } from '../placement/index.js'
import { chooseService } from '../routing/index.js'
import { ServingError, toServingError } from '../verdict.js'
import { acceptHead, refusal, takeQuota } from './acceptance.js'
import type { AcceptedRequest } from './acceptance.js'
import { recordRequest } from './accounting.js'
import type { AnswerOutcome, CallerRequest, RequestEnd } from './accounting.js'
import { answerFailure } from './answering.js'
import type { GatewayContext } from './context.js'
import { CRASH_RETRY_AFTER } from './crash-causes.js'
import type { RunContinuation } from './evacuation.js'
import { fingerprintOf } from './fingerprint.js'
import { crashFailure, mayRetry, stoppingFailure } from './proxied-request.js'
import type { ProxiedRequest } from './proxied-request.js'
import { dispatchAttempt } from './attempt.js'
import type { UnsentRequest } from './stopping-rule.js'
import { findResumedOrigin } from './stream-resumption.js'
import { abortAtEnd, createTimeLimit } from './time-limit.js'
import type { AbortReason } from './time-limit.js'
import { waitForUpstream } from './upstream-wait.js'

/** `Retry-After` of a node that reads requests after their time. It has read what is pending by then; other nodes may be less busy. */
const READ_LATE_RETRY_AFTER: Milliseconds = 1_000

/**
 * Handles one request of a caller. Never rejects.
 *
 * @example
 * createCallerServer((request, response) => { forwardRequest(context, request, response) }, count)
 */
export async function forwardRequest (context: GatewayContext, request: IncomingMessage, response: ServerResponse): Promise<void> {
  const { arrivals, clock, format, log } = context
  const arrival = arrivals.of(request.socket)
  const callerRequest: CallerRequest = { head: format.readRequest(request.headers), arrival, unread: clock.now() - arrival, accepted: undefined, proxied: undefined }
  const controller = new AbortController()
  response.on('close', () => { if (!response.writableFinished) controller.abort('caller-gone' satisfies AbortReason) })
  const cleanup: (() => void)[] = []
  let end: RequestEnd
  try {
    callerRequest.proxied = await acceptRequest(context, request, response, callerRequest, controller, cleanup)
    // Failure guarded against: a busy node dispatches requests of callers that left while these waited to be read.
    await afterPendingInput()
    end = { kind: 'answered', outcome: await dispatchUntilDone(context, callerRequest.proxied) }
  } catch (error) {
    const failure = toServingError(error, 'may-have-run')
    end = { kind: 'failed', failure }
    if (failure.code === 'internal') log.error('request-failed-unexpectedly', { request: callerRequest.head.id, error: String((error as Error).stack) })
    if (controller.signal.reason !== 'caller-gone') answerFailure(response, format, callerRequest.head.id, failure)
  } finally {
    for (const step of cleanup) step()
  }
  recordRequest(context, callerRequest, end)
}

/**
 * Checks a request and reads its whole body.
 *
 * @param cleanup collects functions to be called when the request ends
 * @throws ServingError `not-run`
 */
async function acceptRequest (context: GatewayContext, request: IncomingMessage, response: ServerResponse, callerRequest: CallerRequest, controller: AbortController, cleanup: (() => void)[]): Promise<ProxiedRequest> {
  const { clock } = context
  const { head, arrival } = callerRequest
  checkHeadSize(context, request)
  const accepted = acceptHead(context.routeTable(), head, request.headers.host, request.url ?? '/')
  callerRequest.accepted = accepted
  const limit = createTimeLimit(arrival, head.deadline, accepted.route)
  const unsent: UnsentRequest = { acceptedAt: clock.now(), limitEnd: limit.end }
  checkStop(context, accepted, unsent)
  if (limit.left(clock.now()) === 0) throw refusal('timeout', 'the time limit had been reached before the request was read', READ_LATE_RETRY_AFTER)
  cleanup.push(abortAtEnd(clock, limit, controller))
  cleanup.push(context.plannedStop.watch({ ...unsent, hasBegun: () => (callerRequest.proxied?.attempts ?? 0) > 0, abort: () => controller.abort('stopped' satisfies AbortReason) }))
  const share = context.requestMemory.open()
  cleanup.push(share.release)
  const body = await readWholeBody(context, request, share, controller.signal)
  const fingerprint = fingerprintOf(request.url ?? '/', accepted.organisation?.name, body)
  if (context.quarantine.isRefused(fingerprint, clock.now())) throw refusal('overloaded', 'this request has crashed the upstreams that ran it', CRASH_RETRY_AFTER)
  const probedPart = await admitParts(context, accepted)
  const origin = await findResumedOrigin(context, accepted, controller.signal)
  const giveBack = takeQuota(context, accepted)
  const service = origin?.service ?? chooseService(accepted.route, context.random) ?? ''
  context.retryBudget(service).request(clock.now())
  const proxied: ProxiedRequest = { accepted, request, response, body, fingerprint, probedPart, arrival, acceptedAt: unsent.acceptedAt, limit, signal: controller.signal, service, side: undefined, tried: new Set(), upstream: undefined, attempts: 0, unrun: 0, deliveredAttempts: 0, progress: { lastId: head.lastEvent, events: 0, version: origin?.version }, usageCounted: false, timeToFirstAnswer: undefined }
  cleanup.push(() => { if (proxied.attempts === 0) giveBack() })
  cleanup.push(context.crashes.watch(head.sharedParts, probedPart, (isDoubtful) => abortIfDangerous(proxied, isDoubtful, controller)))
  return proxied
}

/** @throws ServingError `stopping`, `not-run`, if the node may stop before the request ends */
function checkStop ({ clock, log, plannedStop }: GatewayContext, { route, head }: AcceptedRequest, request: UnsentRequest): void {
  const times = plannedStop.times()
  if (times === undefined) return
  const now = clock.now()
  const admitted = plannedStop.mayBegin(request)
  log.info('stop-admission', { request: head.id, route: route.name, admitted, since: Math.round(now - times.since), left: Math.max(0, Math.round(times.cutOff - now)), limit: Math.max(0, Math.round(request.limitEnd - now)) })
  if (!admitted) throw stoppingFailure()
}

/**
 * Failure guarded against: a node that has just started sends what the others refuse, before it has heard from them.
 *
 * @returns the part that the request probes, if any
 * @throws ServingError `not-run` if it holds a part that crashes upstreams
 */
async function admitParts (context: GatewayContext, { head }: AcceptedRequest): Promise<PartId | undefined> {
  if (head.sharedParts.length === 0) return undefined
  await context.firstContact()
  return context.crashes.admit(head.id, head.sharedParts)
}

/**
 * Ends a request that waits, or whose upstream has sent nothing yet, as soon as a part of its prompt is known to crash upstreams.
 * One that is being answered goes on: its end tells whether the part is sound. So does one that has been sent while that is in doubt.
 */
function abortIfDangerous (proxied: ProxiedRequest, isDoubtful: boolean, controller: AbortController): void {
  const isSent = proxied.attempts > 0
  if (proxied.progress.events > 0 || (isSent && isDoubtful)) return
  controller.abort('crashes-upstreams' satisfies AbortReason)
}

/**
 * Makes attempts until an upstream has answered or no further attempt is allowed.
 *
 * @returns whether the answer was a success
 * @throws ServingError when no attempt was answered
 */
async function dispatchUntilDone (context: GatewayContext, proxied: ProxiedRequest): Promise<AnswerOutcome> {
  let continuation: RunContinuation | undefined
  for (;;) {
    const choice = continuation === undefined ? await waitForUpstream(context, proxied) : continuationChoice(continuation)
    if (crashesUpstreams(context, proxied)) throw crashFailure(proxied)
    if (proxied.attempts === 0 && !context.plannedStop.mayBegin({ acceptedAt: proxied.acceptedAt, limitEnd: proxied.limit.end })) throw stoppingFailure()
    proxied.tried.add(choice.upstream.incarnation)
    proxied.upstream = choice.upstream.id
    const result = await dispatchAttempt(context, proxied, choice, continuation?.reference)
    continuation = undefined
    switch (result.kind) {
      case 'done': return result.outcome
      case 'granted': break
      case 'moved':
        continuation = result.continuation
        break
      case 'again':
        if (!mayRetry(context, proxied, result.verdict)) throw result.failure
        if (result.upstreamEnded) await pauseAfterCrash(context, proxied)
    }
  }
}

/**
 * Failure guarded against: a request crashes several upstreams within milliseconds, and their ends count as one event, such as the loss
 * of a failure domain. Its next attempt is made once its crash would be a separate one.
 */
async function pauseAfterCrash ({ clock }: GatewayContext, { accepted, signal }: ProxiedRequest): Promise<void> {
  if (accepted.head.sharedParts.length === 0) return
  // The next wait for an upstream ends with the signal as well.
  await clock.sleep(EVENT_SEPARATION, signal).catch(() => {})
}

/** Asked before each attempt: the other nodes may have learnt of it while the request waited or ran elsewhere. */
function crashesUpstreams ({ crashes, quarantine, clock }: GatewayContext, { accepted, fingerprint, probedPart }: ProxiedRequest): boolean {
  return crashes.refusedPart(accepted.head.sharedParts, probedPart) !== undefined || quarantine.isRefused(fingerprint, clock.now())
}

/** Choice of the upstream to which a run was moved. No prefill is needed because the run's memory is already there. */
function continuationChoice ({ upstream }: RunContinuation): Choice {
  return { upstream, reading: 0, cached: 0, waiting: 0, candidates: 1 }
}

function checkHeadSize (context: GatewayContext, request: IncomingMessage): void {
  const limits = context.routeTable()?.configuration.limits
  if (limits === undefined) return
  const size = request.rawHeaders.reduce((sum, text) => sum + text.length + 2, (request.url ?? '').length)
  if (size > limits.headerBytes) throw refusal('header-too-large', `the header is larger than ${limits.headerBytes} bytes`)
}

/**
 * @returns undefined when the request has no body
 * @throws ServingError `too-large`, `overloaded`, `request-timeout` or `stopping`
 */
async function readWholeBody (context: GatewayContext, request: IncomingMessage, share: RequestShare, signal: AbortSignal): Promise<Buffer | undefined> {
  const { headers } = request
  if (headers['content-length'] === undefined && headers['transfer-encoding'] === undefined) return undefined
  const maxBytes = context.routeTable()?.configuration.limits.bodyBytes ?? Infinity
  return readBody(request, maxBytes, { share, cancel: { signal, failure: () => unreadFailure(signal.reason) } })
}

/** Failure of a request whose body had not been read when its signal was aborted. */
function unreadFailure (reason: AbortReason): ServingError {
  return reason === 'stopped' ? stoppingFailure() : refusal('request-timeout', 'the body did not come in time')
}
