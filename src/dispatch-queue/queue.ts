/**
 * Decides which waiting request of a service is dispatched next, and which one is refused.
 *
 * Load pattern: bursts of one class at 1.5 to 2.5 times its usual rate while a quarter to a half of the engines is gone.
 * An upstream begins urgent requests first at best, and finishes the prompts that it has begun. So a request is dispatched
 * only when the queue inside the upstream is short, and waits here otherwise.
 */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { ClassName } from '../identifiers.js'
import { createFairShare } from '../queueing/index.js'
import type { Random } from '../random.js'
import { isAcceptable, isHopeless, lateWait, latestStart, latestUsefulStart, mayOvertake, overdueAt, unavailableUntil } from './dispatch-rules.js'
import { createDrain } from './drain.js'
import { createRecentTargets } from './recent-targets.js'
import { retryDelay } from './retry-delay.js'
import type { QueueSpace } from './space.js'
import type { DispatchQueue, Offer, QueuedRequest, QueueEffect, QueuePosition, RefusalCause } from './types.js'
import { createWaitingOrder } from './waiting-order.js'
import type { WaitingEntry } from './waiting-order.js'

/** Options of {@link createDispatchQueue}. */
export interface DispatchQueueOptions {
  readonly random: Random
  /** Space of the node, shared with the queues of its other services. */
  readonly space: QueueSpace
  /** Number of upstreams of the service. */
  readonly upstreams: () => number
}

/** Time constant of an organisation's share of the work. */
const SHARE_TIME_CONSTANT: Milliseconds = 5 * SECOND

/** Maximum excess over the mean share that delays a request, as a multiple of the mean. */
const MAX_EXCESS = 4

/** Shares are kept for the service as a whole. */
const ALL_CLASSES = 'all' as ClassName

/**
 * Maximum number of requests for which a busy upstream is found in one call. Each choice compares all upstreams, and under
 * load there are several calls for each request.
 */
const MAX_BLOCKED = 4

/**
 * Minimum time between two dispatches of overdue requests.
 *
 * Failure guarded against: a burst of less urgent requests becomes overdue all at once, and fills the queues inside the
 * upstreams before the urgent requests.
 */
const OVERDUE_PERIOD: Milliseconds = 500

/** Delay of the next decision for a request that was due in this one and was not reached. */
const NEXT_DECISION_DELAY: Milliseconds = 10

/** Time after which a request for a busy upstream is considered again. The pause of another upstream ends without an event. */
const BUSY_RETRY_PERIOD: Milliseconds = 250

/**
 * Time after which a request without an available upstream is considered again. Roll-outs may admit an upstream without
 * an event.
 */
const UNAVAILABLE_RETRY_PERIOD: Milliseconds = 50

/**
 * Creates the queue of one service.
 *
 * @example
 * const queue = createDispatchQueue({ random, space, upstreams: () => 12 })
 * for (const effect of queue.arrived(request, now)) apply(effect)
 */
export function createDispatchQueue<Choice extends Offer> ({ random, space, upstreams }: DispatchQueueOptions): DispatchQueue<Choice> {
  type Request = QueuedRequest<Choice>
  type Entry = WaitingEntry<Choice>
  type Effect = QueueEffect<Choice>

  const entries = new Map<Request, Entry>()
  const order = createWaitingOrder<Choice>()
  const targets = createRecentTargets()
  const shares = createFairShare(SHARE_TIME_CONSTANT)
  const drain = createDrain(upstreams)
  let lastOverdueAt: Milliseconds = -Infinity
  let wakeAt: Milliseconds | undefined

  function sharedWait ({ rank, target }: Request, now: Milliseconds): Milliseconds {
    return targets.maxWait(rank, target, now)
  }

  function createEntry (request: Request, reading: Milliseconds, now: Milliseconds): Entry {
    return { request, joinedAt: now, latestStart: latestStart(request, reading), latestUsefulStart: latestUsefulStart(request, reading), work: workOf(request, reading), unavailableSince: undefined, retryAt: Infinity }
  }

  function add (entry: Entry, now: Milliseconds): void {
    const { request, work } = entry
    entries.set(request, entry)
    order.add(entry)
    order.advance(now)
    space.add(request.bytes)
    // Waiting work counts as well, so that a burst does not first have to be dispatched before others precede it.
    shares.admitted(request.organisation, ALL_CLASSES, work, now)
  }

  function remove ({ request }: Entry): void {
    const entry = entries.get(request)
    if (entry === undefined) return
    entries.delete(request)
    order.remove(entry)
    space.remove(request.bytes)
  }

  function dispatch (entry: Entry, choice: Choice, now: Milliseconds): Effect {
    remove(entry)
    if (now > entry.joinedAt) drain.dispatched(entry.work)
    return { kind: 'dispatch', request: entry.request, choice }
  }

  /** Refuses a waiting request. */
  function refuse (entry: Entry, cause: RefusalCause, backlog: Milliseconds, now: Milliseconds): Effect {
    shares.returned(entry.request.organisation, ALL_CLASSES, entry.work, now)
    remove(entry)
    return refusal(entry.request, cause, backlog, now)
  }

  function refusal (request: Request, cause: RefusalCause, backlog: Milliseconds, now: Milliseconds): Effect {
    return { kind: 'refuse', request, cause, backlog, retryAfter: retryDelay(backlog, request.deadline - now, random) }
  }

  function dispatchAtOnce (request: Request, choice: Choice, now: Milliseconds): Effect[] {
    shares.admitted(request.organisation, ALL_CLASSES, workOf(request, choice.reading), now)
    return [{ kind: 'dispatch', request, choice }]
  }

  function inOrder (now: Milliseconds): Iterable<Entry> {
    return order.inOrder((organisation) => Math.min(MAX_EXCESS, Math.max(0, shares.relative(organisation, now) - 1)))
  }

  function positionOf (request: Request, now: Milliseconds): QueuePosition {
    let requests = 0
    let work = 0
    for (const before of inOrder(now)) {
      if (before.request === request) break
      requests += 1
      work += before.work
    }
    return { requests, work }
  }

  function arrived (request: Request, now: Milliseconds): Effect[] {
    drain.measure(entries.size > 0, now)
    targets.seen(request.rank, request.target, now)
    const choice = request.choose()
    if (choice === undefined) return arrivedWithoutUpstream(request, now)
    if (request.answering) return dispatchAtOnce(request, choice, now)
    if (isHopeless(request, choice, 0, now)) return [refusal(request, 'overloaded', choice.waiting, now)]
    const isAccepted = isAcceptable(request, choice, sharedWait(request, now), now)
    if (isAccepted && entries.size === 0) return dispatchAtOnce(request, choice, now)
    const entry = createEntry(request, choice.reading, now)
    add(entry, now)
    const backlog = drain.timeFor(positionOf(request, now).work)
    if (isHopeless(request, choice, backlog, now)) return settle([refuse(entry, 'overloaded', choice.waiting + backlog, now)], now)
    entry.retryAt = retryTime(entry, choice, now)
    return settle(isAccepted ? decide(now) : [], now)
  }

  function arrivedWithoutUpstream (request: Request, now: Milliseconds): Effect[] {
    const withheld = request.withheld()
    if (now + withheld >= unavailableUntil(request, now)) return [refusal(request, 'no-upstream', withheld, now)]
    const entry = createEntry(request, 0, now)
    markUnavailable(entry, withheld, now)
    add(entry, now)
    return settle([], now)
  }

  function markUnavailable (entry: Entry, withheld: Milliseconds, now: Milliseconds): void {
    entry.unavailableSince ??= now
    entry.retryAt = now + (withheld > 0 ? withheld : UNAVAILABLE_RETRY_PERIOD)
  }

  /** Time at which the wait at the chosen upstream will be acceptable if nothing else changes. */
  function retryTime ({ request }: Entry, { waiting }: Choice, now: Milliseconds): Milliseconds {
    return now + Math.min(BUSY_RETRY_PERIOD, waiting - lateWait(request, sharedWait(request, now)))
  }

  /** Considers one waiting request. Returns undefined if it continues to wait. */
  function consider (entry: Entry, isOverdue: boolean, now: Milliseconds): Effect | undefined {
    const { request } = entry
    const choice = request.choose()
    if (choice === undefined) {
      const withheld = request.withheld()
      markUnavailable(entry, withheld, now)
      const until = unavailableUntil(request, entry.unavailableSince ?? now)
      return now + withheld >= until ? refuse(entry, 'no-upstream', withheld, now) : undefined
    }
    entry.unavailableSince = undefined
    if (isHopeless(request, choice, 0, now)) return refuse(entry, 'overloaded', choice.waiting + drain.timeFor(positionOf(request, now).work), now)
    if (isOverdue || isAcceptable(request, choice, sharedWait(request, now), now)) return dispatch(entry, choice, now)
    entry.retryAt = retryTime(entry, choice, now)
    return undefined
  }

  /** Dispatches the first request for which an upstream is acceptable, and refuses those before it that cannot be served. */
  function decide (now: Milliseconds): Effect[] {
    const effects: Effect[] = []
    const blocked: Entry[] = []
    order.advance(now)
    for (const entry of entries.values()) if (entry.unavailableSince === undefined) entry.retryAt = Infinity
    for (const entry of inOrder(now)) {
      if (blocked.length >= MAX_BLOCKED) break
      if (!blocked.every((before) => mayOvertake(entry, before))) continue
      const effect = consider(entry, false, now)
      if (effect !== undefined) effects.push(effect)
      if (effect?.kind === 'dispatch') return effects
      if (effect === undefined && entry.unavailableSince === undefined) blocked.push(entry)
    }
    return effects
  }

  /** Dispatches the request that has been overdue for longest, if one is. */
  function decideOverdue (now: Milliseconds): Effect[] {
    if (now < lastOverdueAt + OVERDUE_PERIOD) return []
    let longest: Entry | undefined
    for (const entry of entries.values()) {
      if (entry.unavailableSince === undefined && overdueAt(entry) <= now && (longest === undefined || overdueAt(entry) < overdueAt(longest))) longest = entry
    }
    const effect = longest && consider(longest, true, now)
    if (effect?.kind === 'dispatch') lastOverdueAt = now
    return effect === undefined ? [] : [effect]
  }

  /**
   * Refuses a request for which no upstream has been available for too long.
   *
   * Failure guarded against: such a request waits behind more urgent ones that may not be overtaken, and is neither
   * considered nor refused until these have left.
   */
  function recheckUnavailable (entry: Entry, now: Milliseconds): Effect | undefined {
    if (entry.unavailableSince === undefined || dueAt(entry) > now) return undefined
    const choice = entry.request.choose()
    if (choice !== undefined) {
      entry.unavailableSince = undefined
      entry.retryAt = retryTime(entry, choice, now)
      return undefined
    }
    const withheld = entry.request.withheld()
    markUnavailable(entry, withheld, now)
    return now + withheld >= unavailableUntil(entry.request, entry.unavailableSince) ? refuse(entry, 'no-upstream', withheld, now) : undefined
  }

  /** Refuses requests that can no longer be answered before their limit, and the last ones if there are too many. */
  function refuseRest (now: Milliseconds): Effect[] {
    const effects: Effect[] = []
    for (const entry of entries.values()) {
      const unavailable = recheckUnavailable(entry, now)
      if (unavailable !== undefined) effects.push(unavailable)
      else if (entry.latestUsefulStart <= now && !entry.request.answering) effects.push(refuse(entry, 'overloaded', drain.timeFor(totalWork()), now))
    }
    while (space.isExceeded()) {
      const last = [...inOrder(now)].at(-1)
      if (last === undefined) break
      effects.push(refuse(last, 'full', drain.timeFor(totalWork()), now))
    }
    return effects
  }

  function totalWork (): Milliseconds {
    let work = 0
    for (const entry of entries.values()) work += entry.work
    return work
  }

  /** Completes a decision: refuses what cannot wait, and computes when the next decision is due. */
  function settle (effects: Effect[], now: Milliseconds): Effect[] {
    if (entries.size > 0) effects.push(...refuseRest(now))
    scheduleNext(now)
    return effects
  }

  function scheduleNext (now: Milliseconds): void {
    wakeAt = undefined
    for (const entry of entries.values()) {
      const due = dueAt(entry)
      wakeAt = Math.min(wakeAt ?? Infinity, due > now ? due : now + NEXT_DECISION_DELAY)
    }
  }

  function dueAt (entry: Entry): Milliseconds {
    if (entry.unavailableSince !== undefined) return Math.min(entry.retryAt, unavailableUntil(entry.request, entry.unavailableSince))
    return Math.min(entry.retryAt, entry.latestUsefulStart, Math.max(overdueAt(entry), lastOverdueAt + OVERDUE_PERIOD))
  }

  return {
    arrived,
    left: (request, now) => {
      const entry = entries.get(request)
      if (entry === undefined) return
      drain.measure(true, now)
      shares.returned(request.organisation, ALL_CLASSES, entry.work, now)
      remove(entry)
      scheduleNext(now)
    },
    advance: (now) => {
      if (entries.size === 0) return []
      drain.measure(true, now)
      const effects = decide(now)
      return settle(effects.at(-1)?.kind === 'dispatch' ? effects : [...effects, ...decideOverdue(now)], now)
    },
    wakeAt: () => wakeAt,
    size: () => entries.size,
    positionOf
  }
}

/** Expected work of a request, in milliseconds of one upstream. */
function workOf ({ base }: QueuedRequest<Offer>, reading: Milliseconds): Milliseconds {
  return base + reading
}
