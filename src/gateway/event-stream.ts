/**
 * Splits the bytes of a `text/event-stream` (https://html.spec.whatwg.org/multipage/server-sent-events.html) into
 * complete events without changing them.
 *
 * Failure guarded against: an upstream dies in the middle of an event and another one continues with the next event, so
 * the caller would read a truncated event joined to a complete one. Only complete events are passed on.
 */

/** Complete events from one or more chunks. */
export interface CompleteEvents {
  readonly bytes: Buffer
  readonly count: number
  /** Id of the last event that has an id. */
  readonly lastId: string | undefined
}

/** Splitter of one stream. */
export interface EventSplitter {
  /** Adds a chunk and returns the events that are complete now. */
  push (chunk: Buffer): CompleteEvents
  /** Whether no incomplete event is pending. */
  isWhole (): boolean
}

/** Maximum size of an event in bytes. Events of upstreams are usually a few hundred bytes long. */
export const MAX_EVENT_BYTES = 1_048_576

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const ID_LINE = /(?:^|\n)id: ?([^\r\n]*)/g
const EMPTY = Buffer.alloc(0)

/**
 * Creates a splitter for one stream.
 *
 * @throws RangeError from `push` for an event longer than {@link MAX_EVENT_BYTES}
 * @example
 * const splitter = createEventSplitter()
 * response.write(splitter.push(chunk).bytes)
 */
export function createEventSplitter (): EventSplitter {
  let pending: Buffer = EMPTY
  return {
    push: (chunk) => {
      const bytes = pending.length === 0 ? chunk : Buffer.concat([pending, chunk])
      const end = endOfLastEvent(bytes)
      pending = end === bytes.length ? EMPTY : bytes.subarray(end)
      if (pending.length > MAX_EVENT_BYTES) throw new RangeError('server-sent event is too long')
      const complete = bytes.subarray(0, end)
      return { bytes: complete, count: countEvents(complete), lastId: lastIdOf(complete) }
    },
    isWhole: () => pending.length === 0
  }
}

/** Returns the position after the last blank line, or 0 if there is none. */
function endOfLastEvent (bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index -= 1) {
    if (bytes[index] === LINE_FEED && isBlankLineBefore(bytes, index)) return index + 1
  }
  return 0
}

function isBlankLineBefore (bytes: Buffer, index: number): boolean {
  if (bytes[index - 1] === LINE_FEED) return true
  return bytes[index - 1] === CARRIAGE_RETURN && index > 1 && bytes[index - 2] === LINE_FEED
}

function countEvents (bytes: Buffer): number {
  let count = 0
  for (let index = 1; index < bytes.length; index += 1) {
    if (bytes[index] === LINE_FEED && isBlankLineBefore(bytes, index)) count += 1
  }
  return count
}

function lastIdOf (bytes: Buffer): string | undefined {
  if (bytes.length === 0) return undefined
  let last: string | undefined
  for (const match of bytes.toString('utf8').matchAll(ID_LINE)) last = match[1]
  return last
}
