/** What an upstream's answers say of the upstream itself. */
import type { Milliseconds } from '../clock.js'

/** What the head of one answer asks of those who send to the upstream. */
export interface UpstreamSignals {
  /** It is leaving and wants nothing new. */
  readonly leaving: boolean
  /** Requests a second that it takes from all nodes together; undefined where the answer names no limit. */
  readonly rateLimit: number | undefined
  /** It has turned this request away and wants nothing more from this node for so long. */
  readonly retryAfter: Milliseconds | undefined
}
