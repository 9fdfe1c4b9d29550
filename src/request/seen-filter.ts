/**
 * Filter of ids that were used and whose records have been dropped, with a fixed size (a Bloom filter).
 *
 * An id that was added is always recognised. A new id may be mistaken for a used one. Its request is then answered
 * with `may-have-run` and not dispatched.
 */
import { hashText } from './hash.js'

/** A growing set of ids without false negatives. */
export interface SeenFilter {
  add (id: string): void
  has (id: string): boolean
  /** Probability that a new id is mistaken for one that was added, from 0 to 1. */
  falsePositiveRate (): number
}

/** Options of a filter. */
export interface SeenFilterOptions {
  /** Size in bits, rounded up to whole words. */
  readonly bits: number
  /** Number of bits set per id. */
  readonly hashes: number
  /** Secret of the process, so that callers cannot construct ids that collide with those of others. */
  readonly seed: number
}

const WORD_BITS = 32

/**
 * Creates an empty filter.
 *
 * @example
 * const seen = createSeenFilter({ bits: 2 ** 24, hashes: 7, seed: random.integer(2 ** 30) })
 */
export function createSeenFilter (options: SeenFilterOptions): SeenFilter {
  const words = new Uint32Array(Math.ceil(options.bits / WORD_BITS))
  const size = words.length * WORD_BITS
  let bitsSet = 0

  /** Positions of an id's bits, derived from two independent hashes (double hashing). */
  function positions (id: string): number[] {
    const first = hashText(id, options.seed)
    const step = (hashText(id, ~options.seed) | 1) >>> 0
    return Array.from({ length: options.hashes }, (_, index) => (first + index * step) % size)
  }

  const isSet = (position: number): boolean => (words[position >>> 5]! & (1 << (position & 31))) !== 0

  return {
    add: (id) => {
      for (const position of positions(id)) {
        if (isSet(position)) continue
        words[position >>> 5]! |= 1 << (position & 31)
        bitsSet += 1
      }
    },
    has: (id) => positions(id).every(isSet),
    falsePositiveRate: () => (bitsSet / size) ** options.hashes
  }
}
