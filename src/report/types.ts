/** What is counted and remembered about requests, for reports and explanations. */
import type { Milliseconds } from '../clock.js'
import type { ClassName, OrganisationName, RequestId } from '../identifiers.js'
import type { Outcome, RequestKey, RequestTimes } from '../request/index.js'
import type { Fact } from './fact.js'

/** Work that an answer took. */
export interface WorkDone {
  /** Tokens of the answer. */
  readonly generatedTokens: number
  /** Tokens of prompt and answer computed again because of a reclaim, a crash or a retry. */
  readonly recomputedTokens: number
}

/**
 * Counters of one node. Accepted plus refused equals served, late, refused, lost, unknown and open,
 * always. A late answer is not counted as served. A second end of a request, or the end of one that
 * is not open here, changes nothing.
 */
export interface Ledger {
  accepted (request: RequestKey): void
  /** Refused before it was accepted. */
  refused (organisation: OrganisationName, requestClass: ClassName, code: string): void
  /** End of an accepted request. */
  ended (request: RequestKey, outcome: Outcome, times: RequestTimes, work: WorkDone): void
  /** The request continues at another node, which counts its end; it leaves this node's sums. */
  handedOver (request: RequestKey): void
  /**
   * A request taken over from another node: accepted there, open here.
   *
   * @param acceptedAtWall wall time of its acceptance, which decides the period it is counted in;
   * now when the other node did not tell
   */
  takenOver (request: RequestKey, acceptedAtWall?: Milliseconds): void
}

/** A fact with its wall time. */
export interface TimedFact {
  readonly at: Milliseconds
  readonly fact: Fact
}

/** What is remembered about one request. */
export interface RequestFacts {
  readonly key: RequestKey
  readonly facts: readonly TimedFact[]
  /** Facts in the middle of its life that were dropped to keep memory bounded. */
  readonly dropped: number
}

/** Facts of recent requests, in bounded memory. */
export interface FactStore {
  record (request: RequestKey, at: Milliseconds, fact: Fact): void
  explain (id: RequestId): RequestFacts | undefined
  /** Estimated bytes in use, and requests forgotten since the start to stay within the bound. */
  usage (): { bytes: number, forgotten: number }
}
