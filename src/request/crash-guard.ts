/**
 * Limits the number of upstreams that a crashing request can crash.
 *
 * Every dispatch needs a permit from the node that owns the request's fingerprint, which does not depend on the
 * request id. For one fingerprint, at most two upstreams crash before the first token, and at most three in total, no
 * matter how often, through which nodes and under how many ids the request is sent.
 *
 * All requests in flight at a crash become suspects. A suspect that had produced no token is dispatched once more,
 * isolated from all other requests, so that a second crash identifies it as the cause. A suspect that had produced
 * tokens runs beside other requests and is quarantined after a third crash. A quarantined fingerprint is refused at
 * all nodes. A complete answer clears a suspect.
 */
import type { Milliseconds } from '../clock.js'
import { HOUR, MINUTE } from '../clock.js'
import type { Incarnation } from '../identifiers.js'
import { addCrash, clearCrashes, countCrashesBeforeFirstToken, crashName, createFingerprintRecord, evictOldestNames, toEvidence } from './crash-record.js'
import type { FingerprintRecord } from './crash-record.js'
import type { RankedNode } from './hash.js'
import { rankNodes } from './hash.js'
import type { Evidence, HeldPermit, PermitDecision, PermitEnd, PermitRequest } from './permit.js'

/** Crashes and permits known to one node. Every node has a guard and owns a share of the fingerprints. */
export interface CrashGuard {
  /** For the owner: decides on a dispatch. Asking again for the same permit grants no second one. */
  acquire (request: PermitRequest, now: Milliseconds): PermitDecision
  /**
   * For the owner: ends a permit.
   *
   * @returns evidence for all other nodes, or undefined if nothing changed
   */
  release (end: PermitEnd, now: Milliseconds): Evidence | undefined
  /**
   * For the owner: ends all permits of a node that has died. No crash is counted, because the death of a node does
   * not indicate a crash of an upstream and its requests must be dispatched again at once. A crash that the node
   * could not report any more is missed, so each death of a node may allow one more upstream to crash.
   */
  releaseHolder (holder: Incarnation): void
  /** For the owner: holders of the permits that block other dispatches. The caller checks whether they are alive. */
  blockingHolders (fingerprint: string): Incarnation[]
  /** For any node: merges evidence from other nodes. */
  observe (evidence: readonly Evidence[], now: Milliseconds): void
  /** For any node: what is known of a fingerprint, to be sent with a {@link PermitRequest}. */
  evidence (fingerprint: string): Evidence
  /** For any node: whether the fingerprint is known to be quarantined, in which case its owner need not be asked. */
  isQuarantined (fingerprint: string, now: Milliseconds): boolean
  /** For an owner that leaves: the permits in force, to be sent to the next owners. */
  permits (): HeldPermit[]
  /** For the next owner: adds permits of an owner that leaves. */
  adopt (permits: readonly HeldPermit[]): void
  size (): number
}

/** Limits of a guard. */
export interface CrashGuardOptions {
  /** Time for which a fingerprint stays quarantined. */
  readonly quarantineDuration?: Milliseconds
  /**
   * Time for which a permit may block other dispatches before it counts as lost. It must be longer than any answer
   * takes.
   */
  readonly permitTimeout?: Milliseconds
  /**
   * Maximum number of fingerprints without permits in force. Beyond it the least recently used ones are evicted, and
   * quarantined ones only if there are no others.
   */
  readonly maxRecords?: number
}

/** Number of crashes before the first token at which a fingerprint is quarantined. */
export const MAX_CRASHES_BEFORE_FIRST_TOKEN = 2

/** Number of crashes, before or after the first token, at which a fingerprint is quarantined. */
export const MAX_TOTAL_CRASHES = 3

const QUARANTINE_DURATION: Milliseconds = 24 * HOUR
const PERMIT_TIMEOUT: Milliseconds = 10 * MINUTE
const MAX_RECORDS = 10_000

/**
 * Creates the guard of one node.
 *
 * @example
 * const guard = createCrashGuard()
 * const decision = guard.acquire({ permit: permitName(id, 1), holder, evidence: guard.evidence(fingerprint) }, clock.now())
 */
export function createCrashGuard (options: CrashGuardOptions = {}): CrashGuard {
  const { quarantineDuration = QUARANTINE_DURATION, permitTimeout = PERMIT_TIMEOUT, maxRecords = MAX_RECORDS } = options
  const records = new Map<string, FingerprintRecord>()

  /** Returns the record of a fingerprint and marks it as the most recently used one. */
  function touch (fingerprint: string): FingerprintRecord {
    const record = records.get(fingerprint) ?? createFingerprintRecord()
    records.delete(fingerprint)
    records.set(fingerprint, record)
    if (records.size > maxRecords) evictOldest(fingerprint)
    return record
  }

  function evictOldest (except: string): void {
    let oldestQuarantined: string | undefined
    for (const [fingerprint, record] of records) {
      if (fingerprint === except || record.permits.size > 0) continue
      if (record.quarantinedAt === undefined) {
        records.delete(fingerprint)
        return
      }
      oldestQuarantined ??= fingerprint
    }
    if (oldestQuarantined !== undefined) records.delete(oldestQuarantined)
  }

  function merge (evidence: Evidence, now: Milliseconds): void {
    if (evidence.crashes.length === 0 && evidence.cleared.length === 0 && !evidence.quarantined) return
    const record = touch(evidence.fingerprint)
    clearCrashes(record, evidence.cleared)
    for (const permit of evidence.crashes) addCrash(record, permit)
    if (evidence.quarantined) record.quarantinedAt ??= now
  }

  /**
   * Removes permits that have blocked other dispatches for too long.
   *
   * Failure guarded against: the message that ends a permit never reaches the owner, and requests with this
   * fingerprint wait forever. Such a permit therefore expires. Its end is unknown, so it counts as a crash until its
   * holder or the next dispatch reports an answer.
   */
  function expireLostPermits (record: FingerprintRecord, now: Milliseconds): void {
    if (record.proven) return
    for (const [name, permit] of record.permits) {
      permit.blockedSince ??= now
      if (now - permit.blockedSince < permitTimeout) continue
      addCrash(record, name)
      record.permits.delete(name)
    }
  }

  function quarantineIfNeeded (record: FingerprintRecord, now: Milliseconds): void {
    if (countCrashesBeforeFirstToken(record) >= MAX_CRASHES_BEFORE_FIRST_TOKEN || record.crashes.size >= MAX_TOTAL_CRASHES) record.quarantinedAt ??= now
  }

  function isInQuarantine (record: FingerprintRecord, now: Milliseconds): boolean {
    if (record.quarantinedAt === undefined) return false
    if (now - record.quarantinedAt < quarantineDuration) return true
    clearCrashes(record, [...record.crashes])
    record.quarantinedAt = undefined
    return false
  }

  return {
    acquire: (request, now) => {
      merge(request.evidence, now)
      const record = touch(request.evidence.fingerprint)
      if (!record.permits.has(request.permit)) expireLostPermits(record, now)
      quarantineIfNeeded(record, now)
      if (isInQuarantine(record, now)) return { kind: 'quarantined' }
      const granted = { kind: 'granted' as const, apart: countCrashesBeforeFirstToken(record) > 0, suspectedFor: [...record.crashes] }
      if (record.permits.has(request.permit)) return granted
      /**
       * Failure guarded against: the same request is sent through many nodes at once, each of which considers it
       * harmless, and as many upstreams crash. Until one dispatch has been answered only one is in flight, so its
       * crash is known before the next one begins.
       */
      if (!record.proven && record.permits.size > 0) return { kind: 'wait' }
      if (record.ended.has(request.permit)) return { kind: 'wait' }
      record.permits.set(request.permit, { holder: request.holder, proven: record.proven, blockedSince: undefined })
      return granted
    },
    release: (end, now) => {
      const record = touch(end.fingerprint)
      const held = record.permits.has(end.permit)
      if (end.how === 'crashed') addCrash(record, crashName(end.permit, end.progressed === true))
      const anyCleared = end.how === 'answered' && clearCrashes(record, [...end.suspectedFor ?? [], crashName(end.permit, false), crashName(end.permit, true)])
      if (end.how === 'answered' && held && record.crashes.size === 0) record.proven = true
      record.permits.delete(end.permit)
      record.ended.add(end.permit)
      evictOldestNames(record.ended)
      quarantineIfNeeded(record, now)
      return anyCleared || end.how === 'crashed' ? toEvidence(end.fingerprint, record) : undefined
    },
    releaseHolder: (holder) => {
      for (const record of records.values()) {
        for (const [name, permit] of record.permits) {
          if (permit.holder === holder) record.permits.delete(name)
        }
      }
    },
    blockingHolders: (fingerprint) => {
      const record = records.get(fingerprint)
      return record === undefined || record.proven ? [] : [...new Set([...record.permits.values()].map((permit) => permit.holder))]
    },
    observe: (evidence, now) => {
      for (const item of evidence) merge(item, now)
    },
    evidence: (fingerprint) => {
      const record = records.get(fingerprint)
      return record === undefined ? { fingerprint, crashes: [], cleared: [], quarantined: false } : toEvidence(fingerprint, record)
    },
    isQuarantined: (fingerprint, now) => {
      const record = records.get(fingerprint)
      return record !== undefined && isInQuarantine(record, now)
    },
    permits: () => [...records].flatMap(([fingerprint, record]) => [...record.permits].map(([permit, { holder, proven }]) => ({ permit, fingerprint, holder, proven }))),
    adopt: (permits) => {
      for (const { permit, fingerprint, holder, proven } of permits) touch(fingerprint).permits.set(permit, { holder, proven, blockedSince: undefined })
    },
    size: () => records.size
  }
}

/**
 * Node that owns a fingerprint and decides on its permits.
 *
 * @returns undefined if no node is live
 * @example
 * const owner = fingerprintOwner(request.fingerprint, membership.nodes())
 */
export function fingerprintOwner<Node extends RankedNode> (fingerprint: string, nodes: readonly Node[]): Node | undefined {
  return rankNodes(fingerprint, nodes).find((node) => !node.leaving)
}
