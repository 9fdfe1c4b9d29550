/** Waits of tests. */
import { SECOND } from '../src/clock.js'
import type { Clock, Milliseconds } from '../src/clock.js'

/** Options of {@link waitUntil}. */
export interface WaitOptions {
  readonly clock: Pick<Clock, 'now' | 'sleep'>
  /** What is waited for, for the error. */
  readonly what: string
  /** Longest wait. It only ends waits for what doesn't come, so it is far longer than any wait on a busy machine. */
  readonly limit?: Milliseconds
  readonly interval?: Milliseconds
}

/**
 * Waits until a condition is met.
 *
 * Failure guarded against: what a test waits for never comes. Its file then runs until the bound of all tests ends it, without a word about
 * the test.
 *
 * @throws if it isn't met in time
 * @example
 * await waitUntil(() => lines.some(({ event }) => event === 'node-stopped'), { clock, what: 'the end of the node' })
 */
export async function waitUntil (condition: () => Promise<boolean> | boolean, { clock, what, limit = 40 * SECOND, interval = 20 }: WaitOptions): Promise<void> {
  const end = clock.now() + limit
  while (!(await condition())) {
    if (clock.now() >= end) throw new Error(`${what}: not seen within ${limit} ms`)
    await clock.sleep(interval)
  }
}
