/**
 * The nodes that one node knows. Changes carry the key-value service's revision, which orders them
 * for everybody: a node that knows them up to a revision gets the rest from any peer that is ahead,
 * so a wave of changes is read from the service by its few watchers alone.
 */
import type { Milliseconds } from '../clock.js'
import { HOUR, MINUTE, SECOND } from '../clock.js'
import type { Incarnation, InstanceName } from '../identifiers.js'
import { score } from './rendezvous.js'
import type { NodeRecord, PeerState, ViewChange, ViewChanges } from './types.js'

/** The view and what changes it. */
export interface MembershipView {
  /** Records of all nodes that are not gone, this one included. */
  nodes (): readonly NodeRecord[]
  find (incarnation: Incarnation): NodeRecord | undefined
  stateOf (incarnation: Incarnation): PeerState
  /**
   * Nodes that went without a word: their lease lapsed, they had not been leaving, and no new life of
   * their instance has been seen. They are dead, or cut off and still serving.
   */
  unheard (now: Milliseconds): readonly NodeRecord[]
  /** Revision up to which the view is complete. */
  seen (): number
  /**
   * Hash of the records that the service holds, as far as this node knows. Two complete views of one
   * revision that differ in it are not equal: one of them has missed a change.
   */
  digest (): number
  /** Rises whenever {@link MembershipView.nodes} changes. */
  version (): number
  /** Takes a complete listing of the service at a revision. */
  replace (records: readonly Stamped[], revision: number, now: Milliseconds): void
  /** Takes consecutive changes, from a watch or a peer; a list with a gap before it is left alone. */
  merge (changes: ViewChanges, now: Milliseconds): void
  /** Takes a record that its own node sent, while the service may not hold it. */
  introduce (record: NodeRecord, now: Milliseconds): void
  /** Changes after a revision, at most `limit`; undefined when they are not kept any more. */
  changesAfter (revision: number, limit: number): ViewChanges | undefined
  /**
   * Lets lapsed records go once their grace is over.
   *
   * @param isDown whether peers can't reach a node either
   */
  settle (now: Milliseconds, isDown: (incarnation: Incarnation) => boolean): void
  /** Replaces this node's own record. */
  setOwn (record: NodeRecord): void
}

/** A record with the revision at which the service stored it. */
export interface Stamped {
  readonly record: NodeRecord
  readonly revision: number
}

/**
 * A record whose key vanished stays this long. After an outage of the key-value service every lease
 * has lapsed at once although the nodes are well; the grace lets them register again, which takes a
 * renewal's time and the way through peers, before anyone takes them for gone.
 */
export const LAPSE_GRACE: Milliseconds = MINUTE

/** The same for a node that peers can't reach either. */
export const LAPSE_GRACE_DOWN: Milliseconds = 20 * SECOND

/** A record that only its own node has told of, and that the service never held, stays this long. */
const INTRODUCTION_TIME: Milliseconds = 10 * MINUTE

/** Nodes that went without a word are told of for this long; regions lose each other for an hour. */
const UNHEARD_TIME: Milliseconds = 2 * HOUR

/** Deletions kept for peers that are behind: eleven days' worth of an ordinary fleet of 370. */
const DELETIONS_KEPT = 2_048

/** Incarnations remembered as gone. */
const GONE_KEPT = 4_096

interface Known {
  readonly record: NodeRecord
  /** 0 while only the node itself has told of it. */
  readonly revision: number
  /** When the node itself last told of it. */
  introducedAt: Milliseconds
  /** When its key vanished. */
  lapsedAt: Milliseconds | undefined
}

/**
 * @param own this node's record; it is always part of the view
 * @example
 * const view = createMembershipView(record)
 * view.replace(listing, revision, clock.now())
 */
export function createMembershipView (own: NodeRecord): MembershipView {
  const known = new Map<Incarnation, Known>()
  const gone = new Set<Incarnation>()
  const unheard = new Map<Incarnation, { record: NodeRecord, at: Milliseconds }>()
  let ownRecord = own
  const deletions: Array<{ incarnation: Incarnation, revision: number }> = []
  /** Deletions up to this revision have been dropped from the list. */
  let forgottenUpTo = 0
  let seen = 0
  let version = 1
  let digested: number | undefined
  let listed: { version: number, nodes: readonly NodeRecord[] } | undefined

  function put (record: NodeRecord, revision: number, introducedAt = -Infinity): void {
    const before = known.get(record.incarnation)
    if (before !== undefined && before.revision > revision) return
    known.set(record.incarnation, { record, revision, introducedAt, lapsedAt: undefined })
    gone.delete(record.incarnation)
    for (const [incarnation, other] of unheard) if (other.record.instance === record.instance) unheard.delete(incarnation)
    dropReplaced(record.instance)
    version += 1
    digested = undefined
  }

  /** An instance runs one process: a newer incarnation on it proves the older ones gone. */
  function dropReplaced (instance: InstanceName): void {
    const lives = [...known.values()].filter((entry) => entry.record.instance === instance)
    const latest = Math.max(...lives.map((entry) => entry.revision))
    // A life that only told of itself has no place in the order yet.
    for (const life of lives) if (life.revision > 0 && life.revision < latest) forget(life.record.incarnation)
  }

  function lapse (incarnation: Incarnation, revision: number, now: Milliseconds): void {
    const entry = known.get(incarnation)
    if (entry !== undefined && entry.revision > revision) return
    // Kept although this node may never have known the record: a peer that asks may.
    keepDeletion(incarnation, revision)
    digested = undefined
    if (entry === undefined) return
    if (entry.record.leaving) return forget(incarnation)
    entry.lapsedAt ??= now
  }

  function keepDeletion (incarnation: Incarnation, revision: number): void {
    deletions.push({ incarnation, revision })
    if (deletions.length <= DELETIONS_KEPT) return
    deletions.sort((left, right) => left.revision - right.revision)
    const dropped = deletions.splice(0, deletions.length - DELETIONS_KEPT)
    forgottenUpTo = dropped.at(-1)?.revision ?? forgottenUpTo
  }

  function forget (incarnation: Incarnation): void {
    if (!known.delete(incarnation)) return
    digested = undefined
    gone.add(incarnation)
    if (gone.size > GONE_KEPT) gone.delete(gone.values().next().value as Incarnation)
    version += 1
  }

  function list (): readonly NodeRecord[] {
    if (listed?.version === version) return listed.nodes
    const others = [...known.values()].filter((entry) => entry.record.incarnation !== ownRecord.incarnation)
    listed = { version, nodes: [ownRecord, ...others.map((entry) => entry.record)] }
    return listed.nodes
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
      digested ??= digestOf(known)
      return digested
    },
    stateOf: (incarnation) => {
      const record = find(incarnation)
      if (record !== undefined) return record.leaving ? 'leaving' : 'live'
      return gone.has(incarnation) ? 'gone' : 'unknown'
    },
    replace: (records, revision, now) => {
      if (revision < seen) return
      const present = new Set(records.map((stamped) => stamped.record.incarnation))
      for (const stamped of records) put(stamped.record, stamped.revision)
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
      if (revision > 0 && revision < forgottenUpTo) return undefined
      return changesAfter(known, deletions, revision, seen, limit)
    },
    unheard: (now) => [...unheard.values()].filter((item) => now - item.at < UNHEARD_TIME).map((item) => item.record),
    settle: (now, isDown) => {
      for (const [incarnation, item] of unheard) if (now - item.at >= UNHEARD_TIME) unheard.delete(incarnation)
      for (const [incarnation, entry] of known) {
        const grace = isDown(incarnation) ? LAPSE_GRACE_DOWN : LAPSE_GRACE
        const lapsed = entry.lapsedAt !== undefined && now - entry.lapsedAt >= grace
        if (lapsed) unheard.set(incarnation, { record: entry.record, at: now })
        const forgotten = entry.revision === 0 && now - entry.introducedAt >= INTRODUCTION_TIME
        if (lapsed || forgotten) forget(incarnation)
      }
    },
    setOwn: (record) => {
      ownRecord = record
      version += 1
    }
  }
}

function digestOf (known: ReadonlyMap<Incarnation, Known>): number {
  let digest = 0
  for (const [incarnation, entry] of known) {
    if (entry.revision > 0 && entry.lapsedAt === undefined) digest ^= score('view', incarnation)
  }
  return digest >>> 0
}

function changesAfter (known: ReadonlyMap<Incarnation, Known>, deletions: ReadonlyArray<{ incarnation: Incarnation, revision: number }>, after: number, seen: number, limit: number): ViewChanges {
  const puts: ViewChange[] = [...known.values()]
    .filter((entry) => entry.revision > after)
    .map((entry) => ({ kind: 'put', revision: entry.revision, record: entry.record }))
  const deletes: ViewChange[] = deletions
    .filter((deletion) => deletion.revision > after)
    .map((deletion) => ({ kind: 'delete', ...deletion }))
  const changes = [...puts, ...deletes].sort((left, right) => left.revision - right.revision)
  const taken = takeWhole(changes, limit)
  const upTo = taken.length === changes.length ? Math.max(after, seen) : taken.at(-1)?.revision ?? after
  return { after, upTo, changes: taken }
}

/** A listing stamps several losses with one revision; those are never parted. */
function takeWhole (changes: readonly ViewChange[], limit: number): ViewChange[] {
  const last = changes[limit - 1]?.revision
  if (last === undefined) return [...changes]
  return changes.filter((change, index) => index < limit || change.revision === last)
}
