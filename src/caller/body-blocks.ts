/**
 * Collects the bytes of a body in blocks.
 *
 * Failure guarded against: a body comes in pieces of one byte, and the object that the runtime makes of each, which is hundreds of times the
 * piece, is kept until the body is whole. Pieces are copied, so that nothing of them is kept.
 */

/** Bytes of a body that are kept so far. */
export interface BodyBlocks {
  append (piece: Buffer): void
  /** Number of bytes of memory that an append of a piece of this size would take in all. */
  allocatedAfter (pieceBytes: number): number
  /** Number of bytes of the body so far. */
  size (): number
  /** Whether {@link BodyBlocks.whole} copies the bytes once more. */
  isSplit (): boolean
  /** The body in one piece. */
  whole (): Buffer
}

/** Size of the first block of a body whose length isn't known, in bytes. */
const MIN_BLOCK_BYTES = 4_096

/** Bodies of this announced length, in bytes, or a smaller one are kept in one block. */
const MAX_FIRST_BLOCK_BYTES = 65_536

/** Size of the largest blocks, in bytes. Blocks grow with the body up to it, so that a body has few. */
const MAX_BLOCK_BYTES = 1_048_576

const EMPTY = Buffer.alloc(0)

/**
 * Creates an empty collection.
 *
 * @param expected announced length of the body in bytes, if any
 * @example
 * const blocks = createBodyBlocks(1_048_576)
 * request.on('data', blocks.append)
 */
export function createBodyBlocks (expected: number | undefined): BodyBlocks {
  const blocks: Buffer[] = []
  let size = 0
  let allocated = 0

  /** Size of the next block, which holds at least `needed` bytes of the body after the first `start`. */
  function nextBlockBytes (start: number, needed: number): number {
    const left = expected === undefined ? Infinity : expected - start
    const smallest = expected === undefined ? MIN_BLOCK_BYTES : MAX_FIRST_BLOCK_BYTES
    return Math.max(needed, Math.min(left, MAX_BLOCK_BYTES, Math.max(smallest, start)))
  }

  function copy (piece: Buffer): void {
    const free = allocated - size
    if (free > 0) piece.copy(blocks.at(-1)!, blocks.at(-1)!.length - free)
    if (piece.length > free) {
      const next = Buffer.allocUnsafeSlow(nextBlockBytes(size + free, piece.length - free))
      piece.copy(next, 0, free)
      blocks.push(next)
      allocated += next.length
    }
    size += piece.length
  }

  /** The usual body comes whole, in one piece. */
  function isWholePiece (bytes: number): boolean {
    return size === 0 && bytes === expected
  }

  function keep (piece: Buffer): void {
    blocks.push(piece)
    allocated += piece.length
    size += piece.length
  }

  return {
    append: (piece) => {
      if (isWholePiece(piece.length)) keep(piece)
      else copy(piece)
    },
    allocatedAfter: (pieceBytes) => {
      const free = allocated - size
      return pieceBytes <= free ? allocated : allocated + (isWholePiece(pieceBytes) ? pieceBytes : nextBlockBytes(size + free, pieceBytes - free))
    },
    size: () => size,
    isSplit: () => blocks.length > 1,
    whole: () => {
      if (blocks.length === 0) return EMPTY
      return blocks.length === 1 ? blocks[0]!.subarray(0, size) : Buffer.concat(blocks, size)
    }
  }
}
