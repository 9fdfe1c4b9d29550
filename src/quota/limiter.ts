/** Enforces the quotas of all organisations at one node, and measures their use for reports to the other nodes. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Random } from '../random.js'
import type { Organisation, Quota } from '../routing/index.js'
import { createDemandRates } from './demand.js'
import { createAnnouncedRetries } from './announced-retries.js'
import type { AnnouncedRetries } from './announced-retries.js'
import { withRetries } from './assumed-grants.js'
import { createGrantWindow } from './grant-window.js'
import type { GrantWindow } from './grant-window.js'
import { createQuotaLevel, REPORT_LAG } from './level.js'
import type { LevelLimit, ObservedRates, QuotaLevel } from './level.js'
import { createReportedDemandEstimate } from './reported-demand.js'
import type { ReportedDemandEstimate } from './reported-demand.js'
import { ASSUMED_NODES } from './nodes.js'
import { NOTHING_REPORTED, sumReports } from './reported-usage.js'
import type { ReportedRates, ReportedUsage, UnitRates } from './reported-usage.js'
import { shareOf } from './share.js'
import { createSurgeDetector } from './surge.js'
import type { SurgeDetector } from './surge.js'
import { createTokenBucket } from './token-bucket.js'
import type { TokenBucket } from './token-bucket.js'

/** Outcome of a request for units. */
export type QuotaDecision =
  | { readonly kind: 'granted' }
  /**
   * Over the quota. The request may be retried after `retryAfter`. `offered` is what callers request at all nodes, in units
   * per second.
   */
  | { readonly kind: 'over', readonly retryAfter: Milliseconds, readonly offered: number, readonly cause: QuotaLimit }

/**
 * Limit that refused a request: the organisation's rate and burst, the bound on the units granted in a window, or this
 * node's share of the rate.
 */
export type QuotaLimit = LevelLimit | 'node'

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
  /** Returns the units of a request that was granted at `grantedAt` and did not run. */
  refund (organisation: Organisation, cost: number, grantedAt: Milliseconds, now: Milliseconds): void
  /**
   * Takes over the latest reports of the other live nodes. `nodes` is the number of all nodes that may serve, including
   * this node. Until the next call, the reported rates are assumed to go on.
   */
  observe (others: readonly ReportedUsage[], nodes: number, now: Milliseconds): void
  /** Units that callers request at this node. */
  demand (now: Milliseconds): UnitRates
  /** Units that this node grants. */
  granted (now: Milliseconds): UnitRates
  /** Fraction of the allowance that all nodes have granted in the window, by organisation of which this node had requests. */
  windowFractions (): UnitRates
}

/** What is known of an organisation, whether or not this node has received a request of it. */
interface TrackedOrganisation {
  /** Sums of the latest reports. */
  reported: ReportedRates
  readonly grants: GrantWindow
  readonly estimate: ReportedDemandEstimate
  readonly surge: SurgeDetector
  /** Undefined until this node has received a request of the organisation. */
  quota: TrackedQuota | undefined
}

interface TrackedQuota {
  /** Level of the bucket shared by all nodes. */
  readonly level: QuotaLevel
  /**
   * Bucket of this node's share. It bounds the sum while reports of others are late, and has an effect only where the
   * share is larger than a request.
   */
  readonly part: TokenBucket
  readonly retries: AnnouncedRetries
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
 * Fraction of the overshoot that organisations may use at once, in addition to their burst. The rest covers what nodes grant
 * before they receive each other's reports.
 */
const USABLE_OVERSHOOT_FRACTION = 0.5

/** Same of the slack. It is the larger part at low rates, where the sum varies by chance by several large prompts. */
const USABLE_SLACK_FRACTION = 0.1

/** Fraction of the whole margin that may be used in addition, so that an organisation above its rate is not starved. */
const RESERVE_MARGIN_FRACTION = 0.25

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
  const organisations = new Map<string, TrackedOrganisation>()
  const demand = createDemandRates(DEMAND_HALF_LIFE)
  const granted = createDemandRates(GRANTED_HALF_LIFE)
  let startedAt: Milliseconds | undefined
  let observedAt = 0
  /** Number of other nodes that the reports cover. */
  let reportedNodes = 0
  let nodes = ASSUMED_NODES
  /** Number of nodes by that of nodes whose use is known. */
  let unreportedFactor = nodes

  /** What all nodes may grant in a window, and in addition to their rate. */
  function sizesOf ({ rate, burst }: Quota): { size: number, allowance: number, reserve: number } {
    const rateInWindow = rate * margin.window / SECOND
    const overshoot = margin.overshoot * (rateInWindow + burst)
    const size = burst + USABLE_OVERSHOOT_FRACTION * overshoot + USABLE_SLACK_FRACTION * margin.slack
    return { size, allowance: rateInWindow + size, reserve: RESERVE_MARGIN_FRACTION * (overshoot + margin.slack) }
  }

  function organisationOf (name: string, now: Milliseconds): TrackedOrganisation {
    const known = organisations.get(name)
    if (known !== undefined) return known
    const created = { reported: NOTHING_REPORTED, grants: createGrantWindow(margin.window, now), estimate: createReportedDemandEstimate(), surge: createSurgeDetector(now), quota: undefined }
    organisations.set(name, created)
    return created
  }

  /**
   * Failure guarded against: a process that has just started does not know what was granted before. It assumes that the
   * rate was granted, and the missing part of the bucket just before the start.
   */
  function createLevel (quota: Quota, { reported, grants }: TrackedOrganisation, now: Milliseconds): QuotaLevel {
    const { rate, burst } = quota
    const { size, ...window } = sizesOf(quota)
    const started = startedAt ?? now
    const bound = { length: margin.window, ...window, grants }
    const admitted = reported.demand > 0 ? Math.min(1, reported.granted / reported.demand) : 1
    if (now - started >= margin.window) return createQuotaLevel(rate, size, 1, now - REPORT_LAG, bound, admitted)
    const level = INITIAL_FILL_FRACTION * burst
    grants.addRate(rate, now - margin.window, started)
    grants.add(size - level, started - 1)
    return createQuotaLevel(rate, size, size > 0 ? level / size : 0, Math.max(started, now - REPORT_LAG), bound, admitted)
  }

  function quotaOf (organisation: Organisation, tracked: TrackedOrganisation, now: Milliseconds): TrackedQuota {
    const { quota, name } = organisation
    const { rate, burst } = quota
    const known = tracked.quota
    const share = shareOf(demand.rate(name, now), { demand: tracked.reported.demand, nodes: reportedNodes }, nodes)
    if (known !== undefined && known.rate === rate && known.burst === burst && Math.abs(known.share - share) <= MIN_SHARE_CHANGE) return known
    const { size, ...window } = sizesOf(quota)
    const nodeBucketSize = size * share + margin.slack * NODE_SLACK_FRACTION
    if (known === undefined) {
      const part = createTokenBucket(rate * share, nodeBucketSize, now)
      part.take(burst * share * (1 - INITIAL_FILL_FRACTION), now)
      tracked.quota = { level: createLevel(quota, tracked, now), part, retries: createAnnouncedRetries(random), rate, burst, share }
      return tracked.quota
    }
    if (known.rate !== rate || known.burst !== burst) known.level.resize(rate, size, window)
    known.part.resize(rate * share, nodeBucketSize, now)
    return Object.assign(known, { rate, burst, share })
  }

  /**
   * Failure guarded against: a node that has just started or is partitioned has no reports of others and would grant the
   * whole rate. Nodes that may serve but have not reported are counted with the mean of the known rates.
   */
  function observedRatesOf (name: string, { reported, estimate, surge, quota }: TrackedOrganisation, now: Milliseconds): ObservedRates {
    const own = demand.rate(name, now)
    const risen = estimate.risen(now)
    const probability = quota?.level.lastProbability() ?? 1
    const reportedDemand = withRetries(estimate.latest(), risen, probability)
    const factor = surge.factor((reportedDemand + own) / (reportedNodes + 1), now)
    return {
      offered: (reportedDemand * factor + own) * unreportedFactor,
      offeredToOthers: estimate.latest() * unreportedFactor,
      risen: risen * unreportedFactor,
      grantedByOthers: reported.granted * unreportedFactor,
      surge: factor
    }
  }

  /** Counts what the other nodes granted according to the reports that are replaced now. */
  function countReported (name: string, tracked: TrackedOrganisation, now: Milliseconds): void {
    if (tracked.quota !== undefined) return tracked.quota.level.advance(observedRatesOf(name, tracked, now), now)
    tracked.grants.addRate(tracked.reported.granted * unreportedFactor, observedAt - REPORT_LAG, now - REPORT_LAG)
  }

  return {
    take: (organisation, cost, now) => {
      const { name } = organisation
      startedAt ??= now
      demand.add(name, cost, now)
      if (organisation.quota.rate <= 0) return { kind: 'granted' }
      const tracked = organisationOf(name, now)
      const { level, part: nodeBucket, retries, rate, share } = quotaOf(organisation, tracked, now)
      const rates = observedRatesOf(name, tracked, now)
      tracked.surge.add(cost, now)
      const probability = level.admitProbability(rates, now)
      const isAdmitted = probability >= 1 || random.fraction() < probability
      if (!isAdmitted || !nodeBucket.take(cost, now)) {
        const retryAfter = retries.announce(cost, rate * share, Math.max(level.wait(rates), nodeBucket.wait(now)), now)
        return { kind: 'over', retryAfter, offered: rates.offered, cause: isAdmitted ? 'node' : level.limit() }
      }
      level.take(cost, cost * unreportedFactor)
      granted.add(name, cost, now)
      return { kind: 'granted' }
    },
    refund: (organisation, cost, grantedAt, now) => {
      const quota = organisations.get(organisation.name)?.quota
      if (quota === undefined) return
      quota.level.refund(cost, grantedAt)
      quota.part.refund(cost)
      granted.remove(organisation.name, cost, grantedAt, now)
    },
    observe: (reports, count, now) => {
      startedAt ??= now
      for (const [name, tracked] of organisations) countReported(name, tracked, now)
      observedAt = now
      reportedNodes = reports.reduce((sum, one) => sum + one.nodes, 0)
      nodes = Math.max(1, count)
      unreportedFactor = Math.max(1, nodes / (reportedNodes + 1))
      for (const { demand } of reports) for (const name of Object.keys(demand)) organisationOf(name, now)
      for (const [name, tracked] of organisations) {
        tracked.reported = sumReports(reports, name)
        tracked.estimate.observe(tracked.reported.demand, tracked.reported.granted, now)
      }
    },
    demand: demand.rates,
    granted: granted.rates,
    windowFractions: () => {
      const fractions = [...organisations].flatMap(([name, { quota }]) => quota === undefined ? [] : [[name, Math.round(quota.level.windowFraction() * 1_000) / 1_000] as const])
      return Object.fromEntries(fractions)
    }
  }
}
