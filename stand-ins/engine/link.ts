/** The link between engine stand-ins: exports share its rate in small pieces, turn by turn. */
import type { Clock } from '../../src/clock.js'

/** An engine's outgoing link. */
export interface Link {
  /** Resolves when so many tokens of cache have passed. */
  transfer (tokens: number, signal: AbortSignal): Promise<void>
}

/** Tokens that pass before the next export has its turn. */
const PIECE = 256

/**
 * @param rate tokens per millisecond
 * @example
 * const link = createLink(clock, 40)
 * await link.transfer(4_000, signal) // 100 ms when nobody else uses it
 */
export function createLink (clock: Clock, rate: number): Link {
  let turn: Promise<void> = Promise.resolve()

  function piece (tokens: number, signal: AbortSignal): Promise<void> {
    const pass = turn.then(() => clock.sleep(tokens / rate, signal))
    turn = pass.catch(() => {})
    return pass
  }

  return {
    transfer: async (tokens, signal) => {
      for (let left = tokens; left > 0; left -= PIECE) await piece(Math.min(left, PIECE), signal)
    }
  }
}
