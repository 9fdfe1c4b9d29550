/** Sends one call until it is answered or its verdict forbids another send. */
import { randomBytes } from 'node:crypto'
import type { Clock } from '../clock.js'
import { homeOf, requestIdFor } from '../identifiers.js'
import type { RequestId } from '../identifiers.js'
import type { Connections } from '../protocols/http.js'
import type { Random } from '../random.js'
import { ServingError, toServingError } from '../verdict.js'
import type { Verdict } from '../verdict.js'
import type { AddressCache, KnownNode } from './address-cache.js'
import { decideNextSend } from './decision.js'

/** What the sends of a client share. */
export interface Sending {
  readonly cache: AddressCache
  /** Connections that are kept and used again. */
  readonly connections: Connections
  /** Connections of one exchange each: whatever follows a failure goes there. */
  readonly freshConnections: Connections
  readonly headers: Readonly<Record<string, string>>
  readonly clock: Clock
  readonly random: Random
}

/** One send of a call. */
export interface Send {
  readonly id: RequestId
  readonly node: KnownNode
  readonly connections: Connections
  /** An earlier send of this id may have been received. */
  readonly again: boolean
  /** W3C trace context. */
  readonly traceparent: string
  readonly signal: AbortSignal | undefined
  /** To be called for each sign of life. */
  progress (): void
}

/** What the caller said about a call. */
export interface CallOptions {
  readonly idempotent: boolean
  readonly traceparent: string | undefined
  readonly signal: AbortSignal | undefined
}

/** A failure that the system told, as opposed to a connection that broke. */
export class ToldFailure extends Error {
  readonly failure: ServingError

  constructor (failure: ServingError) {
    super(failure.message)
    this.failure = failure
  }
}

const ID_BYTES = 16

/**
 * @param send makes one send; throws {@link ToldFailure} for what the system said, anything else for a
 *   broken connection
 * @throws ServingError whose verdict covers all sends
 * @example
 * const answer = await sendUntilAnswered(sending, options, (send) => chatOnce(send))
 */
export async function sendUntilAnswered<T> (sending: Sending, options: CallOptions, send: (send: Send) => Promise<T>): Promise<T> {
  const { cache, clock, random } = sending
  const traceparent = options.traceparent ?? newTraceparent()
  let id: RequestId | undefined
  let maybeReceived = false
  /** An id that was given up for a new one may have run. */
  let maybeRan = false
  let brokenConnections = 0
  let renewals = 0
  for (;;) {
    const node = await chooseNode(sending, id, maybeReceived || maybeRan)
    id ??= requestIdFor(node.incarnation, randomBytes(ID_BYTES).toString('base64url'))
    const connections = brokenConnections === 0 ? sending.connections : sending.freshConnections
    try {
      return await send({ id, node, connections, again: maybeReceived, traceparent, signal: options.signal, progress: () => { brokenConnections = 0 } })
    } catch (error) {
      const toldBySystem = error instanceof ToldFailure
      const failure = toldBySystem ? error.failure : toServingError(error, 'may-have-run')
      brokenConnections = toldBySystem ? 0 : brokenConnections + 1
      const next = decideNextSend({ failure, toldBySystem, maybeReceived, idempotent: options.idempotent, brokenConnections, renewals }, random)
      if (!toldBySystem && failure.verdict !== 'not-run') maybeReceived = true
      if (next.kind === 'fail' || options.signal?.aborted) throw finalFailure(failure, toldBySystem, maybeReceived, maybeRan)
      if (next.avoidNode) cache.avoid(node.address)
      if (next.kind === 'new-id') {
        id = undefined
        maybeReceived = false
        maybeRan ||= failure.verdict !== 'not-run'
        renewals += toldBySystem ? 1 : 0
      } else if (next.askAddresses) {
        cache.forget()
      }
      await clock.sleep(next.delay, options.signal).catch(() => {})
    }
  }
}

async function chooseNode (sending: Sending, id: RequestId | undefined, maybeReceived: boolean): Promise<KnownNode> {
  try {
    return await sending.cache.choose(id === undefined ? undefined : homeOf(id))
  } catch (error) {
    throw finalFailure(toServingError(error, 'not-run'), true, maybeReceived, false)
  }
}

/** What is known of the last send does not undo what may have become of those before it. */
function finalFailure (failure: ServingError, toldBySystem: boolean, maybeReceived: boolean, maybeRan: boolean): ServingError {
  const unproven = maybeRan || (maybeReceived && !isAboutTheId(failure, toldBySystem))
  const verdict: Verdict = failure.verdict === 'not-run' && unproven ? 'may-have-run' : failure.verdict
  if (verdict === failure.verdict) return failure
  return new ServingError(failure.message, { code: failure.code, verdict, ...(failure.retryAfter === undefined ? {} : { retryAfter: failure.retryAfter }) })
}

/** A refusal by the home holds for every send of the id; an address that no node gives says nothing about it. */
function isAboutTheId (failure: ServingError, toldBySystem: boolean): boolean {
  return toldBySystem && failure.code !== 'no-upstream' && failure.code !== 'no-configuration'
}

function newTraceparent (): string {
  return `00-${randomBytes(16).toString('hex')}-${randomBytes(8).toString('hex')}-01`
}
