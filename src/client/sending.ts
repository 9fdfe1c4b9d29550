/** Retries one call until the call is answered or the verdict of a failure forbids another attempt. */
import { randomBytes } from 'node:crypto'
import type { Clock } from '../clock.js'
import { homeOf, requestIdFor } from '../identifiers.js'
import type { RequestId } from '../identifiers.js'
import type { Connections } from '../protocols/http.js'
import type { Random } from '../random.js'
import { ServingError, toServingError } from '../verdict.js'
import type { Verdict } from '../verdict.js'
import type { AddressCache, KnownNode } from './address-cache.js'
import { decideRetry } from './decision.js'

/** State that all calls of a client share. */
export interface CallContext {
  readonly cache: AddressCache
  /** Connections that are kept open between calls. */
  readonly connections: Connections
  /** Connections that are closed after one exchange, for attempts after a failure. */
  readonly freshConnections: Connections
  readonly headers: Readonly<Record<string, string>>
  readonly clock: Clock
  readonly random: Random
}

/** One attempt of a call. */
export interface CallAttempt {
  readonly id: RequestId
  readonly node: KnownNode
  readonly connections: Connections
  /** Whether the system may have received an earlier attempt with this request id. */
  readonly again: boolean
  /** W3C trace context. */
  readonly traceparent: string
  readonly signal: AbortSignal | undefined
  /** To be called when data is received. Resets the count of consecutive broken connections. */
  progress (): void
}

/** Options of one call. */
export interface CallOptions {
  /** Whether the request may be executed twice. */
  readonly idempotent: boolean
  /** W3C trace context. A new trace is started if it is undefined. */
  readonly traceparent: string | undefined
  readonly signal: AbortSignal | undefined
}

/** A failure that the system reported, as opposed to a broken connection. */
export class ReportedFailure extends Error {
  readonly failure: ServingError

  constructor (failure: ServingError) {
    super(failure.message)
    this.failure = failure
  }
}

/** Number of random bytes in a request id. */
const ID_BYTES = 16

/**
 * Executes a call with as many attempts as {@link decideRetry} allows.
 *
 * @param attemptCall makes one attempt; throws {@link ReportedFailure} for a failure that the system reported, and any
 *   other error for a broken connection
 * @throws ServingError whose verdict covers all attempts
 * @example
 * const answer = await callWithRetries(context, options, (attempt) => callOnce(context, call, attempt))
 */
export async function callWithRetries<T> (context: CallContext, options: CallOptions, attemptCall: (attempt: CallAttempt) => Promise<T>): Promise<T> {
  const { cache, clock, random } = context
  const traceparent = options.traceparent ?? newTraceparent()
  let id: RequestId | undefined
  let maybeReceived = false
  /** Whether the request may have run under an id that was replaced. */
  let maybeRan = false
  let brokenConnections = 0
  let idReplacements = 0
  for (;;) {
    const node = await chooseNode(context, id, maybeReceived || maybeRan)
    id ??= requestIdFor(node.incarnation, randomBytes(ID_BYTES).toString('base64url'))
    const connections = brokenConnections === 0 ? context.connections : context.freshConnections
    try {
      return await attemptCall({ id, node, connections, again: maybeReceived, traceparent, signal: options.signal, progress: () => { brokenConnections = 0 } })
    } catch (error) {
      const reportedBySystem = error instanceof ReportedFailure
      const failure = reportedBySystem ? error.failure : toServingError(error, 'may-have-run')
      brokenConnections = reportedBySystem ? 0 : brokenConnections + 1
      const decision = decideRetry({ failure, reportedBySystem, maybeReceived, idempotent: options.idempotent, brokenConnections, idReplacements }, random)
      if (!reportedBySystem && failure.verdict !== 'not-run') maybeReceived = true
      if (decision.kind === 'fail' || options.signal?.aborted) throw finalFailure(failure, reportedBySystem, maybeReceived, maybeRan)
      if (decision.avoidNode) cache.avoid(node.address)
      if (decision.kind === 'new-id') {
        id = undefined
        maybeReceived = false
        maybeRan ||= failure.verdict !== 'not-run'
        idReplacements += reportedBySystem ? 1 : 0
      } else if (decision.refreshAddresses) {
        cache.invalidate()
      }
      await clock.sleep(decision.delay, options.signal).catch(() => {})
    }
  }
}

/** Chooses the node for the next attempt. A failure gets a verdict that covers the earlier attempts. */
async function chooseNode (context: CallContext, id: RequestId | undefined, maybeReceived: boolean): Promise<KnownNode> {
  try {
    return await context.cache.choose(id === undefined ? undefined : homeOf(id))
  } catch (error) {
    throw finalFailure(toServingError(error, 'not-run'), true, maybeReceived, false)
  }
}

/**
 * Failure of the call. Its verdict covers all attempts: even if the last attempt has not run, the request may have run
 * in an earlier attempt.
 */
function finalFailure (failure: ServingError, reportedBySystem: boolean, maybeReceived: boolean, maybeRan: boolean): ServingError {
  const unproven = maybeRan || (maybeReceived && !appliesToEveryAttempt(failure, reportedBySystem))
  const verdict: Verdict = failure.verdict === 'not-run' && unproven ? 'may-have-run' : failure.verdict
  if (verdict === failure.verdict) return failure
  return new ServingError(failure.message, { code: failure.code, verdict, ...(failure.retryAfter === undefined ? {} : { retryAfter: failure.retryAfter }) })
}

/**
 * Whether the failure holds for every attempt with the request id. A refusal by the home does. A failure because no
 * node or no configuration is known does not, because the request did not reach its home.
 */
function appliesToEveryAttempt (failure: ServingError, reportedBySystem: boolean): boolean {
  return reportedBySystem && failure.code !== 'no-upstream' && failure.code !== 'no-configuration'
}

function newTraceparent (): string {
  return `00-${randomBytes(16).toString('hex')}-${randomBytes(8).toString('hex')}-01`
}
