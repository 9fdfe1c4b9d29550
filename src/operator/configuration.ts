/** Operators' changes of configuration: dry run, acceptance, and how far it has come. */
import { randomUUID } from 'node:crypto'
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import { checkConfiguration, describeDifference, difference } from '../configuration/index.js'
import type { ConfigurationRevision, Difference } from '../configuration/index.js'
import { applyDocument, readCurrent, readHistory, rollBack } from '../entry/configuration-change.js'
import type { ChangeOutcome, DocumentChange } from '../entry/configuration-change.js'
import { ServingError } from '../verdict.js'
import type { OperatorContext } from './context.js'
import { knownNodes } from './known-nodes.js'
import type { ApplyRequest, ChangeAnswer, HistoryAnswer, RollbackRequest } from './messages.js'

type ChangeContext = Pick<OperatorContext, 'keyValue' | 'configuration' | 'membership' | 'clock' | 'signal'>
type Answered<T> = T extends { dry_run?: boolean | undefined } ? T : never

/** Time in which a change must be in force everywhere; who has not confirmed by then is named. */
const IN_FORCE_BOUND: Milliseconds = 9 * SECOND

/**
 * Puts a document in force, or tells what it would change.
 *
 * @throws ServingError `invalid-request` for a wrong document; `platform-unavailable` when it is
 *   certain that nothing was accepted
 * @example
 * const answer = await applyConfiguration(context, { document, change_id, author, reason })
 */
export async function applyConfiguration (context: ChangeContext, request: Answered<ApplyRequest>): Promise<ChangeAnswer> {
  const { keyValue, clock, signal } = context
  const configuration = checkConfiguration(request.document)
  const before = await latest(context)
  const changes = difference(before?.configuration, configuration)
  if (request.dry_run === true) return { kind: 'dry-run', base: before?.revision ?? 0, difference: changes.map(describeDifference) }
  const change: DocumentChange = {
    document: request.document,
    changeId: request.change_id,
    author: request.author,
    reason: request.reason,
    base: request.base ?? before?.revision ?? 0
  }
  return answerOf(context, change.changeId, changes, await applyDocument({ store: keyValue, clock, signal }, change))
}

/**
 * Puts an earlier revision's document in force again, as a new revision.
 *
 * @throws ServingError `not-found` when the history does not hold it
 * @example
 * const answer = await rollBackConfiguration(context, { to: 6, change_id, author, reason })
 */
export async function rollBackConfiguration (context: ChangeContext, request: RollbackRequest): Promise<ChangeAnswer> {
  const { keyValue, clock, signal } = context
  const revisions = await readHistory(keyValue, Number.MAX_SAFE_INTEGER, signal)
  const [before] = revisions
  const earlier = revisions.find((revision) => revision.revision === request.to)
  if (earlier === undefined) throw new ServingError(`revision ${request.to} is not in the history`, { code: 'not-found', verdict: 'not-run' })
  const changes = difference(before?.configuration, earlier.configuration)
  if (request.dry_run === true) return { kind: 'dry-run', base: before?.revision ?? 0, difference: changes.map(describeDifference) }
  const change = {
    to: request.to,
    changeId: request.change_id,
    author: request.author,
    reason: request.reason,
    base: request.base ?? before?.revision ?? 0
  }
  return answerOf(context, change.changeId, changes, await rollBack({ store: keyValue, clock, signal }, change))
}

/**
 * Revisions, latest first, each with its difference against the one before.
 *
 * @param limit most revisions
 * @example
 * const { revisions } = await configurationHistory(context, 20)
 */
export async function configurationHistory ({ keyValue, signal }: ChangeContext, limit: number): Promise<HistoryAnswer> {
  const revisions = await readHistory(keyValue, limit + 1, signal)
  return {
    revisions: revisions.slice(0, limit).map((revision, index) => {
      const before = revisions[index + 1]
      const changes = before === undefined ? [] : difference(before.configuration, revision.configuration)
      return {
        revision: revision.revision,
        change_id: revision.changeId,
        author: revision.author,
        reason: revision.reason,
        changed_at: revision.changedAt,
        difference: changes.map(describeDifference)
      }
    })
  }
}

/** @example const id = createChangeId() */
export function createChangeId (): string {
  return randomUUID()
}

async function latest ({ keyValue, signal }: ChangeContext): Promise<ConfigurationRevision | undefined> {
  try {
    return (await readCurrent(keyValue, signal))?.stored
  } catch (cause) {
    throw new ServingError('the key-value service did not answer; the change is not accepted', { code: 'platform-unavailable', verdict: 'not-run', retryAfter: SECOND, cause })
  }
}

async function answerOf (context: ChangeContext, changeId: string, changes: Difference, outcome: ChangeOutcome): Promise<ChangeAnswer> {
  switch (outcome.kind) {
    case 'accepted': return await delivered(context, changes, outcome)
    case 'unchanged': return { kind: 'unchanged', revision: outcome.revision.revision }
    case 'unknown': return { kind: 'unknown', change_id: changeId }
    case 'conflict': return {
      kind: 'conflict',
      revision: outcome.current?.revision ?? 0,
      author: outcome.current?.author ?? '',
      reason: outcome.current?.reason ?? '',
      difference: outcome.difference.map(describeDifference)
    }
  }
}

async function delivered (context: ChangeContext, changes: Difference, outcome: Extract<ChangeOutcome, { kind: 'accepted' }>): Promise<ChangeAnswer> {
  const { configuration, membership } = context
  const { revision, superseded } = outcome
  configuration.offer(revision, 'delivery')
  const report = await membership.deliver(configuration.current() ?? revision, IN_FORCE_BOUND)
  const delivered = new Set(membership.nodes().map((node) => node.incarnation))
  const unheard = (await knownNodes(context)).filter((node) => !delivered.has(node.incarnation))
  return {
    kind: 'accepted',
    revision: revision.revision,
    change_id: revision.changeId,
    superseded,
    difference: changes.map(describeDifference),
    confirmed: report.confirmed,
    missing: [...report.missing, ...unheard].map((node) => node.instance)
  }
}
