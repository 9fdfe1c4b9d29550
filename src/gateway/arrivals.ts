/**
 * Estimates when requests arrived that a busy node reads late.
 *
 * Failure guarded against: the event loop is busy, and requests wait unread. Counted from when they are read, their time limits end
 * after those of their callers, and the node works on requests that nobody waits for any more.
 */
import type { Socket } from 'node:net'
import { performance } from 'node:perf_hooks'
import type { Clock, Milliseconds } from '../clock.js'

/** Arrival times of requests. */
export interface Arrivals {
  /** A connection has been accepted. Its first request may have been sent with it. */
  accepted (connection: Socket): void
  /** @returns the earliest time at which a request may have arrived whose head has been read just now */
  of (connection: Socket): Milliseconds
}

/** What the event loop has done since the start of the process. */
export interface EventLoopTimes {
  /** Number of the present turn, in each of which pending input is read. */
  readonly turn: number
  /** Total time for which it has waited for input, which is then read as it arrives. */
  readonly idle: Milliseconds
}

/** Dependencies of {@link createArrivals}. */
export interface ArrivalsOptions {
  readonly clock: Pick<Clock, 'now'>
  readonly eventLoop: () => EventLoopTimes
}

/** A turn of the event loop in which input of callers was read. */
interface Turn {
  readonly number: number
  readonly startedAt: Milliseconds
  readonly idleAtStart: Milliseconds
  /** Earliest time at which its input may have arrived. */
  readonly arrivedAfter: Milliseconds
}

/** Idle time between two turns that shows that the input of the first one had all been read. */
const MIN_IDLE_TIME: Milliseconds = 0.1

/** Fraction of the time between two turns for which the process was busy from which this may have been in one piece. */
const MIN_BUSY_FRACTION = 1 / 2

/**
 * Creates the estimates of one process.
 *
 * @example
 * const arrivals = createArrivals({ clock, eventLoop: eventLoopTimes })
 * server.on('connection', (connection) => arrivals.accepted(connection))
 * const limit = createTimeLimit(arrivals.of(request.socket), head.deadline, route)
 */
export function createArrivals ({ clock, eventLoop }: ArrivalsOptions): Arrivals {
  /** The turns in which connections were accepted whose first request has not been read yet. */
  const acceptedIn = new WeakMap<Socket, Turn>()
  let present: Turn | undefined

  /** Input would have been read in the turn before if it had been there when that began, or during an idle time since. */
  function arrivedAfter (previous: Turn, now: Milliseconds, idle: Milliseconds): Milliseconds {
    const idleSince = idle - previous.idleAtStart
    if (idleSince < MIN_IDLE_TIME) return previous.startedAt
    const elapsed = now - previous.startedAt
    const busy = elapsed - idleSince
    return busy < elapsed * MIN_BUSY_FRACTION ? now : now - busy
  }

  function presentTurn (): Turn {
    const { turn, idle } = eventLoop()
    if (present?.number === turn) return present
    const now = clock.now()
    present = { number: turn, startedAt: now, idleAtStart: idle, arrivedAfter: present === undefined ? now : arrivedAfter(present, now, idle) }
    return present
  }

  return {
    accepted: (connection) => { acceptedIn.set(connection, presentTurn()) },
    of: (connection) => {
      const turn = presentTurn()
      const accepted = acceptedIn.get(connection)
      acceptedIn.delete(connection)
      // A connection that is accepted in one turn is read in the next one, where the event loop doesn't wait in between.
      const isReadNext = accepted !== undefined && turn.number - accepted.number <= 1 && turn.arrivedAfter < turn.startedAt
      return isReadNext ? Math.min(accepted.arrivedAfter, turn.arrivedAfter) : turn.arrivedAfter
    }
  }
}

/**
 * The times of this process's event loop.
 *
 * @example
 * const { turn } = eventLoopTimes()
 */
export function eventLoopTimes (): EventLoopTimes {
  return { turn: performance.nodeTiming.uvMetricsInfo.loopCount, idle: performance.eventLoopUtilization().idle }
}
