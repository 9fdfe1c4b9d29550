/**
 * What a gateway node needs of the platform it runs on. Adapters implement these; the node knows no
 * header, field or path of any platform.
 */
import type { UpstreamSignals } from '../backpressure/index.js'
import type { Milliseconds } from '../clock.js'
import type { KeyValue } from '../protocols/key-value.js'
import type { PromptPart, UpstreamRecord } from '../placement/index.js'
import type { RolloutOrder, RolloutStatus } from '../rollout/index.js'
import type { RoutingConfiguration } from '../routing/index.js'
import type { UsageCounts } from '../usage/index.js'

/** Header names in lower case with their values, as node:http and undici give them. */
export type Headers = Readonly<Record<string, string | string[] | undefined>>

/** What the headers of a caller's request say. */
export interface RequestHead {
  /** Id of the caller's attempt; undefined when it is missing or malformed. */
  readonly id: string | undefined
  /** How long the caller waits. */
  readonly deadline: Milliseconds | undefined
  readonly key: string | undefined
  /** Prompt tokens and most generated ones. */
  readonly tokens: { readonly prompt: number, readonly generated: number } | undefined
  readonly parts: readonly PromptPart[]
  /** The caller resumes a stream after this event. */
  readonly lastEvent: string | undefined
}

/** What the node adds to a request for one upstream. */
export interface AttemptHead {
  readonly deadline: Milliseconds
  /** The one life of an upstream that may run the request. */
  readonly upstream: string
  readonly organisation: string | undefined
  /** 0 is the most urgent. */
  readonly urgency: number | undefined
  /** Goes on after this event. */
  readonly lastEvent: string | undefined
  /** Goes on from this copy of its memory. */
  readonly memory: string | undefined
}

/** What the headers of an upstream's answer say. */
export interface AnswerHead {
  /** Id of the request that the answer belongs to. */
  readonly id: string | undefined
  /** The upstream states that it has not run the request and won't. */
  readonly notRun: boolean
  /** Id of the upstream's life, where it is told. */
  readonly upstream: string | undefined
  /** What the upstream asks of its callers. */
  readonly signals: UpstreamSignals
}

/** How requests and answers are written on this platform. */
export interface RequestFormat {
  readRequest (headers: Headers): RequestHead
  /** Headers for an upstream as a flat list of names and values: the caller's, less those of one connection and those that only the system sets. */
  upstreamHeaders (raw: readonly string[], attempt: AttemptHead): string[]
  readAnswer (headers: Headers, status: number): AnswerHead
  /** An upstream's headers for the caller as a flat list, less those of one connection and the body's length. */
  answerHeaders (headers: Headers): string[]
  /** Headers of an answer of the system's own to a request with this id. */
  ownHeaders (id: string | undefined): string[]
}

/** What a record of the registry says. */
export type UpstreamReading =
  | { readonly kind: 'usable', readonly record: UpstreamRecord }
  /** It names no upstream to use. */
  | { readonly kind: 'unusable', readonly reason: string }

/** Orders to roll a version out, and the system's answers to them. */
export interface RolloutRegistry {
  /** @returns undefined where the key names no order; an error where what stands there can't be read */
  readOrder (key: string, value: string, revision: number): RolloutOrder | Error | undefined
  /** The answers, which only the system writes. */
  readonly statusPrefix: string
  statusKey (service: string): string
  /** @returns undefined where it can't be read */
  readStatus (service: string, value: string): RolloutStatus | undefined
  writeStatus (status: RolloutStatus): string
}

/** Where the platform keeps what nodes follow, and how it reads. */
export interface Registry {
  /** What the operator writes. */
  readonly operatorPrefix: string
  readonly configurationKey: string
  readConfiguration (value: string): RoutingConfiguration
  readonly rollouts: RolloutRegistry
  readonly upstreamPrefix: string
  /** @param id the key without the prefix */
  readUpstream (id: string, value: string): UpstreamReading
}

/** Proof of a duty that goes with each call. */
export interface DutyProof {
  readonly holder: string
  readonly fencing: number
}

/** Outcome of a duty's call. */
export type DutyOutcome =
  | 'accepted'
  /** A higher fencing number was seen: another node holds the duty. */
  | 'superseded'
  /** What was ordered isn't to be had now. */
  | 'unavailable'
  /** Nothing was done; try again later. */
  | 'refused'

/** An order for the number of upstreams of one kind in one failure domain. */
export interface ScalingOrder {
  readonly service: string
  readonly failureDomain: string
  readonly reclaimable: boolean
  readonly desired: number
}

/** Calls that one node at a time makes. They reject with a ServingError when there is no answer. */
export interface DutyCalls {
  reportUsage (proof: DutyProof, window: number, counts: UsageCounts, signal: AbortSignal): Promise<DutyOutcome>
  order (proof: DutyProof, order: ScalingOrder, signal: AbortSignal): Promise<DutyOutcome>
}

/** Answer to the order to move a run. */
export type MoveOutcome =
  /** It has stopped, and goes on where its memory was copied to when it is sent there with this reference. */
  | { readonly kind: 'moved', readonly reference: string }
  /** It has ended, or hasn't generated anything yet. */
  | { readonly kind: 'no-run' }
  | { readonly kind: 'refused', readonly reason: string }

/** Calls to model engines beside callers' requests. They reject with a ServingError when there is no answer. */
export interface EngineCalls {
  /** Stops the run of a request and copies its memory to another engine. */
  move (source: UpstreamRecord, request: string, target: UpstreamRecord, signal: AbortSignal): Promise<MoveOutcome>
}

/** The paths that the platform asks a node at. */
export interface NodePaths {
  readonly ready: string
  readonly directory: string
  /** Addresses that a caller takes from one answer. */
  readonly mostAddresses: number
  /** Reads a question for addresses. */
  readQuestion (query: Readonly<Record<string, string | string[] | undefined>>): { readonly failureDomain: string | undefined }
  writeAddresses (addresses: readonly string[], lifetime: Milliseconds): unknown
}

/** A platform as a gateway node sees it. */
export interface Platform {
  readonly format: RequestFormat
  readonly registry: Registry
  readonly paths: NodePaths
  readonly engines: EngineCalls
  readonly store: KeyValue
  readonly duties: DutyCalls | undefined
}
