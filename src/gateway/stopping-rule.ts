/** Decides which requests a stopping node still admits: those that are expected to finish before it is killed. */
import type { Milliseconds } from '../clock.js'
import { prefillTime } from '../placement/index.js'
import type { EngineSpeed } from '../placement/index.js'
import type { Route } from '../routing/index.js'
import type { RequestHead } from './ports.js'

/** Times that determine which requests a stopping node admits. */
export interface StopProgress {
  readonly now: Milliseconds
  /** Time at which the stop was requested. */
  readonly since: Milliseconds
  /** Time at which requests in progress are cut off. */
  readonly cutOff: Milliseconds
}

/**
 * Time after the stop request during which every request is admitted. Callers whose address list predates the stop
 * arrive within this time and must not be refused.
 */
const UNRESTRICTED_ADMISSION: Milliseconds = 2_500

/** Upper bound of the usual time per generated token: a decode step takes about 3 ms, lengthened by interleaved prefills. */
const TIME_PER_TOKEN: Milliseconds = 7

/**
 * Multiple of the prefill time that is allowed for a prompt, which may wait behind others for up to twice its own
 * prefill.
 */
const PREFILL_FACTOR = 3

/** Multiple of the target that is allowed for an answer that is not a stream. One in a hundred takes longer. */
const PLAIN_TARGET_FACTOR = 3

/**
 * Whether a stopping node admits a request.
 *
 * @param speed of the engines that would run the request
 * @example
 * mayAdmit({ now, since, cutOff }, route, head, speed) // false for a plan of 3 s, 2 s before the cut-off
 */
export function mayAdmit ({ now, since, cutOff }: StopProgress, route: Route, head: RequestHead, speed: EngineSpeed): boolean {
  if (now - since < UNRESTRICTED_ADMISSION) return true
  return now + expectedTime(route, head, speed) < cutOff
}

/**
 * Time that a request is expected to take, which is no bound.
 *
 * @example
 * expectedTime(route, head, speed) // 3_300 for a plan of 12,000 tokens of prompt and 380 generated ones
 */
export function expectedTime (route: Route, { tokens }: RequestHead, speed: EngineSpeed): Milliseconds {
  if (route.kind !== 'stream' || tokens === undefined) return route.target * PLAIN_TARGET_FACTOR
  return speed.base + prefillTime(tokens.prompt, 0, speed) * PREFILL_FACTOR + tokens.generated * TIME_PER_TOKEN
}
