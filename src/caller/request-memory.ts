/**
 * One account of the memory that requests take while this process holds them.
 *
 * Failure guarded against: many callers send bodies of a permitted size, or the greater part of one, and together these take more than the
 * process has. It is killed, and all that it had accepted with it.
 *
 * Load pattern: callers whose requests never end fill the account. A request that still arrives and has stood still yields to one that needs
 * its room, and small ones always find some. What has arrived whole never yields.
 */
import type { Clock, Milliseconds } from '../clock.js'

/** Memory for the requests that a process holds. */
export interface RequestMemory {
  open (): RequestShare
  /** Bytes that are held now. */
  bytes (): number
  /** Number of requests that yielded so far, and of those that found no room. */
  counts (): { readonly yielded: number, readonly refused: number }
}

/** What one request holds. */
export interface RequestShare {
  /** Holds so many bytes from now on, in all. @returns false if there is no room for them; what was held before is kept */
  hold (bytes: number): boolean
  /** So many bytes of the request have come. Until {@link RequestShare.settle} it may be asked to yield. */
  arrived (bytes: number): void
  /** Sets what is called when the request must yield. It gives back what it holds. */
  onYield (yieldNow: () => void): void
  /** The request has arrived whole. */
  settle (): void
  /** Gives back all. The share may be used again. */
  release (): void
}

/** Bytes that each request may hold, whatever the others take. */
const MIN_SHARE_BYTES = 16_384

/** Bytes that must come for a request to count as not standing still. */
const PROGRESS_BYTES = 16_384

/** Time without progress after which a request may have to yield. */
const STALL_TIME: Milliseconds = 1_000

interface Share {
  held: number
  unnoticed: number
  progressedAt: Milliseconds
  yieldNow: (() => void) | undefined
}

/**
 * Creates an account that holds nothing.
 *
 * @param capacity bytes for all requests together, but for the smallest part of each
 * @example
 * const memory = createRequestMemory(32_000_000, clock)
 * const share = memory.open()
 * if (!share.hold(body.length)) throw overloaded()
 */
export function createRequestMemory (capacity: number, { now }: Pick<Clock, 'now'>): RequestMemory {
  const shares = new Set<Share>()
  let total = 0
  let yielded = 0
  let refused = 0

  function set (share: Share, bytes: number): void {
    total += bytes - share.held
    share.held = bytes
    if (bytes === 0) shares.delete(share)
    else shares.add(share)
  }

  /** A request that is alone always fits: its own limit bounds it. */
  function fits (share: Share, bytes: number): boolean {
    const others = total - share.held
    return others === 0 || others + bytes <= capacity
  }

  /** Ends requests that have stood still, those first that did so for longest, until there is room. */
  function makeRoom (share: Share, bytes: number): void {
    const latest = now() - STALL_TIME
    const stalled = [...shares].filter((one) => one !== share && one.yieldNow !== undefined && one.progressedAt <= latest)
    for (const one of stalled.sort((left, right) => left.progressedAt - right.progressedAt)) {
      if (fits(share, bytes)) return
      const { yieldNow } = one
      one.yieldNow = undefined
      set(one, 0)
      yielded += 1
      yieldNow?.()
    }
  }

  function open (): RequestShare {
    const share: Share = { held: 0, unnoticed: 0, progressedAt: now(), yieldNow: undefined }
    return {
      hold: (bytes) => {
        if (bytes > share.held && bytes > MIN_SHARE_BYTES && !fits(share, bytes)) {
          makeRoom(share, bytes)
          if (!fits(share, bytes)) {
            refused += 1
            return false
          }
        }
        if (share.held === 0) share.progressedAt = now()
        set(share, bytes)
        return true
      },
      arrived: (bytes) => {
        share.unnoticed += bytes
        if (share.unnoticed < PROGRESS_BYTES) return
        share.unnoticed = 0
        share.progressedAt = now()
      },
      onYield: (yieldNow) => { share.yieldNow = yieldNow },
      settle: () => { share.yieldNow = undefined },
      release: () => {
        share.yieldNow = undefined
        set(share, 0)
      }
    }
  }

  return { open, bytes: () => total, counts: () => ({ yielded, refused }) }
}
