/** What is counted and remembered about requests, for reports and explanations. */
import type { Milliseconds } from '../clock.js'
import type { ClassName, OrganisationName, RequestId, UpstreamName } from '../identifiers.js'
import type { Outcome, RequestKey, RequestTimes } from '../request/index.js'
import type { Verdict } from '../verdict.js'

/** Work that an answer took. */
export interface WorkDone {
  /** Tokens of the answer. */
  readonly generatedTokens: number
  /** Tokens of prompt and answer computed again because of a reclaim, a crash or a retry. */
  readonly recomputedTokens: number
}

/**
 * Counters of one node. Accepted plus refused equals served, late, refused, lost, unknown and open,
 * always. A late answer is not counted as served.
 */
export interface Ledger {
  accepted (request: RequestKey): void
  /** Refused before it was accepted. */
  refused (organisation: OrganisationName, requestClass: ClassName, code: string): void
  /** End of an accepted request. */
  ended (request: RequestKey, outcome: Outcome, times: RequestTimes, work: WorkDone): void
  /** The request continues at another node, which counts its end; it leaves this node's sums. */
  handedOver (request: RequestKey): void
  /** A request taken over from another node: accepted there, open here. */
  takenOver (request: RequestKey): void
}

/** One fact in the life of a request. */
export type Fact =
  | { kind: 'accepted' }
  | { kind: 'refused', code: string, retryAfter: Milliseconds }
  | { kind: 'dispatched', upstream: UpstreamName, attempt: number, reason: string }
  | { kind: 'first-token', upstream: UpstreamName }
  | { kind: 'attempt-failed', upstream: UpstreamName, verdict: Verdict, message: string }
  | { kind: 'moved-cache', from: UpstreamName, to: UpstreamName, tokens: number }
  | { kind: 'handed-over', to: string }
  | { kind: 'taken-over', from: string }
  | { kind: 'attached', offset: number }
  | { kind: 'ended', outcome: Outcome }

/** A fact with its wall time. */
export interface TimedFact {
  readonly at: Milliseconds
  readonly fact: Fact
}

/** Facts of recent requests, in bounded memory. */
export interface FactStore {
  record (request: RequestKey, at: Milliseconds, fact: Fact): void
  explain (id: RequestId): { key: RequestKey, facts: readonly TimedFact[] } | undefined
}
