/** One send of a request to one upstream, and the passing on of its answer. */
import type { Milliseconds } from '../clock.js'
import { readingTime } from '../placement/index.js'
import type { Choice, ReadingSample, UpstreamRecord } from '../placement/index.js'
import { ServingError } from '../verdict.js'
import type { Verdict } from '../verdict.js'
import type { AnswerOutcome } from './accounting.js'
import type { GatewayContext } from './context.js'
import type { Continuation, RunPlace, WatchedRun } from './evacuation.js'
import type { ExchangeStart, UpstreamAnswer } from './exchange.js'
import { recordAnswerStart, recordBrokenAttempt, recordDispatch, recordNotRun, recordCompleteAnswer } from './attempt-records.js'
import { endFailure, maySendAgain, unsent } from './passage.js'
import type { Passage } from './passage.js'
import { eventBound, firstAnswerBound, watchSilence } from './silence.js'
import type { SilenceWatch } from './silence.js'
import { relayEvents } from './stream-relay.js'
import type { VersionObservation } from './rollouts.js'
import type { EndReason } from './time-limit.js'
import type { InFlightRequest } from './upstream-view.js'

/** What a send came to. */
export type SendResult =
  | { readonly kind: 'done', readonly outcome: AnswerOutcome }
  /** It wasn't answered; `verdict` says whether it may have run. */
  | { readonly kind: 'again', readonly verdict: Verdict, readonly failure: ServingError }
  /** The upstream was silent for too long; another send is granted already. */
  | { readonly kind: 'granted' }
  /** Its upstream leaves, and the run goes on at another. */
  | { readonly kind: 'moved', readonly continuation: Continuation }

/** One send. */
interface Attempt {
  readonly upstream: UpstreamRecord
  readonly open: InFlightRequest
  /** Aborts with the request, or when the upstream is silent and another send was granted. */
  readonly signal: AbortSignal
  readonly silence: SilenceWatch
  readonly isSilent: () => boolean
  /** What its first event will tell of the engine's speed; undefined where other things go into that time as well. */
  readonly sample: Omit<ReadingSample, 'took'> | undefined
  readonly since: Milliseconds
  /** What it shows of its upstream's version; undefined where versions aren't compared. */
  readonly comparison: VersionObservation | undefined
  /** Time until its answer as far as its work tells. */
  readonly expected: Milliseconds
  /** Undefined where the run isn't lost with its upstream, or can't be moved. */
  readonly watched: WatchedRun | undefined
}

/** Reading of a prompt from which on other nodes are told at once, where they are few: it delays what they send to the same upstream noticeably. */
const LONG_READING: Milliseconds = 150

/**
 * Part of the target below which answers are all alike when versions are compared: three times one millisecond is no
 * fault, and what a busy machine adds to a fast answer is none either.
 */
const ALIKE_PART = 1 / 16

/** Urgency that an upstream assumes where none is given; ranks beyond it are not told apart. */
const DEFAULT_URGENCY = 5

const SUCCESS = 200
const REDIRECTION = 300
const SERVER_ERROR = 500

/**
 * Sends a request to an upstream and passes its answer on.
 *
 * @param memory copy of the run's memory that it goes on from
 * @throws ServingError when the request's time is up or its caller has left
 * @example
 * const result = await sendOnce(context, passage, choice)
 */
export async function sendOnce (context: GatewayContext, passage: Passage, choice: Choice, memory?: string): Promise<SendResult> {
  const attempt = beginAttempt(context, passage, choice, memory)
  recordDispatch(context, passage, choice)
  passage.attempts += 1
  passage.arrivals += 1
  try {
    const started = await context.connections.start(attempt.upstream, upstreamRequest(context, passage, attempt.upstream, memory), attempt.signal)
    return await settle(context, passage, attempt, started)
  } finally {
    attempt.silence.stop()
    attempt.open.end()
    attempt.watched?.end()
  }
}

function beginAttempt (context: GatewayContext, passage: Passage, choice: Choice, memory: string | undefined): Attempt {
  const { upstream, reading, waiting } = choice
  const controller = new AbortController()
  const comparison = memory === undefined ? context.rollouts.begin(passage.accepted.route.name, upstream) : undefined
  const open = context.upstreams.begin(upstream.life, reading, context.clock.now())
  if (reading >= LONG_READING) context.tellReading(upstream.life, reading)
  const silence = watchSilence(context.clock, firstAnswerBound(passage.accepted.route, waiting + reading, context.speeds.of(passage.service).base), () => {
    if (maySendAgain(context, passage, 'may-have-run')) controller.abort()
  })
  return {
    upstream,
    open,
    signal: AbortSignal.any([passage.signal, controller.signal]),
    silence,
    isSilent: () => controller.signal.aborted,
    sample: memory === undefined ? sampleOf(passage, choice) : undefined,
    since: context.clock.now(),
    comparison,
    expected: comparison === undefined ? 0 : expectedTime(context, passage, choice, comparison),
    watched: watchRun(context, passage, upstream)
  }
}

/** A prompt that waits behind others, or a stream that goes on, tells nothing of the reading. */
function sampleOf ({ accepted, progress }: Passage, { cached, waiting }: Choice): Attempt['sample'] {
  const { tokens } = accepted.head
  if (tokens === undefined || waiting > 0 || progress.lastId !== undefined) return undefined
  return { tokens: tokens.prompt - cached, cached }
}

/** An engine of a version that was just started keeps nothing of a prompt yet, which is no fault of the version. */
function expectedTime ({ speeds }: GatewayContext, { service, accepted }: Passage, { reading, waiting }: Choice, { side }: VersionObservation): Milliseconds {
  const { tokens } = accepted.head
  if (tokens === undefined) return 0
  const speed = speeds.of(service)
  return speed.base + waiting + (side === 'tried' ? readingTime(tokens.prompt, 0, speed) : reading)
}

/** Its answer, or the first event of it, has come. */
function noteAnswered ({ accepted }: Passage, { comparison, expected }: Attempt, took: Milliseconds): void {
  const alike = accepted.route.target * ALIKE_PART
  comparison?.answered(Math.max(took, alike), Math.max(expected, alike))
}

/** The first event has come: the prompt has been read. */
function noteRead ({ clock, speeds }: GatewayContext, passage: Passage, attempt: Attempt): void {
  const { open, sample, since } = attempt
  const took = clock.now() - since
  open.prefillFinished()
  if (sample !== undefined) speeds.observe(passage.service, { ...sample, took })
  noteAnswered(passage, attempt, took)
}

function watchRun (context: GatewayContext, passage: Passage, upstream: UpstreamRecord): WatchedRun | undefined {
  const { route, head } = passage.accepted
  const isLostWithUpstream = route.kind === 'stream' && !route.resumable
  const canMove = context.table()?.service(passage.service)?.movesRuns === true
  return isLostWithUpstream && canMove ? context.evacuation.watch(upstream, head.id, passage.signal) : undefined
}

function upstreamRequest (context: GatewayContext, passage: Passage, upstream: UpstreamRecord, memory: string | undefined): Parameters<GatewayContext['connections']['start']>[1] {
  const { accepted, request, limit } = passage
  return {
    id: accepted.head.id,
    method: request.method ?? 'GET',
    path: request.url ?? '/',
    headers: context.format.upstreamHeaders(request.rawHeaders, {
      deadline: limit.left(context.clock.now()),
      upstream: upstream.id,
      organisation: accepted.organisation?.name,
      urgency: Math.min(accepted.priority, DEFAULT_URGENCY),
      lastEvent: passage.progress.lastId,
      memory
    }),
    body: passage.body
  }
}

async function settle (context: GatewayContext, passage: Passage, attempt: Attempt, started: ExchangeStart): Promise<SendResult> {
  switch (started.kind) {
    case 'answered': {
      const isStream = passage.accepted.route.kind === 'stream' && started.answer.status === SUCCESS
      return isStream ? passStream(context, passage, attempt, started.answer) : passWhole(context, passage, attempt, started.answer)
    }
    case 'not-run':
      passage.attempts -= 1
      passage.unrun += 1
      if (started.reason === 'unreachable') passage.arrivals -= 1
      recordNotRun(context, passage, attempt.upstream, started.reason)
      if (passage.signal.aborted) throw endFailure(passage)
      return { kind: 'again', verdict: 'not-run', failure: unsent(passage, 'overloaded', `upstream ${attempt.upstream.id}: ${started.reason}`) }
    case 'broken':
      return brokenOff(context, passage, attempt, started.reason)
  }
}

function brokenOff (context: GatewayContext, passage: Passage, attempt: Attempt, reason: string): SendResult {
  // What a caller has left says nothing of the upstream; what was not answered in time does.
  if (!passage.signal.aborted || passage.signal.reason === ('time-limit' satisfies EndReason)) attempt.comparison?.interrupted()
  if (passage.signal.aborted) throw endFailure(passage)
  recordBrokenAttempt(context, passage, attempt.upstream, attempt.isSilent() ? 'silent' : reason)
  if (attempt.isSilent()) return { kind: 'granted' }
  return { kind: 'again', verdict: 'may-have-run', failure: new ServingError(reason, { code: 'connection-lost', verdict: 'may-have-run' }) }
}

async function passStream (context: GatewayContext, passage: Passage, attempt: Attempt, answer: UpstreamAnswer): Promise<SendResult> {
  const { response, progress } = passage
  let events = 0
  const end = await relayEvents(answer, response, progress, (count) => {
    attempt.silence.heard(eventBound(passage.accepted.route))
    if (events === 0) noteRead(context, passage, attempt)
    if (!response.headersSent) {
      recordAnswerStart(context, passage, attempt.upstream)
      response.writeHead(answer.status, context.format.answerHeaders(answer.headers))
    }
    events += count
  }, attempt.signal)
  const place: RunPlace = await attempt.watched?.place() ?? { kind: 'same' }
  if (passage.signal.aborted) throw endFailure(passage)
  // A run that was moved has no end here, however its stream was closed.
  if (place.kind === 'moved') return { kind: 'moved', continuation: place.continuation }
  if (end.kind === 'broken') return brokenOff(context, passage, attempt, end.reason)
  if (place.kind === 'unknown') return brokenOff(context, passage, attempt, 'it may have been moved')
  if (progress.events === 0) return brokenOff(context, passage, attempt, 'the stream had no event')
  recordCompleteAnswer(context, passage, attempt.upstream)
  response.end()
  return { kind: 'done', outcome: 'served' }
}

/** Reads an answer to its end before a byte is passed on, so that a torn one can be tried again or told as a failure. */
async function passWhole (context: GatewayContext, passage: Passage, attempt: Attempt, answer: UpstreamAnswer): Promise<SendResult> {
  const { response } = passage
  let body: Buffer
  try {
    body = Buffer.from(await answer.body.arrayBuffer())
  } catch (error) {
    return brokenOff(context, passage, attempt, `the answer broke off: ${String(error)}`)
  }
  attempt.silence.stop()
  if (answer.status >= SERVER_ERROR) attempt.comparison?.failed()
  else noteAnswered(passage, attempt, context.clock.now() - attempt.since)
  recordAnswerStart(context, passage, attempt.upstream)
  recordCompleteAnswer(context, passage, attempt.upstream)
  if (answer.status >= SERVER_ERROR && maySendAgain(context, passage, 'ran')) {
    return { kind: 'granted' }
  }
  response.writeHead(answer.status, [...context.format.answerHeaders(answer.headers), 'content-length', String(body.length)])
  response.end(body)
  return { kind: 'done', outcome: answer.status < REDIRECTION ? 'served' : 'upstream-failed' }
}
