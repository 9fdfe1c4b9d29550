/** Order, refusal and dispatch for the attempts of one service at one node. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { RequestId } from '../identifiers.js'
import type { Random } from '../random.js'
import { createServiceFleet } from '../upstream/index.js'
import type { AttemptDemand, Placement, ServiceFleet, Usage } from '../upstream/index.js'
import type { ClassState } from './class-state.js'
import { createDecayedRate } from './decayed-rate.js'
import { createFairShare } from './fair-share.js'
import { createFreePlaces } from './free-places.js'
import { retryAfter } from './retry-after.js'
import { createServiceRate } from './service-rate.js'
import type { AttemptResult, PendingAttempt, RefusalCode, SchedulerEffect } from './types.js'
import { chooseVictim } from './victim.js'
import { createWaitingList } from './waiting.js'
import type { WaitingAttempt } from './waiting.js'

/** The scheduler of one service. */
export interface ServiceScheduler {
  readonly fleet: ServiceFleet
  arrived (attempt: PendingAttempt, classState: ClassState, now: Milliseconds): SchedulerEffect[]
  firstToken (id: RequestId, now: Milliseconds): void
  ended (id: RequestId, result: AttemptResult, now: Milliseconds): SchedulerEffect[]
  /** Dispatches and refuses after anything else changed. */
  advance (now: Milliseconds): SchedulerEffect[]
  tick (now: Milliseconds): SchedulerEffect[]
}

interface RunningAttempt {
  readonly attempt: PendingAttempt
  readonly classState: ClassState
  readonly demand: AttemptDemand
  readonly placement: Placement
  readonly sentAt: Milliseconds
  /** Without a first token by then, the attempt counts against its upstream. */
  readonly stalledAt: Milliseconds
  firstTokenAt: Milliseconds | undefined
}

const NO_UPSTREAM_RETRY: Milliseconds = 2 * SECOND

/** A first token is overdue after this many times its expected time, and never earlier than the bound. */
const STALL_FACTOR = 4
const SHORTEST_STALL: Milliseconds = 2 * SECOND

/** A class whose whole answers are due sooner notices a standstill sooner: after this part of its target. */
const STALL_PART = 0.25

/** An organisation with this many times the mean use is told that it is above its share. */
const ABOVE_SHARE = 1.25

/** Waiting attempts looked at for one place, to find the prompt that is cached best there. */
const LOOK_AHEAD = 6

/** An attempt with less patience left is not passed over. */
const LEAST_SLACK: Milliseconds = SECOND

/** Share of a prompt that must be saved to pass over an earlier attempt. */
const WORTHWHILE = 0.2

/** Whatever urgent work is expected, this part of the rate counts as left for the rest. */
const LEAST_PATIENT_SHARE = 0.1

/** Part of its patience by which an attempt is moved back when its organisation had twice the mean. */
const SHARE_DELAY = 1
const MOST_ABOVE = 4

/**
 * Tokens of an answer that has begun are lost when it waits too long: it goes before all new work.
 */
const ACCEPTED_ADVANCE: Milliseconds = 3_600 * SECOND

/**
 * @example
 * const service = createServiceScheduler(createRandom(1))
 * const effects = service.arrived(attempt, classState, now)
 */
export function createServiceScheduler (random: Random): ServiceScheduler {
  const fleet = createServiceFleet(random)
  const waiting = createWaitingList()
  const shares = createFairShare()
  const rate = createServiceRate()
  const places = createFreePlaces()
  const urgentDemand = createDecayedRate()
  const running = new Map<RequestId, RunningAttempt>()
  /** Running attempts without a first token. */
  const unstarted = new Map<RequestId, RunningAttempt>()

  function currentRate (): number {
    return rate.value(fleet.size() * fleet.share())
  }

  function entryOf (attempt: PendingAttempt, classState: ClassState, now: Milliseconds): WaitingAttempt {
    const demand = classState.demandOf(attempt)
    const patience = classState.patience(fleet.expect(demand))
    const latestStart = attempt.arrivedAt + patience
    const order = attempt.accepted ? latestStart - ACCEPTED_ADVANCE : latestStart + fairDelay(attempt, patience, now)
    return { attempt, classState, demand, work: fleet.work(demand), latestStart, order, since: now }
  }

  /**
   * Failure guarded against: a flood of one organisation that is first in the queue. Others would wait
   * behind all of it. So each attempt is moved back by the time that the waiting work of its own
   * organisation and class takes, and by what its organisation had above the mean lately.
   */
  function fairDelay (attempt: PendingAttempt, patience: Milliseconds, now: Milliseconds): Milliseconds {
    const above = Math.min(MOST_ABOVE, Math.max(0, shares.relative(attempt.organisation, now) - 1))
    return above * patience * SHARE_DELAY + waiting.workOf(attempt.organisation, attempt.class) / currentRate()
  }

  function dispatch (entry: WaitingAttempt, placement: Placement, now: Milliseconds): SchedulerEffect {
    const { attempt, classState, demand } = entry
    const expected = fleet.expect(demand).firstToken
    const shortest = Math.min(SHORTEST_STALL, classState.requestClass.target.whole_answer_ms * STALL_PART)
    const stalledAt = now + Math.max(shortest, STALL_FACTOR * expected)
    const started = { attempt, classState, demand, placement, sentAt: now, stalledAt, firstTokenAt: undefined }
    waiting.remove(attempt.id)
    running.set(attempt.id, started)
    unstarted.set(attempt.id, started)
    fleet.sent(placement, demand, now)
    if (now > entry.since) rate.dispatched(entry.work)
    places.sent(demand.urgent)
    classState.dispatched()
    return { kind: 'dispatch', id: attempt.id, upstream: placement.upstream, priority: Math.max(0, Math.round(entry.latestStart - now)) }
  }

  function refuse (entry: WaitingAttempt, code: RefusalCode, now: Milliseconds): SchedulerEffect {
    const { attempt } = entry
    waiting.remove(attempt.id)
    if (attempt.apart) fleet.cancelIsolation()
    shares.returned(attempt.organisation, attempt.class, entry.work, now)
    entry.classState.refused()
    if (entry.demand.urgent) places.answered(false, entry.classState.requestClass.target.quantile)
    const backlog = waiting.work() / currentRate()
    return { kind: 'refuse', id: attempt.id, code, retryAfter: code === 'no-upstream' ? NO_UPSTREAM_RETRY : retryAfter(backlog, random) }
  }

  function serve (now: Milliseconds): SchedulerEffect[] {
    const effects: SchedulerEffect[] = []
    const spare = places.kept(fleet)
    const blocked = new Set<number>()
    const entries = waiting.entries()
    let index = 0
    while (index < entries.length) {
      const entry = entries[index] as WaitingAttempt
      const kind = kindOf(entry.demand)
      const placement = blocked.has(kind) ? undefined : fleet.choose(entry.demand, spare, now)
      if (placement !== undefined) {
        const better = betterFit(index, entry, placement, spare, now)
        effects.push(dispatch(better.entry, better.placement, now))
      } else {
        if (kind !== SPECIAL) blocked.add(kind)
        index += 1
      }
    }
    return effects
  }

  /**
   * Of the next few attempts that can wait, the one whose prompt is cached best where there is room.
   * The first one goes anyway as soon as little of its patience is left.
   */
  function betterFit (index: number, entry: WaitingAttempt, placement: Placement, spare: number, now: Milliseconds): Fit {
    const first = { entry, placement }
    if (entry.demand.urgent || entry.latestStart - now < LEAST_SLACK || entry.demand.blocks.length === 0) return first
    const kind = kindOf(entry.demand)
    let best: Fit = first
    for (const other of waiting.entries().slice(index + 1, index + LOOK_AHEAD)) {
      if (kindOf(other.demand) !== kind) continue
      const fit = fleet.choose(other.demand, spare, now)
      if (fit !== undefined && computedShare(other, fit) < computedShare(best.entry, best.placement) - WORTHWHILE) best = { entry: other, placement: fit }
    }
    return best
  }

  function firstLate (now: Milliseconds): number {
    const all = currentRate()
    return waiting.firstLate(all, Math.max(all * LEAST_PATIENT_SHARE, all - urgentDemand.perMillisecond(now)), now)
  }

  function shed (now: Milliseconds): SchedulerEffect[] {
    const effects: SchedulerEffect[] = []
    if (fleet.size() === 0) return refuseAll(now)
    for (let index = firstLate(now); index >= 0; index = firstLate(now)) {
      const victim = chooseVictim(waiting.entries(), index, shares, now)
      const code = shares.relative(victim.attempt.organisation, now) > ABOVE_SHARE ? 'organisation-limit' : 'overloaded'
      effects.push(refuse(victim, code, now))
    }
    return effects
  }

  function refuseAll (now: Milliseconds): SchedulerEffect[] {
    const refused = waiting.entries().filter((entry) => !entry.attempt.accepted)
    return refused.map((entry) => refuse(entry, 'no-upstream', now))
  }

  function advance (now: Milliseconds): SchedulerEffect[] {
    rate.passed(waiting.size() > 0, now)
    const dispatched = serve(now)
    return waiting.size() === 0 ? dispatched : [...dispatched, ...shed(now)]
  }

  function strikeStalled (now: Milliseconds): void {
    for (const [id, started] of unstarted) {
      if (now < started.stalledAt) continue
      unstarted.delete(id)
      fleet.stalled(started.placement.upstream, now)
    }
  }

  function answered (started: RunningAttempt, usage: Usage, now: Milliseconds): void {
    const { attempt, classState, demand, placement } = started
    const { target } = classState.requestClass
    const startedAt = started.firstTokenAt ?? now
    fleet.answerObserved(placement, demand, usage, startedAt - started.sentAt, now - started.sentAt, now)
    if (demand.urgent) places.answered(classState.inTime(attempt, started.firstTokenAt, now), target.quantile)
    if (target.between_tokens_ms !== undefined && usage.completion_tokens > 1) {
      fleet.tokenTimeObserved((now - startedAt) / (usage.completion_tokens - 1) <= target.between_tokens_ms, target.quantile)
    }
    if (attempt.tokensSoFar === 0) classState.answered(attempt.maxTokens, usage.completion_tokens)
  }

  return {
    fleet,
    arrived: (attempt, classState, now) => {
      rate.passed(waiting.size() > 0, now)
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
      unstarted.delete(id)
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
      strikeStalled(now)
      return advance(now)
    }
  }

  function finish (started: RunningAttempt, result: AttemptResult, now: Milliseconds): void {
    const { attempt, demand, placement } = started
    running.delete(attempt.id)
    unstarted.delete(attempt.id)
    places.ended(demand.urgent)
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

interface Fit {
  readonly entry: WaitingAttempt
  readonly placement: Placement
}

function computedShare (entry: WaitingAttempt, placement: Placement): number {
  return placement.computedTokens / Math.max(1, entry.demand.promptTokens)
}

/** Attempts that not every upstream with room may take. */
const SPECIAL = -1

/** Attempts of one kind have room at the same upstreams. */
function kindOf (demand: AttemptDemand): number {
  if (demand.apart || demand.adapter !== undefined || demand.excluded.length > 0) return SPECIAL
  return (demand.urgent ? 1 : 0) + (demand.probe ? 2 : 0)
}
