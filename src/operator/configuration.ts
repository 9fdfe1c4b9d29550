/** Operators' changes of the configuration: dry run, acceptance, delivery to the nodes, rollback and history. */
import { randomUUID } from 'node:crypto'
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import { checkConfiguration, describeDifference, difference } from '../configuration/index.js'
import type { ConfigurationRevision, Difference } from '../configuration/index.js'
import { applyDocument, readCurrent, readHistory, rollBack } from '../entry/configuration-change.js'
import type { ChangeOutcome, DocumentChange } from '../entry/configuration-change.js'
import { ServingError } from '../verdict.js'
import type { OperatorContext } from './context.js'
import { listKnownNodes } from './known-nodes.js'
import type { ApplyRequest, ChangeAnswer, HistoryAnswer, RollbackRequest } from './messages.js'

/** Parts of the operator context that changes need. */
type ChangeContext = Pick<OperatorContext, 'keyValue' | 'configuration' | 'membership' | 'clock' | 'signal'>

/** Resolves to the type itself if it has an optional `dry_run` field, otherwise to never. */
type DryRunnable<T> = T extends { dry_run?: boolean | undefined } ? T : never

/** Time within which every node must confirm a change. The answer names the nodes that have not confirmed by then. */
const CONFIRMATION_TIMEOUT: Milliseconds = 9 * SECOND

/**
 * Applies a configuration document, or only returns its difference from the current revision in a dry run.
 *
 * @throws ServingError `invalid-request` for an invalid document; `platform-unavailable` if the change is certain not
 *   to have been accepted
 * @example
 * const answer = await applyConfiguration(context, { document, change_id, author, reason })
 */
export async function applyConfiguration (context: ChangeContext, request: DryRunnable<ApplyRequest>): Promise<ChangeAnswer> {
  const { keyValue, clock, signal } = context
  const configuration = checkConfiguration(request.document)
  const previous = await readLatestRevision(context)
  const changes = difference(previous?.configuration, configuration)
  if (request.dry_run === true) return { kind: 'dry-run', base: previous?.revision ?? 0, difference: changes.map(describeDifference) }
  const change: DocumentChange = {
    document: request.document,
    changeId: request.change_id,
    author: request.author,
    reason: request.reason,
    base: request.base ?? previous?.revision ?? 0
  }
  return answerForOutcome(context, change.changeId, changes, await applyDocument({ store: keyValue, clock, signal }, change))
}

/**
 * Applies the document of an earlier revision again, as a new revision.
 *
 * @throws ServingError `not-found` if the history does not contain the revision
 * @example
 * const answer = await rollBackConfiguration(context, { to: 6, change_id, author, reason })
 */
export async function rollBackConfiguration (context: ChangeContext, request: RollbackRequest): Promise<ChangeAnswer> {
  const { keyValue, clock, signal } = context
  const revisions = await readHistory(keyValue, Number.MAX_SAFE_INTEGER, signal)
  const [previous] = revisions
  const target = revisions.find((revision) => revision.revision === request.to)
  if (target === undefined) throw new ServingError(`revision ${request.to} is not in the history`, { code: 'not-found', verdict: 'not-run' })
  const changes = difference(previous?.configuration, target.configuration)
  if (request.dry_run === true) return { kind: 'dry-run', base: previous?.revision ?? 0, difference: changes.map(describeDifference) }
  const change = {
    to: request.to,
    changeId: request.change_id,
    author: request.author,
    reason: request.reason,
    base: request.base ?? previous?.revision ?? 0
  }
  return answerForOutcome(context, change.changeId, changes, await rollBack({ store: keyValue, clock, signal }, change))
}

/**
 * Returns the revisions, latest first, each with its difference from the previous revision.
 *
 * @param limit maximum number of revisions
 * @example
 * const { revisions } = await configurationHistory(context, 20)
 */
export async function configurationHistory ({ keyValue, signal }: ChangeContext, limit: number): Promise<HistoryAnswer> {
  const revisions = await readHistory(keyValue, limit + 1, signal)
  return {
    revisions: revisions.slice(0, limit).map((revision, index) => {
      const previous = revisions[index + 1]
      const changes = previous === undefined ? [] : difference(previous.configuration, revision.configuration)
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

/**
 * Creates a random change id.
 *
 * @example
 * const id = createChangeId()
 */
export function createChangeId (): string {
  return randomUUID()
}

/** @throws ServingError `platform-unavailable` if the key-value service does not answer */
async function readLatestRevision ({ keyValue, signal }: ChangeContext): Promise<ConfigurationRevision | undefined> {
  try {
    return (await readCurrent(keyValue, signal))?.stored
  } catch (cause) {
    throw new ServingError('the key-value service did not answer; the change is not accepted', { code: 'platform-unavailable', verdict: 'not-run', retryAfter: SECOND, cause })
  }
}

async function answerForOutcome (context: ChangeContext, changeId: string, changes: Difference, outcome: ChangeOutcome): Promise<ChangeAnswer> {
  switch (outcome.kind) {
    case 'accepted': return await deliverRevision(context, changes, outcome)
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

/**
 * Offers an accepted revision to this node, delivers it to all members, and reports which nodes have not confirmed it.
 * Nodes that are registered but not members yet were not sent the revision and count as missing.
 */
async function deliverRevision (context: ChangeContext, changes: Difference, outcome: Extract<ChangeOutcome, { kind: 'accepted' }>): Promise<ChangeAnswer> {
  const { configuration, membership } = context
  const { revision, superseded } = outcome
  configuration.offer(revision, 'delivery')
  const report = await membership.deliver(configuration.current() ?? revision, CONFIRMATION_TIMEOUT)
  const memberIncarnations = new Set(membership.nodes().map((node) => node.incarnation))
  const nonMembers = (await listKnownNodes(context)).filter((node) => !memberIncarnations.has(node.incarnation))
  return {
    kind: 'accepted',
    revision: revision.revision,
    change_id: revision.changeId,
    superseded,
    difference: changes.map(describeDifference),
    confirmed: report.confirmed,
    missing: [...report.missing, ...nonMembers].map((node) => node.instance)
  }
}
