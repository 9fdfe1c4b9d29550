/** Memory of one node for waiting requests, shared by the queues of all services. */

/** Counts the waiting requests and the bytes of their bodies. */
export interface QueueSpace {
  add (bytes: number): void
  remove (bytes: number): void
  isExceeded (): boolean
}

/** Bounds of a {@link QueueSpace}. */
export interface QueueSpaceBounds {
  readonly requests: number
  readonly bytes: number
}

/** A node has 250 MB of memory. */
const DEFAULT_BOUNDS: QueueSpaceBounds = { requests: 1_000, bytes: 16_000_000 }

/**
 * Creates the space of one node.
 *
 * @example
 * const space = createQueueSpace()
 * space.add(body.length)
 */
export function createQueueSpace (bounds: QueueSpaceBounds = DEFAULT_BOUNDS): QueueSpace {
  let requests = 0
  let usedBytes = 0
  return {
    add: (bytes) => {
      requests += 1
      usedBytes += bytes
    },
    remove: (bytes) => {
      requests -= 1
      usedBytes -= bytes
    },
    isExceeded: () => requests > bounds.requests || usedBytes > bounds.bytes
  }
}
