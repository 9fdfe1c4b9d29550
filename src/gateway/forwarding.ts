/**
 * The way of a request: accepted, sent to one upstream after another as far as its kind allows, answered,
 * accounted for.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { readBody } from '../caller/http.js'
import type { Milliseconds } from '../clock.js'
import { chooseUpstream, ENGINE_COSTS, PLAIN_COSTS } from '../placement/index.js'
import type { Choice, Work } from '../placement/index.js'
import { chooseService } from '../routing/index.js'
import { toServingError } from '../verdict.js'
import type { ServingError } from '../verdict.js'
import { acceptHead, refusal, takeQuota } from './acceptance.js'
import { account } from './accounting.js'
import type { AnswerOutcome, Call, Ending } from './accounting.js'
import { answerFailure } from './answering.js'
import type { GatewayContext } from './context.js'
import type { Continuation } from './evacuation.js'
import { fingerprintOf } from './fingerprint.js'
import { endFailure, maySendAgain, NO_UPSTREAM_WAIT, unsent } from './passage.js'
import type { Passage } from './passage.js'
import { sendOnce } from './sending.js'
import { mayBegin } from './stopping-rule.js'
import { abortAtEnd, createTimeLimit } from './time-limit.js'
import type { EndReason } from './time-limit.js'

/** Part of the target for which a request waits for an upstream to get free before it is refused. */
const WAITING_PART = 1 / 8

/** Pause between two looks for a free upstream. */
const WAITING_PERIOD: Milliseconds = 10

/** When a caller may try a request again that crashed upstreams: it is forgotten after twice this time without news. */
const QUARANTINE_WAIT: Milliseconds = 30_000

/** A caller that is turned away by a stopping node asks another one at once. */
const STOPPING_WAIT: Milliseconds = 10

/**
 * Handles one request of a caller. Never rejects.
 *
 * @example
 * createCallerServer((request, response) => { forwardRequest(context, request, response) }, count)
 */
export async function forwardRequest (context: GatewayContext, request: IncomingMessage, response: ServerResponse): Promise<void> {
  const { clock, format, log } = context
  const call: Call = { head: format.readRequest(request.headers), arrival: clock.now(), accepted: undefined, passage: undefined }
  const controller = new AbortController()
  response.on('close', () => { if (!response.writableFinished) controller.abort('caller-gone' satisfies EndReason) })
  const undo: (() => void)[] = []
  let ending: Ending
  try {
    call.passage = await accept(context, request, response, call, controller, undo)
    ending = { kind: 'answered', outcome: await sendUntilDone(context, call.passage) }
  } catch (error) {
    const failure = toServingError(error, 'may-have-run')
    ending = { kind: 'failed', failure }
    if (failure.code === 'internal') log.error('request-failed-unexpectedly', { request: call.head.id, error: String((error as Error).stack) })
    if (controller.signal.reason !== 'caller-gone') answerFailure(response, format, call.head.id, failure)
  } finally {
    for (const step of undo) step()
  }
  account(context, call, ending)
}

/**
 * Checks a request and reads it whole.
 *
 * @param undo what is to be done at its end
 * @throws ServingError `not-run`
 */
async function accept (context: GatewayContext, request: IncomingMessage, response: ServerResponse, call: Call, controller: AbortController, undo: (() => void)[]): Promise<Passage> {
  const { clock } = context
  const { head, arrival } = call
  checkHeadSize(context, request)
  const accepted = acceptHead(context.table(), head, request.headers.host, request.url ?? '/')
  call.accepted = accepted
  const stop = context.stop()
  if (stop !== undefined && !mayBegin({ now: arrival, ...stop }, accepted.route, head, context.speeds.of(accepted.route.destinations[0]?.service ?? ''))) throw refusal('stopping', 'this node stops before the request would end', STOPPING_WAIT)
  const limit = createTimeLimit(arrival, head.deadline, accepted.route)
  undo.push(abortAtEnd(clock, limit, controller))
  const body = await readWholeBody(context, request, controller.signal)
  const fingerprint = fingerprintOf(request.url ?? '/', accepted.organisation?.name, body)
  if (context.quarantine.isRefused(fingerprint, clock.now())) throw refusal('overloaded', 'this request has crashed the upstreams that ran it', QUARANTINE_WAIT)
  const giveBack = takeQuota(context, accepted)
  const service = chooseService(accepted.route, context.random) ?? ''
  context.retryBudget(service).request(arrival)
  const passage: Passage = { accepted, request, response, body, fingerprint, arrival, limit, signal: controller.signal, service, side: undefined, tried: new Set(), upstream: undefined, attempts: 0, unrun: 0, arrivals: 0, progress: { lastId: head.lastEvent, events: 0 }, counted: false, firstAnswer: undefined }
  undo.push(() => { if (passage.attempts === 0) giveBack() })
  return passage
}

/** Sends until an upstream has answered or nothing more may be sent. @returns how it ended */
async function sendUntilDone (context: GatewayContext, passage: Passage): Promise<AnswerOutcome> {
  let continuation: Continuation | undefined
  for (;;) {
    const choice = continuation === undefined ? await findUpstream(context, passage) : continued(continuation)
    passage.tried.add(choice.upstream.life)
    passage.upstream = choice.upstream.id
    const result = await sendOnce(context, passage, choice, continuation?.reference)
    continuation = undefined
    switch (result.kind) {
      case 'done': return result.outcome
      case 'granted': break
      case 'moved':
        continuation = result.continuation
        break
      case 'again': if (!maySendAgain(context, passage, result.verdict)) throw result.failure
    }
  }
}

/** Its prompt has been read, and its memory is there. */
function continued ({ upstream }: Continuation): Choice {
  return { upstream, reading: 0, cached: 0, waiting: 0, candidates: 1 }
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
    const withheld = withheldFor(context, passage)
    if (clock.now() + withheld >= patience) throw noUpstream(context, passage, withheld)
    await clock.sleep(WAITING_PERIOD, passage.signal).catch(() => {})
  }
}

/**
 * Time until the first upstream takes requests of this node again, where all have asked for less; 0 elsewhere. A request that
 * can't be sent in time is refused at once, with the time at which it can.
 */
function withheldFor ({ clock, upstreams, backpressure }: GatewayContext, { service, tried }: Passage): Milliseconds {
  const waits = upstreams.notLeaving(service, tried).map(({ life }) => backpressure.wait(life, clock.now()))
  return waits.length === 0 ? 0 : Math.min(...waits)
}

function noUpstream (context: GatewayContext, passage: Passage, withheld: Milliseconds): ServingError {
  const { clock, log, upstreams } = context
  log.info('upstream-not-found', {
    request: passage.accepted.head.id,
    service: passage.service,
    ready: upstreams.candidates(passage.service, new Set(), clock.now()).length,
    tried: passage.tried.size,
    waited: Math.round(clock.now() - passage.arrival),
    withheld: withheld > 0 ? Math.round(withheld) : undefined,
    ...context.sources()
  })
  return unsent(passage, 'no-upstream', 'no upstream may take the request now', Math.max(NO_UPSTREAM_WAIT, withheld))
}

function choose (context: GatewayContext, passage: Passage): Choice | undefined {
  const now = context.clock.now()
  const { head, route } = passage.accepted
  const work: Work = { service: passage.service, parts: head.parts, promptTokens: head.tokens?.prompt ?? 0, target: route.target, bound: route.kind === 'stream' && !route.resumable }
  const hasEngines = context.table()?.service(passage.service)?.hasEngines === true
  passage.side ??= context.rollouts.side(passage.service)
  // What a new version failed is sent again to one that is known to serve.
  const side = passage.tried.size === 0 ? passage.side : 'serving'
  const candidates = context.upstreams.candidates(passage.service, passage.tried, now, (present) => context.rollouts.admit(passage.service, side, present))
  const choice = chooseUpstream(work, candidates, context.settings, hasEngines ? ENGINE_COSTS : PLAIN_COSTS, context.speeds.of(passage.service))
  if (choice !== undefined) context.backpressure.taken(choice.upstream.life, now)
  return choice
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
