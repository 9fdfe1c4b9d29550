/**
 * One exchange with one life of an upstream: what was sent, what came back, and whether it may have run.
 *
 * A connection to an upstream with any doubt is closed: an answer that belongs to another request, one
 * that ends early, bytes that are no answer. Undici closes it whenever an exchange ends before its
 * answer does, and does the same for an answer that ends before the request was written.
 */
import { buildConnector, Pool } from 'undici'
import type { Dispatcher } from 'undici'
import type { UpstreamSignals } from '../backpressure/index.js'
import type { Clock, Milliseconds } from '../clock.js'
import type { UpstreamLife, UpstreamRecord } from '../placement/index.js'
import { connectionFailure } from '../protocols/http.js'
import { addressSchema } from '../identifiers.js'
import type { AnswerHead, Headers, RequestFormat } from './ports.js'

/** A request as it goes to an upstream. */
export interface UpstreamRequest {
  readonly id: string
  readonly method: string
  readonly path: string
  /** Names and values, one after the other. */
  readonly headers: string[]
  readonly body: Buffer | undefined
}

/** An answer whose head has come. */
export interface UpstreamAnswer {
  readonly status: number
  readonly headers: Headers
  readonly body: Dispatcher.ResponseData['body']
}

/**
 * How an exchange began.
 *
 * - `answered`: the upstream ran the request; its answer's body may still break off
 * - `not-run`: it was not run there, and won't be
 * - `broken`: it may have run
 */
export type ExchangeStart =
  | { readonly kind: 'answered', readonly answer: UpstreamAnswer }
  | { readonly kind: 'not-run', readonly reason: NotRunReason }
  | { readonly kind: 'broken', readonly reason: string }

/** Why a request was not run: no connection came about, or the upstream said so. */
export type NotRunReason = 'unreachable' | 'full' | 'another-upstream' | 'refused'

/** Connections to all upstreams. */
export interface UpstreamConnections {
  /** Sends a request. Never rejects. An aborted signal closes the connection. */
  start (upstream: UpstreamRecord, request: UpstreamRequest, signal: AbortSignal): Promise<ExchangeStart>
  /** Closes connections to upstreams that aren't there any more, as their exchanges end. */
  keep (lives: ReadonlySet<UpstreamLife>): void
  /** Connections that are open now. */
  open (): number
  /** Most connections to one upstream of a service. */
  limit (service: string, connections: number): void
  close (): Promise<void>
}

/** Connections to one life of an upstream. */
interface OpenPool {
  readonly address: string
  readonly pool: Pool
}

/** One way between failure domains takes 1.4 ms; an upstream that hasn't accepted by then is gone or cut off. */
const CONNECT_TIMEOUT: Milliseconds = 400

/** Idle connections are closed before upstreams do it, where they don't say when. */
const IDLE_TIME: Milliseconds = 3_000

/**
 * Longest time that an idle connection is kept where its upstream says that it keeps it for longer (`Keep-Alive`). New
 * connections cost the upstreams: 838 in place of 1,083 on a quiet day of 3,760 requests.
 */
const LONGEST_IDLE_TIME: Milliseconds = 20_000

/** Most connections where a service names no limit. */
const MOST_CONNECTIONS = 64

const NO_CONTENT = 204
const NOT_MODIFIED = 304
const MISDIRECTED = 421
const SERVICE_UNAVAILABLE = 503
const TOO_MANY_REQUESTS = 429

/**
 * @param format how answers are written
 * @param connected called with the time that each new connection took
 * @param heard called with what each answer says of its upstream, and when its request was sent
 * @example
 * const connections = createUpstreamConnections(platform.format, clock, (took) => metrics.record('connecting', took), backpressure.heard)
 * const start = await connections.start(upstream, request, signal)
 */
export function createUpstreamConnections (format: RequestFormat, clock: Clock, connected: (took: Milliseconds) => void, heard: (upstream: UpstreamRecord, signals: UpstreamSignals, sentAt: Milliseconds) => void): UpstreamConnections {
  const connector = buildConnector({ timeout: CONNECT_TIMEOUT })

  const pools = new Map<UpstreamLife, OpenPool>()
  const limits = new Map<string, number>()

  function poolOf (upstream: UpstreamRecord): Pool {
    const known = pools.get(upstream.life)
    if (known?.address === upstream.address) return known.pool
    known?.pool.close().catch(() => {})
    const pool = new Pool(`http://${upstream.address}`, {
      connections: limits.get(upstream.service) ?? MOST_CONNECTIONS,
      pipelining: 1,
      keepAliveTimeout: IDLE_TIME,
      keepAliveMaxTimeout: LONGEST_IDLE_TIME,
      connect: timedConnect,
      headersTimeout: 0,
      bodyTimeout: 0
    })
    pools.set(upstream.life, { address: upstream.address, pool })
    return pool
  }

  function timedConnect (options: buildConnector.Options, callback: buildConnector.Callback): void {
    const start = clock.now()
    connector(options, (...result) => {
      if (result[0] === null) connected(clock.now() - start)
      callback(...result)
    })
  }

  async function start (upstream: UpstreamRecord, request: UpstreamRequest, signal: AbortSignal): Promise<ExchangeStart> {
    const sentAt = clock.now()
    try {
      const { statusCode, headers, body } = await poolOf(upstream).request({
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: request.headers,
        body: request.body ?? null,
        signal
      })
      const head = format.readAnswer(headers, statusCode)
      if (isOf(upstream, request.id, head, statusCode)) heard(upstream, head.signals, sentAt)
      return judge(request.id, { status: statusCode, headers, body }, head)
    } catch (error) {
      const failure = connectionFailure(error, addressSchema.parse(upstream.address))
      return failure.verdict === 'not-run' ? { kind: 'not-run', reason: 'unreachable' } : { kind: 'broken', reason: failure.message }
    }
  }

  return {
    start,
    keep: (lives) => {
      for (const [life, { pool }] of pools) {
        if (lives.has(life)) continue
        pools.delete(life)
        pool.close().catch(() => {})
      }
    },
    open: () => [...pools.values()].reduce((sum, { pool }) => sum + pool.stats.connected, 0),
    limit: (service, connections) => { limits.set(service, connections) },
    close: async () => { await Promise.all([...pools.values()].map(({ pool }) => pool.destroy())) }
  }
}

/**
 * Failure guarded against: another upstream stands at the address by now, and what it says of itself would be taken for
 * the word of the one that was there before.
 */
function isOf (upstream: UpstreamRecord, request: string, head: AnswerHead, status: number): boolean {
  return status !== MISDIRECTED && head.id === request && (head.upstream === undefined || head.upstream === upstream.id)
}

/**
 * Failure guarded against: an upstream sends a second answer after a complete one, and it is read as the
 * answer to the next request on that connection. The id that answers carry tells them apart; the
 * connection isn't used again, and the request that was sent on it may have run.
 */
function judge (id: string, answer: UpstreamAnswer, head: AnswerHead): ExchangeStart {
  if (head.id !== undefined && head.id !== id) return discard(answer, { kind: 'broken', reason: 'the answer belongs to another request' })
  if (head.notRun) return drain(answer, { kind: 'not-run', reason: reasonOf(answer.status) })
  if (head.id === undefined) return discard(answer, { kind: 'broken', reason: 'the answer names no request' })
  if (!isFramed(answer)) return discard(answer, { kind: 'broken', reason: 'the answer has no length' })
  return { kind: 'answered', answer }
}

/**
 * Failure guarded against: an answer without a length ends with its connection, and an upstream that
 * crashes ends its connections as one that has said everything does; the caller would get a fragment that
 * looks complete. What can't be told from a fragment isn't passed on.
 */
function isFramed ({ status, headers }: UpstreamAnswer): boolean {
  if (status === NO_CONTENT || status === NOT_MODIFIED) return true
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
}

function reasonOf (status: number): NotRunReason {
  switch (status) {
    case MISDIRECTED: return 'another-upstream'
    case SERVICE_UNAVAILABLE:
    case TOO_MANY_REQUESTS: return 'full'
    default: return 'refused'
  }
}

/** The connection stays in use once the short body has been read. */
function drain (answer: UpstreamAnswer, result: ExchangeStart): ExchangeStart {
  answer.body.on('error', () => {})
  answer.body.resume()
  return result
}

function discard (answer: UpstreamAnswer, result: ExchangeStart): ExchangeStart {
  answer.body.on('error', () => {})
  answer.body.destroy()
  return result
}
