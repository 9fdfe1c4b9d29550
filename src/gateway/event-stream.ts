/**
 * Cuts the bytes of a `text/event-stream` (https://html.spec.whatwg.org/multipage/server-sent-events.html)
 * into whole events without changing them.
 *
 * Failure guarded against: an upstream dies in the middle of an event and another goes on with the next;
 * the caller would read a torn event joined to a whole one. Only whole events are passed on.
 */

/** Whole events of one or more pieces. */
export interface WholeEvents {
  readonly bytes: Buffer
  readonly count: number
  /** Id of the last event that has one. */
  readonly lastId: string | undefined
}

/** Cutter of one stream. */
export interface EventCutter {
  /** Takes a piece; returns the events that it completes. */
  push (piece: Buffer): WholeEvents
  /** Whether the stream ends here without a torn event. */
  isWhole (): boolean
}

/** A longer event ends the stream; upstreams send some hundred bytes. */
export const LONGEST_EVENT = 1_048_576

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const ID_LINE = /(?:^|\n)id: ?([^\r\n]*)/g
const EMPTY = Buffer.alloc(0)

/**
 * @throws RangeError from `push` for an event beyond {@link LONGEST_EVENT}
 * @example
 * const cutter = createEventCutter()
 * response.write(cutter.push(piece).bytes)
 */
export function createEventCutter (): EventCutter {
  let rest: Buffer = EMPTY
  return {
    push: (piece) => {
      const bytes = rest.length === 0 ? piece : Buffer.concat([rest, piece])
      const end = endOfLastEvent(bytes)
      rest = end === bytes.length ? EMPTY : bytes.subarray(end)
      if (rest.length > LONGEST_EVENT) throw new RangeError('server-sent event is too long')
      const whole = bytes.subarray(0, end)
      return { bytes: whole, count: countEvents(whole), lastId: lastIdOf(whole) }
    },
    isWhole: () => rest.length === 0
  }
}

/** Position after the last blank line; 0 when there is none. */
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
