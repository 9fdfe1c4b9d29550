/** Discrete events in virtual time: a binary heap ordered by time, then by insertion. */
import type { Milliseconds } from '../../src/clock.js'

/** Virtual time and what is to happen in it. */
export interface EventQueue {
  now (): Milliseconds
  at (time: Milliseconds, run: () => void): void
  after (delay: Milliseconds, run: () => void): void
  /** Runs every `period` from `first` on. */
  every (first: Milliseconds, period: Milliseconds, run: () => void): void
  runUntil (end: Milliseconds): void
}

interface Entry {
  readonly time: Milliseconds
  readonly sequence: number
  readonly run: () => void
}

/**
 * @example
 * const events = createEventQueue()
 * events.after(100, () => console.log(events.now()))
 * events.runUntil(1_000)
 */
export function createEventQueue (): EventQueue {
  const heap: Entry[] = []
  let now = 0
  let sequence = 0

  function push (entry: Entry): void {
    let index = heap.length
    heap.push(entry)
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (isBefore(heap[parent] as Entry, entry)) break
      heap[index] = heap[parent] as Entry
      index = parent
    }
    heap[index] = entry
  }

  function pop (): Entry {
    const first = heap[0] as Entry
    const last = heap.pop() as Entry
    if (heap.length > 0) sink(last)
    return first
  }

  function sink (entry: Entry): void {
    let index = 0
    for (let child = 1; child < heap.length; child = 2 * index + 1) {
      if (child + 1 < heap.length && isBefore(heap[child + 1] as Entry, heap[child] as Entry)) child += 1
      if (isBefore(entry, heap[child] as Entry)) break
      heap[index] = heap[child] as Entry
      index = child
    }
    heap[index] = entry
  }

  function at (time: Milliseconds, run: () => void): void {
    push({ time: Math.max(now, time), sequence: sequence++, run })
  }

  function every (first: Milliseconds, period: Milliseconds, run: () => void): void {
    at(first, () => {
      run()
      every(now + period, period, run)
    })
  }

  return {
    now: () => now,
    at,
    after: (delay, run) => at(now + delay, run),
    every,
    runUntil: (end) => {
      while (heap.length > 0 && (heap[0] as Entry).time <= end) {
        const entry = pop()
        now = entry.time
        entry.run()
      }
      now = end
    }
  }
}

function isBefore (left: Entry, right: Entry): boolean {
  return left.time === right.time ? left.sequence < right.sequence : left.time < right.time
}
