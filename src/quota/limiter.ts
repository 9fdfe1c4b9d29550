/** Quotas of all organisations at one node: its shares, its buckets and what it tells the other nodes. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Organisation } from '../routing/index.js'
import { createDemandRates } from './demand.js'
import { shareOf, UNKNOWN_NODES } from './share.js'
import type { HeardDemand } from './share.js'
import { createTokenBucket } from './token-bucket.js'
import type { TokenBucket } from './token-bucket.js'

/** Answer to a request for units. */
export type QuotaDecision =
  | { readonly kind: 'granted' }
  /** Over the quota; worth another try after `retryAfter`. */
  | { readonly kind: 'over', readonly retryAfter: Milliseconds, readonly share: number }

/** What the other nodes need: demand in units a second by organisation. */
export type QuotaDemand = Readonly<Record<string, number>>

/** The same of one or more nodes together. */
export interface ToldDemand {
  readonly demand: QuotaDemand
  readonly nodes: number
}

/** Quotas at one node. */
export interface QuotaLimiter {
  take (organisation: Organisation, cost: number, now: Milliseconds): QuotaDecision
  /** A request that was granted did not run. */
  giveBack (organisation: Organisation, cost: number): void
  /** What the other live nodes last told, each entry of one or more of them; `nodes` counts all that may serve, this one as well. */
  observe (others: readonly ToldDemand[], nodes: number): void
  demand (now: Milliseconds): QuotaDemand
  /** This node's share of each organisation's rate, as last used. */
  shares (): Readonly<Record<string, number>>
}

interface Bucket {
  readonly bucket: TokenBucket
  rate: number
  burst: number
  share: number
}

const LONGEST_WAIT: Milliseconds = 5 * SECOND

/**
 * Part of a node's burst that a new process begins with. Failure guarded against: a process that was
 * killed has spent its part; its successor with a full bucket would let it through a second time.
 */
const FIRST_FILL = 0.5

/**
 * @example
 * const limiter = createQuotaLimiter()
 * limiter.take(organisation, 1_540, clock.now()).kind
 */
export function createQuotaLimiter (): QuotaLimiter {
  const buckets = new Map<string, Bucket>()
  const rates = createDemandRates()
  let others: readonly ToldDemand[] = []
  let nodes = UNKNOWN_NODES

  function heardOf (organisation: string): HeardDemand {
    return {
      demand: others.reduce((sum, { demand }) => sum + (demand[organisation] ?? 0), 0),
      nodes: others.reduce((sum, { nodes }) => sum + nodes, 0)
    }
  }

  function bucketOf (organisation: Organisation, now: Milliseconds): Bucket {
    const { rate, burst } = organisation.quota
    const own = rates.rates(now)[organisation.name] ?? 0
    const share = shareOf(own, heardOf(organisation.name), nodes)
    const known = buckets.get(organisation.name)
    if (known !== undefined) {
      if (known.rate !== rate || known.burst !== burst || Math.abs(known.share - share) > 0.01) {
        known.bucket.resize(rate * share, burst * share, now)
        Object.assign(known, { rate, burst, share })
      }
      return known
    }
    const created = { bucket: createTokenBucket(rate * share, burst * share, now), rate, burst, share }
    created.bucket.take(burst * share * (1 - FIRST_FILL), now)
    buckets.set(organisation.name, created)
    return created
  }

  return {
    take: (organisation, cost, now) => {
      rates.add(organisation.name, cost, now)
      if (organisation.quota.rate <= 0) return { kind: 'granted' }
      const { bucket, share } = bucketOf(organisation, now)
      if (bucket.take(cost, now)) return { kind: 'granted' }
      return { kind: 'over', retryAfter: Math.min(LONGEST_WAIT, bucket.wait(now)), share }
    },
    giveBack: (organisation, cost) => { buckets.get(organisation.name)?.bucket.giveBack(cost) },
    observe: (demands, count) => {
      others = demands
      nodes = Math.max(1, count)
    },
    demand: (now) => rates.rates(now),
    shares: () => Object.fromEntries([...buckets].map(([name, { share }]) => [name, share]))
  }
}
