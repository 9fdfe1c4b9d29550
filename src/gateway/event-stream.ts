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
  /** Bytes of the event that is not complete yet. */
  pendingBytes (): number
}

/** Maximum size of an event in bytes. Events of upstreams are usually a few hundred bytes long. */
export const MAX_EVENT_BYTES = 1_048_576

const ID_FIELD = 'id:'
const ID_LINE = '\nid:'
const NO_EVENTS: CompleteEvents = { bytes: Buffer.alloc(0), count: 0, lastId: undefined }

/**
 * Creates a splitter for one stream.
 *
 * @throws RangeError from `push` for an event longer than {@link MAX_EVENT_BYTES}
 * @example
 * const splitter = createEventSplitter()
 * response.write(splitter.push(chunk).bytes)
 */
export function createEventSplitter (): EventSplitter {
  let pending: Buffer[] = []
  let pendingBytes = 0
  /** The last bytes of the pending ones, with which a blank line may begin. */
  let tail = ''

  function setPending (chunks: Buffer[], bytes: number, text: string): void {
    pending = chunks
    pendingBytes = bytes
    tail = text.slice(-MAX_SPLIT_BLANK_LINE)
  }

  return {
    // Only a new chunk is searched, so that an event that comes in many pieces costs no more than another one.
    push: (chunk) => {
      // One character per byte, so that positions are the same. Searching a string is several times faster than a loop over
      // bytes that has not been compiled yet.
      const text = tail + chunk.toString('latin1')
      const end = endOfLastEvent(text) - tail.length
      if (end <= 0) {
        pending.push(chunk)
        setPending(pending, pendingBytes + chunk.length, text)
        if (pendingBytes > MAX_EVENT_BYTES) throw new RangeError('server-sent event is too long')
        return NO_EVENTS
      }
      const isAllInChunk = pendingBytes === 0
      const complete = isAllInChunk ? chunk.subarray(0, end) : Buffer.concat([...pending, chunk.subarray(0, end)], pendingBytes + end)
      const rest = chunk.subarray(end)
      const restText = text.slice(tail.length + end)
      setPending(rest.length === 0 ? [] : [rest], rest.length, restText)
      if (pendingBytes > MAX_EVENT_BYTES) throw new RangeError('server-sent event is too long')
      const completeText = isAllInChunk ? text : complete.toString('latin1')
      return { bytes: complete, count: countEvents(completeText, complete.length), lastId: lastIdOf(completeText, complete) }
    },
    pendingBytes: () => pendingBytes
  }
}

/** Blank lines that end events: with line feeds alone, and with carriage returns. */
const BLANK_LINES = ['\n\n', '\n\r\n'] as const

/** Bytes of a blank line that may be in earlier chunks than its last one. */
const MAX_SPLIT_BLANK_LINE = 2

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
