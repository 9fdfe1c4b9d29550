/** What a caller does after a send has failed. Pure: the verdict decides, never the hope for the best. */
import type { Milliseconds } from '../clock.js'
import type { Random } from '../random.js'
import { isRetrySafe } from '../verdict.js'
import type { FailureCode, ServingError } from '../verdict.js'

/** A send that failed. */
export interface FailedSend {
  readonly failure: ServingError
  /** Whether the failure was told by the system, or the connection broke without a word. */
  readonly toldBySystem: boolean
  /** Whether any send of this id may have reached the system. */
  readonly maybeReceived: boolean
  /** The caller said that running twice is harmless. */
  readonly idempotent: boolean
  /** Connections that broke in a row without progress, this one included. */
  readonly brokenConnections: number
  /** New ids minted for this call so far. */
  readonly renewals: number
}

/** What follows. */
export type NextSend =
  | { kind: 'fail' }
  /** The same id again: the system gives what that id has, and runs nothing twice. */
  | { kind: 'same-id', delay: Milliseconds, avoidNode: boolean, askAddresses: boolean }
  /** A new id: the old one is proven not to have run, or running again is harmless. */
  | { kind: 'new-id', delay: Milliseconds, avoidNode: boolean }

/** Connections that may break in a row before the caller is told. */
const MOST_BROKEN = 8

/** New ids for one call: refusals are honoured, not fought. */
const MOST_RENEWALS = 3

const FIRST_PAUSE: Milliseconds = 50
const LONGEST_PAUSE: Milliseconds = 2_000

/** The node cannot take anything, others can: no reason to wait. */
const OTHER_NODE: ReadonlySet<FailureCode> = new Set(['stopping', 'no-configuration'])

/** The system may take the same request a little later. */
const LATER: ReadonlySet<FailureCode> = new Set(['overloaded', 'organisation-limit', 'no-upstream', 'platform-unavailable'])

/**
 * @example
 * decideNextSend(failed, random).kind // 'same-id' after a lost connection, also for a booking
 */
export function decideNextSend (failed: FailedSend, random: Random): NextSend {
  return failed.toldBySystem ? afterAnswer(failed, random) : afterBrokenConnection(failed, random)
}

/**
 * Failure guarded against: a connection breaks after a booking was sent, and nobody knows whether it
 * ran. Its id has a home that runs it at most once, so the same id may be sent again; first to the same
 * node on a new connection, since often only the connection is lost.
 */
function afterBrokenConnection (failed: FailedSend, random: Random): NextSend {
  if (failed.brokenConnections > MOST_BROKEN || failed.failure.code === 'cancelled') return { kind: 'fail' }
  const delay = pause(failed.brokenConnections, random)
  const refused = failed.failure.verdict === 'not-run'
  if (refused && !failed.maybeReceived) return { kind: 'new-id', delay, avoidNode: true }
  return { kind: 'same-id', delay, avoidNode: refused || failed.brokenConnections > 1, askAddresses: failed.brokenConnections > 1 }
}

function afterAnswer (failed: FailedSend, random: Random): NextSend {
  const { failure } = failed
  if (failure.code === 'moved') return { kind: 'same-id', delay: jittered(failure.retryAfter ?? 0, random), avoidNode: true, askAddresses: true }
  if (failed.renewals >= MOST_RENEWALS) return { kind: 'fail' }
  if (failure.verdict === 'not-run' && OTHER_NODE.has(failure.code)) return { kind: 'new-id', delay: pause(1, random), avoidNode: true }
  if (failure.verdict === 'not-run' && LATER.has(failure.code)) return { kind: 'new-id', delay: jittered(failure.retryAfter ?? LONGEST_PAUSE, random), avoidNode: false }
  // The id's home is gone. Only what may run twice is sent anew.
  if (failure.code === 'outcome-unknown' && isRetrySafe(failure.verdict, failed.idempotent)) return { kind: 'new-id', delay: pause(1, random), avoidNode: false }
  return { kind: 'fail' }
}

/** Never earlier than asked, and spread, so that all refused callers do not come back at once. */
function jittered (retryAfter: Milliseconds, random: Random): Milliseconds {
  return retryAfter * (1 + random.fraction() / 2)
}

function pause (broken: number, random: Random): Milliseconds {
  return random.fraction() * Math.min(LONGEST_PAUSE, FIRST_PAUSE * 2 ** (broken - 1))
}
