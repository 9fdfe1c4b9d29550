/**
 * What an upstream's prompt cache is expected to hold. Three sources: this node's own dispatches,
 * the cache events that engines publish late and with gaps, and the cached tokens that answers
 * report. The last one is the truth and corrects the others.
 */

/** Expected cache of one upstream, in bounded memory. */
export interface PrefixIndex {
  /**
   * Blocks of a prompt, counted from its start, that are expected to be cached.
   *
   * @param guess tried first; most upstreams hold the same short beginning of a prompt
   */
  expected (blocks: readonly string[], guess?: number): number
  /** A prompt was sent there; its blocks are expected to be cached from now on. */
  sent (blocks: readonly string[]): void
  changed (stored: readonly string[], evicted: readonly string[], gap: boolean): void
  /** An answer reported how many of the blocks that were expected at its dispatch were cached. */
  answered (expectedBlocks: number, cachedBlocks: number): void
  /** Share of the expected hits that come true, 0 to 1. */
  trust (): number
  /** Blocks that this cache is believed to hold at most. */
  capacity (): number
}

/** Blocks remembered for one upstream. */
export const MOST_BLOCKS = 2_048

const FEWEST_BLOCKS = 64

/** How far one answer moves the trust. */
const TRUST_STEP = 0.1

/** Trust is never lost for good: a hit can only be seen where one is tried. */
const LEAST_TRUST = 0.2

/** Events were missed: evictions may be among them. */
const GAP_FACTOR = 0.8

/** A hit that did not come true: the cache is smaller, or more shared, than believed. */
const SHRINK = 0.97

/** A hit that came true. */
const GROWTH = 1.005

/**
 * The engine's memory is unknown and other nodes fill it too, so the number of blocks remembered
 * follows the hits: it shrinks with each hit that fails and grows slowly with those that hold.
 *
 * @example
 * const index = createPrefixIndex()
 * index.sent(['a', 'b'])
 * index.expected(['a', 'b', 'c']) // 2
 */
export function createPrefixIndex (): PrefixIndex {
  /** Insertion order is order of use. */
  const known = new Set<string>()
  let capacity = MOST_BLOCKS
  let trust = 1

  function remember (block: string): void {
    known.delete(block)
    known.add(block)
  }

  function forgetOldest (): void {
    for (const block of known) {
      if (known.size <= capacity) return
      known.delete(block)
    }
  }

  return {
    expected: (blocks, guess = 0) => isLongest(known, blocks, guess) ? guess : longestPresent(known, blocks),
    sent: (blocks) => {
      // The end first: what many prompts share stays the most recently used.
      for (let index = blocks.length - 1; index >= 0; index -= 1) remember(blocks[index] as string)
      forgetOldest()
    },
    changed: (stored, evicted, gap) => {
      if (gap) trust = Math.max(LEAST_TRUST, trust * GAP_FACTOR)
      for (const block of evicted) known.delete(block)
      for (const block of stored) remember(block)
      forgetOldest()
    },
    answered: (expectedBlocks, cachedBlocks) => {
      if (expectedBlocks === 0) return
      const share = Math.min(1, cachedBlocks / expectedBlocks)
      trust = Math.max(LEAST_TRUST, trust + TRUST_STEP * (share - trust))
      const factor = share < 0.9 ? SHRINK : GROWTH
      capacity = Math.min(MOST_BLOCKS, Math.max(FEWEST_BLOCKS, capacity * factor))
    },
    trust: () => trust,
    capacity: () => Math.round(capacity)
  }
}

function isLongest (known: ReadonlySet<string>, blocks: readonly string[], count: number): boolean {
  if (count < blocks.length && known.has(blocks[count] as string)) return false
  return count === 0 || known.has(blocks[count - 1] as string)
}

/** A prompt's blocks are evicted from its end, so presence is monotonic along it: a binary search. */
function longestPresent (known: ReadonlySet<string>, blocks: readonly string[]): number {
  let present = 0
  let absent = blocks.length + 1
  while (absent - present > 1) {
    const middle = (present + absent) >> 1
    if (known.has(blocks[middle - 1] as string)) present = middle
    else absent = middle
  }
  return present
}
