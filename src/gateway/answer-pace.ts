/**
 * Bounds the rate at which a node passes on very long answers, all of them together.
 *
 * Failure guarded against: upstreams send answers without end, and relaying them takes the processor time of all other requests.
 */
import type { Clock, Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'

/** Pace of one answer. */
export interface AnswerPace {
  /**
   * Counts what has been passed on.
   *
   * @param pieces number of parts that were handled one by one, such as events
   * @returns promise that resolves when the next bytes may be read; undefined if that is now
   */
  passed (bytes: number, pieces: number, signal: AbortSignal): Promise<void> | undefined
}

/** Bytes of an answer that are passed on as fast as they come. */
const FREE_BYTES = 16_777_216

/** Rate of the bytes beyond that, in bytes a second. */
const RATE = 8_388_608

/** Smallest size that is counted for a piece, in bytes, since each costs time of its own. */
const MIN_PIECE_BYTES = 256

/**
 * Creates the pace of a node.
 *
 * @returns function that begins an answer
 * @example
 * const beginAnswer = createAnswerPace(clock)
 * const pace = beginAnswer()
 * await pace.passed(chunk.length, 1, signal)
 */
export function createAnswerPace (clock: Pick<Clock, 'now' | 'sleep'>): () => AnswerPace {
  /** Time at which the bytes that have been passed on beyond the free ones are paid for. */
  let paidAt: Milliseconds = 0
  return () => {
    let passed = 0
    return {
      passed: (bytes, pieces, signal) => {
        const counted = Math.max(bytes, pieces * MIN_PIECE_BYTES)
        passed += counted
        if (passed <= FREE_BYTES) return undefined
        const now = clock.now()
        paidAt = Math.max(paidAt, now) + counted / RATE * SECOND
        // A signal that aborts ends the wait, and the exchange with it.
        return clock.sleep(paidAt - now, signal).catch(() => {})
      }
    }
  }
}
