/** Enforces the quotas of all organisations at one node, and measures their use for reports to the other nodes. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Random } from '../random.js'
import type { Organisation, Quota } from '../routing/index.js'
import { createDemandRates } from './demand.js'
import { createQuotaLevel, MAX_RETRY_AFTER } from './level.js'
import type { ObservedRates, QuotaLevel } from './level.js'
import { ASSUMED_NODES } from './nodes.js'
import { shareOf } from './share.js'
import { createTokenBucket } from './token-bucket.js'
import type { TokenBucket } from './token-bucket.js'

/** Outcome of a request for units. */
export type QuotaDecision =
  | { readonly kind: 'granted' }
  /**
   * Over the quota. The request may be retried after `retryAfter`. `offered` is what callers request at all nodes, in units
   * per second.
   */
  | { readonly kind: 'over', readonly retryAfter: Milliseconds, readonly offered: number }

/** Units per second by organisation. */
export type UnitRates = Readonly<Record<string, number>>

/** Use of quotas as reported for one or more nodes. */
export interface ReportedUsage {
  /** Number of nodes that the report covers. */
  readonly nodes: number
  /** Units that callers request. */
  readonly demand: UnitRates
  /** Units that were granted. */
  readonly granted: UnitRates
}

/** How far the sum over all nodes may exceed a quota. */
export interface QuotaMargin {
  /** Length of the sliding window in which use is counted. */
  readonly window: Milliseconds
  /** Allowed excess as a fraction of what the quota allows in a window. */
  readonly overshoot: number
  /** Allowed excess in units, in addition to `overshoot`. */
  readonly slack: number
}

/** Quota limiter of one node. */
export interface QuotaLimiter {
  /** Requests units for a request of the organisation. */
  take (organisation: Organisation, cost: number, now: Milliseconds): QuotaDecision
  /** Returns the units of a granted request that did not run. */
  refund (organisation: Organisation, cost: number): void
  /**
   * Takes over the latest reports of the other live nodes. `nodes` is the number of all nodes that may serve, including
   * this node.
   */
  observe (others: readonly ReportedUsage[], nodes: number): void
  /** Units that callers request at this node. */
  demand (now: Milliseconds): UnitRates
  /** Units that this node grants. */
  granted (now: Milliseconds): UnitRates
}

interface TrackedQuota {
  /** Level of the bucket shared by all nodes. */
  readonly level: QuotaLevel
  /**
   * Bucket of this node's share. It bounds the sum while reports of others are late, and has an effect only where the
   * share is larger than a request.
   */
  readonly part: TokenBucket
  share: number
  rate: number
  burst: number
}

/**
 * Fraction of a quota's burst that a new process starts with. Failure guarded against: a killed process may have granted
 * the whole burst, and a successor that starts with a full level would grant it a second time.
 */
const INITIAL_FILL_FRACTION = 0.5

/**
 * Fraction of the margin that organisations may use at once, in addition to their burst. The rest covers what nodes grant
 * before they receive each other's reports.
 */
const USABLE_MARGIN_FRACTION = 0.5

/**
 * Fraction of the slack that is added to each node's bucket. The bucket then holds one or two long prompts, so that it does
 * not block an organisation at one node while other nodes use less than their shares.
 */
const NODE_SLACK_FRACTION = 0.25

/** A node's bucket is resized when its share has changed by more than this. */
const MIN_SHARE_CHANGE = 0.01

/** Half-life of the granted rates, which matches the interval of reports between nodes. */
const GRANTED_HALF_LIFE: Milliseconds = 400

/** Half-life of the demand rates. It is longer, because prompts differ in length by a factor of a hundred. */
const DEMAND_HALF_LIFE: Milliseconds = 800

/**
 * Creates a limiter without reports of other nodes.
 *
 * @param random decides which requests are admitted under overload
 * @param margin by which the sum over all nodes may exceed a quota
 * @example
 * const limiter = createQuotaLimiter(random, { window: 8 * SECOND, overshoot: 0.1, slack: 140_000 })
 * limiter.take(organisation, 1_540, clock.now()).kind
 */
export function createQuotaLimiter (random: Random, margin: QuotaMargin): QuotaLimiter {
  const trackedQuotas = new Map<string, TrackedQuota>()
  const demand = createDemandRates(DEMAND_HALF_LIFE)
  const granted = createDemandRates(GRANTED_HALF_LIFE)
  let others: readonly ReportedUsage[] = []
  let nodes = ASSUMED_NODES

  function bucketSizeOf ({ rate, burst }: Quota): number {
    return burst + USABLE_MARGIN_FRACTION * (margin.overshoot * (rate * margin.window / SECOND + burst) + margin.slack)
  }

  function trackedQuotaOf (organisation: Organisation, now: Milliseconds): TrackedQuota {
    const { quota, name } = organisation
    const { rate, burst } = quota
    const size = bucketSizeOf(quota)
    const reported = { demand: sumOf(others, 'demand', name), nodes: others.reduce((sum, one) => sum + one.nodes, 0) }
    const share = shareOf(demand.rates(now)[name] ?? 0, reported, nodes)
    const nodeBucketSize = size * share + margin.slack * NODE_SLACK_FRACTION
    const tracked = trackedQuotas.get(name)
    if (tracked === undefined) {
      const created = { level: createQuotaLevel(rate, size, INITIAL_FILL_FRACTION * burst / size, now), part: createTokenBucket(rate * share, nodeBucketSize, now), rate, burst, share }
      created.part.take(burst * share * (1 - INITIAL_FILL_FRACTION), now)
      trackedQuotas.set(name, created)
      return created
    }
    const isChanged = tracked.rate !== rate || tracked.burst !== burst
    if (isChanged) tracked.level.resize(rate, size)
    if (isChanged || Math.abs(tracked.share - share) > MIN_SHARE_CHANGE) {
      tracked.part.resize(rate * share, nodeBucketSize, now)
      Object.assign(tracked, { rate, burst, share })
    }
    return tracked
  }

  /**
   * Failure guarded against: a node that has just started or is partitioned has no reports of others and would grant the
   * whole rate. Nodes that may serve but have not reported are counted with the mean of the known rates.
   */
  function observedRatesOf (organisation: string, now: Milliseconds): ObservedRates {
    const reportingNodes = others.reduce((sum, one) => sum + one.nodes, 1)
    const unreportedNodes = Math.max(0, nodes - reportingNodes)
    const ownGranted = granted.rates(now)[organisation] ?? 0
    const reportedDemand = sumOf(others, 'demand', organisation)
    const ownDemand = demand.rates(now)[organisation] ?? 0
    const offered = (reportedDemand + ownDemand) * (reportingNodes + unreportedNodes) / reportingNodes
    const grantedByOthers = sumOf(others, 'granted', organisation)
    return {
      offered,
      offeredToOthers: offered - ownDemand,
      grantedByOthers: grantedByOthers + unreportedNodes * (grantedByOthers + ownGranted) / reportingNodes
    }
  }

  return {
    take: (organisation, cost, now) => {
      const { name } = organisation
      demand.add(name, cost, now)
      if (organisation.quota.rate <= 0) return { kind: 'granted' }
      const { level, part: nodeBucket } = trackedQuotaOf(organisation, now)
      const rates = observedRatesOf(name, now)
      const probability = level.admitProbability(rates, now)
      const isAdmitted = probability >= 1 || random.fraction() < probability
      if (!isAdmitted || !nodeBucket.take(cost, now)) return { kind: 'over', retryAfter: Math.min(MAX_RETRY_AFTER, Math.max(level.wait(rates), nodeBucket.wait(now))), offered: rates.offered }
      level.take(cost)
      granted.add(name, cost, now)
      return { kind: 'granted' }
    },
    refund: (organisation, cost) => {
      const quota = trackedQuotas.get(organisation.name)
      quota?.level.refund(cost)
      quota?.part.refund(cost)
    },
    observe: (reports, count) => {
      others = reports
      nodes = Math.max(1, count)
    },
    demand: demand.rates,
    granted: granted.rates
  }
}

function sumOf (reports: readonly ReportedUsage[], rates: 'demand' | 'granted', organisation: string): number {
  return reports.reduce((sum, one) => sum + (one[rates][organisation] ?? 0), 0)
}
