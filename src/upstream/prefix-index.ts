/**
 * Expected content of an upstream's prompt cache. There are three sources: the dispatches of this node, the cache
 * events that engines publish late and with gaps, and the number of cached tokens that answers report. The reported
 * numbers are authoritative and correct the other two.
 */

/** Expected cache content of one upstream, in bounded memory. */
export interface PrefixIndex {
  /**
   * Number of leading blocks of a prompt that are expected to be cached.
   *
   * @param hint number that is tried first, since most upstreams have cached the same short prefix of a prompt
   */
  expected (blocks: readonly string[], hint?: number): number
  /** Records that a prompt was dispatched. Its blocks are expected to be cached from now on. */
  sent (blocks: readonly string[]): void
  /** Records cache events. `gap` means that events were missed. */
  changed (stored: readonly string[], evicted: readonly string[], gap: boolean): void
  /** Records how many of the blocks that were expected at the dispatch were cached according to the answer. */
  answered (expectedBlocks: number, cachedBlocks: number): void
  /** Smoothed share of expected hits that were confirmed by answers, 0 to 1. */
  confidence (): number
  /** Maximum number of blocks that the cache is estimated to hold. */
  capacity (): number
}

/** Maximum number of blocks tracked for one upstream. */
export const MAX_BLOCKS = 2_048

/** Minimum number of blocks tracked for one upstream. */
const MIN_BLOCKS = 64

/** Weight of one answer in the confidence. */
const CONFIDENCE_STEP = 0.1

/** The confidence never falls below this value, because hits can only be observed where they are attempted. */
const MIN_CONFIDENCE = 0.2

/** Factor applied to the confidence after a gap in the events, because evictions may have been missed. */
const GAP_CONFIDENCE_FACTOR = 0.8

/**
 * Factor applied to the capacity when an expected hit was not confirmed. The cache is smaller, or used by more nodes,
 * than estimated.
 */
const MISS_CAPACITY_FACTOR = 0.97

/** Factor applied to the capacity when an expected hit was confirmed. */
const HIT_CAPACITY_FACTOR = 1.005

/**
 * Creates an index without blocks.
 *
 * The engine's memory is unknown and other nodes fill it too. The number of tracked blocks therefore follows the
 * hits: it shrinks with each hit that is not confirmed and grows slowly with confirmed hits.
 *
 * @example
 * const index = createPrefixIndex()
 * index.sent(['a', 'b'])
 * index.expected(['a', 'b', 'c']) // 2
 */
export function createPrefixIndex (): PrefixIndex {
  /** Insertion order is the order of last use, least recently used first. */
  const cachedBlocks = new Set<string>()
  let capacity = MAX_BLOCKS
  let confidence = 1

  function markUsed (block: string): void {
    cachedBlocks.delete(block)
    cachedBlocks.add(block)
  }

  function evictOldest (): void {
    for (const block of cachedBlocks) {
      if (cachedBlocks.size <= capacity) return
      cachedBlocks.delete(block)
    }
  }

  return {
    expected: (blocks, hint = 0) => isLongestCachedPrefix(cachedBlocks, blocks, hint) ? hint : longestCachedPrefix(cachedBlocks, blocks),
    sent: (blocks) => {
      // The last block first, so that the leading blocks that many prompts share remain the most recently used.
      for (let index = blocks.length - 1; index >= 0; index -= 1) markUsed(blocks[index] as string)
      evictOldest()
    },
    changed: (stored, evicted, gap) => {
      if (gap) confidence = Math.max(MIN_CONFIDENCE, confidence * GAP_CONFIDENCE_FACTOR)
      for (const block of evicted) cachedBlocks.delete(block)
      for (const block of stored) markUsed(block)
      evictOldest()
    },
    answered: (expectedBlocks, cachedBlocks) => {
      if (expectedBlocks === 0) return
      const share = Math.min(1, cachedBlocks / expectedBlocks)
      confidence = Math.max(MIN_CONFIDENCE, confidence + CONFIDENCE_STEP * (share - confidence))
      const factor = share < 0.9 ? MISS_CAPACITY_FACTOR : HIT_CAPACITY_FACTOR
      capacity = Math.min(MAX_BLOCKS, Math.max(MIN_BLOCKS, capacity * factor))
    },
    confidence: () => confidence,
    capacity: () => Math.round(capacity)
  }
}

function isLongestCachedPrefix (cachedBlocks: ReadonlySet<string>, blocks: readonly string[], count: number): boolean {
  if (count < blocks.length && cachedBlocks.has(blocks[count] as string)) return false
  return count === 0 || cachedBlocks.has(blocks[count - 1] as string)
}

/**
 * Binary search for the number of leading blocks that are cached. Engines evict the blocks of a prompt from its end,
 * so a cached block implies that all earlier ones are cached.
 */
function longestCachedPrefix (cachedBlocks: ReadonlySet<string>, blocks: readonly string[]): number {
  let maxCached = 0
  let minUncached = blocks.length + 1
  while (minUncached - maxCached > 1) {
    const middle = (maxCached + minUncached) >> 1
    if (cachedBlocks.has(blocks[middle - 1] as string)) maxCached = middle
    else minUncached = middle
  }
  return maxCached
}
