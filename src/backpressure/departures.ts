/**
 * Upstreams whose answers say that they leave.
 *
 * Failure guarded against: a leaving upstream can't tell the store, which is away, and its record says 'ready' for as
 * long; it would get requests until it ends. What one node hears from it holds for all, and for good: a life that leaves
 * doesn't come back.
 */
import * as z from 'zod'
import { SECOND } from '../clock.js'
import type { Milliseconds } from '../clock.js'
import { upstreamLifeSchema } from '../placement/index.js'
import type { UpstreamLife } from '../placement/index.js'

/** Lives that said to a node that they leave. */
export const toldDeparturesSchema = z.array(upstreamLifeSchema)
export type ToldDepartures = z.infer<typeof toldDeparturesSchema>

/** Departures as one node knows them. */
export interface Departures {
  /** An answer has said so. @returns whether that is news */
  heard (life: UpstreamLife, now: Milliseconds): boolean
  has (life: UpstreamLife): boolean
  /** What this node tells the others: what it heard itself. */
  told (now: Milliseconds): ToldDepartures
  /** What the others have told. @returns what is news */
  observe (others: readonly ToldDepartures[]): UpstreamLife[]
}

/** A departure isn't told any more after this time: each node that was there has heard of it. */
const TOLD_FOR: Milliseconds = 30 * SECOND

/** Lives that are remembered; beyond it the ones that said so first are forgotten. */
const MOST_LIVES = 1_000

/**
 * @example
 * const departures = createDepartures()
 * departures.heard(upstream.life, clock.now())
 */
export function createDepartures (): Departures {
  const known = new Set<UpstreamLife>()
  const own = new Map<UpstreamLife, Milliseconds>()

  function add (life: UpstreamLife): boolean {
    if (known.has(life)) return false
    known.add(life)
    const [oldest] = known
    if (known.size > MOST_LIVES && oldest !== undefined) known.delete(oldest)
    return true
  }

  return {
    heard: (life, now) => {
      if (!own.has(life)) own.set(life, now)
      return add(life)
    },
    has: (life) => known.has(life),
    told: (now) => {
      for (const [life, at] of own) if (now - at >= TOLD_FOR) own.delete(life)
      return [...own.keys()]
    },
    observe: (others) => others.flat().filter(add)
  }
}
