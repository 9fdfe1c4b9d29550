/** Executes the decisions of the scheduler. Attempts wait here until they are placed or refused. */
import type { AttemptResult, PendingAttempt, Scheduler, SchedulerEffect, SchedulerEvent } from '../admission/index.js'
import type { Clock } from '../clock.js'
import type { Configuration } from '../configuration/index.js'
import type { RequestId } from '../identifiers.js'
import type { UpstreamView } from '../upstream/index.js'
import { ServingError } from '../verdict.js'
import type { UpstreamDirectory } from './upstream-directory.js'

/** Upstream at which an attempt runs. */
export interface Placement {
  readonly upstream: UpstreamView
  /** Priority at the engine. Lower values run earlier. */
  readonly priority: number
  /** Handle of an existing stream to attach to. Undefined if a new stream starts. */
  readonly handle: string | undefined
}

/** Interface of the node to the scheduler. */
export interface Dispatcher {
  /**
   * Waits until the scheduler assigns an upstream to the attempt.
   *
   * @throws ServingError with verdict `not-run` if the scheduler refuses the attempt or the signal aborts first
   */
  place (attempt: PendingAttempt, signal: AbortSignal): Promise<Placement>
  /** Reports the first token of a placed attempt to the scheduler. */
  firstToken (id: RequestId): void
  /** Ends a placed attempt. */
  ended (id: RequestId, result: AttemptResult): void
  /** Passes any other event to the scheduler. */
  notify (event: SchedulerEvent): void
  /** Number of attempts that wait for an upstream. */
  waiting (): number
}

/** An attempt that waits for the decision of the scheduler. */
interface Waiter {
  readonly attempt: PendingAttempt
  readonly place: (placement: Placement) => void
  readonly refuse: (failure: ServingError) => void
}

/** Options of a dispatcher. */
export interface DispatcherOptions {
  readonly scheduler: Scheduler
  readonly directory: UpstreamDirectory
  /** Returns the configuration in force. */
  readonly configuration: () => Configuration | undefined
  readonly clock: Clock
}

/**
 * Creates a dispatcher without waiting attempts.
 *
 * @example
 * const dispatcher = createDispatcher({ scheduler, directory, configuration, clock })
 * const { upstream, priority } = await dispatcher.place(attempt, signal)
 */
export function createDispatcher (options: DispatcherOptions): Dispatcher {
  const { scheduler, directory, clock } = options
  const waiters = new Map<RequestId, Waiter>()
  let schedulerConfiguration: Configuration | undefined

  /**
   * Passes an event to the scheduler, preceded by the configuration if it has changed.
   *
   * Failure guarded against: a caller receives the confirmation of a revision and immediately sends a request of a
   * class that the revision adds. If the scheduler received the revision only with its next tick, it would refuse the
   * request because it knows no upstream for the class. Every decision is therefore based on the revision in force.
   */
  function handle (event: SchedulerEvent): void {
    const current = options.configuration()
    if (current !== undefined && current !== schedulerConfiguration) {
      schedulerConfiguration = current
      applyEvent({ kind: 'configured', configuration: current })
    }
    applyEvent(event)
  }

  function applyEvent (event: SchedulerEvent): void {
    for (const effect of scheduler.handle(event, clock.now())) applyEffect(effect)
  }

  function applyEffect (effect: SchedulerEffect): void {
    const waiter = waiters.get(effect.id)
    if (waiter === undefined) return
    switch (effect.kind) {
      case 'dispatch': return dispatch(effect, waiter)
      case 'refuse':
        waiters.delete(effect.id)
        return waiter.refuse(refusalFailure(effect))
    }
  }

  /**
   * Places an attempt at the upstream that the scheduler chose.
   *
   * Failure guarded against: the upstream disappears from the directory between the decision and the dispatch, and an
   * accepted answer is lost. The attempt is submitted to the scheduler again, with the current upstreams.
   */
  function dispatch (effect: Extract<SchedulerEffect, { kind: 'dispatch' }>, waiter: Waiter): void {
    const upstream = directory.find(effect.upstream)
    if (upstream !== undefined) {
      waiters.delete(effect.id)
      return waiter.place({ upstream, priority: effect.priority, handle: undefined })
    }
    handle({ kind: 'ended', id: effect.id, result: { kind: 'withdrawn' } })
    handle({ kind: 'upstreams', upstreams: directory.views() })
    handle({ kind: 'arrived', attempt: waiter.attempt })
  }

  return {
    place: (attempt, signal) => new Promise((resolve, reject) => {
      const withdraw = (): void => {
        waiters.delete(attempt.id)
        handle({ kind: 'ended', id: attempt.id, result: { kind: 'withdrawn' } })
        reject(new ServingError('withdrawn before it was dispatched', { code: 'cancelled', verdict: 'not-run', cause: signal.reason }))
      }
      if (signal.aborted) return reject(new ServingError('withdrawn before it was dispatched', { code: 'cancelled', verdict: 'not-run' }))
      signal.addEventListener('abort', withdraw, { once: true })
      const settle = <T>(settled: (value: T) => void) => (value: T): void => {
        signal.removeEventListener('abort', withdraw)
        settled(value)
      }
      waiters.set(attempt.id, { attempt, place: settle(resolve), refuse: settle(reject) })
      handle({ kind: 'arrived', attempt })
    }),
    firstToken: (id) => handle({ kind: 'first-token', id }),
    ended: (id, result) => handle({ kind: 'ended', id, result }),
    notify: handle,
    waiting: () => waiters.size
  }
}

function refusalFailure (effect: Extract<SchedulerEffect, { kind: 'refuse' }>): ServingError {
  return new ServingError(REFUSAL_MESSAGES[effect.code], { code: effect.code, verdict: 'not-run', retryAfter: effect.retryAfter })
}

const REFUSAL_MESSAGES: Record<Extract<SchedulerEffect, { kind: 'refuse' }>['code'], string> = {
  overloaded: 'the class\'s target cannot be met now',
  'organisation-limit': 'the organisation uses its share already',
  'no-upstream': 'no upstream of the service is live'
}
