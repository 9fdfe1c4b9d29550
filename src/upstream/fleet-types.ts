/** Messages between the scheduler and the upstreams of one service. */
import type { Milliseconds } from '../clock.js'
import type { UpstreamName } from '../identifiers.js'
import type { ConcurrencyWindow } from './concurrency-window.js'
import type { ExpectedAnswer } from './estimate.js'
import type { UpstreamLoad } from './load.js'
import type { UpstreamHealth } from './outliers.js'
import type { PrefixIndex } from './prefix-index.js'
import type { LoadReport, UpstreamView, Usage } from './types.js'

/** What an attempt asks of an upstream. */
export interface Demand {
  readonly promptTokens: number
  /** Tokens that it is expected to generate. */
  readonly generatedTokens: number
  /** Hashes of the prompt's leading blocks, shortest first. */
  readonly blocks: readonly string[]
  readonly adapter: string | undefined
  readonly excluded: readonly UpstreamName[]
  /** Runs where nothing else of this node runs. */
  readonly apart: boolean
  /** Cannot wait for a place; others leave a few places free for it. */
  readonly urgent: boolean
  /** Time that the class allows for a whole answer. */
  readonly wholeTarget: Milliseconds
  /** May show whether an ejected upstream works again. */
  readonly probe: boolean
  /** Accepted: it may not be refused any more, so an upstream in probe is better than none. */
  readonly accepted: boolean
}

/** An upstream chosen for a demand, with what was expected of its cache. */
export interface Placement {
  readonly upstream: UpstreamName
  readonly expectedBlocks: number
  /** Prompt tokens expected to be computed. */
  readonly computedTokens: number
}

/** What one upstream is known by. */
export interface UpstreamState {
  view: UpstreamView
  readonly load: UpstreamLoad
  readonly prefixes: PrefixIndex
  readonly window: ConcurrencyWindow
  report: LoadReport | undefined
  /** Runs an attempt apart. */
  reserved: boolean
}

/** The upstreams of one service. */
export interface ServiceFleet {
  update (views: readonly UpstreamView[], now: Milliseconds): void
  /** Nodes that send to the same upstreams, this one included. */
  shared (nodes: number): void
  reported (report: LoadReport, now: Milliseconds): void
  cacheChanged (upstream: UpstreamName, stored: readonly string[], evicted: readonly string[], gap: boolean): void
  /** Chooses without sending. `spare` places per upstream stay free unless the demand is urgent. */
  choose (demand: Demand, spare: number, now: Milliseconds): Placement | undefined
  sent (placement: Placement, demand: Demand, now: Milliseconds): void
  firstToken (placement: Placement): void
  /** The attempt is over, whatever its end. */
  released (placement: Placement, demand: Demand, firstTokenCame: boolean, now: Milliseconds): void
  observed (placement: Placement, demand: Demand, usage: Usage, firstToken: Milliseconds, whole: Milliseconds, now: Milliseconds): void
  failed (placement: Placement, upstreamDied: boolean, now: Milliseconds): void
  struck (upstream: UpstreamName, now: Milliseconds): void
  withdrawn (upstream: UpstreamName): void
  /** No attempt waits any more to run apart. */
  stopEmptying (): void
  /** An answer met its target of the time between tokens, or not. */
  paced (inTarget: boolean, quantile: number): void
  /** Expected times, that nine in ten keep. */
  expect (demand: Demand): ExpectedAnswer
  /** Expected work in milliseconds of one whole upstream. */
  work (demand: Demand): number
  /** Places of one upstream. */
  slots (): number
  /** Live upstreams. */
  size (): number
  /** Share of the service's requests that are this node's. */
  share (): number
  health (upstream: UpstreamName, now: Milliseconds): UpstreamHealth
}
