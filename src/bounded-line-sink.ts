/**
 * A rate-limited sink for log lines that never blocks and buffers a bounded amount. Lines beyond the rate limit, or
 * written while the reader of the stream lags behind, are omitted and counted. A separate line reports the counts.
 *
 * Failure guarded against: during an outage each request may write a log line, and the processor time for logging is
 * missing for the requests. Or the collector that reads standard output stops reading, and the buffered lines fill
 * the memory of the process. The rate limit bounds the first cost, the limit of the buffer the second.
 */
import type { Writable } from 'node:stream'
import type { Clock, Milliseconds } from './clock.js'
import { SECOND } from './clock.js'

/** Writes one log line. Lines are counted by the name of their event. */
export type LineSink = (line: string, event: string) => void

/** Maximum number of lines per event and window. Normal operation produces a tenth of this rate. */
const MAX_LINES_PER_EVENT = 25

/**
 * Maximum number of lines per window over all events. At 400 bytes per line this is about 60 KB per second, a
 * hundredth of the bandwidth of the smallest instance.
 */
const MAX_LINES_PER_WINDOW = 150

/** Maximum number of bytes buffered for the reader. Lines are omitted beyond it. */
const MAX_BUFFERED_BYTES = 262_144

/** Length of the window over which lines are counted. */
const WINDOW: Milliseconds = SECOND

/**
 * Creates a rate-limited sink that writes to a stream.
 *
 * @param describeOmitted formats the line that reports the numbers of omitted lines by event
 * @example
 * const sink = createBoundedLineSink(process.stdout, clock, (counts) => JSON.stringify({ event: 'lines-left-out', ...counts }))
 */
export function createBoundedLineSink (stream: Writable, clock: Clock, describeOmitted: (leftOut: Readonly<Record<string, number>>) => string): LineSink {
  const linesByEvent = new Map<string, number>()
  const omittedByEvent = new Map<string, number>()
  let windowStart = clock.now()
  let linesInWindow = 0

  function renewWindow (): void {
    if (clock.now() - windowStart < WINDOW) return
    windowStart = clock.now()
    linesByEvent.clear()
    linesInWindow = 0
    if (omittedByEvent.size === 0 || isReaderBehind()) return
    stream.write(describeOmitted(Object.fromEntries(omittedByEvent)) + '\n')
    omittedByEvent.clear()
  }

  function isReaderBehind (): boolean {
    return stream.writableLength > MAX_BUFFERED_BYTES
  }

  return (line, event) => {
    renewWindow()
    const count = linesByEvent.get(event) ?? 0
    if (count >= MAX_LINES_PER_EVENT || linesInWindow >= MAX_LINES_PER_WINDOW || isReaderBehind()) {
      omittedByEvent.set(event, (omittedByEvent.get(event) ?? 0) + 1)
      return
    }
    linesByEvent.set(event, count + 1)
    linesInWindow += 1
    stream.write(line + '\n')
  }
}
