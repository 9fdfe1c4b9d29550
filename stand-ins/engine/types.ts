/** Types of an engine stand-in: its performance, its faults, its options and the state that tests read. */
import type { Clock, Milliseconds } from '../../src/clock.js'
import type { UpstreamName } from '../../src/identifiers.js'
import type { EngineOrder } from '../../src/protocols/engine.js'
import type { Random } from '../../src/random.js'
import type { FaultSwitch } from '../faults.js'
import type { StandInServer } from '../http-server.js'

/** Performance and capacity of an engine. */
export interface EngineShape {
  /** Prompt tokens prefilled per millisecond. */
  readonly prefillRate: number
  /** Time to decode one token if only one answer runs. */
  readonly tokenTime: Milliseconds
  /** Fraction of `tokenTime` that each further running answer adds to a step. */
  readonly batchCost: number
  /** Maximum number of answers in the batch. */
  readonly batch: number
  /** Capacity of the prefix cache in prompt tokens. */
  readonly cacheTokens: number
  /** Rate of the link to other engines, in cached tokens per millisecond. All exports share it. */
  readonly linkRate: number
  /** Minimum age of the figures in load reports. */
  readonly loadLag: Milliseconds
  /** Delay of the cache feed. */
  readonly cacheFeedDelay: Milliseconds
  /** Time to load a model or an adapter if `EngineOptions.loadWeights` is not given. */
  readonly loadTime: Milliseconds
}

/** Faults of an engine, in addition to those of its HTTP server. All are off at the start. */
export interface EngineFaults {
  /** Answers 503 with verdict `not-run` to new requests. */
  refuse: boolean
  /** Multiplies every duration. */
  slowdown: number
  /** Decoding of each answer stops permanently after this many of its tokens; connections stay open. */
  stallAfter: number | undefined
  /** The connection that began an answer sends nothing more after this many tokens; a connection that resumes the answer works. */
  silentAfter: number | undefined
  /** The connection that began an answer is reset after this many tokens; a connection that resumes the answer works. */
  resetAfter: number | undefined
  /** Every token is sent twice, the second time after its successor. */
  duplicates: boolean
  /** Two tokens that are available at the same time are sent in swapped order. */
  outOfOrder: boolean
  /** Events of another stream are mixed in, distinguishable only by their id. */
  foreignEvents: boolean
  /** Fraction of cache events that the feed drops. */
  cacheFeedGaps: number
  /** Exports fail before any transfer. */
  refuseExport: boolean
  /** The reply to an export is lost after the target has imported the stream. */
  loseExportReply: boolean
}

/** Token counts since the start. */
export interface EngineTokens {
  /** Prompt tokens of requests that are not continuations. */
  prompt: number
  /** Those of `prompt` that were found in the prefix cache. */
  cached: number
  /** Prompt and answer tokens recomputed to continue an answer that another engine began. */
  recomputed: number
  /** Answer tokens decoded. */
  generated: number
  /** Tokens whose cache was imported from another engine. */
  imported: number
}

/** Options of an engine stand-in. */
export interface EngineOptions {
  readonly port: number
  readonly upstream: UpstreamName
  readonly clock: Clock
  readonly random: Random
  readonly shape?: Partial<EngineShape>
  /** Whether orders with a stale fencing number are refused. Default true. */
  readonly checkFencing?: boolean
  /** Models loaded at the start. If undefined, the engine serves every model. */
  readonly models?: readonly string[]
  readonly adapters?: readonly string[]
  /** Loads weights. Default: sleeps for `loadTime`. */
  readonly loadWeights?: (name: string, signal: AbortSignal) => Promise<void>
}

/** A running engine stand-in. */
export interface EngineStandIn extends StandInServer {
  readonly upstream: UpstreamName
  readonly faultSwitch: FaultSwitch
  readonly faults: EngineFaults
  readonly tokens: Readonly<EngineTokens>
  /** Bodies of the requests started at this engine, including continuations. */
  readonly started: readonly string[]
  /** Number of requests started at this engine whose body contains the text. */
  countStarts (text: string): number
  /** Prompt tokens prefilled since the start, plus all recomputed tokens. */
  computed (): number
  /** Number of requests running or waiting. */
  open (): number
  /** Accepted orders, oldest first. */
  readonly orders: readonly EngineOrder[]
  /** Models loaded at present. */
  models (): readonly string[]
  setLeaving (leaving: boolean): void
  alive (): boolean
  /** The listener is called once when the process ends, by `kill` or by a request that crashes it. */
  onDeath (listener: () => void): void
}

/** A prompt that contains this text crashes every engine that has prefilled it. */
export const CRASH_MARK = '[[this request crashes the engine]]'
