/** Interface between the scheduler and the upstreams of one service. */
import type { Milliseconds } from '../clock.js'
import type { UpstreamName } from '../identifiers.js'
import type { ConcurrencyWindow } from './concurrency-window.js'
import type { ExpectedAnswer } from './estimate.js'
import type { UpstreamLoad } from './load.js'
import type { HealthState } from './outliers.js'
import type { PrefixIndex } from './prefix-index.js'
import type { LoadReport, UpstreamView, Usage } from './types.js'

/** What an attempt requires from an upstream. */
export interface AttemptDemand {
  readonly promptTokens: number
  /** Expected number of generated tokens. */
  readonly generatedTokens: number
  /** Hashes of the prompt's leading blocks, starting with the first block. */
  readonly blocks: readonly string[]
  /** Adapter that the request names. */
  readonly adapter: string | undefined
  /** Upstreams that must not be chosen. */
  readonly excluded: readonly UpstreamName[]
  /**
   * Whether the attempt must be isolated: no other request of this node may run at its upstream, because the request is
   * suspected of crashing engines.
   */
  readonly apart: boolean
  /** Whether the attempt cannot wait for a free slot. Other attempts leave a few slots free for urgent ones. */
  readonly urgent: boolean
  /** Target of the request's class for a whole answer. */
  readonly wholeAnswerTarget: Milliseconds
  /** Whether the attempt may probe an ejected upstream. */
  readonly probe: boolean
  /**
   * Whether the request has been accepted. It cannot be refused any more, so it may probe an ejected upstream if no
   * other has capacity.
   */
  readonly accepted: boolean
}

/** The upstream chosen for an attempt, and the expected use of its cache. */
export interface Placement {
  readonly upstream: UpstreamName
  /** Leading blocks of the prompt that are expected to be cached. */
  readonly expectedBlocks: number
  /** Prompt tokens that are expected to be computed. */
  readonly computedTokens: number
}

/** State that a node keeps for one upstream. */
export interface UpstreamState {
  view: UpstreamView
  readonly load: UpstreamLoad
  readonly prefixes: PrefixIndex
  readonly window: ConcurrencyWindow
  /** Latest load report. */
  report: LoadReport | undefined
  /** Whether an isolated attempt runs there. */
  reserved: boolean
}

/** The upstreams of one service as seen by one node. */
export interface ServiceFleet {
  /** Replaces the list of upstreams. The state of upstreams that are still listed is kept. */
  update (views: readonly UpstreamView[], now: Milliseconds): void
  /** Sets the number of nodes that send to the same upstreams, this node included. */
  setSharingNodes (nodes: number): void
  /** Records a load report. */
  reported (report: LoadReport, now: Milliseconds): void
  /** Records the cache events of an upstream. `gap` means that events were missed. */
  cacheChanged (upstream: UpstreamName, stored: readonly string[], evicted: readonly string[], gap: boolean): void
  /**
   * Chooses an upstream without dispatching the attempt. `spare` slots per upstream stay free unless the demand is
   * urgent.
   *
   * @returns undefined if no upstream has capacity
   */
  choose (demand: AttemptDemand, spare: number, now: Milliseconds): Placement | undefined
  /** Records that the attempt was dispatched to the chosen upstream. */
  sent (placement: Placement, demand: AttemptDemand, now: Milliseconds): void
  /** Records that the first token of the attempt has arrived. */
  firstToken (placement: Placement): void
  /** Records that the attempt has ended, with or without an answer. */
  released (placement: Placement, demand: AttemptDemand, firstTokenCame: boolean, now: Milliseconds): void
  /** Records the usage and the durations of an answer, measured from its dispatch. */
  answerObserved (placement: Placement, demand: AttemptDemand, usage: Usage, firstToken: Milliseconds, whole: Milliseconds, now: Milliseconds): void
  /** Records that the attempt failed, and whether its upstream died. */
  failed (placement: Placement, upstreamDied: boolean, now: Milliseconds): void
  /** Records that an attempt has waited too long for its first token. */
  stalled (upstream: UpstreamName, now: Milliseconds): void
  /** Records that an attempt ended without showing whether the upstream works. */
  withdrawn (upstream: UpstreamName): void
  /** Ends the preparation of an upstream for an isolated attempt, because no such attempt is waiting any more. */
  cancelIsolation (): void
  /** Records whether an answer met its target of the time between tokens. */
  tokenTimeObserved (inTarget: boolean, quantile: number): void
  /** Expected durations of an answer. Nine out of ten answers do not exceed them. */
  expect (demand: AttemptDemand): ExpectedAnswer
  /** Expected work of an attempt, in milliseconds of one upstream's full capacity. */
  work (demand: AttemptDemand): number
  /** Number of batch slots of one upstream. */
  slots (): number
  /** Number of upstreams that are not leaving. */
  size (): number
  /** Share of the service's requests that this node may send, 0 to 1. */
  share (): number
  /** Health of an upstream according to outlier detection. */
  health (upstream: UpstreamName, now: Milliseconds): HealthState
}
