/** Which requests a stopping node still begins: those that can end before it is killed. */
import type { Milliseconds } from '../clock.js'
import { readingTime } from '../placement/index.js'
import type { EngineSpeed } from '../placement/index.js'
import type { Route } from '../routing/index.js'
import type { RequestHead } from './ports.js'

/** What decides. */
export interface StopSituation {
  readonly now: Milliseconds
  /** Time of the request to stop. */
  readonly since: Milliseconds
  /** Time at which what still runs is cut off. */
  readonly cutOff: Milliseconds
}

/** Callers that hold the address from an answer just before the stop come within this time; nobody may be turned away before. */
const SERVED_FREELY: Milliseconds = 2_500

/** Longest usual time of a token: a step of some 3 ms, stretched by the prompts that are read in between. */
const PER_TOKEN: Milliseconds = 7

/** A prompt waits behind others for up to twice its own reading. */
const READING_FACTOR = 3

/** Usual time of an answer that isn't a stream, as a part of its target: what takes longer is one in a hundred. */
const PLAIN_FACTOR = 3

/**
 * @param speed of the engines that would run it
 * @example
 * mayBegin({ now, since, cutOff }, route, head, speed) // false: a plan of three seconds, two before the kill
 */
export function mayBegin ({ now, since, cutOff }: StopSituation, route: Route, head: RequestHead, speed: EngineSpeed): boolean {
  if (now - since < SERVED_FREELY) return true
  return now + expectedTime(route, head, speed) < cutOff
}

function expectedTime (route: Route, { tokens }: RequestHead, speed: EngineSpeed): Milliseconds {
  if (route.kind !== 'stream' || tokens === undefined) return route.target * PLAIN_FACTOR
  return speed.base + readingTime(tokens.prompt, 0, speed) * READING_FACTOR + tokens.generated * PER_TOKEN
}
