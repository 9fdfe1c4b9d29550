/** How a try of a request at one upstream ended. */
import type { AttemptResult } from '../admission/index.js'
import type { AnswerEnd } from '../request/index.js'
import type { ServingError } from '../verdict.js'

/** How one attempt ended. */
export type AttemptEnd =
  | { kind: 'whole', end: Extract<AnswerEnd, { kind: 'finished' | 'plain' }>, result: AttemptResult }
  /** `upstreamDied`: new connections are refused or the upstream lost its streams. */
  | { kind: 'failed', failure: ServingError, upstreamDied: boolean }
  /** The upstream or this node is being left; the request goes on elsewhere from its tokens so far. */
  | { kind: 'recompute' }
