/** Periodic tasks. Failures are logged as changes of state instead of once per run. */
import { every } from './clock.js'
import type { Clock, Milliseconds } from './clock.js'
import type { Log } from './log.js'

/** Context of a periodic task. */
export interface RepeatContext {
  readonly clock: Clock
  readonly log: Log
  /** Stops the task when aborted. */
  readonly signal: AbortSignal
}

/**
 * Starts a periodic task. The first of consecutive failures is logged as `<task>-failing`, and the first success after
 * them as `<task>-works-again`. An outage therefore produces two log lines, however long it lasts.
 *
 * @param task name of the task in the log lines
 * @param period pause between two runs, in milliseconds
 * @param work one run of the task
 * @example
 * repeat({ clock, log, signal }, 'instance-list', SECOND, refresh)
 */
export function repeat (context: RepeatContext, task: string, period: Milliseconds, work: () => Promise<unknown> | unknown): void {
  const { clock, log, signal } = context
  let failing = false

  async function runOnce (): Promise<void> {
    await work()
    if (failing) log.info(`${task}-works-again`)
    failing = false
  }

  function reportFailure (error: unknown): void {
    if (!failing) log.warn(`${task}-failing`, { error: String(error) })
    failing = true
  }

  every(clock, period, signal, runOnce, reportFailure).catch(() => {})
}
