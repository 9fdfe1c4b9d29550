/** What the binaries share: exit codes, errors for people, and the end by signal. */
import { toServingError } from '../verdict.js'
import type { FailureCode } from '../verdict.js'

/** Exit codes of all binaries. */
export const EXIT = {
  success: 0,
  /** The command was understood and failed. */
  failure: 1,
  /** Wrong usage or settings; nothing was started. */
  usage: 2,
  /** The outcome is unknown. */
  unknown: 3
} as const

/**
 * Runs a command and turns what it throws into one line and an exit code.
 *
 * @example
 * runCommand(() => main(process.argv))
 */
export function runCommand (command: () => Promise<void>): void {
  command().catch((error) => {
    const failure = toServingError(error, 'not-run')
    process.stderr.write(`${failure.message}\n`)
    process.exitCode = isUsage(error, failure.code) ? EXIT.usage : EXIT.failure
    if (isUsage(error, failure.code)) return
    if (failure.code === 'internal') process.stderr.write(`${(error as Error).stack ?? ''}\n`)
  })
}

/** The command line's parser has its own errors for options and arguments that it does not know. */
function isUsage (error: unknown, code: FailureCode): boolean {
  return code === 'invalid-request' || (error instanceof Error && error.name === 'CACError')
}

/**
 * Calls `stop` on the first SIGTERM or SIGINT.
 *
 * @example
 * onStopSignal(() => node.stop())
 */
export function onStopSignal (stop: () => Promise<void>): void {
  let stopping = false
  const handle = (): void => {
    if (stopping) return
    stopping = true
    runCommand(stop)
  }
  process.on('SIGTERM', handle)
  process.on('SIGINT', handle)
}
