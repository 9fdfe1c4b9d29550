/** Shared code of the binaries: exit codes, error output, servers with a settings file, and stop signals. */
import { cac } from 'cac'
import type { Command } from 'cac'
import type * as z from 'zod'
import { loadSettings } from '../settings.js'
import { ServingError, toServingError } from '../verdict.js'
import type { FailureCode } from '../verdict.js'
import { VERSION } from '../version.js'

/** Exit codes of all binaries. */
export const EXIT = {
  success: 0,
  /** The command was valid and failed. */
  failure: 1,
  /** The usage or the settings are invalid. Nothing was started. */
  usage: 2,
  /** The outcome is unknown. */
  unknown: 3
} as const

/** A binary that reads a settings file and runs until it receives a stop signal. */
export interface ServerCommand<Settings> {
  /** Name of the binary. */
  readonly name: string
  /** Description in the help text. */
  readonly description: string
  /** Schema of the settings file. */
  readonly schema: z.ZodType<Settings>
  /** Path of the settings file if the command line has none. */
  readonly defaultSettings?: string | undefined
  /** Adds further options besides `--settings` and `--check`. */
  readonly addOptions?: (command: Command) => void
  /**
   * Starts the server.
   *
   * @param path path of the settings file
   * @returns a function that stops the server
   */
  readonly start: (settings: Settings, options: ServerCommandOptions, path: string) => Promise<() => Promise<void>>
}

/** Options from the command line, including the options that {@link ServerCommand.addOptions} adds. */
export interface ServerCommandOptions {
  readonly settings?: string
  readonly check?: boolean
  readonly [name: string]: unknown
}

/**
 * Runs a server until SIGTERM or SIGINT. With `--check` the settings are only validated, and no server is started.
 *
 * @example
 * runServer({
 *   name: 'hornbeamgap-planner',
 *   description: 'Run a planner',
 *   schema: plannerSettingsSchema,
 *   start: async (settings) => startPlanner({ settings, clock, random }).stop
 * })
 */
export function runServer<Settings> ({ name, description, schema, defaultSettings, addOptions, start }: ServerCommand<Settings>): void {
  const program = cac(name)
  const command = program.command('', description)
    .option('--settings <file>', 'TOML settings file')
    .option('--check', 'Check the settings and exit')
    .action(run)
  addOptions?.(command)
  program.help()
  program.version(VERSION)
  runCommand(async () => {
    program.parse(process.argv, { run: false })
    await program.runMatchedCommand()
  })

  async function run (options: ServerCommandOptions): Promise<void> {
    const path = options.settings ?? defaultSettings
    if (path === undefined) throw new ServingError('--settings <file> is required', { code: 'invalid-request', verdict: 'not-run' })
    const settings = loadSettings(schema, path)
    if (options.check) return
    const started = start(settings, options, path)
    // Failure guarded against: a signal comes during the start, and the process ends with requests that it has taken by then.
    onStopSignal(async () => (await started)())
    await started.catch(endAfterFailure)
  }
}

/**
 * Failure guarded against: a node can't listen at one of its addresses. What it has opened by then keeps its process alive, which serves
 * nobody, and which its platform doesn't start again.
 */
function endAfterFailure (error: unknown): never {
  // Once the error has been written.
  setImmediate(() => process.exit())
  throw error
}

/**
 * Runs a command. An error of the command is written to standard error as one line and sets the exit code. An internal
 * error is written with its stack.
 *
 * @example
 * runCommand(() => main(process.argv))
 */
export function runCommand (command: () => Promise<void>): void {
  command().catch((error) => {
    const failure = toServingError(error, 'not-run')
    process.stderr.write(`${failure.message}\n`)
    process.exitCode = isUsageError(error, failure.code) ? EXIT.usage : EXIT.failure
    if (isUsageError(error, failure.code)) return
    if (failure.code === 'internal') process.stderr.write(`${(error as Error).stack ?? ''}\n`)
  })
}

/** Whether an error is a usage error. `cac` reports unknown options and missing arguments with its own error class. */
function isUsageError (error: unknown, code: FailureCode): boolean {
  return code === 'invalid-request' || (error instanceof Error && error.name === 'CACError')
}

/**
 * Calls `stop` on the first SIGTERM or SIGINT. Further signals are ignored.
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
