/** Prefix cache of an engine stand-in: hash chains of prompt blocks, the least recently used go first. */
import { BLOCK_CHARACTERS } from '../../src/protocols/prompt.js'

/** One change, for the engine's cache feed. */
export interface CacheChange {
  readonly kind: 'stored' | 'evicted'
  /** Hashes of blocks, longest prefix last. */
  readonly blocks: readonly string[]
}

/** Blocks that are cached now. */
export interface PrefixCache {
  /** Tokens of the longest cached prefix. */
  cachedTokens (blocks: readonly string[]): number
  /** Stores a prompt's blocks, or marks them as used. */
  store (blocks: readonly string[]): void
  /** Share of memory in use. */
  used (): number
}

/** Tokens of a block, at four characters each. */
const BLOCK_TOKENS = BLOCK_CHARACTERS / 4

/**
 * @param capacity tokens that fit
 * @param onChange called for each store and each eviction
 * @example
 * const cache = createPrefixCache(65_536, (change) => feed.push(change))
 */
export function createPrefixCache (capacity: number, onChange: (change: CacheChange) => void): PrefixCache {
  /** Least recently used first. */
  const cached = new Set<string>()
  const most = Math.floor(capacity / BLOCK_TOKENS)

  function evict (): string[] {
    const evicted: string[] = []
    for (const block of cached) {
      if (cached.size <= most) break
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
      const fresh = blocks.filter((block) => !cached.has(block))
      // The longest prefix is touched first, so that the shortest, which most prompts share, goes last.
      for (const block of blocks.toReversed()) {
        cached.delete(block)
        cached.add(block)
      }
      if (fresh.length > 0) onChange({ kind: 'stored', blocks: fresh })
      const evicted = evict()
      if (evicted.length > 0) onChange({ kind: 'evicted', blocks: evicted })
    },
    used: () => most === 0 ? 1 : cached.size / most
  }
}
