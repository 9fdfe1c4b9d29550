/**
 * Sends one request to one incarnation of an upstream and tells the outcome.
 *
 * A connection is closed whenever its state is in doubt: the answer belongs to another request, the answer ends early,
 * or the bytes are not a valid answer. Undici ends the connection when an exchange ends before its answer does, and
 * when an answer ends before the request was written completely. A connection that ends so is reset.
 */
import type { Dispatcher } from 'undici'
import { onAbort } from '../abort-listeners.js'
import type { UpstreamSignals } from '../backpressure/index.js'
import type { Milliseconds } from '../clock.js'
import type { UpstreamRecord } from '../placement/index.js'
import { createAnswerReading, isNoAnswer } from '../protocols/answer-reading.js'
import { connectionFailure, hasFraming, hasOtherCoding } from '../protocols/http.js'
import type { Address } from '../identifiers.js'
import type { AnswerHead, Headers, RequestFormat } from './ports.js'
import { isRelayLost } from './tunnel-frames.js'
import { createIncomingBody } from './upstream-body.js'
import type { IncomingBody, UpstreamBody } from './upstream-body.js'
import { createUpstreamPools } from './upstream-pools.js'
import type { UpstreamPools, UpstreamPoolsOptions } from './upstream-pools.js'

/** A request in the form in which it is sent to an upstream. */
export interface UpstreamRequest {
  readonly id: string
  readonly method: string
  readonly path: string
  /** Alternating header names and values. */
  readonly headers: string[]
  readonly body: Buffer | undefined
}

/** An answer whose status and headers have been received. */
export interface UpstreamAnswer {
  readonly status: number
  readonly headers: Headers
  readonly body: UpstreamBody
  /** Whether the answer itself tells where it ends. Otherwise the end of its connection ends it (RFC 9112, 6.3). */
  readonly isFramed: boolean
}

/**
 * Outcome of an exchange up to the headers of the answer.
 *
 * - `answered`: the upstream ran the request; the body of its answer may still be cut short
 * - `not-run`: the upstream has not run the request and will not run it
 * - `broken`: the upstream may have run the request; its connection ended, or its answer is not valid
 * - `unsent`: the request was aborted while it waited for a connection
 */
export type ExchangeStart =
  | { readonly kind: 'answered', readonly answer: UpstreamAnswer }
  | { readonly kind: 'not-run', readonly reason: NotRunReason }
  | { readonly kind: 'broken', readonly reason: string, readonly by: BrokenBy }
  | { readonly kind: 'unsent' }

/**
 * What broke an exchange off.
 *
 * - `connection`: the connection to the upstream ended, as when the upstream crashes
 * - `relay`: the node that relayed the connection ended it, which says nothing about the upstream
 * - `answer`: the answer is not valid
 */
export type BrokenBy = 'connection' | 'relay' | 'answer'

/** Why a request was not run: no connection could be opened, or the upstream stated that it did not run the request. */
export type NotRunReason = 'unreachable' | 'no-connection' | 'full' | 'another-upstream' | 'refused'

/** What the end of a connection meant for an answer without a length. */
export interface ConnectionEnd {
  readonly request: string
  readonly upstream: UpstreamRecord
  /** Whether the connection was reset, or ended as after a complete answer; then the upstream has ended, or still serves. */
  readonly end: 'reset' | 'upstream-ended' | 'upstream-serves'
  /** Whether connections to the upstream are relayed by other nodes. */
  readonly isRelayed: boolean
  /** Name of the node that relayed the connection by which the upstream was tested. */
  readonly testedBy: string | undefined
}

/** Dependencies of {@link createUpstreamConnections}. */
export interface UpstreamConnectionsOptions extends UpstreamPoolsOptions {
  /** Reads the platform's answer headers. */
  readonly format: RequestFormat
  /** Called with the signals in each answer and the time at which its request was sent. */
  readonly onSignals?: (upstream: UpstreamRecord, signals: UpstreamSignals, sentAt: Milliseconds) => void
  /** Called when an answer without a length has ended with its connection. */
  readonly onConnectionEnd?: (ended: ConnectionEnd) => void
}

/** Connections to all upstreams. */
export interface UpstreamConnections extends Omit<UpstreamPools, 'of' | 'heard' | 'isResetting' | 'accepts'> {
  /** Sends a request. Never rejects. Aborting the signal resets the connection. */
  start (upstream: UpstreamRecord, request: UpstreamRequest, signal: AbortSignal): Promise<ExchangeStart>
}

/** Time within which the body of a refusal must have ended. */
const DRAIN_TIMEOUT: Milliseconds = 1_000

const SUCCESS = 200
const MISDIRECTED = 421
const SERVICE_UNAVAILABLE = 503
const TOO_MANY_REQUESTS = 429

/**
 * Creates the connections, none of them open.
 *
 * @example
 * const connections = createUpstreamConnections({ format: platform.format, clock, random, relayNodes, failureDomain, onSignals: backpressure.heard })
 * const start = await connections.start(upstream, request, signal)
 */
export function createUpstreamConnections (options: UpstreamConnectionsOptions): UpstreamConnections {
  const { format, clock, onSignals, onConnectionEnd } = options
  const pools = createUpstreamPools(options)

  /** Reads and drops the short body of an answer, so that the connection can be reused, unless it takes too long. */
  function drainBody ({ body }: UpstreamAnswer): void {
    body.discard()
    clock.schedule(DRAIN_TIMEOUT, () => body.destroy())
  }

  /** Failure guarded against: no connection can be made to an address, which throws, and the caller gets an error although another upstream serves. */
  function findPool (upstream: UpstreamRecord): Dispatcher | undefined {
    try {
      return pools.of(upstream)
    } catch (error) {
      options.onConnectionFailed?.({ upstream, error, took: 0, silentFor: undefined, allSilentFor: undefined })
      return undefined
    }
  }

  async function start (upstream: UpstreamRecord, request: UpstreamRequest, signal: AbortSignal): Promise<ExchangeStart> {
    const pool = findPool(upstream)
    return pool === undefined ? { kind: 'not-run', reason: 'unreachable' } : dispatch(pool, upstream, request, signal)
  }

  function dispatch (pool: Dispatcher, upstream: UpstreamRecord, request: UpstreamRequest, signal: AbortSignal): Promise<ExchangeStart> {
    const sentAt = clock.now()
    return new Promise((resolve) => {
      let controller: Dispatcher.DispatchController | undefined
      let incoming: IncomingBody | undefined
      let isStarted = false
      let isFramed = true
      const reading = createAnswerReading()
      // A request that waits for a connection ends at once, and is aborted before it is sent as soon as it has one.
      const stopListening = onAbort(signal, () => {
        if (controller === undefined) resolve({ kind: 'unsent' })
        else controller.abort(abortReason(signal))
      })

      pool.dispatch({ method: request.method as Dispatcher.HttpMethod, path: request.path, headers: request.headers, body: request.body ?? null }, {
        onRequestStart: (started) => {
          controller = started
          if (signal.aborted) started.abort(abortReason(signal))
          else reading.begin()
        },
        onResponseStart: (started, status, headers) => {
          pools.heard(upstream)
          if (status < SUCCESS) return
          incoming = createIncomingBody({ pause: reading.pause, resume: reading.resume, abort: (reason) => started.abort(reason) })
          const head = format.readAnswer(headers, status)
          if (isFromUpstream(upstream, request.id, head, status)) onSignals?.(upstream, head.signals, sentAt)
          // Closing the connection of a rejected answer calls `onResponseError` at once.
          isStarted = true
          isFramed = hasFraming(request.method, status, headers)
          const answer: UpstreamAnswer = { status, headers, body: incoming.body, isFramed }
          const result = classifyAnswer(request, answer, head)
          if (result.kind === 'broken') answer.body.destroy()
          if (result.kind === 'not-run') drainBody(answer)
          resolve(result)
        },
        onResponseData: (_controller, chunk) => {
          pools.heard(upstream)
          reading.content(chunk.length)
          incoming?.push(chunk)
        },
        onResponseEnd: () => {
          stopListening()
          reading.end()
          if (incoming === undefined) return
          if (isFramed) incoming.end()
          else endWithConnection(upstream, request.id, incoming)
        },
        onResponseError: (_controller, error) => {
          stopListening()
          reading.end()
          if (!isStarted) resolve(failedStart(upstream, error))
          incoming?.fail(error)
        }
      })
    })
  }

  /**
   * Failure guarded against: an answer without a length ends when its connection closes, and a crashing upstream closes its
   * connections in the same way as one that has sent everything. The truncated answer would look complete. A connection that is
   * reset has not ended the answer, and an upstream that has crashed accepts no new connection.
   */
  function endWithConnection (upstream: UpstreamRecord, request: string, incoming: IncomingBody): void {
    const reportEnd = (end: ConnectionEnd['end'], testedBy?: string): void => onConnectionEnd?.({ request, upstream, end, isRelayed: pools.isRelayed(upstream.incarnation), testedBy })
    if (pools.isResetting(upstream)) {
      reportEnd('reset')
      return incoming.fail(new Error('the connection was reset within an answer without a length'))
    }
    pools.accepts(upstream).then(({ isAccepted, relay }) => {
      reportEnd(isAccepted ? 'upstream-serves' : 'upstream-ended', relay)
      if (isAccepted) incoming.end()
      else incoming.fail(new Error('the upstream ended with an answer without a length'))
    }, (error) => incoming.fail(error))
  }

  return { ...pools, start }
}

function failedStart (upstream: UpstreamRecord, error: unknown): ExchangeStart {
  const failure = connectionFailure(error, upstream.address as Address)
  return failure.verdict === 'not-run' ? { kind: 'not-run', reason: 'unreachable' } : { kind: 'broken', reason: failure.message, by: brokenBy(error) }
}

/**
 * Tells what ended a connection before the answer on it was complete.
 *
 * @example
 * brokenBy(error) // 'relay' if the relaying node was killed, 'answer' if the bytes make up no answer
 */
export function brokenBy (error: unknown): BrokenBy {
  if (isNoAnswer(error)) return 'answer'
  return isRelayLost(error) ? 'relay' : 'connection'
}

/** Undici replaces a missing reason by an error of its own. */
function abortReason (signal: AbortSignal): Error {
  return signal.reason as Error
}

/**
 * Failure guarded against: the address has been reassigned to another upstream, and the signals in its answer are
 * attributed to the previous one. Signals count only if the answer carries the request's id and does not name another
 * upstream.
 */
function isFromUpstream (upstream: UpstreamRecord, request: string, head: AnswerHead, status: number): boolean {
  return status !== MISDIRECTED && head.id === request && (head.upstream === undefined || head.upstream === upstream.id)
}

/**
 * Failure guarded against: an upstream sends a second answer after a complete one, and the gateway reads it as the
 * answer to the next request on the same connection. Answers carry the id of their request, which reveals the mismatch.
 * The connection is then closed, and the request sent on it is treated as one that may have run.
 */
function classifyAnswer ({ id, method }: UpstreamRequest, answer: UpstreamAnswer, head: AnswerHead): ExchangeStart {
  if (head.id !== undefined && head.id !== id) return invalidAnswer('the answer belongs to another request')
  if (head.notRun) return { kind: 'not-run', reason: notRunReason(answer.status) }
  if (head.id === undefined) return invalidAnswer('the answer names no request')
  if (hasOtherCoding(method, answer.status, answer.headers)) return invalidAnswer('the answer has a transfer coding that is not passed on')
  return { kind: 'answered', answer }
}

function invalidAnswer (reason: string): ExchangeStart {
  return { kind: 'broken', reason, by: 'answer' }
}

function notRunReason (status: number): NotRunReason {
  switch (status) {
    case MISDIRECTED: return 'another-upstream'
    case SERVICE_UNAVAILABLE:
    case TOO_MANY_REQUESTS: return 'full'
    default: return 'refused'
  }
}
