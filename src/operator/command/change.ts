/** Commands `apply`, `rollback`, `show` and `history`, which change and show the configuration. */
import { stringify } from 'smol-toml'
import { EXIT } from '../../bin/command-line.js'
import { timeText } from '../../report/index.js'
import { parseToml, readTextFile } from '../../settings.js'
import { ServingError } from '../../verdict.js'
import { changeAnswerSchema, currentAnswerSchema, historyAnswerSchema } from '../messages.js'
import type { ChangeAnswer } from '../messages.js'
import { createChangeId } from './connection.js'
import type { OperatorClient } from './connection.js'
import { jsonText } from './output.js'
import type { CommandOutput } from './output.js'

/** Options of the commands that change the configuration. */
export interface ChangeCommandOptions {
  /** Shows the difference without applying the change. */
  readonly dryRun?: boolean | undefined
  /** Reason that is stored in the history. Required unless `dryRun` is set. */
  readonly reason?: string | undefined
  /** Author that is stored in the history. Defaults to `unnamed`. */
  readonly author?: string | undefined
  /** Change id of an earlier attempt whose outcome is unknown. */
  readonly changeId?: string | undefined
  /** Revision that the change is based on. Defaults to the latest one in the history. */
  readonly base?: number | undefined
  /** Prints the answer as JSON. */
  readonly json?: boolean | undefined
}

/**
 * `hornbeamgap apply FILE`: applies a configuration document. An unknown outcome is printed and sets the exit code
 * `EXIT.unknown`.
 *
 * @throws ServingError `invalid-request` for a missing reason or an unreadable file; other codes if the change is certain
 *   not to have been accepted
 * @example
 * await applyCommand(client, output, 'configuration.toml', { reason: 'slower bookings at noon' })
 */
export async function applyCommand (client: OperatorClient, output: CommandOutput, path: string, options: ChangeCommandOptions): Promise<void> {
  const document = parseToml(readTextFile(path), path)
  await submitChange(client, output, '/operator/configuration', { document }, options)
}

/**
 * `hornbeamgap rollback REVISION`: applies the document of an earlier revision again.
 *
 * @throws ServingError as {@link applyCommand}
 * @example
 * await rollbackCommand(client, output, 6, { reason: 'too strict' })
 */
export async function rollbackCommand (client: OperatorClient, output: CommandOutput, to: number, options: ChangeCommandOptions): Promise<void> {
  if (!Number.isSafeInteger(to) || to < 1) throw invalidRequest('the revision must be a whole number from 1 on')
  await submitChange(client, output, '/operator/configuration/rollback', { to }, options)
}

/**
 * `hornbeamgap show`: prints the document in force as TOML that `apply` accepts.
 *
 * @example
 * await showCommand(client, output, { json: false })
 */
export async function showCommand (client: OperatorClient, output: CommandOutput, options: { json?: boolean | undefined }): Promise<void> {
  const { current } = await client.get('/operator/configuration', currentAnswerSchema)
  if (options.json === true) return output.out(jsonText(current ?? null))
  if (current === undefined) return output.note('no configuration has been applied yet')
  output.out(`# revision ${current.revision}, ${timeText(current.changedAt)}, by ${current.author}: ${singleLine(current.reason)}\n`)
  output.out(stringify(current.configuration) + '\n')
}

/**
 * `hornbeamgap history`: prints the revisions with their differences, latest first.
 *
 * @example
 * await historyCommand(client, output, { limit: 20 })
 */
export async function historyCommand (client: OperatorClient, output: CommandOutput, options: { limit?: number | undefined, json?: boolean | undefined }): Promise<void> {
  const { revisions } = await client.get(`/operator/configuration/history?limit=${options.limit ?? 20}`, historyAnswerSchema)
  if (options.json === true) return output.out(jsonText(revisions))
  for (const revision of revisions) {
    output.out(`${revision.revision}  ${timeText(revision.changed_at)}  ${revision.author}: ${singleLine(revision.reason)}\n`)
    for (const line of revision.difference) output.out(`    ${line}\n`)
  }
}

/** Sends a change to the operators' API, prints the answer and sets the exit code. */
async function submitChange (client: OperatorClient, output: CommandOutput, path: string, content: object, options: ChangeCommandOptions): Promise<void> {
  const reason = options.reason ?? (options.dryRun === true ? 'dry run' : undefined)
  if (reason === undefined) throw invalidRequest('--reason TEXT is required: it is kept in the history')
  // The base is fixed before the first attempt, so that a repetition after a lost reply has no further effect.
  const base = options.base ?? (await client.get('/operator/configuration/history?limit=1', historyAnswerSchema)).revisions[0]?.revision ?? 0
  const changeId = String(options.changeId ?? createChangeId())
  const body = { ...content, change_id: changeId, author: String(options.author ?? 'unnamed'), reason: String(reason), base, dry_run: options.dryRun === true }
  const answer = await client.post(path, body, changeAnswerSchema).catch((error: unknown) => unknownOutcomeOrThrow(error, changeId))
  output.exit(exitCodeOf(answer))
  if (options.json === true) output.out(jsonText(answer))
  else printAnswer(output, answer, base)
}

/**
 * Converts a failure after which the change may have been accepted into the answer `unknown`. Rethrows other failures.
 */
function unknownOutcomeOrThrow (error: unknown, changeId: string): ChangeAnswer {
  if (error instanceof ServingError && error.verdict === 'may-have-run') return { kind: 'unknown', change_id: changeId }
  throw error
}

function exitCodeOf (answer: ChangeAnswer): number {
  switch (answer.kind) {
    case 'accepted': return EXIT.success
    case 'dry-run': return EXIT.success
    case 'unchanged': return EXIT.success
    case 'conflict': return EXIT.failure
    case 'unknown': return EXIT.unknown
  }
}

function printAnswer (output: CommandOutput, answer: ChangeAnswer, base: number): void {
  switch (answer.kind) {
    case 'dry-run':
      printDifference(output, answer.difference, `Against revision ${answer.base} this would change:`)
      return output.out('Nothing was changed.\n')
    case 'unchanged':
      return output.out(`Nothing to change: revision ${answer.revision} says the same.\n`)
    case 'accepted':
      return printAccepted(output, answer)
    case 'conflict':
      output.note(`CONFLICT: not accepted. Revision ${answer.revision} by ${answer.author} came first: ${singleLine(answer.reason)}`)
      printDifference(output, answer.difference, 'Your document differs from it in:')
      return output.note('Look at it with "show", change your document, and apply again.')
    case 'unknown':
      output.note(`UNKNOWN: the change may or may not be accepted. Run the same command again with --change-id ${answer.change_id} --base ${base} to settle it;`)
      output.note('that never applies it twice. "history" shows whether it was accepted.')
  }
}

function printAccepted (output: CommandOutput, answer: Extract<ChangeAnswer, { kind: 'accepted' }>): void {
  printDifference(output, answer.difference, `Accepted as revision ${answer.revision}:`)
  if (answer.superseded) output.note('A later revision has already replaced it.')
  if (answer.missing.length === 0) return output.out(`In force at all ${answer.confirmed} nodes.\n`)
  output.out(`In force at ${answer.confirmed} nodes. Not confirmed yet by ${answer.missing.join(', ')}.\n`)
  output.note('These nodes follow it when they are heard again. One that hears nobody takes no new work; a group that is cut off together may serve on with the revision before. "status" shows where they stand.')
}

function printDifference (output: CommandOutput, lines: readonly string[], title: string): void {
  output.out(`${title}\n`)
  output.out(lines.length === 0 ? '  (no difference)\n' : lines.map((line) => `  ${line}\n`).join(''))
}

function singleLine (text: string): string {
  return text.replace(/\s+/g, ' ')
}

function invalidRequest (message: string): ServingError {
  return new ServingError(message, { code: 'invalid-request', verdict: 'not-run' })
}
