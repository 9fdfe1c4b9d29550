/**
 * Decisions of a hand-over: what a leaving home does with each open request, how the requests are divided
 * into messages, and how the receiver goes on with each. Offsets stay continuous: a receiver goes on at the
 * number of tokens that it was given, never at what an upstream or a message claims besides.
 */
import type { UpstreamName } from '../identifiers.js'
import type { Request, StreamPosition } from './types.js'

/** An open request as its home knows it. */
export interface OpenRequest {
  readonly request: Pick<Request, 'idempotent' | 'work'>
  /** Something was sent to an upstream. */
  readonly dispatched: boolean
  /** The upstream's name for the stream, when it has told one. */
  readonly handle: string | undefined
}

/** What a leaving home does with an open request. */
export type LeavingDecision =
  /** The successor can go on with it at any moment. */
  | 'move'
  /** Only this node can learn its outcome: wait for it, and at the deadline tell the successor that it may have run. */
  | 'wait'

/** A request on its way to a successor. */
export interface HandedRequest {
  readonly request: Pick<Request, 'idempotent' | 'work'>
  readonly dispatched: boolean
  readonly tokens: readonly string[]
  readonly position: StreamPosition | undefined
}

/** How a receiver goes on. */
export type Continuation =
  /** It was never sent to an upstream. */
  | { kind: 'run' }
  /** Attach to the stream; `otherwise` when it is gone. */
  | { kind: 'attach', upstream: UpstreamName, handle: string, offset: number, otherwise: 'restart' | 'give-up' }
  /** Run again from the prompt and the tokens so far. */
  | { kind: 'restart', offset: number }
  /** It may have run and must not run twice. */
  | { kind: 'give-up' }

/** Bounds of one message. */
export interface MessageBounds {
  readonly bytes: number
  readonly items: number
}

/**
 * Failure guarded against: a plain call, or a stream that has not told its name yet, may be running, and a
 * successor could only run it again. Where that would double it, the home waits.
 *
 * @example
 * decideLeaving({ request: booking, dispatched: true, handle: undefined }) // 'wait'
 */
export function decideLeaving (open: OpenRequest): LeavingDecision {
  if (!open.dispatched || open.handle !== undefined) return 'move'
  return open.request.idempotent && open.request.work.kind === 'model' ? 'move' : 'wait'
}

/**
 * @example
 * decideContinuation({ request, dispatched: true, tokens: [], position: undefined }).kind // 'give-up' for a booking
 */
export function decideContinuation (handed: HandedRequest): Continuation {
  const { request, position, tokens } = handed
  if (!handed.dispatched) return { kind: 'run' }
  if (position !== undefined) {
    const otherwise = request.idempotent ? 'restart' : 'give-up'
    return { kind: 'attach', upstream: position.upstream, handle: position.handle, offset: tokens.length, otherwise }
  }
  return request.idempotent ? { kind: 'restart', offset: tokens.length } : { kind: 'give-up' }
}

/**
 * Divides items into messages, in their order.
 *
 * Failure guarded against: a few large prompts in one message exceed what the receiver accepts, and all of
 * its requests are lost with it. An item larger than the bound goes alone.
 *
 * @param sizeOf bytes of an item on the wire
 * @example
 * for (const message of divide(handed, (item) => Buffer.byteLength(JSON.stringify(item)), { bytes: 4_194_304, items: 64 })) await send(message)
 */
export function divide<Item> (items: readonly Item[], sizeOf: (item: Item) => number, bounds: MessageBounds): Item[][] {
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
