/** Waiting requests of a node by service: wakes up the dispatch queues and hands their decisions to the requests. */
import type { Clock, Milliseconds } from '../clock.js'
import { createDispatchQueue, createQueueSpace } from '../dispatch-queue/index.js'
import type { DispatchQueue, QueuedRequest, QueueEffect, QueuePosition } from '../dispatch-queue/index.js'
import type { EventLog } from '../events/index.js'
import type { Choice } from '../placement/index.js'
import type { Random } from '../random.js'
import type { UpstreamView } from './upstream-view.js'

/** Decision about a request. */
export type DispatchDecision = QueueEffect<Choice>

/** The dispatch queues of one node. */
export interface DispatchQueues {
  /** Adds a request. Returns the decision if there is one at once; otherwise the request waits. */
  join (service: string, request: QueuedRequest<Choice>): DispatchDecision | undefined
  /**
   * Waits for the decision about a request that has joined and got none.
   *
   * @param signal must not have been aborted yet
   * @returns undefined if the signal was aborted meanwhile; the request has then left the queue
   */
  decision (service: string, request: QueuedRequest<Choice>, signal: AbortSignal): Promise<DispatchDecision | undefined>
  /** What is before a waiting request. */
  positionOf (service: string, request: QueuedRequest<Choice>): QueuePosition
  /** Upstreams or their load have changed. */
  wake (): void
  /** Number of waiting requests by service. */
  sizes (): Record<string, number>
}

/** Options of {@link createDispatchQueues}. */
export interface DispatchQueuesOptions {
  readonly clock: Clock
  readonly random: Random
  readonly log: EventLog
  /** Number of upstreams of a service. */
  readonly upstreamCount: (service: string) => number
}

interface ServiceQueue {
  readonly service: string
  readonly queue: DispatchQueue<Choice>
  readonly waiters: Map<QueuedRequest<Choice>, (decision: DispatchDecision) => void>
  timer: { readonly due: Milliseconds, readonly controller: AbortController } | undefined
  isWoken: boolean
  isFilling: boolean
}

/** Number of waiting requests from which a queue is reported. Fewer wait and are dispatched again in normal operation. */
const FILLING_SIZE = 10

/**
 * Creates the queues of one node.
 *
 * @example
 * const queues = createDispatchQueues({ clock, random, log, upstreamCount })
 * const decision = queues.join('plans', request) ?? await queues.decision('plans', request, signal)
 */
export function createDispatchQueues ({ clock, random, log, upstreamCount }: DispatchQueuesOptions): DispatchQueues {
  const services = new Map<string, ServiceQueue>()
  const space = createQueueSpace()

  function queueOf (service: string): ServiceQueue {
    const known = services.get(service)
    if (known !== undefined) return known
    const queue = createDispatchQueue<Choice>({ random, space, upstreams: () => upstreamCount(service) })
    const created: ServiceQueue = { service, queue, waiters: new Map(), timer: undefined, isWoken: false, isFilling: false }
    services.set(service, created)
    return created
  }

  function apply (known: ServiceQueue, effects: readonly DispatchDecision[]): void {
    for (const effect of effects) known.waiters.get(effect.request)?.(effect)
    reportSize(known)
    setTimer(known)
  }

  function reportSize (known: ServiceQueue): void {
    const size = known.queue.size()
    if (!known.isFilling && size >= FILLING_SIZE) {
      known.isFilling = true
      log.info('dispatch-queue-filling', { service: known.service, size })
    } else if (known.isFilling && size === 0) {
      known.isFilling = false
      log.info('dispatch-queue-empty', { service: known.service })
    }
  }

  /** Sets the timer for the next decision that is due. A timer that is due earlier is kept. */
  function setTimer (known: ServiceQueue): void {
    const due = known.queue.wakeAt()
    if (due !== undefined && known.timer !== undefined && known.timer.due <= due) return
    known.timer?.controller.abort()
    known.timer = undefined
    if (due === undefined) return
    const timer = { due, controller: new AbortController() }
    known.timer = timer
    clock.sleep(Math.max(0, due - clock.now()), timer.controller.signal).then(() => {
      if (known.timer !== timer) return
      known.timer = undefined
      decide(known)
    }, () => {})
  }

  /** A fault of the program in one decision must not end the process. The requests still end at their time limits. */
  function decide (known: ServiceQueue): void {
    known.isWoken = false
    try {
      apply(known, known.queue.advance(clock.now()))
    } catch (error) {
      log.error('dispatch-queue-failed', { service: known.service, error: String((error as Error).stack) })
    }
  }

  return {
    join: (service, request) => {
      const known = queueOf(service)
      const effects = known.queue.arrived(request, clock.now())
      if (effects.length > 0 || known.queue.size() > 0) apply(known, effects)
      return effects.find((effect) => effect.request === request)
    },
    decision: (service, request, signal) => new Promise((resolve) => {
      const known = queueOf(service)

      function finish (decision: DispatchDecision | undefined): void {
        known.waiters.delete(request)
        signal.removeEventListener('abort', leave)
        resolve(decision)
      }

      function leave (): void {
        known.queue.left(request, clock.now())
        apply(known, [])
        wakeService(known)
        finish(undefined)
      }

      known.waiters.set(request, finish)
      signal.addEventListener('abort', leave, { once: true })
    }),
    positionOf: (service, request) => queueOf(service).queue.positionOf(request, clock.now()),
    wake: () => { for (const known of services.values()) wakeService(known) },
    sizes: () => Object.fromEntries([...services.values()].map(({ service, queue }) => [service, queue.size()]))
  }

  /** Decides once about all changes of one turn of the event loop. */
  function wakeService (known: ServiceQueue): void {
    if (known.isWoken || known.queue.size() === 0) return
    known.isWoken = true
    queueMicrotask(() => decide(known))
  }
}

/**
 * Wraps a view so that each change of the upstreams or their load wakes the dispatch queues.
 *
 * @example
 * const upstreams = wakeOnChange(createUpstreamView(backpressure), queues.wake)
 */
export function wakeOnChange (view: UpstreamView, wake: () => void): UpstreamView {
  const waking = <Parameters extends unknown[], Result>(change: (...parameters: Parameters) => Result) => (...parameters: Parameters): Result => {
    const result = change(...parameters)
    wake()
    return result
  }
  return {
    ...view,
    put: waking(view.put),
    remove: waking(view.remove),
    noteLeaving: waking(view.noteLeaving),
    forget: waking(view.forget),
    retainOnly: waking(view.retainOnly),
    observe: waking(view.observe),
    notePrefill: waking(view.notePrefill),
    begin: (...parameters) => {
      const open = view.begin(...parameters)
      // The queue dispatches the next request once this one counts as load.
      wake()
      return { ...open, answered: waking(open.answered), end: waking(open.end) }
    }
  }
}
