/** Signals about an upstream's state that are carried in the headers of its answers. */
import type { Milliseconds } from '../clock.js'

/** Backpressure signals in the headers of one answer. */
export interface UpstreamSignals {
  /** Whether the upstream is shutting down and accepts no new requests. */
  readonly leaving: boolean
  /** Requests per second that the upstream accepts from all nodes together. Undefined if the answer names no limit. */
  readonly rateLimit: number | undefined
  /**
   * Number of requests per second beyond which the upstream falls over if it must refuse them. Undefined if it is not brittle.
   */
  readonly maxRefusals: number | undefined
  /**
   * Time in milliseconds for which this node must send no further requests, given when the upstream refused this
   * request.
   */
  readonly retryAfter: Milliseconds | undefined
}
