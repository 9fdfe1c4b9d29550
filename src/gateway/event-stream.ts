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

const ID_FIELD = 'id:'
const ID_LINE = '\nid:'
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
      // One character per byte, so that positions are the same. Searching a string is several times faster than a loop over
      // bytes that has not been compiled yet.
      const text = bytes.toString('latin1')
      const end = endOfLastEvent(text)
      pending = end === bytes.length ? EMPTY : bytes.subarray(end)
      if (pending.length > MAX_EVENT_BYTES) throw new RangeError('server-sent event is too long')
      const complete = bytes.subarray(0, end)
      return { bytes: complete, count: countEvents(text, end), lastId: lastIdOf(text, complete) }
    },
    isWhole: () => pending.length === 0
  }
}

/** Blank lines that end events: with line feeds alone, and with carriage returns. */
const BLANK_LINES = ['\n\n', '\n\r\n'] as const

/** Returns the position after the last blank line, or 0 if there is none. */
function endOfLastEvent (text: string): number {
  return Math.max(...BLANK_LINES.map((blankLine) => {
    const start = text.lastIndexOf(blankLine)
    return start < 0 ? 0 : start + blankLine.length
  }))
}

/** Counts the blank lines before a position. */
function countEvents (text: string, end: number): number {
  let count = 0
  for (const blankLine of BLANK_LINES) {
    for (let start = text.indexOf(blankLine); start >= 0 && start < end; start = text.indexOf(blankLine, start + 1)) count += 1
  }
  return count
}

/** Returns the id in the last line of complete events that has one. */
function lastIdOf (text: string, bytes: Buffer): string | undefined {
  if (bytes.length === 0) return undefined
  const lineFeed = text.lastIndexOf(ID_LINE, bytes.length - ID_LINE.length)
  if (lineFeed < 0 && !text.startsWith(ID_FIELD)) return undefined
  const value = lineFeed + 1 + ID_FIELD.length
  const start = text[value] === ' ' ? value + 1 : value
  const lineEnd = text.indexOf('\n', start)
  const carriageReturn = text.indexOf('\r', start)
  return bytes.toString('utf8', start, carriageReturn < 0 ? lineEnd : Math.min(lineEnd, carriageReturn))
}
