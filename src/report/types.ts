/** Interfaces for counting requests in reports and for recording facts that explain single requests. */
import type { Milliseconds } from '../clock.js'
import type { ClassName, OrganisationName, RequestId } from '../identifiers.js'
import type { Outcome, RequestKey, RequestTimes } from '../request/index.js'
import type { Fact } from './fact.js'

/** Work that was done to answer a request. */
export interface WorkDone {
  /** Number of tokens of the answer. */
  readonly generatedTokens: number
  /** Number of tokens of the prompt and the answer that were recomputed because of a reclaim, a crash or a retry. */
  readonly recomputedTokens: number
}

/**
 * Counters of one node. Invariant: the numbers of accepted and refused requests add up to those of served, late,
 * refused, lost, unknown and open requests. A late answer is not counted as served. A second end of a request, or the
 * end of a request that is not open at this node, is ignored.
 */
export interface Ledger {
  /** Counts an accepted request. */
  accepted (request: RequestKey): void
  /** Counts a request that was refused before acceptance. */
  refused (organisation: OrganisationName, requestClass: ClassName, code: string): void
  /** Counts the end of an accepted request. */
  ended (request: RequestKey, outcome: Outcome, times: RequestTimes, work: WorkDone): void
  /** Counts a hand-over to another node, which will count the end of the request. It is no longer open at this node. */
  handedOver (request: RequestKey): void
  /**
   * Counts a request that was taken over from another node. It was accepted there and is now open at this node.
   *
   * @param acceptedAtWall wall time of the acceptance, which determines the period of the request. The present time is
   * used if the other node did not report it.
   */
  takenOver (request: RequestKey, acceptedAtWall?: Milliseconds): void
}

/** A fact with its wall time. */
export interface TimedFact {
  readonly at: Milliseconds
  readonly fact: Fact
}

/** Recorded facts of one request. */
export interface RequestFacts {
  readonly key: RequestKey
  readonly facts: readonly TimedFact[]
  /** Number of facts that were dropped from the middle of the list to bound memory. */
  readonly dropped: number
}

/** Store of the facts of recent requests, in bounded memory. */
export interface FactStore {
  record (request: RequestKey, at: Milliseconds, fact: Fact): void
  /** Returns the facts of a request, or undefined if there are none in the store. */
  explain (id: RequestId): RequestFacts | undefined
  /** Estimated memory use in bytes, and the number of requests evicted since the start to stay within the bound. */
  usage (): { bytes: number, forgotten: number }
}
