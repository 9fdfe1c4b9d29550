/**
 * Requests that crash the upstreams which run them. Every dispatch needs a permit of the node that owns
 * the request's fingerprint (organisation and body, whatever its id), so that at most two upstreams crash
 * for one fingerprint, however often, wherever and under however many ids it is sent.
 *
 * What is in flight at a crash becomes suspect. What had given no token is tried once more, apart from
 * everything else, so that the second crash names the culprit; what had given tokens goes on beside others
 * and is refused after a third crash. A culprit is refused everywhere; a whole answer clears an innocent.
 */
import { z } from 'zod'
import type { Milliseconds } from '../clock.js'
import { HOUR, MINUTE } from '../clock.js'
import { incarnationSchema } from '../identifiers.js'
import type { Incarnation } from '../identifiers.js'
import type { RankedNode } from './hash.js'
import { rankNodes } from './hash.js'

/** What is known of crashes with a fingerprint in flight. Merging is a union, so it may travel late, twice or out of order. */
export const evidenceSchema = z.object({
  fingerprint: z.string().min(1),
  /** Permits whose dispatch ended in a crash. */
  crashes: z.array(z.string()).max(64),
  /** Such permits that a later whole answer explained away. */
  cleared: z.array(z.string()).max(64),
  /** The owner has refused the fingerprint. */
  quarantined: z.boolean()
})
export type Evidence = z.infer<typeof evidenceSchema>

/** A home asks for a dispatch. */
export const permitRequestSchema = z.object({
  /** Names the dispatch; see {@link permitName}. */
  permit: z.string().min(1).max(200),
  holder: incarnationSchema,
  /** What the holder itself knows; the owner may not have heard it yet. */
  evidence: evidenceSchema
})
export type PermitRequest = z.infer<typeof permitRequestSchema>

/** Answer to a {@link PermitRequest}. */
export const permitDecisionSchema = z.discriminatedUnion('kind', [
  /** `apart`: run it where nothing else runs; see {@link createIsolation}. */
  z.object({
    kind: z.literal('granted'),
    apart: z.boolean(),
    /** Crashes that a whole answer of this dispatch explains away; to be named when it ends. */
    suspectedFor: z.array(z.string()).max(64)
  }),
  /** Another one with the same body is in flight and none has been answered yet; ask again. */
  z.object({ kind: z.literal('wait') }),
  /** Two upstreams crashed: refused everywhere. */
  z.object({ kind: z.literal('quarantined') })
])
export type PermitDecision = z.infer<typeof permitDecisionSchema>

/** How a permitted dispatch ended. */
export const permitEndSchema = z.object({
  permit: z.string().min(1).max(200),
  fingerprint: z.string().min(1),
  /** `withdrawn`: nothing was learnt, since it did not run, or its upstream was left as announced. */
  how: z.enum(['answered', 'crashed', 'withdrawn']),
  /** What the grant named, so that an owner which knows nothing of the grant clears the same. */
  suspectedFor: z.array(z.string()).max(64).default([]),
  /** Tokens had come before it ended: a crash is then less likely to be its doing. */
  progressed: z.boolean().default(false)
})
export type PermitEnd = z.input<typeof permitEndSchema>

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

/** A permit in force. */
export const heldPermitSchema = z.object({ permit: z.string(), fingerprint: z.string(), holder: incarnationSchema, proven: z.boolean() })
export type HeldPermit = z.infer<typeof heldPermitSchema>

/** Bounds of a guard. */
export interface CrashGuardOptions {
  /** How long a culprit stays refused after its second crash. */
  readonly quarantine?: Milliseconds
  /** How long a permit may keep others waiting before it is taken for lost; longer than any answer takes. */
  readonly permitTime?: Milliseconds
  /** Most fingerprints without permits in force; beyond it the ones longest untouched are forgotten, culprits last. */
  readonly mostRecords?: number
}

interface Permit {
  readonly holder: Incarnation
  /** Granted beside others, since an earlier dispatch had been answered. */
  readonly proven: boolean
  /** When another dispatch first had to wait for it. */
  blockedSince: Milliseconds | undefined
}

interface FingerprintRecord {
  readonly crashes: Set<string>
  readonly cleared: Set<string>
  readonly permits: Map<string, Permit>
  /** Permits that ended: a request for one of them that arrives late grants nothing. */
  readonly ended: Set<string>
  /** A dispatch was answered and nothing crashed since: any number may run at once. */
  proven: boolean
  quarantinedAt: Milliseconds | undefined
}

/** Upstreams that one fingerprint may cost. */
export const MOST_CRASHES = 2

/** Upstreams that one fingerprint may cost when tokens came before each crash. */
export const MOST_LATE_CRASHES = 3

/** Ends the name of a crash before which the dispatch had given tokens. */
const PROGRESSED = '+'

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
    const record = records.get(fingerprint) ?? { crashes: new Set(), cleared: new Set(), permits: new Map(), ended: new Set(), proven: false, quarantinedAt: undefined }
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
    clear(record, evidence.cleared)
    for (const permit of evidence.crashes) crash(record, permit)
    if (evidence.quarantined) record.quarantinedAt ??= now
  }

  /**
   * Failure guarded against: a harmless question runs several times on an upstream that something else
   * crashes, and the one crash counts against it once for each. Permits granted beside others count
   * together as one crash.
   */
  function crash (record: FingerprintRecord, permit: string): void {
    if (record.cleared.has(permit) || record.crashes.has(permit)) return
    record.proven = false
    if (record.crashes.size > 0 && record.permits.get(plainName(permit))?.proven === true) record.cleared.add(permit)
    else record.crashes.add(permit)
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
      crash(record, name)
      record.permits.delete(name)
    }
  }

  function judge (record: FingerprintRecord, now: Milliseconds): void {
    if (silentCrashes(record) >= MOST_CRASHES || record.crashes.size >= MOST_LATE_CRASHES) record.quarantinedAt ??= now
  }

  function quarantined (record: FingerprintRecord, now: Milliseconds): boolean {
    if (record.quarantinedAt === undefined) return false
    if (now - record.quarantinedAt < quarantine) return true
    clear(record, [...record.crashes])
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
      if (end.how === 'crashed') crash(record, end.progressed === true ? end.permit + PROGRESSED : end.permit)
      const news = end.how === 'answered' && clear(record, [...end.suspectedFor ?? [], end.permit, end.permit + PROGRESSED])
      if (end.how === 'answered' && held && record.crashes.size === 0) record.proven = true
      record.permits.delete(end.permit)
      record.ended.add(end.permit)
      trim(record.ended)
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

/**
 * Name of one dispatch.
 *
 * @param attempt 1 for the first
 * @example
 * permitName(request.id, 2)
 */
export function permitName (id: string, attempt: number): string {
  return `${id}#${attempt}`
}

/** Names that travel and are remembered; what is older has been heard of everywhere. */
const MOST_NAMES = 64

/** Crashes of dispatches that had given no token: what crashes upstreams does so when its prompt is computed. */
function silentCrashes (record: FingerprintRecord): number {
  let count = 0
  for (const name of record.crashes) if (!name.endsWith(PROGRESSED)) count += 1
  return count
}

function plainName (crash: string): string {
  return crash.endsWith(PROGRESSED) ? crash.slice(0, -PROGRESSED.length) : crash
}

/** @returns whether any of them was news */
function clear (record: FingerprintRecord, permits: readonly string[]): boolean {
  const before = record.crashes.size
  for (const permit of permits) {
    record.cleared.add(permit)
    record.crashes.delete(permit)
  }
  trim(record.cleared)
  return record.crashes.size < before
}

function trim (names: Set<string>): void {
  for (const name of names) {
    if (names.size <= MOST_NAMES) return
    names.delete(name)
  }
}

function toEvidence (fingerprint: string, record: FingerprintRecord): Evidence {
  return { fingerprint, crashes: [...record.crashes].slice(0, MOST_NAMES), cleared: [...record.cleared].slice(-MOST_NAMES), quarantined: record.quarantinedAt !== undefined }
}
