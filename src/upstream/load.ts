/**
 * Load of one upstream as estimated by one of several nodes. The node counts its own requests exactly. The requests
 * of the other nodes are known only from load reports, which arrive late.
 */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Random } from '../random.js'
import type { LoadReport } from './types.js'

/** Estimated load of one upstream. */
export interface UpstreamLoad {
  /** Records that a request was dispatched, with the number of prompt tokens to be computed. */
  sent (promptTokens: number, now: Milliseconds): void
  /** Records that the first token of a request has arrived. */
  firstToken (promptTokens: number): void
  /** Records that a request has ended. */
  ended (promptTokens: number, firstTokenCame: boolean, now: Milliseconds): void
  /**
   * Records a load report.
   *
   * @param share this node's share of the service's requests, at least 1 divided by the number of nodes
   * @param maxRunning maximum number of answers that may run there concurrently
   */
  reported (report: LoadReport, share: number, maxRunning: number, now: Milliseconds, random: Random): void
  /** Requests of this node at the upstream. */
  ownRequests (): number
  /** Prompt tokens of this node's requests that have not produced their first token. */
  pendingTokens (): number
  /** Requests of all nodes in the latest report, running and waiting. */
  reportedTotal (): number
  /** Estimated number of requests of all nodes. */
  total (): number
  /**
   * Random sample of the estimated number of requests of all nodes ({@link total}).
   *
   * Failure guarded against: all nodes have the same late report, all send to the upstream with the lowest load in
   * it, and the queue that builds up shows only in the next report. Therefore the weight of a report decreases with
   * its age, and each node samples the number of requests that may have started and ended since.
   *
   * @param meanOfOthers mean number of other nodes' requests per upstream of the service
   * @param holdTime mean time for which a request stays at the upstream
   */
  sampledTotal (now: Milliseconds, random: Random, meanOfOthers: number, holdTime: Milliseconds): number
  /** Estimated number of requests that the upstream runs concurrently. */
  slots (): number
  /** Whether this node may send another request. */
  hasCapacity (limits: CapacityLimits, urgent: boolean, now: Milliseconds): boolean
}

/** Limits on the requests of this node at an upstream. */
export interface CapacityLimits {
  /** Equal share of this node among the nodes that use the upstream. */
  readonly share: number
  /** Slots kept free for urgent requests. */
  readonly spare: number
  /**
   * Maximum number of answers that may run concurrently. Urgent requests are exempt while the load report is recent.
   */
  readonly maxRunning: number
}

interface RequestCountChange {
  readonly at: Milliseconds
  readonly delta: 1 | -1
}

/** Number of slots before the first report. */
const INITIAL_SLOTS = 8

/** Factor by which the estimate may exceed the slots seen in use. */
const SLOT_GROWTH_FACTOR = 1.25

/** Number of waiting requests from which all slots count as occupied. */
const FULL_QUEUE_LENGTH = 2

/** Weight of a report that shows fewer slots than estimated. */
const SLOT_DECREASE_WEIGHT = 0.1

/** Requests kept waiting at the engine, so that it does not idle between two reports. */
const STANDING_QUEUE = 0

/** Age from which a report is not used to estimate the load of the other nodes. */
const REPORT_LIFETIME: Milliseconds = 5 * SECOND

/**
 * Fraction of its equal share of the slots that a node may always use. With a lower fraction, nodes with little
 * traffic lose their slots to nodes with much traffic. With the full share, the slots kept free for urgent requests
 * are used up.
 */
const GUARANTEED_FRACTION = 0.85

/** Bias subtracted before rounding limits of one request and more. */
const ROUNDING_BIAS = 0.5

/** Time constant with which the weight of a report decreases in favour of the mean of all upstreams. */
const REPORT_DECAY_TIME: Milliseconds = 1_200

/**
 * Half-width of the sample, in standard deviations of the requests that may have started and ended since the report.
 */
const SAMPLE_WIDTH_DEVIATIONS = 2

/** Requests allowed at an upstream that has not answered yet. The limit doubles with each first token. */
const INITIAL_WINDOW = 4

/**
 * Creates the load estimate of one upstream.
 *
 * @param now time at which the upstream was first seen
 * @example
 * const load = createUpstreamLoad(now)
 * if (load.hasCapacity({ share: 1 / nodes, spare: 0, maxRunning: Infinity }, false, now)) load.sent(attempt.promptTokens, now)
 */
export function createUpstreamLoad (now: Milliseconds): UpstreamLoad {
  let recentChanges: RequestCountChange[] = []
  let ownRequests = 0
  let pendingTokens = 0
  let otherRequests = 0
  let limit = Number.POSITIVE_INFINITY
  /** Random offset that rounds a fractional limit up or down. It is drawn once per report. */
  let roundingOffset = 0
  let reportedTotal = 0
  let reportedAt = now
  let measuredAt = now
  let slots = INITIAL_SLOTS
  /** Whether a report has shown all slots occupied. */
  let wasFull = false
  let window = INITIAL_WINDOW

  /** Requests of this node that were at the upstream at the given time. */
  function ownAt (time: Milliseconds): number {
    let count = ownRequests
    for (let index = recentChanges.length - 1; index >= 0; index -= 1) {
      const change = recentChanges[index] as RequestCountChange
      if (change.at <= time) break
      count -= change.delta
    }
    return Math.max(0, count)
  }

  function recordChange (at: Milliseconds, delta: 1 | -1): void {
    // Trimming at twice the needed age removes half of the entries each time, so that the amortised cost per change
    // is constant.
    if (recentChanges.length > 0 && (recentChanges[0] as RequestCountChange).at < at - 2 * REPORT_LIFETIME) recentChanges = recentChanges.filter((change) => change.at >= at - REPORT_LIFETIME)
    recentChanges.push({ at, delta })
    ownRequests += delta
  }

  /**
   * A queue shows that all slots are occupied. Until a queue has been seen, the estimate grows beyond the slots in
   * use.
   *
   * Failure guarded against: a request that has just arrived waits for the engine's next step even if slots are free.
   * A report made at that moment would lower the estimate, and repeated reports would lower it further. Therefore
   * only a queue of several requests counts. The estimate rises immediately and falls slowly.
   */
  function learnSlots (report: LoadReport): void {
    if (report.running === 0) return
    if (report.running >= slots) slots = report.running
    else if (report.waiting >= FULL_QUEUE_LENGTH) slots += SLOT_DECREASE_WEIGHT * (report.running - slots)
    if (report.waiting >= FULL_QUEUE_LENGTH) wasFull = true
    else if (!wasFull && report.running >= slots - 1) slots = report.running * SLOT_GROWTH_FACTOR + 1
  }

  /**
   * Failure guarded against: all nodes see the same free slots in one report, and all of them fill these slots.
   * Therefore each node uses only its share of the free slots, and reduces its requests by its share of any excess.
   */
  function updateLimit (ownAtReport: number, share: number, maxRunning: number, random: Random): void {
    const free = Math.min(maxRunning, slots + STANDING_QUEUE) - reportedTotal
    const fraction = free >= 0 ? share : ownAtReport / Math.max(1, reportedTotal)
    roundingOffset = random.fraction()
    limit = ownAtReport + free * fraction
  }

  /**
   * Failure guarded against: with many nodes, each node's share of the free slots is less than one request. Rounded
   * down, no node would ever send. Therefore small shares are rounded up at random. Larger shares are rounded to the
   * nearest number, because rounding up on several nodes together would overload the upstream.
   */
  function roundRandomly (value: number): number {
    return value + roundingOffset - ROUNDING_BIAS * Math.min(1, Math.max(0, value))
  }

  return {
    sent: (promptTokens, at) => {
      recordChange(at, 1)
      pendingTokens += promptTokens
    },
    firstToken: (promptTokens) => {
      pendingTokens = Math.max(0, pendingTokens - promptTokens)
      window *= 2
    },
    ended: (promptTokens, firstTokenCame, at) => {
      recordChange(at, -1)
      if (!firstTokenCame) pendingTokens = Math.max(0, pendingTokens - promptTokens)
    },
    reported: (report, share, maxRunning, at, random) => {
      measuredAt = at - report.ageMs
      const ownAtReport = ownAt(measuredAt)
      reportedTotal = report.running + report.waiting
      otherRequests = Math.max(0, reportedTotal - ownAtReport)
      reportedAt = at
      learnSlots(report)
      updateLimit(ownAtReport, share, maxRunning, random)
    },
    ownRequests: () => ownRequests,
    pendingTokens: () => pendingTokens,
    reportedTotal: () => reportedTotal,
    total: () => ownRequests + otherRequests,
    sampledTotal: (at, random, meanOfOthers, holdTime) => {
      const age = Math.min(REPORT_LIFETIME, at - measuredAt)
      const expectedOthers = meanOfOthers + (otherRequests - meanOfOthers) * Math.exp(-age / REPORT_DECAY_TIME)
      const width = SAMPLE_WIDTH_DEVIATIONS * Math.sqrt(1 + 2 * otherRequests * age / holdTime)
      return Math.max(ownRequests, ownRequests + expectedOthers + (2 * random.fraction() - 1) * width)
    },
    slots: () => slots,
    hasCapacity: (limits, urgent, at) => {
      if (ownRequests >= window) return false
      const guaranteed = Math.max(1, slots * limits.share)
      if (at - reportedAt > REPORT_LIFETIME) return ownRequests + 1 <= Math.min(guaranteed, limits.maxRunning)
      if (urgent) return ownRequests + 1 <= Math.max(guaranteed, roundRandomly(limit)) || ownRequests + otherRequests + 1 <= slots
      const openSlots = Math.min(limits.maxRunning, slots + STANDING_QUEUE - limits.spare)
      const guaranteedOpen = openSlots * limits.share * GUARANTEED_FRACTION
      return ownRequests + 1 <= roundRandomly(ownRequests + otherRequests + 1 > openSlots ? guaranteedOpen : Math.max(guaranteedOpen, limit))
    }
  }
}
