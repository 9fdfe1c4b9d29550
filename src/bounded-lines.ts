/**
 * A sink for log lines that neither blocks nor grows: so many lines a second of each event, and none while
 * the reader of the stream is behind. What was left out is told in a line of its own.
 *
 * Failure guarded against: an outage makes each request write a line, and the processor that is charged for
 * them is taken from the requests; or the collector of standard output stops reading, and the lines fill
 * the process's memory.
 */
import type { Writable } from 'node:stream'
import type { Clock, Milliseconds } from './clock.js'
import { SECOND } from './clock.js'

/** Writes one line of an event. */
export type LineSink = (line: string, event: string) => void

/** Lines of one event in a second; a usual day has a tenth of it. */
const LINES_PER_EVENT = 25

/** Lines of all events in a second: at 400 bytes some 60 KB, a hundredth of the smallest machine's link. */
const LINES_IN_ALL = 150

/** Bytes that wait for the reader before lines are left out. */
const MOST_WAITING = 262_144

const WINDOW: Milliseconds = SECOND

/**
 * @param describe makes the line that tells of left-out lines, by event
 * @example
 * const sink = createBoundedLines(process.stdout, clock, (counts) => JSON.stringify({ event: 'lines-left-out', ...counts }))
 */
export function createBoundedLines (stream: Writable, clock: Clock, describe: (leftOut: Readonly<Record<string, number>>) => string): LineSink {
  const written = new Map<string, number>()
  const leftOut = new Map<string, number>()
  let windowStart = clock.now()
  let inAll = 0

  function openWindow (): void {
    if (clock.now() - windowStart < WINDOW) return
    windowStart = clock.now()
    written.clear()
    inAll = 0
    if (leftOut.size === 0 || isBehind()) return
    stream.write(describe(Object.fromEntries(leftOut)) + '\n')
    leftOut.clear()
  }

  function isBehind (): boolean {
    return stream.writableLength > MOST_WAITING
  }

  return (line, event) => {
    openWindow()
    const count = written.get(event) ?? 0
    if (count >= LINES_PER_EVENT || inAll >= LINES_IN_ALL || isBehind()) {
      leftOut.set(event, (leftOut.get(event) ?? 0) + 1)
      return
    }
    written.set(event, count + 1)
    inAll += 1
    stream.write(line + '\n')
  }
}
