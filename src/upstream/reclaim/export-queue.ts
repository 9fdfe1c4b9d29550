/**
 * Queue of exports over the link of a leaving instance. One export runs at a time, whichever node requested it. After
 * each export the others are checked again with the observed rate. An export that cannot end before the deadline is
 * given up immediately, while there is still time to recompute its stream on another upstream.
 */
import type { Milliseconds } from '../../clock.js'
import type { RequestId } from '../../identifiers.js'
import type { LinkEstimate } from './link.js'

/** Request to run one export over the link. */
export interface ExportRequest {
  readonly id: RequestId
  /** Number of cached tokens to send. */
  readonly tokens: number
  /** Planned start. Exports with a lower rank run first. */
  readonly rank: number
  /** Whether the export is the only way to save the stream. Such an export is not given up before the deadline. */
  readonly required: boolean
}

/** Decision on an export request. */
export interface ExportDecision {
  readonly id: RequestId
  readonly kind: 'go' | 'give-up'
}

/** Export queue of one link. It does no I/O and has no clock. */
export interface ExportQueue {
  /**
   * Adds a request.
   *
   * @returns decisions on this and other requests; a request without a decision stays queued
   */
  enqueue (request: ExportRequest, now: Milliseconds): readonly ExportDecision[]
  /** Records that an export has ended. `moved` means that it succeeded. */
  ended (id: RequestId, moved: boolean, now: Milliseconds): readonly ExportDecision[]
  /** Decides again at the given time. To be called periodically. */
  tick (now: Milliseconds): readonly ExportDecision[]
  /** Sets a new deadline. */
  until (deadline: Milliseconds): void
}

/**
 * Multiple of its expected duration after which a running export counts as overdue. Its node is considered dead and
 * the next export starts.
 */
const OVERDUE_FACTOR = 3

/** The same while the rate of the link is unknown. */
const UNKNOWN_RATE_OVERDUE_FACTOR = 8

/** Minimum time after which a running export counts as overdue. */
const MIN_OVERDUE_TIME: Milliseconds = 500

interface RunningExport {
  readonly request: ExportRequest
  readonly startedAt: Milliseconds
  readonly overdueAt: Milliseconds
}

/**
 * Creates an empty queue.
 *
 * @param estimate records the rate of every successful export
 * @param initialDeadline time at which the link stops being usable
 * @example
 * const queue = createExportQueue(estimate, deadline)
 * for (const decision of queue.enqueue(request, now)) answer(decision)
 */
export function createExportQueue (estimate: LinkEstimate, initialDeadline: Milliseconds): ExportQueue {
  const waiting = new Map<RequestId, ExportRequest>()
  let deadline = initialDeadline
  let current: RunningExport | undefined

  function durationOf (request: ExportRequest): Milliseconds {
    const { rate, setup } = estimate.link()
    return setup + request.tokens / rate
  }

  function decide (now: Milliseconds): readonly ExportDecision[] {
    const ordered = [...waiting.values()].sort((left, right) =>
      Number(right.required) - Number(left.required) || left.rank - right.rank || (left.id < right.id ? -1 : 1))
    const decisions: ExportDecision[] = []
    if (current !== undefined && now >= current.overdueAt) current = undefined
    let freeAt = current === undefined ? now : Math.max(now, current.startedAt + durationOf(current.request))
    for (const request of ordered) {
      const endAt = freeAt + durationOf(request)
      if (endAt > deadline && !(request.required && now < deadline)) {
        decisions.push({ id: request.id, kind: 'give-up' })
        continue
      }
      freeAt = endAt
      if (current !== undefined) continue
      current = start(request, now)
      decisions.push({ id: request.id, kind: 'go' })
    }
    for (const decision of decisions) waiting.delete(decision.id)
    return decisions
  }

  function start (request: ExportRequest, now: Milliseconds): RunningExport {
    const factor = estimate.rate() === undefined ? UNKNOWN_RATE_OVERDUE_FACTOR : OVERDUE_FACTOR
    return { request, startedAt: now, overdueAt: now + MIN_OVERDUE_TIME + factor * durationOf(request) }
  }

  return {
    enqueue: (request, now) => {
      waiting.set(request.id, request)
      return decide(now)
    },
    ended: (id, moved, now) => {
      if (current?.request.id !== id) return []
      if (moved) estimate.observe(current.request.tokens, now - current.startedAt)
      current = undefined
      return decide(now)
    },
    tick: decide,
    until: (changed) => { deadline = changed }
  }
}
