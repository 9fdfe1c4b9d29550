/** A queueing fake of a plain service: a few workers, first come first served. */
import type { Milliseconds } from '../../src/clock.js'
import type { EventQueue } from './event-queue.js'

/** A call of a plain service. */
export interface PlainJob {
  readonly time: Milliseconds
  onWhole (): void
  onBroken (): void
}

/** A running fake. */
export interface FakePlainService {
  /** @returns a function that cancels the call when it has not begun */
  start (job: PlainJob): () => void
  kill (): void
  /** 1 is usual; `Infinity` accepts calls and makes no progress. */
  slow (factor: number): void
}

/**
 * @param workers calls worked on at a time
 * @example
 * createFakePlainService(events, 8).start(job)
 */
export function createFakePlainService (events: EventQueue, workers: number): FakePlainService {
  const waiting = new Set<PlainJob>()
  const busy = new Set<PlainJob>()
  let dead = false
  let factor = 1

  function work (): void {
    for (const job of waiting) {
      if (busy.size >= workers || factor === Infinity) return
      waiting.delete(job)
      busy.add(job)
      events.after(job.time * factor, () => finish(job))
    }
  }

  function finish (job: PlainJob): void {
    if (!busy.delete(job)) return
    job.onWhole()
    work()
  }

  return {
    start: (job) => {
      if (dead) events.after(1, job.onBroken)
      else waiting.add(job)
      work()
      return () => { waiting.delete(job) }
    },
    kill: () => {
      dead = true
      const broken = [...busy, ...waiting]
      busy.clear()
      waiting.clear()
      for (const job of broken) job.onBroken()
    },
    slow: (value) => {
      factor = value
      work()
    }
  }
}
