/** Concurrent attempts that start one after another, until one of them succeeds (RFC 8305, 5). */
import type { Clock, Milliseconds } from '../clock.js'

/** One of several attempts. */
export interface StaggeredAttempt<Result> {
  /** Time after the start of the attempt before, at which this one starts unless that one has failed earlier. */
  readonly delay: Milliseconds
  /** Starts the attempt. The signal aborts when its result is no longer needed. */
  readonly start: (signal: AbortSignal) => Promise<Result>
}

/**
 * Runs the attempts in order. Each starts after its delay, or as soon as all that were started have failed.
 *
 * @param attempts at least one
 * @param dispose called with the result of an attempt that succeeds after another one
 * @returns the first result
 * @throws the error of the first attempt if all of them fail
 * @example
 * const socket = await startStaggered(clock, [{ delay: 0, start: connectDirectly }, { delay: 100, start: connectByRelay }], (late) => late.destroy())
 */
export function startStaggered<Result> (clock: Clock, attempts: readonly StaggeredAttempt<Result>[], dispose: (late: Result) => void): Promise<Result> {
  return new Promise((resolve, reject) => {
    const end = new AbortController()
    let started = 0
    let failed = 0
    let firstError: unknown
    let cancelNext = (): void => {}

    function startNext (): void {
      cancelNext()
      const index = started
      const attempt = attempts[index]
      if (attempt === undefined) return
      started += 1
      attempt.start(end.signal).then(succeed, (error) => fail(index, error))
      const following = attempts[started]
      if (following !== undefined) cancelNext = clock.schedule(following.delay, startNext)
    }

    function succeed (result: Result): void {
      if (end.signal.aborted) return dispose(result)
      cancelNext()
      end.abort()
      resolve(result)
    }

    function fail (index: number, error: unknown): void {
      if (end.signal.aborted) return
      failed += 1
      if (index === 0) firstError = error
      if (failed === attempts.length) reject(firstError)
      else if (failed === started) startNext()
    }

    startNext()
  })
}
