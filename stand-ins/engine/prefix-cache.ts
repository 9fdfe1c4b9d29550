/** Prefix cache of an engine stand-in: hash chains of prompt blocks with least-recently-used eviction. */
import { BLOCK_CHARACTERS } from '../../src/protocols/prompt.js'

/** A change of the cache, for the engine's cache feed. */
export interface CacheChange {
  readonly kind: 'stored' | 'evicted'
  /** Block hashes. Of stored blocks the longest prefix is last. */
  readonly blocks: readonly string[]
}

/** The cached blocks. */
export interface PrefixCache {
  /** Tokens of the longest cached prefix. */
  cachedTokens (blocks: readonly string[]): number
  /** Stores a prompt's blocks, or marks them as used. */
  store (blocks: readonly string[]): void
  /** Fraction of the capacity in use. */
  used (): number
}

/** Tokens in a block, at four characters per token. */
const BLOCK_TOKENS = BLOCK_CHARACTERS / 4

/**
 * Creates an empty cache.
 *
 * @param capacity maximum number of cached tokens
 * @param onChange called for each store and each eviction
 * @example
 * const cache = createPrefixCache(65_536, (change) => feed.push(change))
 */
export function createPrefixCache (capacity: number, onChange: (change: CacheChange) => void): PrefixCache {
  /** Least recently used first. */
  const cached = new Set<string>()
  const maxBlocks = Math.floor(capacity / BLOCK_TOKENS)

  function evict (): string[] {
    const evicted: string[] = []
    for (const block of cached) {
      if (cached.size <= maxBlocks) break
      cached.delete(block)
      evicted.push(block)
    }
    return evicted
  }

  return {
    cachedTokens: (blocks) => {
      const missing = blocks.findIndex((block) => !cached.has(block))
      return (missing < 0 ? blocks.length : missing) * BLOCK_TOKENS
    },
    store: (blocks) => {
      const newBlocks = blocks.filter((block) => !cached.has(block))
      // Marks the longest prefix as used first, so that the shortest, which most prompts share, is evicted last.
      for (const block of blocks.toReversed()) {
        cached.delete(block)
        cached.add(block)
      }
      if (newBlocks.length > 0) onChange({ kind: 'stored', blocks: newBlocks })
      const evicted = evict()
      if (evicted.length > 0) onChange({ kind: 'evicted', blocks: evicted })
    },
    used: () => maxBlocks === 0 ? 1 : cached.size / maxBlocks
  }
}
