#!/usr/bin/env node
/** `hornbeamgap`: the command-line tool for operators. */
import { userInfo } from 'node:os'
import { cac } from 'cac'
import type { Command } from 'cac'
import { createSystemClock } from '../clock.js'
import { applyCommand, historyCommand, rollbackCommand, showCommand } from '../operator/command/change.js'
import type { ChangeCommandOptions } from '../operator/command/change.js'
import { createOperatorClient, resolveSettings } from '../operator/command/connection.js'
import type { ConnectionOptions, OperatorClient } from '../operator/command/connection.js'
import { dayCommand } from '../operator/command/day.js'
import type { DayCommandOptions } from '../operator/command/day.js'
import { explainCommand, plannerCommand, statusCommand } from '../operator/command/look.js'
import { explainFromLogs, readLogs } from '../operator/command/logs.js'
import { createProcessOutput } from '../operator/command/output.js'
import { reportCommand } from '../operator/command/report.js'
import type { ReportCommandOptions } from '../operator/command/report.js'
import { ServingError } from '../verdict.js'
import { VERSION } from '../version.js'
import { runCommand } from './command-line.js'

type CommandOptions = ConnectionOptions & { json?: boolean }

const output = createProcessOutput()

runCommand(async () => {
  const program = cac('hornbeamgap')
  addChangeOptions(program.command('apply <file>', 'Put a configuration in force, from a TOML file'))
    .action((file: string, options: CommandOptions & ChangeCommandOptions) => withClient(options, (client) => applyCommand(client, output, file, withAuthor(options))))
  addChangeOptions(program.command('rollback <revision>', 'Put an earlier revision in force again, as a new revision'))
    .action((revision: string, options: CommandOptions & ChangeCommandOptions) => withClient(options, (client) => rollbackCommand(client, output, Number(revision), withAuthor(options))))
  addConnectionOptions(program.command('show', 'Show the configuration in force, as TOML'))
    .action((options: CommandOptions) => withClient(options, (client) => showCommand(client, output, options)))
  addConnectionOptions(program.command('history', 'List revisions: who changed what, when and why'))
    .option('--limit <count>', 'Most revisions', { default: 20 })
    .action((options: CommandOptions & { limit: number }) => withClient(options, (client) => historyCommand(client, output, options)))
  addConnectionOptions(program.command('status', 'Show what is in force at each node'))
    .action((options: CommandOptions) => withClient(options, (client) => statusCommand(client, output, options)))
  addConnectionOptions(program.command('report', 'Tell who got what, by class and organisation'))
    .option('--since <duration>', 'Begin so long ago: 90m, 2h, 3d (default: 1d)')
    .option('--from <time>', 'Begin at an ISO 8601 time')
    .option('--to <time>', 'End at an ISO 8601 time (default: now)')
    .option('--fresh', 'Have every node report first')
    .option('--csv', 'Write comma-separated values')
    .option('--html <file>', 'Write a page with plots')
    .action((options: CommandOptions & ReportCommandOptions) => withClient(options, (client) => reportCommand(client, output, options, createSystemClock().wall())))
  addConnectionOptions(program.command('explain <id> [...logs]', 'Tell what happened to one request, and why: from the nodes, or from files of their lines (- for standard input)'))
    .action((id: string, logs: string[], options: CommandOptions) => logs.length > 0
      ? explainFromLogs(readLogs(logs), output, id, options)
      : withClient(options, (client) => explainCommand(client, output, id, options)))
  program.command('day <...logs>', 'Tell what became of requests over time, from files of nodes\' lines (- for standard input)')
    .option('--json', 'Write JSON')
    .option('--html <file>', 'Write a page with a plot')
    .option('--step <seconds>', 'Length of a part (default: 2, with --load 1)')
    .option('--load', 'Tell the load by class, organisation, size of the prompt and upstream')
    .option('--by <groups>', 'With --load, only some of: class,organisation,size,upstream,quota,queue')
    .option('--totals', 'With --load, leave out the single parts')
    .action((logs: string[], options: DayCommandOptions) => dayCommand(logs, output, options))
  addConnectionOptions(program.command('planner', 'Tell what the planner did, and why'))
    .action((options: CommandOptions) => withClient(options, (client) => plannerCommand(client, output, options)))
  program.help()
  program.version(VERSION)
  program.parse(process.argv, { run: false })
  if (program.matchedCommand === undefined) return handleMissingCommand(program.args, program.options, () => program.outputHelp())
  await program.runMatchedCommand()
})

/** Adds the options of commands that connect to entry nodes. */
function addConnectionOptions (command: Command): Command {
  return command
    .option('--address <addresses>', 'Entry nodes as IP:PORT, separated by commas; or HORNBEAMGAP_ADDRESSES')
    .option('--settings <file>', 'TOML file with addresses and operator_key; or HORNBEAMGAP_SETTINGS')
    .option('--json', 'Write JSON')
}

/** Adds the options of commands that change the configuration. */
function addChangeOptions (command: Command): Command {
  return addConnectionOptions(command)
    .option('--dry-run', 'Show the difference and change nothing')
    .option('--reason <text>', 'Why; kept in the history')
    .option('--author <name>', 'Who; your login name when left out')
    .option('--base <revision>', 'Revision that the change was made from; refused when another came first')
    .option('--change-id <id>', 'Settle an earlier attempt whose outcome was unknown')
}

/** Runs a task with a client, and closes the client afterwards. */
async function withClient (options: CommandOptions, task: (client: OperatorClient) => Promise<void>): Promise<void> {
  const client = createOperatorClient(resolveSettings(options, process.env))
  try {
    await task(client)
  } finally {
    await client.close()
  }
}

/** Sets the author to the login name if the command line has none. */
function withAuthor (options: ChangeCommandOptions): ChangeCommandOptions {
  return { ...options, author: options.author ?? userInfo().username }
}

/** Prints the help text, or throws for an unknown command. */
function handleMissingCommand (args: readonly string[], options: Readonly<Record<string, unknown>>, help: () => void): void {
  if (options.help === true || options.version === true) return
  if (args.length === 0) return help()
  throw new ServingError(`no command "${args[0]}"; see hornbeamgap --help`, { code: 'invalid-request', verdict: 'not-run' })
}
