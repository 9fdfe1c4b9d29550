/** Acceptance of configuration changes by the key-value service: apply, roll back, history. */
import type { Clock, Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import { checkConfiguration, difference, formatRevision, MAX_HISTORY_REVISIONS, parseRevision, proposeRevision, settleWrite } from '../configuration/index.js'
import type { ChangeRequest, ConfigurationRevision, Difference, Settlement, StoredRevision } from '../configuration/index.js'
import { ABSENT } from '../protocols/key-value.js'
import type { KeyValue, SwapResult } from '../protocols/key-value.js'
import { ServingError } from '../verdict.js'

/** Key of the current configuration. */
export const CONFIGURATION_KEY = 'hornbeamgap/configuration/current'

/** Keys of superseded revisions. */
export const HISTORY_PREFIX = 'hornbeamgap/configuration/history/'

/** What acceptance needs of the key-value service. */
export type ConfigurationStore = Pick<KeyValue, 'get' | 'list' | 'compareAndSwap' | 'compareAndDelete'>

/** Outcome of a change, as the operator is told. */
export type ChangeOutcome =
  /** In the key-value service; `superseded` when a later change has already replaced it. */
  | { kind: 'accepted', revision: ConfigurationRevision, superseded: boolean }
  /** The document equals what is current; nothing was written. */
  | { kind: 'unchanged', revision: ConfigurationRevision }
  /** Another operator's change came first; nothing of this one is or will be in force. */
  | { kind: 'conflict', current: ConfigurationRevision | undefined, difference: Difference }
  /** The service could not be asked. The same change id settles it later. */
  | { kind: 'unknown', changeId: string }

/** A change with a document that has not been checked yet. */
export interface DocumentChange extends Omit<ChangeRequest, 'configuration'> {
  /** Parsed from TOML. */
  readonly document: unknown
}

/** What every function here works with. */
export interface ChangeOptions {
  readonly store: ConfigurationStore
  readonly clock: Clock
  readonly signal?: AbortSignal
}

/** Attempts to settle an unknown outcome before the operator is told so. */
const ATTEMPTS = 5

const FIRST_PAUSE: Milliseconds = 0.2 * SECOND

/**
 * Checks a document and asks the key-value service to accept it.
 *
 * @throws ServingError `invalid-request` for a wrong document; `platform-unavailable` when the service
 *   failed before anything was written, so that the change is certainly not accepted
 * @example
 * const outcome = await applyDocument({ store: keyValue, clock }, { document, changeId, author, reason, base: 7 })
 */
export async function applyDocument (options: ChangeOptions, change: DocumentChange): Promise<ChangeOutcome> {
  const { document, ...rest } = change
  return applyChange(options, { ...rest, configuration: checkConfiguration(document) })
}

/**
 * Asks the key-value service to accept a change.
 *
 * @throws ServingError `platform-unavailable`, verdict not-run, when nothing was written
 * @example
 * const outcome = await applyChange({ store: keyValue, clock }, change)
 */
export async function applyChange (options: ChangeOptions, change: ChangeRequest): Promise<ChangeOutcome> {
  const current = await beforeWriting(() => readCurrent(options.store, options.signal))
  const proposal = proposeRevision(current, change, options.clock.wall())
  switch (proposal.kind) {
    case 'already': return { kind: 'accepted', revision: proposal.revision, superseded: false }
    case 'unchanged': return proposal
    case 'conflict': return await conflictOrAccepted(options, change, proposal.current)
    case 'write': return await write(options, change, current, proposal.revision)
  }
}

/**
 * Makes an earlier revision's configuration current again, as a new revision.
 *
 * @param to number of the earlier revision
 * @throws ServingError `not-found` when the history does not hold it
 * @example
 * await rollBack({ store: keyValue, clock }, { to: 6, changeId, author, reason })
 */
export async function rollBack (options: ChangeOptions, change: Omit<ChangeRequest, 'configuration'> & { readonly to: number }): Promise<ChangeOutcome> {
  const { to, ...rest } = change
  const earlier = await beforeWriting(() => readRevision(options.store, to, options.signal))
  if (earlier === undefined) throw new ServingError(`revision ${to} is not in the history`, { code: 'not-found', verdict: 'not-run' })
  return applyChange(options, { ...rest, configuration: earlier.configuration })
}

/**
 * Revisions that are kept, latest first, the current one included.
 *
 * @param limit most revisions
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
 * The current revision as stored.
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
  if (current !== undefined) await beforeWriting(() => archive(options, current.stored))
  const expected = current?.keyRevision ?? ABSENT
  for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
    if (attempt > 0) await options.clock.sleep(FIRST_PAUSE * 2 ** (attempt - 1), options.signal)
    const outcome = await attemptSwap(options, change, revision, value, expected).catch(() => undefined)
    if (outcome !== undefined) return outcome
  }
  return { kind: 'unknown', changeId: change.changeId }
}

/**
 * Failure guarded against: the reply of the swap is lost after it took effect, or the request is still
 * on its way when its caller has given up. A read alone can't tell the second case from a write that
 * never arrived. The same swap is sent again: it expects the same revision, so at most one of all
 * the copies takes effect, and the reply of any copy, or the change id read back, settles them all.
 */
async function attemptSwap (options: ChangeOptions, change: ChangeRequest, revision: ConfigurationRevision, value: string, expected: number): Promise<ChangeOutcome | undefined> {
  const result = await swap(options, value, expected)
  if (result?.kind === 'swapped') {
    await dropOldest(options, revision.revision)
    return { kind: 'accepted', revision, superseded: false }
  }
  const settlement = await readBack(options, revision)
  switch (settlement.kind) {
    case 'accepted': return { kind: 'accepted', revision, superseded: settlement.superseded }
    case 'lost': return conflict(change, (await readCurrent(options.store, options.signal))?.stored)
    case 'open': return undefined
    case 'untold': return { kind: 'unknown', changeId: change.changeId }
  }
}

async function swap (options: ChangeOptions, value: string, expected: number): Promise<SwapResult | undefined> {
  const write = options.signal === undefined ? {} : { signal: options.signal }
  try {
    return await options.store.compareAndSwap(CONFIGURATION_KEY, expected, value, write)
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

/** A base that has moved on may have been moved by an earlier attempt of the same change. */
async function conflictOrAccepted (options: ChangeOptions, change: ChangeRequest, current: ConfigurationRevision | undefined): Promise<ChangeOutcome> {
  const revisions = await beforeWriting(() => readHistory(options.store, MAX_HISTORY_REVISIONS, options.signal))
  const own = revisions.find((revision) => revision.changeId === change.changeId)
  if (own !== undefined) return { kind: 'accepted', revision: own, superseded: own.revision !== revisions[0]?.revision }
  return conflict(change, current)
}

function conflict (change: ChangeRequest, current: ConfigurationRevision | undefined): ChangeOutcome {
  return { kind: 'conflict', current, difference: difference(current?.configuration, change.configuration) }
}

async function readRevision (store: ConfigurationStore, revision: number, signal?: AbortSignal): Promise<ConfigurationRevision | undefined> {
  const current = await readCurrent(store, signal)
  if (current?.stored.revision === revision) return current.stored
  const entry = await store.get(historyKey(revision), signal)
  return entry && parseRevision(entry.value)
}

/** Copies the current revision to the history; its content is fixed, so repeating it is harmless. */
async function archive (options: ChangeOptions, revision: ConfigurationRevision): Promise<void> {
  const write = options.signal === undefined ? {} : { signal: options.signal }
  await options.store.compareAndSwap(historyKey(revision.revision), ABSENT, formatRevision(revision), write)
}

async function dropOldest (options: ChangeOptions, revision: number): Promise<void> {
  const oldest = revision - MAX_HISTORY_REVISIONS - 1
  if (oldest < 1) return
  try {
    const entry = await options.store.get(historyKey(oldest), options.signal)
    if (entry !== undefined) await options.store.compareAndDelete(entry.key, entry.revision, options.signal)
  } catch {
    // The change is accepted whether or not the oldest revision could be dropped.
  }
}

function historyKey (revision: number): string {
  return HISTORY_PREFIX + String(revision).padStart(12, '0')
}

/** Whatever fails before the swap was sent proves that the change is not accepted. */
async function beforeWriting<T> (step: () => Promise<T>): Promise<T> {
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
