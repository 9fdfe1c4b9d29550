/** What the binaries share: exit codes, errors for people, processes with a settings file, and the end by signal. */
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
  /** The command was understood and failed. */
  failure: 1,
  /** Wrong usage or settings; nothing was started. */
  usage: 2,
  /** The outcome is unknown. */
  unknown: 3
} as const

/** A binary that reads a settings file and runs until it is told to stop. */
export interface ServerCommand<Settings> {
  /** Name of the binary. */
  readonly name: string
  readonly description: string
  readonly schema: z.ZodType<Settings>
  /** Settings file where the command line names none. */
  readonly defaultSettings?: string | undefined
  /** Adds options beside `--settings` and `--check`. */
  readonly addOptions?: (command: Command) => void
  /** Starts the process; `path` is where its settings stand. @returns how to stop it */
  readonly start: (settings: Settings, options: ServerCommandOptions, path: string) => Promise<() => Promise<void>>
}

/** Options from the command line; those of {@link ServerCommand.addOptions} by their name. */
export interface ServerCommandOptions {
  readonly settings?: string
  readonly check?: boolean
  readonly [name: string]: unknown
}

/**
 * Runs a server until SIGTERM or SIGINT. With `--check` it only checks the settings.
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
    onStopSignal(await start(settings, options, path))
  }
}

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
