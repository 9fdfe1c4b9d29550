/**
 * Decisions of a hand-over: what a leaving home does with each open request, how the requests are split into
 * messages, and how the receiver continues each of them.
 *
 * Offsets stay continuous. A receiver continues at the number of tokens that it has received with the request,
 * regardless of the offset that the message or the upstream states.
 */
import type { UpstreamName } from '../identifiers.js'
import type { Request, StreamPosition } from './types.js'

/** An open request at its home. */
export interface OpenRequest {
  readonly request: Pick<Request, 'idempotent' | 'work'>
  /** Whether an attempt was sent to an upstream. */
  readonly dispatched: boolean
  /** The upstream's identifier of the stream. Undefined if the upstream has not reported it. */
  readonly handle: string | undefined
}

/** What a leaving home does with an open request. */
export type HandOverDecision =
  /** The successor can continue the request at any time. */
  | 'move'
  /**
   * Only this node can learn the outcome. It waits for it, and at the deadline it notifies the successor that the
   * request may have run.
   */
  | 'wait'

/** An open request that is being handed over to a successor. */
export interface HandedOverRequest {
  readonly request: Pick<Request, 'idempotent' | 'work'>
  readonly dispatched: boolean
  readonly tokens: readonly string[]
  readonly position: StreamPosition | undefined
}

/** How the receiver continues a request. */
export type ContinuationDecision =
  /** Dispatch the request, which was never sent to an upstream. */
  | { kind: 'run' }
  /** Attach to the stream. `otherwise` says what to do if the stream no longer exists. */
  | { kind: 'attach', upstream: UpstreamName, handle: string, offset: number, otherwise: 'restart' | 'give-up' }
  /** Dispatch the request again, with the prompt and the tokens so far. */
  | { kind: 'restart', offset: number }
  /** The request may have run and must not run twice. */
  | { kind: 'give-up' }

/** Limits of one message. */
export interface MessageLimits {
  readonly bytes: number
  readonly items: number
}

/**
 * Decides what a leaving home does with an open request.
 *
 * Failure guarded against: a call of a plain service, or a stream whose identifier is not known yet, may be running,
 * and a successor could only run it again. If that could execute the request twice, the home waits for the outcome.
 *
 * @example
 * decideHandOver({ request: booking, dispatched: true, handle: undefined }) // 'wait'
 */
export function decideHandOver (open: OpenRequest): HandOverDecision {
  if (!open.dispatched || open.handle !== undefined) return 'move'
  return open.request.idempotent && open.request.work.kind === 'model' ? 'move' : 'wait'
}

/**
 * Decides how the receiver of a hand-over continues a request.
 *
 * @example
 * decideContinuation({ request, dispatched: true, tokens: [], position: undefined }).kind // 'give-up' for a booking
 */
export function decideContinuation (handed: HandedOverRequest): ContinuationDecision {
  const { request, position, tokens } = handed
  if (!handed.dispatched) return { kind: 'run' }
  if (position !== undefined) {
    const otherwise = request.idempotent ? 'restart' : 'give-up'
    return { kind: 'attach', upstream: position.upstream, handle: position.handle, offset: tokens.length, otherwise }
  }
  return request.idempotent ? { kind: 'restart', offset: tokens.length } : { kind: 'give-up' }
}

/**
 * Splits items into messages and keeps their order.
 *
 * Failure guarded against: a message with a few large prompts exceeds the size that the receiver accepts, and all
 * requests in it are lost. An item that is larger than the limit is sent in a message of its own.
 *
 * @param sizeOf size of an item on the wire in bytes
 * @example
 * for (const message of splitIntoMessages(handed, (item) => Buffer.byteLength(JSON.stringify(item)), { bytes: 4_194_304, items: 64 })) await send(message)
 */
export function splitIntoMessages<Item> (items: readonly Item[], sizeOf: (item: Item) => number, bounds: MessageLimits): Item[][] {
  const messages: Item[][] = []
  let size = 0
  for (const item of items) {
    const itemSize = sizeOf(item)
    const current = messages.at(-1)
    if (current === undefined || current.length >= bounds.items || size + itemSize > bounds.bytes) {
      messages.push([item])
      size = itemSize
    } else {
      current.push(item)
      size += itemSize
    }
  }
  return messages
}
