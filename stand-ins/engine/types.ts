/** What an engine stand-in is made of, which faults it has, and what tests read from it. */
import type { Clock, Milliseconds } from '../../src/clock.js'
import type { UpstreamName } from '../../src/identifiers.js'
import type { EngineOrder } from '../../src/protocols/engine.js'
import type { Random } from '../../src/random.js'
import type { FaultSwitch } from '../faults.js'
import type { StandInServer } from '../http-server.js'

/** How fast and how large an engine is. */
export interface EngineShape {
  /** Prompt tokens computed per millisecond. */
  readonly prefillRate: number
  /** Time for one token of a single running answer. */
  readonly tokenTime: Milliseconds
  /** Share of `tokenTime` that each further running answer adds to a step. */
  readonly batchCost: number
  /** Answers decoded at a time. */
  readonly batch: number
  /** Prompt tokens that the prefix cache holds. */
  readonly cacheTokens: number
  /** Tokens of cache that the link to other engines carries per millisecond, shared by all exports. */
  readonly linkRate: number
  /** Age of load reports. */
  readonly loadLag: Milliseconds
  /** Delay of the cache feed. */
  readonly cacheFeedDelay: Milliseconds
  /** Time to load a model or an adapter when no weight store is given. */
  readonly loadTime: Milliseconds
}

/** Faults of an engine beside those of its network face. All are off at the start. */
export interface EngineFaults {
  /** Answers 503 with verdict `not-run` to new requests. */
  refuse: boolean
  /** Multiplies every duration. */
  slowdown: number
  /** Decoding of each answer stops for good after this many of its tokens; connections stay open. */
  stallAfter: number | undefined
  /** The connection that began an answer goes silent after this many tokens; a resumed one works. */
  silentAfter: number | undefined
  /** The connection that began an answer is reset after this many tokens; a resumed one works. */
  resetAfter: number | undefined
  /** Every token is sent twice, the second time after its successor. */
  duplicates: boolean
  /** Every second pair of tokens is sent in the wrong order. */
  outOfOrder: boolean
  /** Events of another stream are mixed in; only their id tells. */
  foreignEvents: boolean
  /** Share of cache events that are never told. */
  cacheFeedGaps: number
  /** Exports fail before anything has been moved. */
  refuseExport: boolean
  /** Exports fail after the target has the stream: the reply is lost. */
  loseExportReply: boolean
}

/** Tokens by what was done for them. */
export interface EngineTokens {
  /** Prompt tokens of first sends. */
  prompt: number
  /** Of these, found in the prefix cache. */
  cached: number
  /** Prompt and answer tokens computed again to continue what another engine began. */
  recomputed: number
  /** Tokens of answers. */
  generated: number
  /** Tokens received with an import, hence not computed here. */
  imported: number
}

/** How an engine is started. */
export interface EngineOptions {
  readonly port: number
  readonly upstream: UpstreamName
  readonly clock: Clock
  readonly random: Random
  readonly shape?: Partial<EngineShape>
  /** Whether orders with an older fencing number are refused. Default true. */
  readonly checkFencing?: boolean
  /** Models loaded at the start. Without it every model is served. */
  readonly models?: readonly string[]
  readonly adapters?: readonly string[]
  /** Fetches weights; default is a sleep of `loadTime`. */
  readonly loadWeights?: (name: string, signal: AbortSignal) => Promise<void>
}

/** A running engine. */
export interface EngineStandIn extends StandInServer {
  readonly upstream: UpstreamName
  readonly faultSwitch: FaultSwitch
  readonly faults: EngineFaults
  readonly tokens: Readonly<EngineTokens>
  /** Bodies of the requests begun here, continuations included. */
  readonly started: readonly string[]
  /** How many requests begun here have this text in their body. */
  startsOf (text: string): number
  /** Prompt tokens computed since the start, those computed again included. */
  computed (): number
  /** Requests running or waiting now. */
  open (): number
  /** Orders obeyed, oldest first. */
  readonly orders: readonly EngineOrder[]
  /** Models that are loaded now. */
  models (): readonly string[]
  setLeaving (leaving: boolean): void
  alive (): boolean
  /** Called once when the process dies, by `kill` or by a request that kills it. */
  onDeath (listener: () => void): void
}

/** Text in a prompt that kills the process of every engine that has computed it. */
export const CRASH_MARK = '[[this request crashes the engine]]'
