/** Applies configuration changes to the key-value service, rolls them back and reads their history. */
import type { Clock, Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import { checkConfiguration, difference, formatRevision, MAX_HISTORY_REVISIONS, parseRevision, proposeRevision, settleWrite } from '../configuration/index.js'
import type { ChangeRequest, ConfigurationRevision, Difference, Settlement, StoredRevision } from '../configuration/index.js'
import { ABSENT } from '../protocols/key-value.js'
import type { KeyValue, SwapResult } from '../protocols/key-value.js'
import { ServingError } from '../verdict.js'

/** Key of the current configuration. */
export const CONFIGURATION_KEY = 'hornbeamgap/configuration/current'

/** Prefix of the keys of superseded revisions. */
export const HISTORY_PREFIX = 'hornbeamgap/configuration/history/'

/** Operations of the key-value service that configuration changes use. */
export type ConfigurationStore = Pick<KeyValue, 'get' | 'list' | 'compareAndSwap' | 'compareAndDelete'>

/** Outcome of a change, as reported to the operator. */
export type ChangeOutcome =
  /** Stored in the key-value service. `superseded` if a later change has already replaced the revision. */
  | { kind: 'accepted', revision: ConfigurationRevision, superseded: boolean }
  /** The configuration equals the current one. Nothing was written. */
  | { kind: 'unchanged', revision: ConfigurationRevision }
  /** Another change was accepted first. This change is not in force and will not come into force. */
  | { kind: 'conflict', current: ConfigurationRevision | undefined, difference: Difference }
  /** The service did not confirm the outcome. A repeated call with the same change id determines the outcome. */
  | { kind: 'unknown', changeId: string }

/** A change whose document has not been validated yet. */
export interface DocumentChange extends Omit<ChangeRequest, 'configuration'> {
  /** Document parsed from TOML. */
  readonly document: unknown
}

/** Dependencies of the functions that change the configuration. */
export interface ChangeOptions {
  readonly store: ConfigurationStore
  readonly clock: Clock
  readonly signal?: AbortSignal
}

/** Number of attempts to determine the outcome of a write before it is reported as unknown. */
const MAX_ATTEMPTS = 5

/** Delay before the second attempt. It doubles with each further attempt. */
const INITIAL_RETRY_DELAY: Milliseconds = 0.2 * SECOND

/**
 * Validates a document and applies it as a change.
 *
 * @throws ServingError `invalid-request` if the document is invalid. `platform-unavailable` if the service failed before
 *   the write, so that the change is certainly not accepted
 * @example
 * const outcome = await applyDocument({ store: keyValue, clock }, { document, changeId, author, reason, base: 7 })
 */
export async function applyDocument (options: ChangeOptions, change: DocumentChange): Promise<ChangeOutcome> {
  const { document, ...rest } = change
  return applyChange(options, { ...rest, configuration: checkConfiguration(document) })
}

/**
 * Applies a change to the configuration in the key-value service.
 *
 * @throws ServingError `platform-unavailable` with verdict `not-run` if the service failed before the write
 * @example
 * const outcome = await applyChange({ store: keyValue, clock }, change)
 */
export async function applyChange (options: ChangeOptions, change: ChangeRequest): Promise<ChangeOutcome> {
  const current = await runBeforeWrite(() => readCurrent(options.store, options.signal))
  const proposal = proposeRevision(current, change, options.clock.wall())
  switch (proposal.kind) {
    case 'already': return { kind: 'accepted', revision: proposal.revision, superseded: false }
    case 'unchanged': return proposal
    case 'conflict': return await resolveOutdatedBase(options, change, proposal.current)
    case 'write': return await write(options, change, current, proposal.revision)
  }
}

/**
 * Applies the configuration of an earlier revision as a new revision.
 *
 * @param change.to number of the earlier revision
 * @throws ServingError `not-found` if the history does not contain the revision. `platform-unavailable` if the service
 *   failed before the write
 * @example
 * await rollBack({ store: keyValue, clock }, { to: 6, changeId, author, reason })
 */
export async function rollBack (options: ChangeOptions, change: Omit<ChangeRequest, 'configuration'> & { readonly to: number }): Promise<ChangeOutcome> {
  const { to, ...rest } = change
  const earlier = await runBeforeWrite(() => readRevision(options.store, to, options.signal))
  if (earlier === undefined) throw new ServingError(`revision ${to} is not in the history`, { code: 'not-found', verdict: 'not-run' })
  return applyChange(options, { ...rest, configuration: earlier.configuration })
}

/**
 * Reads the kept revisions including the current one, latest first.
 *
 * @param limit maximum number of revisions
 * @example
 * const revisions = await readHistory(keyValue, 20)
 */
export async function readHistory (store: ConfigurationStore, limit: number, signal?: AbortSignal): Promise<ConfigurationRevision[]> {
  const current = await readCurrent(store, signal)
  if (current === undefined) return []
  const listing = await store.list(HISTORY_PREFIX, signal)
  const earlier = listing.entries.map((entry) => parseRevision(entry.value)).filter((revision) => revision.revision < current.stored.revision)
  earlier.sort((left, right) => right.revision - left.revision)
  return [current.stored, ...earlier].slice(0, limit)
}

/**
 * Reads the current revision. Undefined if none is stored.
 *
 * @example
 * const current = await readCurrent(keyValue)
 */
export async function readCurrent (store: ConfigurationStore, signal?: AbortSignal): Promise<StoredRevision | undefined> {
  const entry = await store.get(CONFIGURATION_KEY, signal)
  return entry && { stored: parseRevision(entry.value), keyRevision: entry.revision }
}

async function write (options: ChangeOptions, change: ChangeRequest, current: StoredRevision | undefined, revision: ConfigurationRevision): Promise<ChangeOutcome> {
  const value = formatRevision(revision)
  if (current !== undefined) await runBeforeWrite(() => archive(options, current.stored))
  const expected = current?.keyRevision ?? ABSENT
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    if (attempt > 0) await options.clock.sleep(INITIAL_RETRY_DELAY * 2 ** (attempt - 1), options.signal)
    const outcome = await attemptSwap(options, change, revision, value, expected).catch(() => undefined)
    if (outcome !== undefined) return outcome
  }
  return { kind: 'unknown', changeId: change.changeId }
}

/**
 * Sends the write once and determines its outcome. Undefined if the outcome is still open and the write must be repeated.
 *
 * Failure guarded against: the reply to the write is lost after the write took effect, or the request is still in transit
 * when the client gives up. A read can't distinguish the second case from a request that was lost. The caller therefore
 * repeats the same write. All copies expect the same key revision, so at most one of them takes effect. The reply to any
 * copy, or the stored change id, determines the outcome of all copies.
 */
async function attemptSwap (options: ChangeOptions, change: ChangeRequest, revision: ConfigurationRevision, value: string, expected: number): Promise<ChangeOutcome | undefined> {
  const result = await swap(options, value, expected)
  if (result?.kind === 'swapped') {
    await deleteOldestRevision(options, revision.revision)
    return { kind: 'accepted', revision, superseded: false }
  }
  const settlement = await readBack(options, revision)
  switch (settlement.kind) {
    case 'accepted': return { kind: 'accepted', revision, superseded: settlement.superseded }
    case 'lost': return createConflict(change, (await readCurrent(options.store, options.signal))?.stored)
    case 'open': return undefined
    case 'untold': return { kind: 'unknown', changeId: change.changeId }
  }
}

async function swap (options: ChangeOptions, value: string, expected: number): Promise<SwapResult | undefined> {
  const writeOptions = options.signal === undefined ? {} : { signal: options.signal }
  try {
    return await options.store.compareAndSwap(CONFIGURATION_KEY, expected, value, writeOptions)
  } catch {
    return undefined
  }
}

async function readBack (options: ChangeOptions, written: ConfigurationRevision): Promise<Settlement> {
  const current = (await readCurrent(options.store, options.signal))?.stored
  const superseded = current !== undefined && current.revision > written.revision
  const archived = superseded ? await readRevision(options.store, written.revision, options.signal) : undefined
  return settleWrite(written, current, archived)
}

/** Handles a change whose base is not the current revision. An earlier attempt of the same change may have replaced the base. */
async function resolveOutdatedBase (options: ChangeOptions, change: ChangeRequest, current: ConfigurationRevision | undefined): Promise<ChangeOutcome> {
  const revisions = await runBeforeWrite(() => readHistory(options.store, MAX_HISTORY_REVISIONS, options.signal))
  const own = revisions.find((revision) => revision.changeId === change.changeId)
  if (own !== undefined) return { kind: 'accepted', revision: own, superseded: own.revision !== revisions[0]?.revision }
  return createConflict(change, current)
}

function createConflict (change: ChangeRequest, current: ConfigurationRevision | undefined): ChangeOutcome {
  return { kind: 'conflict', current, difference: difference(current?.configuration, change.configuration) }
}

async function readRevision (store: ConfigurationStore, revision: number, signal?: AbortSignal): Promise<ConfigurationRevision | undefined> {
  const current = await readCurrent(store, signal)
  if (current?.stored.revision === revision) return current.stored
  const entry = await store.get(historyKey(revision), signal)
  return entry && parseRevision(entry.value)
}

/** Copies the current revision to the history. Revisions never change, so a repeated copy has no effect. */
async function archive (options: ChangeOptions, revision: ConfigurationRevision): Promise<void> {
  const writeOptions = options.signal === undefined ? {} : { signal: options.signal }
  await options.store.compareAndSwap(historyKey(revision.revision), ABSENT, formatRevision(revision), writeOptions)
}

async function deleteOldestRevision (options: ChangeOptions, revision: number): Promise<void> {
  const oldest = revision - MAX_HISTORY_REVISIONS - 1
  if (oldest < 1) return
  try {
    const entry = await options.store.get(historyKey(oldest), options.signal)
    if (entry !== undefined) await options.store.compareAndDelete(entry.key, entry.revision, options.signal)
  } catch {
    // The change is accepted even if the oldest revision could not be deleted.
  }
}

function historyKey (revision: number): string {
  return HISTORY_PREFIX + String(revision).padStart(12, '0')
}

/** Runs a step before the write. If the step fails, the change is certainly not accepted and is reported as not run. */
async function runBeforeWrite<T> (step: () => Promise<T>): Promise<T> {
  try {
    return await step()
  } catch (cause) {
    if (cause instanceof ServingError && cause.code === 'internal') throw cause
    throw new ServingError(`the key-value service did not answer; the change is not accepted: ${String(cause)}`, {
      code: 'platform-unavailable',
      verdict: 'not-run',
      retryAfter: SECOND,
      cause
    })
  }
}
