/**
 * View of all entry nodes at one node.
 *
 * Changes carry the revision of the key-value service, which gives them the same order at every node. A node that knows
 * all changes up to a revision can get the following ones from any peer that is ahead. Only the few watchers therefore
 * read changes from the service.
 */
import type { Milliseconds } from '../clock.js'
import { HOUR, MINUTE, SECOND } from '../clock.js'
import type { Incarnation, InstanceName } from '../identifiers.js'
import { score } from './rendezvous.js'
import type { NodeRecord, PeerState, ViewChange, ViewChanges } from './types.js'

/** The view of one node. */
export interface MembershipView {
  /** Records of all nodes that are not gone, including this one. */
  nodes (): readonly NodeRecord[]
  find (incarnation: Incarnation): NodeRecord | undefined
  stateOf (incarnation: Incarnation): PeerState
  /**
   * Nodes that disappeared without leaving: their lease expired, and no newer incarnation of their instance has been
   * seen. They are dead, or disconnected and still serving.
   */
  vanished (now: Milliseconds): readonly NodeRecord[]
  /** Revision up to which the view is complete. */
  seen (): number
  /**
   * Hash of the records that the service stores, as far as this node knows. If two views that are complete up to the
   * same revision have different digests, one of them has missed a change.
   */
  digest (): number
  /** Increases whenever {@link MembershipView.nodes} changes. */
  version (): number
  /** Applies a complete listing of the service at a revision. Older listings than the view are ignored. */
  replace (records: readonly RevisionedRecord[], revision: number, now: Milliseconds): void
  /** Applies consecutive changes from a watch or a peer. A list that leaves a gap after the view is ignored. */
  merge (changes: ViewChanges, now: Milliseconds): void
  /** Adds a record received from the node that it describes. The service may not have stored it yet. */
  introduce (record: NodeRecord, now: Milliseconds): void
  /**
   * Changes after a revision. Undefined if they are no longer kept.
   *
   * @param limit maximum number of changes. It is exceeded if several changes have the last revision.
   */
  changesAfter (revision: number, limit: number): ViewChanges | undefined
  /**
   * Removes lapsed records when their grace period has ended.
   *
   * @param isDown whether a node cannot be reached by peers either
   */
  removeLapsed (now: Milliseconds, isDown: (incarnation: Incarnation) => boolean): void
  /** Replaces this node's own record. */
  setOwn (record: NodeRecord): void
}

/** A record with the revision at which the service stored it. */
export interface RevisionedRecord {
  readonly record: NodeRecord
  readonly revision: number
}

/**
 * Time for which a record is kept after its key has disappeared.
 *
 * Failure guarded against: after an outage of the key-value service all leases have expired, although the nodes are
 * healthy. Within the grace period the nodes register again, which takes a renewal interval and the distribution of the
 * changes, and no node regards them as gone.
 */
export const LAPSE_GRACE: Milliseconds = MINUTE

/** Grace period for a node that peers cannot reach either. */
export const LAPSE_GRACE_UNREACHABLE: Milliseconds = 20 * SECOND

/** Time for which a record is kept that was only received from its own node and never stored by the service. */
const INTRODUCTION_LIFETIME: Milliseconds = 10 * MINUTE

/** Time for which a vanished node is reported. It exceeds the hour for which regions may be disconnected. */
const VANISHED_RETENTION: Milliseconds = 2 * HOUR

/** Maximum number of deletions kept for peers that are behind. Enough for eleven days of an ordinary fleet of 370 nodes. */
const MAX_DELETIONS = 2_048

/** Maximum number of incarnations recorded as gone. */
const MAX_GONE = 4_096

interface KnownNode {
  readonly record: NodeRecord
  /** Revision of the record at the service. 0 if it was only received from the node itself. */
  readonly revision: number
  /** Time at which the record was last received from the node itself. */
  introducedAt: Milliseconds
  /** Time at which its key disappeared from the service. */
  lapsedAt: Milliseconds | undefined
}

/**
 * Creates a view that contains only this node.
 *
 * @param own record of this node, which is always part of the view
 * @example
 * const view = createMembershipView(record)
 * view.replace(listing, revision, clock.now())
 */
export function createMembershipView (own: NodeRecord): MembershipView {
  const known = new Map<Incarnation, KnownNode>()
  const gone = new Set<Incarnation>()
  const vanished = new Map<Incarnation, { record: NodeRecord, at: Milliseconds }>()
  let ownRecord = own
  const deletions: Array<{ incarnation: Incarnation, revision: number }> = []
  /** Revision up to which deletions have been dropped from the list. */
  let deletionsDroppedUpTo = 0
  let seen = 0
  let version = 1
  let cachedDigest: number | undefined
  let cachedList: { version: number, nodes: readonly NodeRecord[] } | undefined

  function put (record: NodeRecord, revision: number, introducedAt = -Infinity): void {
    const before = known.get(record.incarnation)
    if (before !== undefined && before.revision > revision) return
    known.set(record.incarnation, { record, revision, introducedAt, lapsedAt: undefined })
    gone.delete(record.incarnation)
    for (const [incarnation, other] of vanished) if (other.record.instance === record.instance) vanished.delete(incarnation)
    removeReplaced(record.instance)
    version += 1
    cachedDigest = undefined
  }

  /** Removes older incarnations of an instance. An instance runs one process, so a newer incarnation replaces them. */
  function removeReplaced (instance: InstanceName): void {
    const ofInstance = [...known.values()].filter((entry) => entry.record.instance === instance)
    const latest = Math.max(...ofInstance.map((entry) => entry.revision))
    // An incarnation without a revision cannot be ordered yet, so it is kept.
    for (const older of ofInstance) if (older.revision > 0 && older.revision < latest) remove(older.record.incarnation)
  }

  /** Records that the key of a node has disappeared. A leaving node is removed at once, others after the grace period. */
  function lapse (incarnation: Incarnation, revision: number, now: Milliseconds): void {
    const entry = known.get(incarnation)
    if (entry !== undefined && entry.revision > revision) return
    // The deletion is kept even if this node never knew the record, because a peer that asks for changes may know it.
    keepDeletion(incarnation, revision)
    cachedDigest = undefined
    if (entry === undefined) return
    if (entry.record.leaving) return remove(incarnation)
    entry.lapsedAt ??= now
  }

  function keepDeletion (incarnation: Incarnation, revision: number): void {
    deletions.push({ incarnation, revision })
    if (deletions.length <= MAX_DELETIONS) return
    deletions.sort((left, right) => left.revision - right.revision)
    const dropped = deletions.splice(0, deletions.length - MAX_DELETIONS)
    deletionsDroppedUpTo = dropped.at(-1)?.revision ?? deletionsDroppedUpTo
  }

  function remove (incarnation: Incarnation): void {
    if (!known.delete(incarnation)) return
    cachedDigest = undefined
    gone.add(incarnation)
    if (gone.size > MAX_GONE) gone.delete(gone.values().next().value as Incarnation)
    version += 1
  }

  function list (): readonly NodeRecord[] {
    if (cachedList?.version === version) return cachedList.nodes
    const others = [...known.values()].filter((entry) => entry.record.incarnation !== ownRecord.incarnation)
    cachedList = { version, nodes: [ownRecord, ...others.map((entry) => entry.record)] }
    return cachedList.nodes
  }

  function find (incarnation: Incarnation): NodeRecord | undefined {
    return incarnation === ownRecord.incarnation ? ownRecord : known.get(incarnation)?.record
  }

  return {
    nodes: list,
    find,
    seen: () => seen,
    version: () => version,
    digest: () => {
      cachedDigest ??= digestOf(known)
      return cachedDigest
    },
    stateOf: (incarnation) => {
      const record = find(incarnation)
      if (record !== undefined) return record.leaving ? 'leaving' : 'live'
      return gone.has(incarnation) ? 'gone' : 'unknown'
    },
    replace: (records, revision, now) => {
      if (revision < seen) return
      const present = new Set(records.map((listed) => listed.record.incarnation))
      for (const listed of records) put(listed.record, listed.revision)
      for (const [incarnation, entry] of known) {
        if (!present.has(incarnation) && entry.revision > 0) lapse(incarnation, revision, now)
      }
      seen = revision
    },
    merge: (list, now) => {
      if (list.after > seen || list.upTo <= seen) return
      for (const change of list.changes) {
        if (change.kind === 'put') put(change.record, change.revision)
        else lapse(change.incarnation, change.revision, now)
      }
      seen = list.upTo
    },
    introduce: (record, now) => {
      const before = known.get(record.incarnation)
      if (before === undefined) put(record, 0, now)
      else if (record.leaving && !before.record.leaving) put(record, before.revision, now)
      else before.introducedAt = now
    },
    changesAfter: (revision, limit) => {
      if (revision > 0 && revision < deletionsDroppedUpTo) return undefined
      return changesAfter(known, deletions, revision, seen, limit)
    },
    vanished: (now) => [...vanished.values()].filter((item) => now - item.at < VANISHED_RETENTION).map((item) => item.record),
    removeLapsed: (now, isDown) => {
      for (const [incarnation, item] of vanished) if (now - item.at >= VANISHED_RETENTION) vanished.delete(incarnation)
      for (const [incarnation, entry] of known) {
        const grace = isDown(incarnation) ? LAPSE_GRACE_UNREACHABLE : LAPSE_GRACE
        const lapsed = entry.lapsedAt !== undefined && now - entry.lapsedAt >= grace
        if (lapsed) vanished.set(incarnation, { record: entry.record, at: now })
        const isIntroductionExpired = entry.revision === 0 && now - entry.introducedAt >= INTRODUCTION_LIFETIME
        if (lapsed || isIntroductionExpired) remove(incarnation)
      }
    },
    setOwn: (record) => {
      ownRecord = record
      version += 1
    }
  }
}

/** Hash of the records that the service stores, independent of their order. */
function digestOf (known: ReadonlyMap<Incarnation, KnownNode>): number {
  let digest = 0
  for (const [incarnation, entry] of known) {
    if (entry.revision > 0 && entry.lapsedAt === undefined) digest ^= score('view', incarnation)
  }
  return digest >>> 0
}

function changesAfter (known: ReadonlyMap<Incarnation, KnownNode>, deletions: ReadonlyArray<{ incarnation: Incarnation, revision: number }>, after: number, seen: number, limit: number): ViewChanges {
  const puts: ViewChange[] = [...known.values()]
    .filter((entry) => entry.revision > after)
    .map((entry) => ({ kind: 'put', revision: entry.revision, record: entry.record }))
  const deletes: ViewChange[] = deletions
    .filter((deletion) => deletion.revision > after)
    .map((deletion) => ({ kind: 'delete', ...deletion }))
  const changes = [...puts, ...deletes].sort((left, right) => left.revision - right.revision)
  const taken = takeWholeRevisions(changes, limit)
  const upTo = taken.length === changes.length ? Math.max(after, seen) : taken.at(-1)?.revision ?? after
  return { after, upTo, changes: taken }
}

/**
 * The first changes up to a limit, and all further ones with the same revision as the last of these. A listing assigns one
 * revision to all deletions that it reveals. If these were split, the receiver would miss the rest.
 */
function takeWholeRevisions (changes: readonly ViewChange[], limit: number): ViewChange[] {
  const last = changes[limit - 1]?.revision
  if (last === undefined) return [...changes]
  return changes.filter((change, index) => index < limit || change.revision === last)
}
