/**
 * The way of a request: accepted, sent to one upstream after another as far as its kind allows, answered,
 * accounted for.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { readBody } from '../caller/http.js'
import type { Milliseconds } from '../clock.js'
import { chooseUpstream, ENGINE_COSTS, PLAIN_COSTS } from '../placement/index.js'
import type { Choice, UpstreamRecord, Work } from '../placement/index.js'
import { chooseService } from '../routing/index.js'
import { mayRepeat, ServingError, toServingError } from '../verdict.js'
import type { Verdict } from '../verdict.js'
import { acceptHead, refusal, takeQuota } from './acceptance.js'
import type { AcceptedRequest } from './acceptance.js'
import { answerFailure } from './answering.js'
import type { GatewayContext } from './context.js'
import { fingerprintOf } from './fingerprint.js'
import type { NotRunReason, UpstreamAnswer } from './exchange.js'
import { relayEvents } from './stream-relay.js'
import type { StreamProgress } from './stream-relay.js'
import type { OpenRequest } from './upstream-view.js'
import { abortAtEnd, createTimeLimit } from './time-limit.js'
import type { EndReason, TimeLimit } from './time-limit.js'

/** Part of the target for which a request waits for an upstream to get free before it is refused. */
const WAITING_PART = 1 / 8

/** Pause between two looks for a free upstream. */
const WAITING_PERIOD: Milliseconds = 10

/** When a refused caller is to come back: a replacement of a crashed upstream is in the registry by then. */
const NO_UPSTREAM_WAIT: Milliseconds = 300

/** When a caller may try a request again that crashed upstreams: it is forgotten after twice this time without news. */
const QUARANTINE_WAIT: Milliseconds = 30_000

/** Most sends of one request that no upstream ran; each cost at most a connection's timeout. */
const MOST_UNRUN_SENDS = 4

/** Reading of a prompt from which on other nodes are told at once: it delays what they send to the same upstream noticeably. */
const LONG_READING: Milliseconds = 150

/** Urgency that an upstream assumes where none is given, and the last one that it knows. */
const DEFAULT_URGENCY = 5

const SUCCESS_FROM = 200
const SUCCESS_BELOW = 300
const SERVER_ERROR = 500

/** State of one request on its way. */
interface Passage {
  readonly accepted: AcceptedRequest
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly body: Buffer | undefined
  readonly fingerprint: string
  readonly arrival: Milliseconds
  readonly limit: TimeLimit
  readonly signal: AbortSignal
  readonly service: string
  readonly tried: Set<string>
  /** Sends that an upstream may have begun to run. */
  attempts: number
  /** Sends that were not run. */
  unrun: number
  /** Sends that arrived at an upstream, run or not. */
  arrivals: number
  readonly progress: StreamProgress
  counted: boolean
}

/** What a send came to. */
type SendResult =
  | { readonly kind: 'done', readonly outcome: string }
  /** Worth another send; `verdict` says whether this one may have run. */
  | { readonly kind: 'again', readonly verdict: Verdict, readonly failure: ServingError }

/**
 * Handles one request of a caller. Never rejects.
 *
 * @example
 * createCallerServer((request, response) => { forwardRequest(context, request, response) }, count)
 */
export async function forwardRequest (context: GatewayContext, request: IncomingMessage, response: ServerResponse): Promise<void> {
  const { clock, format, log, metrics } = context
  const arrival = clock.now()
  const head = format.readRequest(request.headers)
  const controller = new AbortController()
  response.on('close', () => { if (!response.writableFinished) controller.abort('caller-gone' satisfies EndReason) })
  let passage: Passage | undefined
  let outcome: string
  let release = (): void => {}
  try {
    checkHeadSize(context, request)
    const accepted = acceptHead(context.table(), head, request.headers.host, request.url ?? '/')
    const limit = createTimeLimit(arrival, head.deadline, accepted.route)
    release = abortAtEnd(clock, limit, controller)
    const body = await readWholeBody(context, request, controller.signal)
    const fingerprint = fingerprintOf(request.url ?? '/', accepted.organisation?.name, body)
    if (context.quarantine.isRefused(fingerprint, clock.now())) throw refusal('overloaded', 'this request has crashed the upstreams that ran it', QUARANTINE_WAIT)
    const giveBack = takeQuota(context, accepted)
    const service = chooseService(accepted.route, context.random)
    passage = { accepted, request, response, body, fingerprint, arrival, limit, signal: controller.signal, service: service ?? '', tried: new Set(), attempts: 0, unrun: 0, arrivals: 0, progress: { lastId: head.lastEvent, events: 0 }, counted: false }
    context.retryBudget(passage.service).request(arrival)
    outcome = await sendUntilDone(context, passage)
    if (passage.attempts === 0) giveBack()
  } catch (error) {
    const failure = toServingError(error, 'may-have-run')
    if (failure.code === 'internal') log.error('request-failed-unexpectedly', { request: head.id, error: String((error as Error).stack) })
    outcome = failure.code
    if (controller.signal.reason !== 'caller-gone') answerFailure(response, format, head.id, failure)
    log.info('request-failed', {
      request: head.id,
      route: passage?.accepted.route.name,
      organisation: passage?.accepted.organisation?.name,
      code: failure.code,
      verdict: failure.verdict,
      reason: failure.message,
      attempts: passage?.attempts,
      unrun: passage?.unrun,
      after: Math.round(clock.now() - arrival),
      configuration: context.table()?.configuration.version
    })
  } finally {
    release()
  }
  const labels = { route: passage?.accepted.route.name ?? 'none', outcome }
  metrics.count('requests', labels)
  metrics.record('whole_answer', clock.now() - arrival, { route: labels.route })
}

/** Sends until an upstream has answered or nothing more may be sent. @returns how it ended */
async function sendUntilDone (context: GatewayContext, passage: Passage): Promise<string> {
  for (;;) {
    const choice = await findUpstream(context, passage)
    passage.tried.add(choice.upstream.id)
    const result = await sendOnce(context, passage, choice)
    if (result.kind === 'done') return result.outcome
    if (!maySendAgain(context, passage, result.verdict)) throw result.failure
  }
}

function maySendAgain (context: GatewayContext, passage: Passage, verdict: Verdict): boolean {
  const { route } = passage.accepted
  if (passage.signal.aborted || passage.unrun >= MOST_UNRUN_SENDS) return false
  // A stream goes on after the last event that was passed on; before the first one it begins anew.
  const repeatable = route.kind === 'idempotent' || (route.kind === 'stream' && route.resumable)
  if (!mayRepeat(verdict, repeatable) || passage.attempts >= route.mostAttempts) return false
  return passage.arrivals === 0 || context.retryBudget(passage.service).take(context.clock.now())
}

/** Waits for a while when no upstream may take the request now. */
async function findUpstream (context: GatewayContext, passage: Passage): Promise<Choice> {
  const { clock } = context
  const patience = Math.min(passage.limit.end, clock.now() + passage.accepted.route.target * WAITING_PART)
  for (;;) {
    const choice = choose(context, passage)
    if (choice !== undefined) {
      if (passage.tried.size === 0) context.work.add(passage.service, choice.reading, passage.accepted.head.tokens?.generated ?? 0, clock.now())
      return choice
    }
    if (passage.signal.aborted) throw endFailure(passage)
    if (clock.now() >= patience) throw unsent(passage, 'no-upstream', 'no upstream may take the request now', NO_UPSTREAM_WAIT)
    await clock.sleep(WAITING_PERIOD, passage.signal).catch(() => {})
  }
}

function choose (context: GatewayContext, passage: Passage): Choice | undefined {
  const now = context.clock.now()
  const { head } = passage.accepted
  const work: Work = { service: passage.service, parts: head.parts, promptTokens: head.tokens?.prompt ?? 0 }
  const isEngine = context.table()?.service(passage.service)?.engine !== undefined
  const candidates = context.upstreams.candidates(passage.service, passage.tried, now)
  return chooseUpstream(work, candidates, context.settings, isEngine ? ENGINE_COSTS : PLAIN_COSTS)
}

async function sendOnce (context: GatewayContext, passage: Passage, { upstream, reading }: Choice): Promise<SendResult> {
  const { clock, format, upstreams, log } = context
  const { accepted, request, limit, signal } = passage
  const open = upstreams.begin(upstream.id, reading, clock.now())
  if (reading >= LONG_READING) context.tellReading(upstream.id, reading)
  try {
    const started = await context.connections.start(upstream, {
      id: accepted.head.id,
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      headers: format.upstreamHeaders(request.rawHeaders, {
        deadline: limit.left(clock.now()),
        upstream: upstream.id,
        organisation: accepted.organisation?.name,
        urgency: Math.min(accepted.priority, DEFAULT_URGENCY),
        lastEvent: passage.progress.lastId
      }),
      body: passage.body
    }, signal)
    switch (started.kind) {
      case 'answered':
        passage.attempts += 1
        passage.arrivals += 1
        return await passAnswer(context, passage, upstream, started.answer, open)
      case 'not-run':
        passage.unrun += 1
        if (started.reason !== 'unreachable') passage.arrivals += 1
        noteUnrun(context, upstream, started.reason)
        if (signal.aborted) throw endFailure(passage)
        return { kind: 'again', verdict: 'not-run', failure: unsent(passage, 'overloaded', `upstream ${upstream.id}: ${started.reason}`, NO_UPSTREAM_WAIT) }
      case 'broken':
        passage.attempts += 1
        passage.arrivals += 1
        if (signal.aborted) throw endFailure(passage)
        noteBroken(context, passage, upstream)
        log.info('attempt-broken', { request: accepted.head.id, upstream: upstream.id, reason: started.reason })
        return { kind: 'again', verdict: 'may-have-run', failure: new ServingError(started.reason, { code: 'connection-lost', verdict: 'may-have-run' }) }
    }
  } finally {
    open.end()
  }
}

function noteUnrun (context: GatewayContext, upstream: UpstreamRecord, reason: NotRunReason): void {
  const { clock, upstreams, metrics } = context
  metrics.count('sends_not_run', { reason })
  switch (reason) {
    case 'unreachable':
      upstreams.health.failed(upstream.id, clock.now())
      return
    case 'full':
      upstreams.health.full(upstream.id, clock.now())
      return
    case 'another-upstream':
      // The address is another's now; the registry will say so as well.
      upstreams.remove(upstream.id)
      break
    case 'refused':
  }
}

async function passAnswer (context: GatewayContext, passage: Passage, upstream: UpstreamRecord, answer: UpstreamAnswer, open: OpenRequest): Promise<SendResult> {
  const isStream = passage.accepted.route.kind === 'stream' && answer.status === SUCCESS_FROM
  return isStream ? passStream(context, passage, upstream, answer, open) : passWhole(context, passage, upstream, answer)
}

async function passStream (context: GatewayContext, passage: Passage, upstream: UpstreamRecord, answer: UpstreamAnswer, open: OpenRequest): Promise<SendResult> {
  const { response, progress, signal } = passage
  const end = await relayEvents(answer, response, progress, () => {
    open.read()
    noteBegun(context, passage)
    noteFirst(context, passage, upstream)
    if (!response.headersSent) response.writeHead(answer.status, context.format.answerHeaders(answer.headers))
  }, signal)
  if (end.kind === 'whole' && progress.events > 0) {
    noteWhole(context, passage, upstream)
    response.end()
    return { kind: 'done', outcome: 'served' }
  }
  if (signal.aborted) throw endFailure(passage)
  const reason = end.kind === 'broken' ? end.reason : 'the stream had no event'
  noteBroken(context, passage, upstream)
  context.log.info('stream-broken', { request: passage.accepted.head.id, upstream: upstream.id, events: progress.events, reason })
  return { kind: 'again', verdict: 'may-have-run', failure: new ServingError(reason, { code: 'connection-lost', verdict: 'may-have-run' }) }
}

/** Reads an answer to its end before a byte is passed on, so that a torn one can be tried again or told as a failure. */
async function passWhole (context: GatewayContext, passage: Passage, upstream: UpstreamRecord, answer: UpstreamAnswer): Promise<SendResult> {
  const { response, signal } = passage
  let body: Buffer
  try {
    body = Buffer.from(await answer.body.arrayBuffer())
  } catch (error) {
    if (signal.aborted) throw endFailure(passage)
    noteBroken(context, passage, upstream)
    context.log.info('answer-broken', { request: passage.accepted.head.id, upstream: upstream.id, reason: String(error) })
    return { kind: 'again', verdict: 'may-have-run', failure: new ServingError('the answer broke off', { code: 'connection-lost', verdict: 'may-have-run' }) }
  }
  noteBegun(context, passage)
  noteFirst(context, passage, upstream)
  noteWhole(context, passage, upstream)
  if (answer.status >= SERVER_ERROR && maySendAgain(context, passage, 'ran')) {
    return { kind: 'again', verdict: 'ran', failure: new ServingError(`upstream ${upstream.id} answered ${answer.status}`, { code: 'upstream-failed', verdict: 'ran' }) }
  }
  response.writeHead(answer.status, [...context.format.answerHeaders(answer.headers), 'content-length', String(body.length)])
  response.end(body)
  return { kind: 'done', outcome: answer.status < SUCCESS_BELOW ? 'served' : 'upstream-failed' }
}

function noteBroken (context: GatewayContext, passage: Passage, upstream: UpstreamRecord): void {
  const now = context.clock.now()
  context.upstreams.health.failed(upstream.id, now)
  context.quarantine.broken(passage.fingerprint, now)
}

function noteWhole (context: GatewayContext, passage: Passage, upstream: UpstreamRecord): void {
  context.upstreams.health.answered(upstream.id)
  context.quarantine.answered(passage.fingerprint, context.clock.now())
}

/** Counts the request once among those of its organisation that began to run. */
function noteBegun (context: GatewayContext, passage: Passage): void {
  const { organisation } = passage.accepted
  if (passage.counted || organisation === undefined) return
  passage.counted = true
  context.usage.began(organisation.name, context.sharedWall())
}

/** Tells of an answer that began after its target, with what placed it. */
function noteFirst (context: GatewayContext, passage: Passage, upstream: UpstreamRecord): void {
  const { accepted, arrival } = passage
  const waited = context.clock.now() - arrival
  context.metrics.record('first_answer', waited, { route: accepted.route.name })
  if (waited <= accepted.route.target) return
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
    loads: candidates.map(({ load, upstream: one }) => `${one.id === upstream.id ? '*' : ''}${load.requests}/${Math.round(load.reading)}`).join(' ')
  })
}

/** The failure of a request whose signal was aborted. */
function endFailure (passage: Passage): ServingError {
  const reason = passage.signal.reason as EndReason
  const verdict: Verdict = passage.attempts > 0 ? 'may-have-run' : 'not-run'
  switch (reason) {
    case 'time-limit': return new ServingError('the time limit was reached', { code: 'timeout', verdict, ...(verdict === 'not-run' ? { retryAfter: NO_UPSTREAM_WAIT } : {}) })
    case 'caller-gone': return new ServingError('the caller has left', { code: 'cancelled', verdict })
    case 'stopped': return new ServingError('the node stops', { code: 'stopping', verdict })
  }
}

/** A request that can't be sent now: not run, unless an earlier send of it may have. */
function unsent (passage: Passage, code: 'no-upstream' | 'overloaded', message: string, retryAfter: Milliseconds): ServingError {
  if (passage.attempts > 0) return new ServingError(message, { code: 'upstream-failed', verdict: 'may-have-run' })
  return refusal(code, message, retryAfter)
}

function checkHeadSize (context: GatewayContext, request: IncomingMessage): void {
  const limits = context.table()?.configuration.limits
  if (limits === undefined) return
  const size = request.rawHeaders.reduce((sum, text) => sum + text.length + 2, (request.url ?? '').length)
  if (size > limits.headerBytes) throw refusal('header-too-large', `the header is larger than ${limits.headerBytes} bytes`)
}

/** @returns undefined when the request has no body */
async function readWholeBody (context: GatewayContext, request: IncomingMessage, signal: AbortSignal): Promise<Buffer | undefined> {
  const { headers } = request
  if (headers['content-length'] === undefined && headers['transfer-encoding'] === undefined) return undefined
  const most = context.table()?.configuration.limits.bodyBytes ?? Infinity
  const slow = new Promise<never>((_resolve, reject) => {
    signal.addEventListener('abort', () => reject(refusal('request-timeout', 'the body did not come in time')), { once: true })
  })
  return Promise.race([readBody(request, most), slow])
}
