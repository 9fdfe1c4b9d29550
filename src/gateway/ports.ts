/**
 * Interfaces between a gateway node and the platform it runs on. Adapters implement them, so that the node depends on no
 * header, field or path of a platform.
 */
import type { UpstreamSignals } from '../backpressure/index.js'
import type { Milliseconds } from '../clock.js'
import type { KeyValue } from '../protocols/key-value.js'
import type { PromptPart, UpstreamRecord } from '../placement/index.js'
import type { RolloutOrder, RolloutStatus } from '../rollout/index.js'
import type { RoutingConfiguration } from '../routing/index.js'
import type { UsageCounts } from '../usage/index.js'

/** Header names in lower case with their values, in the form of node:http and undici. */
export type Headers = Readonly<Record<string, string | string[] | undefined>>

/** Contents of the headers of a caller's request. */
export interface RequestHead {
  /** Id of the caller's attempt; undefined if it is missing or malformed. */
  readonly id: string | undefined
  /** Time that the caller waits for the answer. */
  readonly deadline: Milliseconds | undefined
  readonly key: string | undefined
  /** Number of prompt tokens, and maximum number of generated tokens. */
  readonly tokens: { readonly prompt: number, readonly generated: number } | undefined
  /** Leading parts of the prompt, by which upstreams with a cached prefix are found. */
  readonly parts: readonly PromptPart[]
  /** Ids of the parts of the prompt that other requests may share: all but the last one, also of a list that is malformed elsewhere. */
  readonly sharedParts: readonly string[]
  /** Id of the event after which the caller resumes a stream. */
  readonly lastEvent: string | undefined
  /** Id of the caller's attempt that brought the first event of the stream that is resumed. */
  readonly resumes: string | undefined
}

/** Values that the node adds to a request for one upstream. */
export interface AttemptHead {
  /** Remaining time of the request. */
  readonly deadline: Milliseconds
  /** Id of the incarnation of the upstream, the only one that may run the request. */
  readonly upstream: string
  readonly organisation: string | undefined
  /** 0 is the most urgent. */
  readonly urgency: number | undefined
  /** Id of the event after which the stream continues. */
  readonly lastEvent: string | undefined
  /** Reference to the copy of the run's memory from which the run continues. */
  readonly memory: string | undefined
}

/** Contents of the headers of an upstream's answer. */
export interface AnswerHead {
  /** Id of the request that the answer belongs to. */
  readonly id: string | undefined
  /** The upstream states that it has not run the request and will not run it. */
  readonly notRun: boolean
  /** Id of the upstream's incarnation, if the answer names it. */
  readonly upstream: string | undefined
  /** Signals of the upstream to its callers. */
  readonly signals: UpstreamSignals
}

/** Reads and writes the headers of requests and answers in the form of the platform. */
export interface RequestFormat {
  readRequest (headers: Headers): RequestHead
  /** Headers for an upstream as a flat list of names and values: the caller's without hop-by-hop headers and without those that only the system sets. */
  upstreamHeaders (raw: readonly string[], attempt: AttemptHead): string[]
  readAnswer (headers: Headers, status: number): AnswerHead
  /** An upstream's headers for the caller as a flat list, without hop-by-hop headers and the length of the body. */
  answerHeaders (headers: Headers): string[]
  /** Headers of an answer that the system itself gives to a request with this id. */
  ownHeaders (id: string | undefined): string[]
}

/** Result of parsing an upstream record of the registry. */
export type UpstreamParseResult =
  | { readonly kind: 'usable', readonly record: UpstreamRecord }
  /** The record names no upstream that may be used. */
  | { readonly kind: 'unusable', readonly reason: string }

/** Reads and writes roll-out orders and the system's statuses in answer to them. */
export interface RolloutRegistry {
  /** @returns undefined if the key names no order; an error if the value cannot be parsed */
  readOrder (key: string, value: string, revision: number): RolloutOrder | Error | undefined
  /** Key prefix of the statuses, which only the system writes. */
  readonly statusPrefix: string
  statusKey (service: string): string
  /** @returns undefined if the value cannot be parsed */
  readStatus (service: string, value: string): RolloutStatus | undefined
  writeStatus (status: RolloutStatus): string
}

/** Keys of the store that nodes follow, and the parsing of their values. */
export interface Registry {
  /** Key prefix of everything that the operator writes. */
  readonly operatorPrefix: string
  readonly configurationKey: string
  /** @throws if the value cannot be parsed or is no valid configuration */
  readConfiguration (value: string): RoutingConfiguration
  readonly rollouts: RolloutRegistry
  readonly upstreamPrefix: string
  /** @param id the key without the prefix */
  readUpstream (id: string, value: string): UpstreamParseResult
}

/** Proof that the caller holds the duties, sent with each call. */
export interface DutyProof {
  readonly holder: string
  readonly fencing: number
}

/** Outcome of a call made under the duties. */
export type DutyOutcome =
  | 'accepted'
  /** The platform has seen a higher fencing number, so another node holds the duties. */
  | 'superseded'
  /** The ordered capacity is not available now. */
  | 'unavailable'
  /** Nothing was done. The call may be repeated later. */
  | 'refused'

/** An order for the number of upstreams of one kind in one failure domain. */
export interface ScalingOrder {
  readonly service: string
  readonly failureDomain: string
  readonly reclaimable: boolean
  readonly desired: number
}

/** Calls to the platform that only the holder of the duties makes. They reject with a ServingError if there is no answer. */
export interface DutyCalls {
  reportUsage (proof: DutyProof, window: number, counts: UsageCounts, signal: AbortSignal): Promise<DutyOutcome>
  order (proof: DutyProof, order: ScalingOrder, signal: AbortSignal): Promise<DutyOutcome>
}

/** Answer of an engine to the order to move a run. */
export type MoveOutcome =
  /** The run has stopped and its memory is copied. The target continues the run when it gets the request with this reference. */
  | { readonly kind: 'moved', readonly reference: string }
  /** The run has ended, or has not generated anything yet. */
  | { readonly kind: 'no-run' }
  /** The run has stopped, and its memory has not been copied. */
  | { readonly kind: 'refused', readonly reason: string }

/** Calls to model engines other than callers' requests. They reject with a ServingError if there is no answer. */
export interface EngineCalls {
  /** Stops the run of a request and copies its memory to another engine. */
  move (source: UpstreamRecord, request: string, target: UpstreamRecord, signal: AbortSignal): Promise<MoveOutcome>
}

/** HTTP paths at which a node answers the platform and its callers. */
export interface NodePaths {
  readonly ready: string
  readonly directory: string
  /** Maximum number of addresses in one answer that a caller uses. */
  readonly maxAddresses: number
  /** Parses the query of a request for addresses. */
  readAddressQuery (query: Readonly<Record<string, string | string[] | undefined>>): { readonly failureDomain: string | undefined }
  /** Body of an answer with addresses that callers may use for `lifetime`. */
  writeAddresses (addresses: readonly string[], lifetime: Milliseconds): unknown
}

/** Everything that a gateway node uses of its platform. */
export interface Platform {
  readonly format: RequestFormat
  readonly registry: Registry
  readonly paths: NodePaths
  readonly engines: EngineCalls
  readonly store: KeyValue
  /** Undefined if the deployment has neither usage reports nor orders. */
  readonly duties: DutyCalls | undefined
}
