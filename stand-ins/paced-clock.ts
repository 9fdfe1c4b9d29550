/**
 * Clock of tests that run a whole deployment in one process: it goes no further at a turn of the event loop than a fixed step.
 *
 * Failure guarded against: on a busy machine the process waits for its turns, and what its parts measure of each other is that wait. With
 * the clock of the system, sound upstreams seem slow or silent then. Here the clock waits together with the process.
 *
 * So a test by this clock doesn't see what the parts themselves cost in processor time.
 */
import type { Clock, Milliseconds } from '../src/clock.js'
import { createSleep } from './scheduled-sleep.js'

/** A running clock. */
export interface PacedClock extends Clock {
  /** Ends the clock, which otherwise keeps the process alive. What still sleeps never wakes. */
  stop (): void
}

interface Sleeper {
  readonly due: Milliseconds
  readonly wake: () => void
}

/**
 * Longest time that passes at a turn. A request takes some eight turns through its caller, node and upstream, so that a turn of the
 * system's length, such as 180 ms, adds no more than this to each of them.
 */
export const MAX_STEP: Milliseconds = 2

/**
 * Starts a clock that goes as fast as that of the system while turns are short.
 *
 * @example
 * const clock = startPacedClock()
 * after(() => clock.stop())
 */
export function startPacedClock (): PacedClock {
  const offset = Date.now() - performance.now()
  let turnStart = performance.now()
  let timeAtTurn = turnStart
  let sleepers: Sleeper[] = []
  let timer: NodeJS.Timeout | undefined
  let immediate: NodeJS.Immediate | undefined
  let isStopped = false

  function now (): Milliseconds {
    return timeAtTurn + Math.min(performance.now() - turnStart, MAX_STEP)
  }

  function scheduleTurn (): void {
    if (isStopped) return
    // As the timers of the system's clock do, sleepers wake after the input that is pending.
    timer = setTimeout(() => { immediate = setImmediate(turn) }, 1)
  }

  function turn (): void {
    timeAtTurn = now()
    turnStart = performance.now()
    scheduleTurn()
    const due = sleepers.filter((sleeper) => sleeper.due <= timeAtTurn).sort((left, right) => left.due - right.due)
    for (const sleeper of due) {
      if (remove(sleeper)) sleeper.wake()
    }
  }

  /** @returns whether it was still asleep */
  function remove (sleeper: Sleeper): boolean {
    const count = sleepers.length
    sleepers = sleepers.filter((other) => other !== sleeper)
    return sleepers.length < count
  }

  function schedule (delay: Milliseconds, callback: () => void): () => void {
    const sleeper = { due: now() + Math.max(0, delay), wake: callback }
    sleepers.push(sleeper)
    return () => { remove(sleeper) }
  }

  scheduleTurn()
  return {
    now,
    wall: () => now() + offset,
    sleep: createSleep(schedule),
    schedule,
    stop: () => {
      isStopped = true
      clearTimeout(timer)
      clearImmediate(immediate)
    }
  }
}
