/**
 * Load of one upstream as one of several nodes sees it: exact about its own requests, and a late
 * report about everybody's.
 */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Random } from '../random.js'
import type { LoadReport } from './types.js'

/** Load of one upstream. */
export interface UpstreamLoad {
  sent (promptTokens: number, now: Milliseconds): void
  firstToken (promptTokens: number): void
  ended (promptTokens: number, firstTokenCame: boolean, now: Milliseconds): void
  /**
   * @param share this node's share of the service's requests, 1 over the number of nodes at least
   * @param cap answers that may run there at a time
   */
  reported (report: LoadReport, share: number, cap: number, now: Milliseconds, random: Random): void
  /** Requests of this node there. */
  own (): number
  /** Prompt tokens sent whose first token has not come. */
  pendingTokens (): number
  /** Requests of all nodes there as last reported, in decoding and waiting. */
  reportedTotal (): number
  /** Requests of all nodes there now, as far as is known. */
  total (): number
  /**
   * A guess at {@link total}, drawn anew each time.
   *
   * Failure guarded against: every node holds the same late report, all send to the upstream that was
   * least loaded in it, and its queue shows only in the next report. So a report is believed less the
   * older it is, and each node draws what may have come and gone since.
   *
   * @param mean requests of other nodes per upstream of the service
   * @param hold mean time that a request stays
   */
  sampledTotal (now: Milliseconds, random: Random, mean: number, hold: Milliseconds): number
  /** Requests that it decodes at a time, learnt. */
  slots (): number
  /** Whether this node may send one more. */
  hasRoom (limits: RoomLimits, urgent: boolean, now: Milliseconds): boolean
}

/** What limits the requests of this node at an upstream. */
export interface RoomLimits {
  /** This node's equal share among those that use the upstream. */
  readonly share: number
  /** Places left free for urgent requests. */
  readonly spare: number
  /** Answers that may run at a time, apart from urgent ones. */
  readonly cap: number
}

interface Change {
  readonly at: Milliseconds
  readonly by: 1 | -1
}

/** Slots before any report showed more or less. */
const PRIOR_SLOTS = 8

/** How many slots may be tried beyond those seen in use. */
const SLOT_GROWTH = 1.25

/** Requests that wait at an engine whose places are all taken. */
const FULL_QUEUE = 2

/** Weight of a report that shows fewer places than believed. */
const SLOT_STEP = 0.1

/** Requests kept waiting at the engine, so that it never idles between two reports. */
const STANDING_QUEUE = 0

/** A report older than this says nothing about the others any more. */
const REPORT_LIFETIME: Milliseconds = 5 * SECOND

/**
 * Part of its equal share of the places that a node may always take. Less, and nodes with little work
 * lose theirs to a flood at others; all of it, and the places kept free for urgent work are filled.
 */
const GUARANTEED_PART = 0.85

/** Bias of rounding, for limits of one request and more. */
const ROUNDING = 0.5

/** What a report says about one upstream is believed with this time constant, then the mean of all. */
const REPORT_MEMORY: Milliseconds = 1_200

/** Width of the draw, in standard deviations of what may have come and gone. */
const SPREAD = 2

/** Requests allowed at an upstream that has not answered yet; doubles with each first token. */
const FIRST_WINDOW = 4

/**
 * @param now time at which the upstream was first seen
 * @example
 * const load = createUpstreamLoad(now)
 * if (load.hasRoom({ share: 1 / nodes, spare: 0, cap: Infinity }, false, now)) load.sent(attempt.promptTokens, now)
 */
export function createUpstreamLoad (now: Milliseconds): UpstreamLoad {
  let changes: Change[] = []
  let own = 0
  let pendingTokens = 0
  let others = 0
  let limit = Number.POSITIVE_INFINITY
  /** Decides between the whole numbers next to a fractional limit; drawn with each report. */
  let draw = 0
  let reportedTotal = 0
  let reportedAt = now
  let seenAt = now
  let slots = PRIOR_SLOTS
  /** All places were seen taken once. */
  let full = false
  let window = FIRST_WINDOW

  /** Requests of this node that were there when the report was made. */
  function ownAt (time: Milliseconds): number {
    let count = own
    for (let index = changes.length - 1; index >= 0; index -= 1) {
      const change = changes[index] as Change
      if (change.at <= time) break
      count -= change.by
    }
    return Math.max(0, count)
  }

  function record (at: Milliseconds, by: 1 | -1): void {
    // Trimmed at twice the time that is needed: each trim then drops half, and a change costs the same on average.
    if (changes.length > 0 && (changes[0] as Change).at < at - 2 * REPORT_LIFETIME) changes = changes.filter((change) => change.at >= at - REPORT_LIFETIME)
    changes.push({ at, by })
    own += by
  }

  /**
   * A queue shows that all places are taken; until one was seen, more are tried.
   *
   * Failure guarded against: a request that has just come waits for the next step of the engine even
   * when places are free, and a report of that moment would shrink the estimate, again and again. So
   * only a queue of several counts, and the estimate falls slowly and rises at once.
   */
  function learnSlots (report: LoadReport): void {
    if (report.running === 0) return
    if (report.running >= slots) slots = report.running
    else if (report.waiting >= FULL_QUEUE) slots += SLOT_STEP * (report.running - slots)
    if (report.waiting >= FULL_QUEUE) full = true
    else if (!full && report.running >= slots - 1) slots = report.running * SLOT_GROWTH + 1
  }

  /**
   * Failure guarded against: all nodes see the same free places in one report and all fill them. Each
   * takes only its share of what is free, or gives up its share of what is too much.
   */
  function renewLimit (ownThen: number, share: number, cap: number, random: Random): void {
    const free = Math.min(cap, slots + STANDING_QUEUE) - reportedTotal
    const part = free >= 0 ? share : ownThen / Math.max(1, reportedTotal)
    draw = random.fraction()
    limit = ownThen + free * part
  }

  /**
   * Failure guarded against: among many nodes each one's share of what is free is less than one
   * request, and rounded down nobody would ever send. Small shares are rounded up now and then; larger
   * ones to the nearest, since rounding up at several nodes together overfills the upstream.
   */
  function whole (value: number): number {
    return value + draw - ROUNDING * Math.min(1, Math.max(0, value))
  }

  return {
    sent: (promptTokens, at) => {
      record(at, 1)
      pendingTokens += promptTokens
    },
    firstToken: (promptTokens) => {
      pendingTokens = Math.max(0, pendingTokens - promptTokens)
      window *= 2
    },
    ended: (promptTokens, firstTokenCame, at) => {
      record(at, -1)
      if (!firstTokenCame) pendingTokens = Math.max(0, pendingTokens - promptTokens)
    },
    reported: (report, share, cap, at, random) => {
      seenAt = at - report.ageMs
      const ownThen = ownAt(seenAt)
      reportedTotal = report.running + report.waiting
      others = Math.max(0, reportedTotal - ownThen)
      reportedAt = at
      learnSlots(report)
      renewLimit(ownThen, share, cap, random)
    },
    own: () => own,
    pendingTokens: () => pendingTokens,
    reportedTotal: () => reportedTotal,
    total: () => own + others,
    sampledTotal: (at, random, mean, hold) => {
      const age = Math.min(REPORT_LIFETIME, at - seenAt)
      const believed = mean + (others - mean) * Math.exp(-age / REPORT_MEMORY)
      const spread = SPREAD * Math.sqrt(1 + 2 * others * age / hold)
      return Math.max(own, own + believed + (2 * random.fraction() - 1) * spread)
    },
    slots: () => slots,
    hasRoom: (limits, urgent, at) => {
      if (own >= window) return false
      const guaranteed = Math.max(1, slots * limits.share)
      if (at - reportedAt > REPORT_LIFETIME) return own + 1 <= Math.min(guaranteed, limits.cap)
      if (urgent) return own + 1 <= Math.max(guaranteed, whole(limit)) || own + others + 1 <= slots
      const open = Math.min(limits.cap, slots + STANDING_QUEUE - limits.spare)
      const part = open * limits.share * GUARANTEED_PART
      return own + 1 <= whole(own + others + 1 > open ? part : Math.max(part, limit))
    }
  }
}
