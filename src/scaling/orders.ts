/**
 * Decides when the size of a pool is ordered from the platform: when the desired size changes, when an order was not
 * accepted, and when too few upstreams run a while after an accepted order.
 */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Pool, PoolSize } from './types.js'

/** The platform's answer to an order. Undefined if there was none. */
export type OrderAnswer = 'accepted' | 'superseded' | 'unavailable' | 'refused' | undefined

/** The orders that this node has sent while it holds the duty. */
export interface OrderTracker {
  /**
   * Selects the sizes that are to be ordered now.
   *
   * @param running returns the number of upstreams of a pool that run and are not leaving
   */
  due (sizes: readonly PoolSize[], running: (pool: Pool) => number, now: Milliseconds): PoolSize[]
  /** Records the answer to an order. */
  answered (size: PoolSize, answer: OrderAnswer, now: Milliseconds): void
  /** Time until which a pool is not ordered because the platform had no upstreams for it. 0 if it had. */
  unavailableUntil (pool: Pool): Milliseconds
  /** Forgets all orders. Called when the duty was held by another node in between, which may have ordered other sizes. */
  reset (): void
}

/** Last order of a pool. */
interface Ordered {
  desired: number
  at: Milliseconds
  answer: OrderAnswer
}

/** Time after which an order that was not accepted is repeated. The call itself has a timeout as well. */
const RETRY_INTERVAL: Milliseconds = SECOND

/** Pause after the answer 'unavailable'. A shortage lasts about ten seconds, and each order costs a call. */
const UNAVAILABLE_INTERVAL: Milliseconds = 2 * SECOND

/** Time after which an accepted order is repeated if too few upstreams run. Covers a boot and a heartbeat. */
const SHORTFALL_TIMEOUT: Milliseconds = 8 * SECOND

/**
 * Creates a tracker without orders.
 *
 * @example
 * const orders = createOrderTracker()
 * for (const size of orders.due(planPools(input), running, clock.now())) orders.answered(size, await order(size), clock.now())
 */
export function createOrderTracker (): OrderTracker {
  const ordered = new Map<string, Ordered>()
  const unavailable = new Map<string, Milliseconds>()
  return {
    due: (sizes, running, now) => sizes.filter((size) => {
      const last = ordered.get(poolKey(size))
      if (last === undefined || last.desired !== size.desired) return true
      if (last.answer !== 'accepted') return now - last.at >= RETRY_INTERVAL
      return running(size) < size.desired && now - last.at >= SHORTFALL_TIMEOUT
    }),
    answered: (size, answer, now) => {
      ordered.set(poolKey(size), { desired: size.desired, at: now, answer })
      if (answer === 'unavailable') unavailable.set(poolKey(size), now + UNAVAILABLE_INTERVAL)
    },
    unavailableUntil: (pool) => unavailable.get(poolKey(pool)) ?? 0,
    reset: () => {
      ordered.clear()
      unavailable.clear()
    }
  }
}

function poolKey ({ failureDomain, reclaimable }: Pool): string {
  return `${failureDomain}/${reclaimable ? 'reclaimable' : 'lasting'}`
}
