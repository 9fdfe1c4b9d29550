/** Commands `status`, `explain` and `planner`, which only read from the operators' API. */
import { describeEvent } from '../../capacity/index.js'
import { requestIdSchema } from '../../identifiers.js'
import { countText, durationText, timeText } from '../../report/index.js'
import { ServingError } from '../../verdict.js'
import { explainAnswerSchema, plannerAnswerSchema, statusAnswerSchema } from '../messages.js'
import type { NodeStatus } from '../messages.js'
import type { OperatorClient } from './connection.js'
import { alignColumns, jsonText } from './output.js'
import type { CommandOutput } from './output.js'

/** Options of the commands in this module. */
interface JsonOption {
  /** Prints the answer as JSON. */
  readonly json?: boolean | undefined
}

/**
 * `hornbeamgap status`: prints the state of each node, including the configuration revision in force there.
 *
 * @example
 * await statusCommand(client, output, {})
 */
export async function statusCommand (client: OperatorClient, output: CommandOutput, options: JsonOption): Promise<void> {
  const answer = await client.get('/operator/status', statusAnswerSchema)
  if (options.json === true) return output.out(jsonText(answer))
  const outdated = answer.nodes.filter((node) => node.revision !== answer.revision)
  output.out(`Revision ${answer.revision} is in force at ${answer.nodes.length - outdated.length} of ${answer.nodes.length} nodes.\n\n`)
  const headings = ['instance', 'failure domain', 'address', 'revision', 'state', 'open requests', 'last report']
  output.out(alignColumns(headings, answer.nodes.map(statusRow)))
}

/**
 * `hornbeamgap explain ID`: prints the facts that the nodes remember about one request.
 *
 * @throws ServingError `invalid-request` for a malformed id; `not-found` if no node remembers the request
 * @example
 * await explainCommand(client, output, id, {})
 */
export async function explainCommand (client: OperatorClient, output: CommandOutput, id: string, options: JsonOption): Promise<void> {
  const parsed = requestIdSchema.safeParse(id)
  if (!parsed.success) throw new ServingError(`"${id}" is no request id: ids look like entry-1-0a1b2c.0123456789abcdef`, { code: 'invalid-request', verdict: 'not-run' })
  const answer = await client.get(`/operator/requests/${encodeURIComponent(id)}`, explainAnswerSchema)
  if (options.json === true) return output.out(jsonText(answer))
  output.out(`${answer.id}: class ${answer.class ?? 'unknown'} of ${answer.organisation ?? 'unknown'}\n\n`)
  const start = answer.facts[0]?.at ?? 0
  output.out(alignColumns(['time', 'after', 'node', 'what happened'], answer.facts.map((fact) => [timeText(fact.at), durationText(fact.at - start), fact.node, fact.text])))
  if (answer.dropped > 0) output.note(`${countText(answer.dropped)} facts from the middle were dropped to keep memory bounded.`)
  if (!answer.home_lives) output.note('The node that this request belongs to is gone; what only that node knew is missing.')
  if (answer.silent.length > 0) output.note(`No answer from ${answer.silent.join(', ')}; they may know more.`)
}

/**
 * `hornbeamgap planner`: prints the planner's actions with their reasons.
 *
 * @example
 * await plannerCommand(client, output, {})
 */
export async function plannerCommand (client: OperatorClient, output: CommandOutput, options: JsonOption): Promise<void> {
  const history = await client.get('/operator/planner', plannerAnswerSchema)
  if (options.json === true) return output.out(jsonText(history))
  if (history.events.length === 0) return output.out('The planner has done nothing yet.\n')
  for (const entry of history.events) output.out(`${timeText(entry.at)}  ${describeEvent(entry.event)}\n`)
}

function statusRow (node: NodeStatus): string[] {
  return [
    node.instance,
    node.failure_domain,
    node.address,
    node.revision === undefined ? '?' : String(node.revision),
    stateText(node),
    node.open === undefined ? '?' : countText(node.open),
    node.report_age_ms === undefined ? '-' : `${durationText(node.report_age_ms)} ago`
  ]
}

function stateText (node: NodeStatus): string {
  if (!node.answered) return 'NO ANSWER'
  if (node.leaving) return 'leaving'
  return node.usable === true ? 'serving' : 'takes no new work'
}
