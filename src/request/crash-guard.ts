/**
 * Requests that crash the upstreams which run them. Every dispatch needs a permit of the node that owns
 * the request's fingerprint (organisation and body, whatever its id), so that at most two upstreams crash
 * for one fingerprint, however often, wherever and under however many ids it is sent.
 *
 * What is in flight at a crash becomes suspect. What had given no token is tried once more, apart from
 * everything else, so that the second crash names the culprit; what had given tokens goes on beside others
 * and is refused after a third crash. A culprit is refused everywhere; a whole answer clears an innocent.
 */
import type { Milliseconds } from '../clock.js'
import { HOUR, MINUTE } from '../clock.js'
import type { Incarnation } from '../identifiers.js'
import { addCrash, clearCrashes, crashName, createFingerprintRecord, silentCrashes, toEvidence, trimNames } from './crash-record.js'
import type { FingerprintRecord } from './crash-record.js'
import type { RankedNode } from './hash.js'
import { rankNodes } from './hash.js'
import type { Evidence, HeldPermit, PermitDecision, PermitEnd, PermitRequest } from './permit.js'

/** Crashes and permits as one node knows them. Each node has one, and owns its share of fingerprints. */
export interface CrashGuard {
  /** Owner: decides on a dispatch. Asking again under the same name gives no second permit. */
  acquire (request: PermitRequest, now: Milliseconds): PermitDecision
  /** Owner: ends a permit. @returns evidence to spread to all nodes, if there is news */
  release (end: PermitEnd, now: Milliseconds): Evidence | undefined
  /**
   * Owner: a holder has died. Its permits end without a verdict: the death of a node is no sign of a
   * crash, and what it had in flight must be run again at once. A crash that it did not live to report
   * is not counted, so each such death may cost one upstream more.
   */
  holderGone (holder: Incarnation): void
  /** Owner: holders of the permits that make others wait; worth a look whether they live. */
  holders (fingerprint: string): Incarnation[]
  /** Any node: takes in what another node knows. */
  observe (evidence: readonly Evidence[], now: Milliseconds): void
  /** Any node: what is known of a fingerprint, to go with a {@link PermitRequest}. */
  evidence (fingerprint: string): Evidence
  /** Any node: known to be refused, so that its owner need not be asked. */
  isQuarantined (fingerprint: string, now: Milliseconds): boolean
  /** Owner that leaves: permits in force, for the next owners. */
  permits (): HeldPermit[]
  /** Next owner: takes permits over. */
  adopt (permits: readonly HeldPermit[]): void
  size (): number
}

/** Bounds of a guard. */
export interface CrashGuardOptions {
  /** How long a culprit stays refused after its second crash. */
  readonly quarantine?: Milliseconds
  /** How long a permit may keep others waiting before it is taken for lost; longer than any answer takes. */
  readonly permitTime?: Milliseconds
  /** Most fingerprints without permits in force; beyond it the ones longest untouched are forgotten, culprits last. */
  readonly mostRecords?: number
}

/** Upstreams that one fingerprint may cost. */
export const MOST_CRASHES = 2

/** Upstreams that one fingerprint may cost when tokens came before each crash. */
export const MOST_LATE_CRASHES = 3

const QUARANTINE: Milliseconds = 24 * HOUR
const PERMIT_TIME: Milliseconds = 10 * MINUTE
const MOST_RECORDS = 10_000

/**
 * @example
 * const guard = createCrashGuard()
 * const decision = guard.acquire({ permit: permitName(id, 1), holder, evidence: guard.evidence(fingerprint) }, clock.now())
 */
export function createCrashGuard (options: CrashGuardOptions = {}): CrashGuard {
  const { quarantine = QUARANTINE, permitTime = PERMIT_TIME, mostRecords = MOST_RECORDS } = options
  const records = new Map<string, FingerprintRecord>()

  /** The record, made the most recently touched one. */
  function touch (fingerprint: string): FingerprintRecord {
    const record = records.get(fingerprint) ?? createFingerprintRecord()
    records.delete(fingerprint)
    records.set(fingerprint, record)
    if (records.size > mostRecords) forgetOldest(fingerprint)
    return record
  }

  function forgetOldest (except: string): void {
    let culprit: string | undefined
    for (const [fingerprint, record] of records) {
      if (fingerprint === except || record.permits.size > 0) continue
      if (record.quarantinedAt === undefined) {
        records.delete(fingerprint)
        return
      }
      culprit ??= fingerprint
    }
    if (culprit !== undefined) records.delete(culprit)
  }

  function merge (evidence: Evidence, now: Milliseconds): void {
    if (evidence.crashes.length === 0 && evidence.cleared.length === 0 && !evidence.quarantined) return
    const record = touch(evidence.fingerprint)
    clearCrashes(record, evidence.cleared)
    for (const permit of evidence.crashes) addCrash(record, permit)
    if (evidence.quarantined) record.quarantinedAt ??= now
  }

  /**
   * Failure guarded against: the message that ends a permit never reaches its owner, and requests with that
   * body wait for ever. Such a permit ends after its time; as nobody knows how, it counts as a crash until
   * its holder, or the next dispatch, reports an answer.
   */
  function dropLost (record: FingerprintRecord, now: Milliseconds): void {
    if (record.proven) return
    for (const [name, permit] of record.permits) {
      permit.blockedSince ??= now
      if (now - permit.blockedSince < permitTime) continue
      addCrash(record, name)
      record.permits.delete(name)
    }
  }

  function judge (record: FingerprintRecord, now: Milliseconds): void {
    if (silentCrashes(record) >= MOST_CRASHES || record.crashes.size >= MOST_LATE_CRASHES) record.quarantinedAt ??= now
  }

  function quarantined (record: FingerprintRecord, now: Milliseconds): boolean {
    if (record.quarantinedAt === undefined) return false
    if (now - record.quarantinedAt < quarantine) return true
    clearCrashes(record, [...record.crashes])
    record.quarantinedAt = undefined
    return false
  }

  return {
    acquire: (request, now) => {
      merge(request.evidence, now)
      const record = touch(request.evidence.fingerprint)
      if (!record.permits.has(request.permit)) dropLost(record, now)
      judge(record, now)
      if (quarantined(record, now)) return { kind: 'quarantined' }
      const granted = { kind: 'granted' as const, apart: silentCrashes(record) > 0, suspectedFor: [...record.crashes] }
      if (record.permits.has(request.permit)) return granted
      /**
       * Failure guarded against: the same body is sent at once through many nodes, each of which takes it for
       * harmless, and as many upstreams crash. Until one dispatch has been answered only one is in flight, so
       * its crash is known before the next begins.
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
      const news = end.how === 'answered' && clearCrashes(record, [...end.suspectedFor ?? [], crashName(end.permit, false), crashName(end.permit, true)])
      if (end.how === 'answered' && held && record.crashes.size === 0) record.proven = true
      record.permits.delete(end.permit)
      record.ended.add(end.permit)
      trimNames(record.ended)
      judge(record, now)
      return news || end.how === 'crashed' ? toEvidence(end.fingerprint, record) : undefined
    },
    holderGone: (holder) => {
      for (const record of records.values()) {
        for (const [name, permit] of record.permits) {
          if (permit.holder === holder) record.permits.delete(name)
        }
      }
    },
    holders: (fingerprint) => {
      const record = records.get(fingerprint)
      return record === undefined || record.proven ? [] : [...new Set([...record.permits.values()].map((permit) => permit.holder))]
    },
    observe: (evidence, now) => {
      for (const one of evidence) merge(one, now)
    },
    evidence: (fingerprint) => {
      const record = records.get(fingerprint)
      return record === undefined ? { fingerprint, crashes: [], cleared: [], quarantined: false } : toEvidence(fingerprint, record)
    },
    isQuarantined: (fingerprint, now) => {
      const record = records.get(fingerprint)
      return record !== undefined && quarantined(record, now)
    },
    permits: () => [...records].flatMap(([fingerprint, record]) => [...record.permits].map(([permit, { holder, proven }]) => ({ permit, fingerprint, holder, proven }))),
    adopt: (permits) => {
      for (const { permit, fingerprint, holder, proven } of permits) touch(fingerprint).permits.set(permit, { holder, proven, blockedSince: undefined })
    },
    size: () => records.size
  }
}

/**
 * Node that owns a fingerprint: whom to ask for permits.
 *
 * @returns undefined when no node is live
 * @example
 * const owner = fingerprintOwner(request.fingerprint, membership.nodes())
 */
export function fingerprintOwner<Node extends RankedNode> (fingerprint: string, nodes: readonly Node[]): Node | undefined {
  return rankNodes(fingerprint, nodes).find((node) => !node.leaving)
}
