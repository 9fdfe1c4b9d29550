/**
 * Decides how much of an answer the node holds before it passes the answer on.
 *
 * An answer that is held whole can be replaced by that of another upstream if it breaks off. One that is passed on as it comes needs no
 * memory, and its upstream waits for its caller.
 *
 * Load pattern: upstreams whose answers don't end, or many long answers at a time. All that is held comes out of one capacity. An answer
 * may take a quarter of what the others leave, so that each further one finds room, and short ones always do.
 */

/** Memory for the answers that a node holds. */
export interface HeldAnswers {
  /** Begins to hold an answer. */
  open (): HeldAnswer
  /** Bytes that are held now. */
  bytes (): number
}

/**
 * Whether bytes are held.
 *
 * - `held`: they are
 * - `full`: the other answers leave no room for them
 * - `too-long`: the answer is longer than any that is held
 */
export type Room = 'held' | 'full' | 'too-long'

/** What is held of one answer. */
export interface HeldAnswer {
  /** Takes so many bytes more, if they may be held. */
  take (bytes: number): Room
  /** The caller has received the answer, or nobody needs it any more. */
  release (): void
}

/** Largest part of an answer that is held, in bytes. */
const MAX_HELD_BYTES = 16_777_216

/** Part of an answer, in bytes, that is held whatever the others take. */
const MIN_HELD_BYTES = 65_536

/** Part of what the other answers leave of the capacity that one may take. */
const SHARE_OF_REST = 1 / 4

/**
 * Creates the memory, nothing held.
 *
 * @param capacity bytes for all answers together, but for the smallest part of each
 * @example
 * const held = createHeldAnswers(64_000_000).open()
 * if (held.take(chunk.length) !== 'held') passOn(chunk)
 */
export function createHeldAnswers (capacity: number): HeldAnswers {
  let total = 0
  return {
    open: () => {
      let own = 0
      return {
        take: (bytes) => {
          const wanted = own + bytes
          if (wanted > MAX_HELD_BYTES) return 'too-long'
          const available = (capacity - total + own) * SHARE_OF_REST
          if (wanted > Math.max(MIN_HELD_BYTES, available)) return 'full'
          own = wanted
          total += bytes
          return 'held'
        },
        release: () => {
          total -= own
          own = 0
        }
      }
    },
    bytes: () => total
  }
}
