/** Virtual time for many copies in one process: whole milliseconds, sleepers in a binary heap. */
import type { Milliseconds } from '../../src/clock.js'
import { flushPromises } from '../../stand-ins/manual-clock.js'
import type { ManualClock } from '../../stand-ins/manual-clock.js'
import { createSleep } from '../../stand-ins/scheduled-sleep.js'

interface Sleeper {
  readonly due: Milliseconds
  wake: () => void
}

/**
 * A manual clock for thousands of sleepers; what is due in the same millisecond wakes together.
 *
 * @example
 * const clock = createVirtualClock()
 * await clock.advance(60_000)
 */
export function createVirtualClock (): ManualClock {
  const heap: Sleeper[] = []
  let time = 0

  function schedule (delay: Milliseconds, callback: () => void): () => void {
    const sleeper = { due: Math.ceil(time + Math.max(delay, 1)), wake: callback }
    push(heap, sleeper)
    return () => { sleeper.wake = () => {} }
  }

  return {
    now: () => time,
    wall: () => time,
    sleep: createSleep(schedule),
    schedule,
    advance: async (duration) => {
      const until = time + duration
      for (let next = heap[0]; next !== undefined && next.due <= until; next = heap[0]) {
        time = next.due
        while (heap[0] !== undefined && heap[0].due <= time) pop(heap).wake()
        await flushPromises()
      }
      time = until
      await flushPromises()
    }
  }
}

function push (heap: Sleeper[], item: Sleeper): void {
  let index = heap.push(item) - 1
  while (index > 0) {
    const parent = (index - 1) >> 1
    if ((heap[parent] as Sleeper).due <= item.due) break
    heap[index] = heap[parent] as Sleeper
    index = parent
  }
  heap[index] = item
}

function pop (heap: Sleeper[]): Sleeper {
  const top = heap[0] as Sleeper
  const last = heap.pop() as Sleeper
  if (heap.length === 0) return top
  let index = 0
  for (;;) {
    let child = 2 * index + 1
    if (child >= heap.length) break
    if (child + 1 < heap.length && (heap[child + 1] as Sleeper).due < (heap[child] as Sleeper).due) child += 1
    if ((heap[child] as Sleeper).due >= last.due) break
    heap[index] = heap[child] as Sleeper
    index = child
  }
  heap[index] = last
  return top
}
