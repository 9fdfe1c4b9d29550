/**
 * Requests in progress during a planned stop. Each gets its final answer from the node, unless its answer has begun: a request that waits
 * once it can no longer be sent, and any other one at the cut-off.
 */
import type { Clock } from '../clock.js'
import type { EventLog } from '../events/index.js'
import { bestEffortEnd, mayBegin } from './stopping-rule.js'
import type { StopTimes, UnsentRequest } from './stopping-rule.js'

/** A request that a stop may end. */
export interface StoppableRequest extends UnsentRequest {
  /** Whether an upstream may have begun to run it. */
  hasBegun (): boolean
  /** Ends it with its final answer. */
  abort (): void
}

/** Times of a stop that are known when it is requested. */
export type RequestedTimes = Omit<StopTimes, 'closedAt'>

/** The planned stop of a node, once it has been requested. */
export interface PlannedStop {
  /** Undefined unless the node is stopping. */
  times (): StopTimes | undefined
  /** The stop has been requested. */
  begin (times: RequestedTimes): void
  /** From now on no request is taken. Those that have been taken go on. */
  close (): void
  /** The stop is over, and what is still in progress is ended by the node itself. */
  end (): void
  /** Whether a request may be sent to an upstream now. */
  mayBegin (request: UnsentRequest): boolean
  /** @returns function that ends the watch, to be called when the request has ended */
  watch (request: StoppableRequest): () => void
}

/** Options of {@link createPlannedStop}. */
export interface PlannedStopOptions {
  readonly clock: Clock
  readonly log: EventLog
  /** Whether another node is ready. */
  readonly hasOtherNode: () => boolean
}

/**
 * Creates the stop of a node, not requested yet.
 *
 * @example
 * const plannedStop = createPlannedStop({ clock, log, hasOtherNode })
 * const unwatch = plannedStop.watch(request)
 * plannedStop.begin({ since: now, cutOff: now + 7_600 })
 */
export function createPlannedStop ({ clock, log, hasOtherNode }: PlannedStopOptions): PlannedStop {
  const watched = new Set<StoppableRequest>()
  let cancelTimers: readonly (() => void)[] = []
  let times: StopTimes | undefined

  function isAdmitted (request: UnsentRequest): boolean {
    return times === undefined || mayBegin(times, request, hasOtherNode(), clock.now())
  }

  function endWaiting (): void {
    for (const request of [...watched]) if (!request.hasBegun() && !isAdmitted(request)) request.abort()
  }

  function endAll (): void {
    if (watched.size > 0) log.warn('requests-cut-off', { inFlight: watched.size })
    for (const request of [...watched]) request.abort()
  }

  return {
    times: () => times,
    begin: (requested) => {
      times = { ...requested, closedAt: undefined }
      const now = clock.now()
      cancelTimers = [
        clock.schedule(bestEffortEnd(requested) - now, endWaiting),
        clock.schedule(requested.cutOff - now, endAll)
      ]
    },
    close: () => { if (times !== undefined) times = { ...times, closedAt: clock.now() } },
    // Failure guarded against: the process stays alive for a timer that is no longer needed, and starts again that much later.
    end: () => { for (const cancel of cancelTimers) cancel() },
    mayBegin: isAdmitted,
    watch: (request) => {
      watched.add(request)
      return () => watched.delete(request)
    }
  }
}
