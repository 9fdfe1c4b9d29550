/** End of one attempt of a request at an upstream. */
import type { AttemptResult } from '../admission/index.js'
import type { AnswerEnd } from '../request/index.js'
import type { ServingError } from '../verdict.js'

/** How an attempt ended. `whole` means that the answer is complete. */
export type AttemptEnd =
  | { kind: 'whole', end: Extract<AnswerEnd, { kind: 'finished' | 'plain' }>, result: AttemptResult }
  /** `upstreamDied`: the upstream refuses new connections or has lost its streams. */
  | { kind: 'failed', failure: ServingError, upstreamDied: boolean }
  /** The stream was left because its upstream or this node is leaving. The request continues after its last token. */
  | { kind: 'recompute' }
