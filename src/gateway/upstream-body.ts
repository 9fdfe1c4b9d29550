/**
 * Body of an upstream's answer, passed from the HTTP parser to one reader without a stream in between. A readable stream
 * with its iterator costs several promises and ticks for each chunk.
 */

/** Controls of the exchange that the body belongs to. */
export interface BodySource {
  /** Stops the parser, and so the upstream, until `resume`. */
  pause (): void
  resume (): void
  /** Ends the exchange and closes its connection. Has no effect after the end of the answer. */
  abort (reason: Error): void
}

/** Body of an answer. It has one reader. */
export interface UpstreamBody {
  /**
   * Passes on the chunks that arrive together. The upstream is paused until a returned promise is resolved.
   *
   * @returns promise that is rejected when the body is cut short. If `onChunk` throws, the connection is closed
   */
  read (onChunk: (chunk: Buffer) => Promise<unknown> | undefined | void): Promise<void>
  /** Drops the body. The connection can be reused after its end, and is closed if the body is long. */
  discard (): void
  /** Closes the connection. */
  destroy (): void
}

/** A body together with the events of the parser that fill it. */
export interface IncomingBody {
  readonly body: UpstreamBody
  push (chunk: Buffer): void
  end (): void
  fail (error: unknown): void
}

/** Bytes that are kept for a reader before the upstream is paused. */
const MAX_UNREAD_BYTES = 65_536

/** Size of a body that is dropped up to its end. Those of refusals are short. */
const MAX_DROPPED_BYTES = 65_536

/** Reader of a body that is being read. */
interface Reader {
  readonly onChunk: (chunk: Buffer) => Promise<unknown> | undefined | void
  readonly resolve: () => void
  readonly reject: (error: unknown) => void
}

/**
 * Creates the body of an answer whose headers have arrived.
 *
 * @example
 * const incoming = createIncomingBody(controller)
 * incoming.push(chunk)
 * await incoming.body.read((chunk) => response.write(chunk))
 */
export function createIncomingBody (source: BodySource): IncomingBody {
  let unread: Buffer[] = []
  let unreadBytes = 0
  let end: { readonly error: unknown } | 'whole' | undefined
  let reader: Reader | undefined
  let isDropped = false
  let droppedBytes = 0
  let isScheduled = false
  /** The reader has not accepted its latest chunk yet. */
  let isWaiting = false
  let isPaused = false

  /** After the end of the answer its connection serves another exchange, which must be neither paused nor resumed. */
  function adjustFlow (): void {
    const shouldPause = isWaiting || unreadBytes > MAX_UNREAD_BYTES
    if (end !== undefined || shouldPause === isPaused) return
    isPaused = shouldPause
    if (shouldPause) source.pause()
    else source.resume()
  }

  /** Chunks of one read of the socket are passed on together, after the parser has returned. */
  function schedule (): void {
    if (isScheduled || reader === undefined) return
    isScheduled = true
    queueMicrotask(deliver)
  }

  function deliver (): void {
    isScheduled = false
    if (reader === undefined || isWaiting) return
    if (end !== undefined && end !== 'whole') return finish()
    if (unread.length > 0) {
      try {
        const accepted = reader.onChunk(takeUnread())
        if (accepted !== undefined) return waitFor(accepted)
      } catch (error) {
        return refuse(error)
      }
      adjustFlow()
    }
    if (end !== undefined && unread.length === 0) finish()
  }

  function takeUnread (): Buffer {
    const chunk = unread.length === 1 ? unread[0]! : Buffer.concat(unread, unreadBytes)
    unread = []
    unreadBytes = 0
    return chunk
  }

  function waitFor (accepted: Promise<unknown>): void {
    isWaiting = true
    adjustFlow()
    accepted.then(() => {
      isWaiting = false
      adjustFlow()
      deliver()
    }, refuse)
  }

  function finish (): void {
    const finished = reader
    reader = undefined
    isDropped = true
    if (end === 'whole') finished?.resolve()
    else finished?.reject(end?.error)
  }

  function refuse (error: unknown): void {
    const refusing = reader
    reader = undefined
    isDropped = true
    source.abort(error as Error)
    refusing?.reject(error)
  }

  function drop (chunk: Buffer): void {
    droppedBytes += chunk.length
    if (droppedBytes > MAX_DROPPED_BYTES) source.abort(new Error('the rest of the answer is too long to be dropped'))
  }

  function read (onChunk: Reader['onChunk']): Promise<void> {
    return new Promise((resolve, reject) => {
      reader = { onChunk, resolve, reject }
      if (unread.length > 0 || end !== undefined) deliver()
    })
  }

  return {
    body: {
      read,
      discard: () => {
        isDropped = true
        unread = []
        unreadBytes = 0
        adjustFlow()
      },
      destroy: () => {
        isDropped = true
        source.abort(new Error('the answer is not wanted'))
      }
    },
    push: (chunk) => {
      if (isDropped) return drop(chunk)
      unread.push(chunk)
      unreadBytes += chunk.length
      adjustFlow()
      schedule()
    },
    end: () => {
      end ??= 'whole'
      schedule()
    },
    fail: (error) => {
      end ??= { error }
      schedule()
    }
  }
}
