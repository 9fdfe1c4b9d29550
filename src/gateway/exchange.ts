/**
 * Connection pools to the upstreams, and the outcome of sending one request to one incarnation of an upstream.
 *
 * A connection is closed whenever its state is in doubt: the answer belongs to another request, the answer ends early,
 * or the bytes are not a valid answer. Undici closes the connection when an exchange ends before its answer does, and
 * when an answer ends before the request was written completely.
 */
import { buildConnector, Pool } from 'undici'
import type { Dispatcher } from 'undici'
import { onAbort } from '../abort-listeners.js'
import type { UpstreamSignals } from '../backpressure/index.js'
import type { Clock, Milliseconds } from '../clock.js'
import type { UpstreamIncarnation, UpstreamRecord } from '../placement/index.js'
import { connectionFailure } from '../protocols/http.js'
import { addressSchema } from '../identifiers.js'
import type { AnswerHead, Headers, RequestFormat } from './ports.js'
import { createIncomingBody } from './upstream-body.js'
import type { IncomingBody, UpstreamBody } from './upstream-body.js'

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
}

/**
 * Outcome of an exchange up to the headers of the answer.
 *
 * - `answered`: the upstream ran the request; the body of its answer may still be cut short
 * - `not-run`: the upstream has not run the request and will not run it
 * - `broken`: the upstream may have run the request
 * - `unsent`: the request was aborted while it waited for a connection
 */
export type ExchangeStart =
  | { readonly kind: 'answered', readonly answer: UpstreamAnswer }
  | { readonly kind: 'not-run', readonly reason: NotRunReason }
  | { readonly kind: 'broken', readonly reason: string }
  | { readonly kind: 'unsent' }

/** Why a request was not run: no connection could be opened, or the upstream stated that it did not run the request. */
export type NotRunReason = 'unreachable' | 'no-connection' | 'full' | 'another-upstream' | 'refused'

/** A connection to an upstream that could not be opened. */
export interface ConnectionFailure {
  readonly upstream: UpstreamRecord
  readonly error: unknown
  /** Time from the start of the connection to its failure. */
  readonly took: Milliseconds
  /** Time since this node last received anything from the upstream; undefined if it never did. */
  readonly silentFor: Milliseconds | undefined
  /** Time since this node last received anything from any upstream; undefined if it never did. */
  readonly allSilentFor: Milliseconds | undefined
}

/** Dependencies of {@link createUpstreamConnections}. */
export interface UpstreamConnectionsOptions {
  /** Reads the platform's answer headers. */
  readonly format: RequestFormat
  readonly clock: Clock
  /** Called with the time that each new connection took. */
  readonly onConnected?: (took: Milliseconds) => void
  readonly onConnectionFailed?: (failure: ConnectionFailure) => void
  /** Called with the signals in each answer and the time at which its request was sent. */
  readonly onSignals?: (upstream: UpstreamRecord, signals: UpstreamSignals, sentAt: Milliseconds) => void
}

/** Connection pools to all upstreams. */
export interface UpstreamConnections {
  /** Sends a request. Never rejects. Aborting the signal closes the connection. */
  start (upstream: UpstreamRecord, request: UpstreamRequest, signal: AbortSignal): Promise<ExchangeStart>
  /** Closes the pools of all other incarnations. Exchanges that are in progress there finish first. */
  closeExcept (incarnations: ReadonlySet<UpstreamIncarnation>): void
  /** Returns the number of open connections. */
  open (): number
  /** Sets the maximum number of connections to each upstream of a service. Applies to pools that are created later. */
  setConnectionLimit (service: string, connections: number): void
  close (): Promise<void>
}

/** Connection pool of one incarnation of an upstream. */
interface IncarnationPool {
  readonly address: string
  readonly pool: Pool
  /** Time at which this node last received anything from the upstream. */
  heardAt: Milliseconds | undefined
}

/**
 * Timeout for opening a connection. Latency between failure domains is only 1.4 ms one way, so an upstream that has not
 * accepted a connection within this time is gone or unreachable.
 */
const CONNECT_TIMEOUT: Milliseconds = 400

/** Idle timeout for upstreams that do not announce their own. Connections are closed before the upstream closes them. */
const DEFAULT_IDLE_TIMEOUT: Milliseconds = 3_000

/**
 * Upper bound of the idle timeout that an upstream announces in `Keep-Alive`. A long timeout saves the upstreams new
 * connections: 838 instead of 1,083 for 3,760 requests at low load.
 */
const MAX_IDLE_TIMEOUT: Milliseconds = 20_000

/** Maximum number of connections to one upstream of a service without a configured limit. */
const DEFAULT_MAX_CONNECTIONS = 64

/** Time within which the body of a refusal must have ended. */
const DRAIN_TIMEOUT: Milliseconds = 1_000

const SUCCESS = 200
const NO_CONTENT = 204
const NOT_MODIFIED = 304
const MISDIRECTED = 421
const SERVICE_UNAVAILABLE = 503
const TOO_MANY_REQUESTS = 429

/**
 * Creates the connection pools. Pools are opened on first use.
 *
 * @example
 * const connections = createUpstreamConnections({ format: platform.format, clock, onSignals: backpressure.heard })
 * const start = await connections.start(upstream, request, signal)
 */
export function createUpstreamConnections ({ format, clock, onConnected, onConnectionFailed, onSignals }: UpstreamConnectionsOptions): UpstreamConnections {
  const connector = buildConnector({ timeout: CONNECT_TIMEOUT })

  const pools = new Map<UpstreamIncarnation, IncarnationPool>()
  const limits = new Map<string, number>()
  let lastHeardAt: Milliseconds | undefined

  function poolOf (upstream: UpstreamRecord): IncarnationPool {
    const existing = pools.get(upstream.incarnation)
    if (existing?.address === upstream.address) return existing
    existing?.pool.close().catch(() => {})
    const pool = new Pool(`http://${upstream.address}`, {
      connections: limits.get(upstream.service) ?? DEFAULT_MAX_CONNECTIONS,
      pipelining: 1,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT,
      keepAliveMaxTimeout: MAX_IDLE_TIMEOUT,
      connect: (options, callback) => connectTo(upstream, options, callback),
      headersTimeout: 0,
      bodyTimeout: 0
    })
    const created: IncarnationPool = { address: upstream.address, pool, heardAt: existing?.heardAt }
    pools.set(upstream.incarnation, created)
    return created
  }

  function connectTo (upstream: UpstreamRecord, options: buildConnector.Options, callback: buildConnector.Callback): void {
    const start = clock.now()
    connector(options, (...result) => {
      const took = Math.round(clock.now() - start)
      if (result[0] === null) {
        recordHeard(upstream)
        onConnected?.(took)
      } else {
        onConnectionFailed?.({ upstream, error: result[0], took, silentFor: since(pools.get(upstream.incarnation)?.heardAt), allSilentFor: since(lastHeardAt) })
      }
      callback(...result)
    })
  }

  function recordHeard (upstream: UpstreamRecord): void {
    lastHeardAt = clock.now()
    const known = pools.get(upstream.incarnation)
    if (known !== undefined) known.heardAt = lastHeardAt
  }

  function since (time: Milliseconds | undefined): Milliseconds | undefined {
    return time === undefined ? undefined : Math.round(clock.now() - time)
  }

  /** Reads and drops the short body of an answer, so that the connection can be reused, unless it takes too long. */
  function drainBody ({ body }: UpstreamAnswer): void {
    body.discard()
    clock.schedule(DRAIN_TIMEOUT, () => body.destroy())
  }

  function start (upstream: UpstreamRecord, request: UpstreamRequest, signal: AbortSignal): Promise<ExchangeStart> {
    const sentAt = clock.now()
    return new Promise((resolve) => {
      let controller: Dispatcher.DispatchController | undefined
      let incoming: IncomingBody | undefined
      let isStarted = false
      // A request that waits for a connection ends at once, and is aborted before it is sent as soon as it has one.
      const stopListening = onAbort(signal, () => {
        if (controller === undefined) resolve({ kind: 'unsent' })
        else controller.abort(abortReason(signal))
      })

      poolOf(upstream).pool.dispatch({ method: request.method as Dispatcher.HttpMethod, path: request.path, headers: request.headers, body: request.body ?? null }, {
        onRequestStart: (started) => {
          controller = started
          if (signal.aborted) started.abort(abortReason(signal))
        },
        onResponseStart: (started, status, headers) => {
          recordHeard(upstream)
          if (status < SUCCESS) return
          incoming = createIncomingBody(started)
          const head = format.readAnswer(headers, status)
          if (isFromUpstream(upstream, request.id, head, status)) onSignals?.(upstream, head.signals, sentAt)
          // Closing the connection of a rejected answer calls `onResponseError` at once.
          isStarted = true
          const answer: UpstreamAnswer = { status, headers, body: incoming.body }
          const result = classifyAnswer(request.id, answer, head)
          if (result.kind === 'broken') answer.body.destroy()
          if (result.kind === 'not-run') drainBody(answer)
          resolve(result)
        },
        onResponseData: (_controller, chunk) => {
          recordHeard(upstream)
          incoming?.push(chunk)
        },
        onResponseEnd: () => {
          stopListening()
          incoming?.end()
        },
        onResponseError: (_controller, error) => {
          stopListening()
          if (!isStarted) resolve(failedStart(upstream, error))
          incoming?.fail(error)
        }
      })
    })
  }

  return {
    start,
    closeExcept: (incarnations) => {
      for (const [incarnation, { pool }] of pools) {
        if (incarnations.has(incarnation)) continue
        pools.delete(incarnation)
        pool.close().catch(() => {})
      }
    },
    open: () => [...pools.values()].reduce((sum, { pool }) => sum + pool.stats.connected, 0),
    setConnectionLimit: (service, connections) => { limits.set(service, connections) },
    close: async () => { await Promise.all([...pools.values()].map(({ pool }) => pool.destroy())) }
  }
}

function failedStart (upstream: UpstreamRecord, error: unknown): ExchangeStart {
  const failure = connectionFailure(error, addressSchema.parse(upstream.address))
  return failure.verdict === 'not-run' ? { kind: 'not-run', reason: 'unreachable' } : { kind: 'broken', reason: failure.message }
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
function classifyAnswer (id: string, answer: UpstreamAnswer, head: AnswerHead): ExchangeStart {
  if (head.id !== undefined && head.id !== id) return { kind: 'broken', reason: 'the answer belongs to another request' }
  if (head.notRun) return { kind: 'not-run', reason: notRunReason(answer.status) }
  if (head.id === undefined) return { kind: 'broken', reason: 'the answer names no request' }
  if (!isFramed(answer)) return { kind: 'broken', reason: 'the answer has no length' }
  return { kind: 'answered', answer }
}

/**
 * Failure guarded against: an answer without a length ends when its connection closes. A crashing upstream closes its
 * connections in the same way as one that has sent everything, so the caller would receive a truncated answer that
 * looks complete. Such answers are rejected because the two cases cannot be told apart.
 */
function isFramed ({ status, headers }: UpstreamAnswer): boolean {
  if (status === NO_CONTENT || status === NOT_MODIFIED) return true
  // The end of the connection also ends an answer whose last transfer coding is not chunked.
  return headers['content-length'] !== undefined || /\bchunked\s*$/i.test(String(headers['transfer-encoding'] ?? ''))
}

function notRunReason (status: number): NotRunReason {
  switch (status) {
    case MISDIRECTED: return 'another-upstream'
    case SERVICE_UNAVAILABLE:
    case TOO_MANY_REQUESTS: return 'full'
    default: return 'refused'
  }
}
