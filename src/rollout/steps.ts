/**
 * Decides the next stage of a roll-out. Only the node that holds the roll-out duty calls this.
 *
 * A version is tried for as long as the duration of the order allows, because it may turn bad later. The rest of the
 * duration is for the cutover. Without evidence nothing is decided, because a delayed good version does less harm than a
 * bad version that serves.
 */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import { probeFraction } from './exposure.js'
import { isAnswerTo } from './versions.js'
import type { RolloutBounds, RolloutOrder, RolloutStage, RolloutStatus } from './types.js'
import type { VersionVerdict } from './verdict.js'

/** Input of a decision. */
export interface RolloutSituation {
  readonly bounds: RolloutBounds
  readonly verdict: VersionVerdict
  /** Time since the order, by the shared wall clock. */
  readonly elapsed: Milliseconds
  /** Time for which this node has known the current stage. */
  readonly timeInStage: Milliseconds
  /** Number of upstreams of the tried version that may take requests. */
  readonly tried: number
  /** Number of upstreams of the serving versions that may take requests. */
  readonly serving: number
  /** Versions of the service with registered upstreams. */
  readonly versions: readonly string[]
  /** Number of live nodes. */
  readonly nodes: number
  /** Number of live nodes that start no requests at other versions. */
  readonly followers: number
  /** Number of requests that still run at other versions, as reported by all nodes. */
  readonly runningAtOtherVersions: number
  /** Number of attempts since the order. */
  readonly sent: number
  /** Number of attempts at the tried version since the order. */
  readonly exposed: number
  /** Attempts per second. */
  readonly rate: number
}

/** Time reserved for a cutover, in which the nodes receive it and requests at other versions end. */
const CUTOVER_TIME: Milliseconds = 6 * SECOND

/** Smallest fraction of the order's duration that is used for the trial, even if the duration is short. */
const MIN_TRIAL_FRACTION = 0.5

/** Time for which each node sends the larger fraction of a probe. */
export const PROBE_TIME: Milliseconds = 1_200

/**
 * Time until the reports of all nodes on a probe have arrived: the report periods of members and aggregators, and a slow
 * answer.
 */
const PROBE_REPORT_TIME: Milliseconds = 1_600

/** The tried version needs at least this fraction of the number of serving upstreams to take all traffic. */
const MIN_TRIED_UPSTREAM_FRACTION = 0.5

/** Shortest cutover. Within this time, nodes that know of it have reported which requests still run. */
const MIN_CUTOVER_TIME: Milliseconds = 1_200

/** A node without a report for this time is dead or partitioned, and its address is no longer returned to callers. */
const FOLLOWER_TIMEOUT: Milliseconds = 8 * SECOND

/**
 * Computes the next status of a roll-out.
 *
 * @param order the order in force
 * @param status latest status in the store, which may belong to an earlier order
 * @param situation undefined where versions are not compared, because the order has no status yet or is decided
 * @param now time of the shared wall clock
 * @returns the status to be written; undefined where the status does not change
 * @example
 * nextStatus(order, undefined, undefined, wall)?.stage // 'canary'
 */
export function nextStatus (order: RolloutOrder, status: RolloutStatus | undefined, situation: RolloutSituation | undefined, now: Milliseconds): RolloutStatus | undefined {
  if (!isAnswerTo(status, order)) return initialStatus(order, status, now)
  if (situation === undefined) return undefined
  const stage = nextStage(order, status.stage, situation)
  if (stage === status.stage) return undefined
  switch (stage) {
    case 'probe': return { ...status, stage, probedPart: probeFractionOf(situation) }
    case 'done': return { ...status, stage, avoided: addAvoided(status.avoided, situation.versions, status.version) }
    case 'canary':
    case 'cutover':
    case 'rolled-back': return { ...status, stage }
  }
}

/** First status of an order. A version that already serves is done without a trial. */
function initialStatus (order: RolloutOrder, before: RolloutStatus | undefined, now: Milliseconds): RolloutStatus {
  const { service, version, revision } = order
  const isServing = before?.stage === 'done' && before.version === version
  const abandoned = before === undefined || before.stage === 'done' ? [] : [before.version]
  return { service, version, order: revision, stage: isServing ? 'done' : 'canary', probedPart: undefined, orderedAt: now, avoided: addAvoided(before?.avoided ?? [], abandoned, version) }
}

function nextStage (order: RolloutOrder, stage: RolloutStage, situation: RolloutSituation): RolloutStage {
  const { verdict, timeInStage: inStage } = situation
  switch (stage) {
    case 'done':
    case 'rolled-back': return stage
    case 'canary':
      if (verdict.kind === 'bad') return 'rolled-back'
      if (verdict.kind !== 'good' || !isDue(order, situation) || !hasUpstreams(situation)) return stage
      return probeFractionOf(situation) === undefined ? 'cutover' : 'probe'
    case 'probe':
      if (verdict.kind === 'bad') return 'rolled-back'
      return inStage >= PROBE_TIME + PROBE_REPORT_TIME && verdict.kind === 'good' ? 'cutover' : stage
    case 'cutover':
      if (verdict.kind === 'bad') return 'rolled-back'
      return isDrained(situation) && isConfirmed(situation) ? 'done' : stage
  }
}

/** The trial ends when the remaining time is needed for the probe and the cutover. */
function isDue ({ duration }: RolloutOrder, { elapsed }: RolloutSituation): boolean {
  return elapsed >= Math.max(duration * MIN_TRIAL_FRACTION, duration - CUTOVER_TIME - PROBE_TIME - PROBE_REPORT_TIME)
}

function hasUpstreams ({ tried, serving }: RolloutSituation): boolean {
  return tried > 0 && tried >= serving * MIN_TRIED_UPSTREAM_FRACTION
}

/**
 * Whether no request runs at other versions any more. Failure guarded against: upstreams of other versions are stopped
 * without notice once the roll-out is done. A request that still runs there would be lost, and so would a request from a
 * node that has not received the cutover.
 */
function isDrained ({ timeInStage: inStage, nodes, followers, runningAtOtherVersions: runningBefore }: RolloutSituation): boolean {
  if (inStage < MIN_CUTOVER_TIME || runningBefore > 0) return false
  return followers >= nodes || inStage >= FOLLOWER_TIMEOUT
}

/**
 * Whether the good verdict still holds. If all nodes were killed and the evidence is lost, the earlier good verdict counts
 * after {@link FOLLOWER_TIMEOUT} without a bad one.
 */
function isConfirmed ({ verdict, timeInStage: inStage }: RolloutSituation): boolean {
  return verdict.kind === 'good' || inStage >= FOLLOWER_TIMEOUT
}

function probeFractionOf ({ bounds, sent, exposed, rate }: RolloutSituation): number | undefined {
  return probeFraction(bounds, { sent, exposed, rate, durationSeconds: PROBE_TIME / SECOND })
}

function addAvoided (known: readonly string[], more: readonly string[], except: string): string[] {
  return [...new Set([...known, ...more])].filter((version) => version !== except)
}
