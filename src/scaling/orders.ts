/** Which orders are due: a pool is ordered when its size changes, and again where an answer is missing or what runs falls short. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Pool, PoolSize } from './types.js'

/** Answer to an order; undefined when there was none. */
export type OrderAnswer = 'accepted' | 'superseded' | 'unavailable' | 'refused' | undefined

/** What was ordered by this holder. */
export interface OrderBook {
  /** Of these sizes the ones to be ordered now. */
  due (sizes: readonly PoolSize[], running: (pool: Pool) => number, now: Milliseconds): PoolSize[]
  answered (size: PoolSize, answer: OrderAnswer, now: Milliseconds): void
  /** Until when a pool that gave nothing isn't asked. */
  refusedUntil (pool: Pool): Milliseconds
  /** Another node holds the duty: what was ordered may have changed. */
  reset (): void
}

interface Ordered {
  desired: number
  at: Milliseconds
  answer: OrderAnswer
}

/** After an unanswered order; the call itself is bounded as well. */
const REPEAT: Milliseconds = SECOND

/** After "none to be had": a dry spell lasts some ten seconds, and asking costs a call. */
const REFUSED: Milliseconds = 2 * SECOND

/** What runs may fall short of what was ordered for a boot and a heartbeat before it is ordered again. */
const SHORT_FOR: Milliseconds = 8 * SECOND

/**
 * @example
 * const book = createOrderBook()
 * for (const size of book.due(planPools(situation), running, clock.now())) book.answered(size, await order(size), clock.now())
 */
export function createOrderBook (): OrderBook {
  const ordered = new Map<string, Ordered>()
  const refused = new Map<string, Milliseconds>()
  return {
    due: (sizes, running, now) => sizes.filter((size) => {
      const last = ordered.get(nameOf(size))
      if (last === undefined || last.desired !== size.desired) return true
      if (last.answer !== 'accepted') return now - last.at >= REPEAT
      return running(size) < size.desired && now - last.at >= SHORT_FOR
    }),
    answered: (size, answer, now) => {
      ordered.set(nameOf(size), { desired: size.desired, at: now, answer })
      if (answer === 'unavailable') refused.set(nameOf(size), now + REFUSED)
    },
    refusedUntil: (pool) => refused.get(nameOf(pool)) ?? 0,
    reset: () => {
      ordered.clear()
      refused.clear()
    }
  }
}

function nameOf ({ failureDomain, reclaimable }: Pool): string {
  return `${failureDomain}/${reclaimable ? 'reclaimable' : 'lasting'}`
}
