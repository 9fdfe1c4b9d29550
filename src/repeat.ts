/** Periodic tasks whose failures are logged as changes of state, not once a period. */
import { every } from './clock.js'
import type { Clock, Milliseconds } from './clock.js'
import type { Log } from './log.js'

/** What a periodic task runs under. */
export interface RepeatContext {
  readonly clock: Clock
  readonly log: Log
  /** Ends the task. */
  readonly signal: AbortSignal
}

/**
 * Runs `work` every `period`. The first failure in a row is logged as `<task>-failing`, the first
 * success after it as `<task>-works-again`; an outage of an hour is two lines.
 *
 * @param task name in the log lines
 * @param period pause between two runs, in milliseconds
 * @example
 * repeat({ clock, log, signal }, 'instance-list', SECOND, refresh)
 */
export function repeat (context: RepeatContext, task: string, period: Milliseconds, work: () => Promise<unknown> | unknown): void {
  const { clock, log, signal } = context
  let failing = false

  async function attempt (): Promise<void> {
    await work()
    if (failing) log.info(`${task}-works-again`)
    failing = false
  }

  function fail (error: unknown): void {
    if (!failing) log.warn(`${task}-failing`, { error: String(error) })
    failing = true
  }

  every(clock, period, signal, attempt, fail).catch(() => {})
}
