/** Outgoing network link of an engine stand-in. Concurrent exports share its rate by alternating in chunks. */
import type { Clock } from '../../src/clock.js'

/** A link with a fixed rate. */
export interface Link {
  /** Resolves when the cache of this many tokens has been transferred. */
  transfer (tokens: number, signal: AbortSignal): Promise<void>
}

/** Tokens of one export that are transferred before the link serves the next export. */
const CHUNK_TOKENS = 256

/**
 * Creates an idle link.
 *
 * @param rate tokens per millisecond
 * @example
 * const link = createLink(clock, 40)
 * await link.transfer(4_000, signal) // 100 ms if there is no other transfer
 */
export function createLink (clock: Clock, rate: number): Link {
  let previous: Promise<void> = Promise.resolve()

  function transferChunk (tokens: number, signal: AbortSignal): Promise<void> {
    const transferred = previous.then(() => clock.sleep(tokens / rate, signal))
    previous = transferred.catch(() => {})
    return transferred
  }

  return {
    transfer: async (tokens, signal) => {
      for (let remaining = tokens; remaining > 0; remaining -= CHUNK_TOKENS) await transferChunk(Math.min(remaining, CHUNK_TOKENS), signal)
    }
  }
}
