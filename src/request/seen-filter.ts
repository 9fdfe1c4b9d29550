/**
 * Ids that were used once and whose records are forgotten, in fixed memory (a Bloom filter). It never
 * misses an id that was added; it may take a new id for a used one, which only costs that caller a
 * `may-have-run`.
 */
import { hashText } from './hash.js'

/** A set that only grows and never answers a wrong no. */
export interface SeenFilter {
  add (id: string): void
  has (id: string): boolean
  /** Share of new ids that would be taken for used ones, from 0 to 1. */
  falsePositives (): number
}

/** Size of a filter. */
export interface SeenFilterOptions {
  /** Memory in bits; rounded up to whole words. */
  readonly bits: number
  /** Bits set for one id. */
  readonly hashes: number
  /** Secret of the process, so that callers cannot aim at each other's ids. */
  readonly seed: number
}

const WORD_BITS = 32

/**
 * @example
 * const seen = createSeenFilter({ bits: 2 ** 24, hashes: 7, seed: random.integer(2 ** 30) })
 */
export function createSeenFilter (options: SeenFilterOptions): SeenFilter {
  const words = new Uint32Array(Math.ceil(options.bits / WORD_BITS))
  const size = words.length * WORD_BITS
  let set = 0

  /** Double hashing: two independent hashes stand for all. */
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
        set += 1
      }
    },
    has: (id) => positions(id).every(isSet),
    falsePositives: () => (set / size) ** options.hashes
  }
}
