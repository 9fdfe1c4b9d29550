/** Queueing, dispatch and refusal of the attempts of one service at one node. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { RequestId } from '../identifiers.js'
import { createDecayedRate, createFairShare, createServiceRate, retryAfter } from '../queueing/index.js'
import type { Random } from '../random.js'
import { createServiceFleet } from '../upstream/index.js'
import type { AttemptDemand, Placement, ServiceFleet, Usage } from '../upstream/index.js'
import type { ClassState } from './class-state.js'
import { createReservedSlots } from './reserved-slots.js'
import type { AttemptResult, PendingAttempt, RefusalCode, SchedulerEffect } from './types.js'
import { chooseVictim } from './victim.js'
import { createWaitingList } from './waiting.js'
import type { WaitingAttempt } from './waiting.js'

/** The scheduler of one service. */
export interface ServiceScheduler {
  /** Upstreams of the service. */
  readonly fleet: ServiceFleet
  /** Adds an attempt to the queue. */
  arrived (attempt: PendingAttempt, classState: ClassState, now: Milliseconds): SchedulerEffect[]
  /** Records the first token of an answer. */
  firstToken (id: RequestId, now: Milliseconds): void
  /** Records the end of an attempt, whether it was dispatched or not. */
  ended (id: RequestId, result: AttemptResult, now: Milliseconds): SchedulerEffect[]
  /** Dispatches and refuses waiting attempts. Called after any other change, for example of the upstreams. */
  advance (now: Milliseconds): SchedulerEffect[]
  /** Reports stalled attempts, then dispatches and refuses waiting ones. Called regularly. */
  tick (now: Milliseconds): SchedulerEffect[]
}

interface RunningAttempt {
  readonly attempt: PendingAttempt
  readonly classState: ClassState
  readonly demand: AttemptDemand
  readonly placement: Placement
  readonly sentAt: Milliseconds
  /** Time by which the first token is due. If it is missing then, the attempt counts as a failure of its upstream. */
  readonly stalledAt: Milliseconds
  firstTokenAt: Milliseconds | undefined
}

/** Retry delay when the service has no upstreams. */
const NO_UPSTREAM_RETRY: Milliseconds = 2 * SECOND

/** An attempt counts as stalled if its first token takes longer than this multiple of the expected time. */
const STALL_FACTOR = 4

/** Minimum time without a first token after which an attempt counts as stalled. */
const MIN_STALL_TIMEOUT: Milliseconds = 2 * SECOND

/** The minimum is at most this share of the target for the whole answer, so that stalls are noticed early in fast classes. */
const STALL_TARGET_SHARE = 0.25

/** Attempts of an organisation with more than this multiple of the mean use are refused with 'organisation-limit'. */
const ABOVE_SHARE_FACTOR = 1.25

/** Number of waiting attempts considered for one slot, to find the one with the most cached tokens there. */
const LOOKAHEAD = 6

/** An attempt whose latest start is closer than this is not overtaken. */
const MIN_SLACK: Milliseconds = SECOND

/** Share of its prompt that an attempt must save, compared with an earlier attempt, to overtake it. */
const MIN_SAVED_SHARE = 0.2

/** Minimum share of the service rate that counts as available for attempts that are not urgent. */
const MIN_NON_URGENT_SHARE = 0.1

/** Delay of an attempt whose organisation has twice the mean use, as a share of its maximum wait. */
const FAIRNESS_DELAY = 1

/** Maximum excess over the mean use that counts for the delay, as a multiple of the mean. */
const MAX_EXCESS = 4

/** Accepted attempts precede all new ones by this time. Their tokens would be lost if they waited too long. */
const ACCEPTED_PRECEDENCE: Milliseconds = 3_600 * SECOND

/**
 * Creates a scheduler without upstreams and attempts.
 *
 * @example
 * const service = createServiceScheduler(createRandom(1))
 * const effects = service.arrived(attempt, classState, now)
 */
export function createServiceScheduler (random: Random): ServiceScheduler {
  const fleet = createServiceFleet(random)
  const waiting = createWaitingList()
  const shares = createFairShare()
  const rate = createServiceRate()
  const reservedSlots = createReservedSlots()
  const urgentDemand = createDecayedRate()
  const running = new Map<RequestId, RunningAttempt>()
  /** Running attempts without a first token that have not been reported as stalled. */
  const awaitingFirstToken = new Map<RequestId, RunningAttempt>()

  function currentRate (): number {
    return rate.value(fleet.size() * fleet.share())
  }

  function entryOf (attempt: PendingAttempt, classState: ClassState, now: Milliseconds): WaitingAttempt {
    const demand = classState.demandOf(attempt)
    const maxWait = classState.maxWait(fleet.expect(demand))
    const latestStart = attempt.arrivedAt + maxWait
    const order = attempt.accepted ? latestStart - ACCEPTED_PRECEDENCE : latestStart + fairDelay(attempt, maxWait, now)
    return { attempt, classState, demand, work: fleet.work(demand), latestStart, order, since: now }
  }

  /**
   * Time by which an attempt is moved back in the queue.
   *
   * Failure guarded against: many requests of one organisation are first in the queue, and all others wait behind them.
   * Each attempt is therefore moved back by the time that the waiting work of its own organisation and class takes, and
   * in proportion to the recent use of its organisation above the mean.
   */
  function fairDelay (attempt: PendingAttempt, maxWait: Milliseconds, now: Milliseconds): Milliseconds {
    const excess = Math.min(MAX_EXCESS, Math.max(0, shares.relative(attempt.organisation, now) - 1))
    return excess * maxWait * FAIRNESS_DELAY + waiting.workOf(attempt.organisation, attempt.class) / currentRate()
  }

  function dispatch (entry: WaitingAttempt, placement: Placement, now: Milliseconds): SchedulerEffect {
    const { attempt, classState, demand } = entry
    const expected = fleet.expect(demand).firstToken
    const minTimeout = Math.min(MIN_STALL_TIMEOUT, classState.requestClass.target.whole_answer_ms * STALL_TARGET_SHARE)
    const stalledAt = now + Math.max(minTimeout, STALL_FACTOR * expected)
    const started = { attempt, classState, demand, placement, sentAt: now, stalledAt, firstTokenAt: undefined }
    waiting.remove(attempt.id)
    running.set(attempt.id, started)
    awaitingFirstToken.set(attempt.id, started)
    fleet.sent(placement, demand, now)
    if (now > entry.since) rate.dispatched(entry.work)
    reservedSlots.sent(demand.urgent)
    classState.dispatched()
    return { kind: 'dispatch', id: attempt.id, upstream: placement.upstream, priority: Math.max(0, Math.round(entry.latestStart - now)) }
  }

  function refuse (entry: WaitingAttempt, code: RefusalCode, now: Milliseconds): SchedulerEffect {
    const { attempt } = entry
    waiting.remove(attempt.id)
    if (attempt.apart) fleet.cancelIsolation()
    shares.returned(attempt.organisation, attempt.class, entry.work, now)
    entry.classState.refused()
    if (entry.demand.urgent) reservedSlots.answered(false, entry.classState.requestClass.target.quantile)
    const backlog = waiting.work() / currentRate()
    return { kind: 'refuse', id: attempt.id, code, retryAfter: code === 'no-upstream' ? NO_UPSTREAM_RETRY : retryAfter(backlog, random) }
  }

  function dispatchWaiting (now: Milliseconds): SchedulerEffect[] {
    const effects: SchedulerEffect[] = []
    const reserved = reservedSlots.perUpstream(fleet)
    const blocked = new Set<number>()
    const entries = waiting.entries()
    let index = 0
    while (index < entries.length) {
      const entry = entries[index] as WaitingAttempt
      const kind = placementKind(entry.demand)
      const placement = blocked.has(kind) ? undefined : fleet.choose(entry.demand, reserved, now)
      if (placement !== undefined) {
        const better = findBetterFit(index, entry, placement, reserved, now)
        effects.push(dispatch(better.entry, better.placement, now))
      } else {
        if (kind !== RESTRICTED) blocked.add(kind)
        index += 1
      }
    }
    return effects
  }

  /**
   * Of the next few attempts without urgency, selects the one with the smallest share of its prompt left to compute. The
   * first one is selected in any case if its latest start is close.
   */
  function findBetterFit (index: number, entry: WaitingAttempt, placement: Placement, reserved: number, now: Milliseconds): Fit {
    const first = { entry, placement }
    if (entry.demand.urgent || entry.latestStart - now < MIN_SLACK || entry.demand.blocks.length === 0) return first
    const kind = placementKind(entry.demand)
    let best: Fit = first
    for (const other of waiting.entries().slice(index + 1, index + LOOKAHEAD)) {
      if (placementKind(other.demand) !== kind) continue
      const fit = fleet.choose(other.demand, reserved, now)
      if (fit !== undefined && computedShare(other, fit) < computedShare(best.entry, best.placement) - MIN_SAVED_SHARE) best = { entry: other, placement: fit }
    }
    return best
  }

  function firstLate (now: Milliseconds): number {
    const total = currentRate()
    return waiting.firstLate(total, Math.max(total * MIN_NON_URGENT_SHARE, total - urgentDemand.perMillisecond(now)), now)
  }

  /** Refuses attempts until all others are expected to start in time. */
  function shed (now: Milliseconds): SchedulerEffect[] {
    const effects: SchedulerEffect[] = []
    if (fleet.size() === 0) return refuseAll(now)
    for (let index = firstLate(now); index >= 0; index = firstLate(now)) {
      const victim = chooseVictim(waiting.entries(), index, shares, now)
      const code = shares.relative(victim.attempt.organisation, now) > ABOVE_SHARE_FACTOR ? 'organisation-limit' : 'overloaded'
      effects.push(refuse(victim, code, now))
    }
    return effects
  }

  function refuseAll (now: Milliseconds): SchedulerEffect[] {
    const refused = waiting.entries().filter((entry) => !entry.attempt.accepted)
    return refused.map((entry) => refuse(entry, 'no-upstream', now))
  }

  function advance (now: Milliseconds): SchedulerEffect[] {
    rate.update(waiting.size() > 0, now)
    const dispatched = dispatchWaiting(now)
    return waiting.size() === 0 ? dispatched : [...dispatched, ...shed(now)]
  }

  /** Counts each attempt whose first token is overdue as a failure of its upstream, once. */
  function reportStalled (now: Milliseconds): void {
    for (const [id, started] of awaitingFirstToken) {
      if (now < started.stalledAt) continue
      awaitingFirstToken.delete(id)
      fleet.stalled(started.placement.upstream, now)
    }
  }

  function answered (started: RunningAttempt, usage: Usage, now: Milliseconds): void {
    const { attempt, classState, demand, placement } = started
    const { target } = classState.requestClass
    const startedAt = started.firstTokenAt ?? now
    fleet.answerObserved(placement, demand, usage, startedAt - started.sentAt, now - started.sentAt, now)
    if (demand.urgent) reservedSlots.answered(classState.inTime(attempt, started.firstTokenAt, now), target.quantile)
    if (target.between_tokens_ms !== undefined && usage.completion_tokens > 1) {
      fleet.tokenTimeObserved((now - startedAt) / (usage.completion_tokens - 1) <= target.between_tokens_ms, target.quantile)
    }
    if (attempt.tokensSoFar === 0) classState.answered(attempt.maxTokens, usage.completion_tokens)
  }

  return {
    fleet,
    arrived: (attempt, classState, now) => {
      rate.update(waiting.size() > 0, now)
      const entry = entryOf(attempt, classState, now)
      if (entry.demand.urgent) urgentDemand.add(entry.work, now)
      waiting.add(entry)
      shares.admitted(attempt.organisation, attempt.class, entry.work, now)
      return advance(now)
    },
    firstToken: (id, now) => {
      const started = running.get(id)
      if (started === undefined || started.firstTokenAt !== undefined) return
      started.firstTokenAt = now
      awaitingFirstToken.delete(id)
      fleet.firstToken(started.placement)
    },
    ended: (id, result, now) => {
      if (waiting.remove(id)?.demand.apart) fleet.cancelIsolation()
      const started = running.get(id)
      if (started !== undefined) finish(started, result, now)
      return advance(now)
    },
    advance,
    tick: (now) => {
      reportStalled(now)
      return advance(now)
    }
  }

  function finish (started: RunningAttempt, result: AttemptResult, now: Milliseconds): void {
    const { attempt, demand, placement } = started
    running.delete(attempt.id)
    awaitingFirstToken.delete(attempt.id)
    reservedSlots.ended(demand.urgent)
    fleet.released(placement, demand, started.firstTokenAt !== undefined, now)
    switch (result.kind) {
      case 'whole':
        answered(started, result.usage, now)
        break
      case 'failed':
        fleet.failed(placement, result.upstreamDied, now)
        break
      case 'withdrawn':
        fleet.withdrawn(placement.upstream)
        break
    }
  }
}

/** An attempt and its placement. */
interface Fit {
  readonly entry: WaitingAttempt
  readonly placement: Placement
}

/** Share of the prompt that is not cached at the upstream and must be computed. */
function computedShare (entry: WaitingAttempt, placement: Placement): number {
  return placement.computedTokens / Math.max(1, entry.demand.promptTokens)
}

/** Kind of attempts that may run only at some of the upstreams with a free slot. */
const RESTRICTED = -1

/** Kind of an attempt. Attempts of the same kind can be placed at the same upstreams, except those of kind RESTRICTED. */
function placementKind (demand: AttemptDemand): number {
  if (demand.apart || demand.adapter !== undefined || demand.excluded.length > 0) return RESTRICTED
  return (demand.urgent ? 1 : 0) + (demand.probe ? 2 : 0)
}
