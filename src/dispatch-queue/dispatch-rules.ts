/** Rules about one request: how long a wait at an upstream it accepts, whether it can still be served, which others it may overtake. */
import type { Milliseconds } from '../clock.js'
import type { Offer, QueuedRequest } from './types.js'
import { overtakableUntil } from './waiting-order.js'
import type { WaitingEntry } from './waiting-order.js'

/** Share of its target that a request may wait inside an upstream when it can only be late. */
const LATE_WAIT_FRACTION = 1 / 4

/** Share of the target for which a request waits at the node while no upstream is available. */
const UNAVAILABLE_WAIT_FRACTION = 1 / 8

/** Minimum of that wait. */
const MIN_UNAVAILABLE_WAIT: Milliseconds = 50

/** Share of the target after which a request that waits for a busy upstream is overdue. */
const OVERDUE_FRACTION = 1 / 2

/**
 * Maximum share of a request's whole time that its own predicted prefill may take up.
 *
 * Failure guarded against: while the speed of engines is estimated too low, all long prompts appear to need more time than
 * they have. If they were all refused, no sample would ever correct the estimate.
 */
const MAX_OWN_FRACTION = 1 / 2

/**
 * Wait that a request accepts inside an upstream however much time it has left.
 *
 * @param shared maximum wait that keeps the upstream usable for more urgent requests
 * @example
 * lateWait(request, targets.maxWait(request.rank, request.target, now))
 */
export function lateWait ({ target }: QueuedRequest<Offer>, shared: Milliseconds): Milliseconds {
  return Math.min(target * LATE_WAIT_FRACTION, shared)
}

/**
 * Whether a request is dispatched to the offered upstream now: its first answer will be in time there, or the wait is
 * short, and the queue inside the upstream stays short enough for more urgent requests.
 *
 * @param shared maximum wait that keeps the upstream usable for more urgent requests
 * @example
 * if (isAcceptable(request, choice, shared, now)) dispatch(request, choice)
 */
export function isAcceptable (request: QueuedRequest<Offer>, { waiting, reading }: Offer, shared: Milliseconds, now: Milliseconds): boolean {
  if (request.answering) return true
  const timelyWait = latestStart(request, reading) - now
  return waiting <= Math.max(lateWait(request, shared), Math.min(timelyWait, shared))
}

/**
 * Whether the first answer cannot arrive before the request's limit.
 *
 * @param backlog time that the requests before it need
 * @example
 * if (isHopeless(request, choice, 0, now)) refuse(request)
 */
export function isHopeless (request: QueuedRequest<Offer>, { waiting, reading }: Offer, backlog: Milliseconds, now: Milliseconds): boolean {
  return !request.answering && now + waiting + backlog > latestUsefulStart(request, reading)
}

/**
 * Latest time of dispatch to an idle upstream at which the first answer is in time.
 *
 * @example
 * latestStart(request, choice.reading)
 */
export function latestStart ({ arrival, target, base }: QueuedRequest<Offer>, reading: Milliseconds): Milliseconds {
  return arrival + target - base - reading
}

/**
 * Latest time of dispatch to an idle upstream at which an answer can arrive before the limit.
 *
 * @example
 * latestUsefulStart(request, choice.reading)
 */
export function latestUsefulStart ({ arrival, limit, base }: QueuedRequest<Offer>, reading: Milliseconds): Milliseconds {
  return limit - Math.min(base + reading, (limit - arrival) * MAX_OWN_FRACTION)
}

/**
 * Time until which a request waits although no upstream is available.
 *
 * @param since time since which none is
 * @example
 * if (now >= unavailableUntil(request, since)) refuse(request)
 */
export function unavailableUntil ({ target, limit }: QueuedRequest<Offer>, since: Milliseconds): Milliseconds {
  return Math.min(limit, since + Math.max(MIN_UNAVAILABLE_WAIT, target * UNAVAILABLE_WAIT_FRACTION))
}

/**
 * Time at which a waiting request is overdue.
 *
 * Failure guarded against: reports of load are up to 2 s old. A request that waits for an upstream that is only
 * believed to be busy must not wait until its limit.
 *
 * @example
 * overdueAt(entry)
 */
export function overdueAt ({ request, joinedAt }: WaitingEntry<Offer>): Milliseconds {
  return joinedAt + request.target * OVERDUE_FRACTION
}

/**
 * Whether a request may be dispatched before another one that precedes it in the order and cannot be dispatched now. A
 * less urgent request may not, nor may one that arrived too much later.
 *
 * @example
 * if (blocked.every((before) => mayOvertake(entry, before))) consider(entry)
 */
export function mayOvertake ({ request }: WaitingEntry<Offer>, before: WaitingEntry<Offer>): boolean {
  if (before.request.restricted || before.unavailableSince !== undefined) return true
  return request.rank === before.request.rank && request.arrival <= overtakableUntil(before.request)
}
