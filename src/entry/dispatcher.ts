/** Carries out what the scheduler decides: attempts wait here until they are placed or refused. */
import type { AttemptResult, PendingAttempt, Scheduler, SchedulerEffect, SchedulerEvent } from '../admission/index.js'
import type { Clock } from '../clock.js'
import type { Configuration } from '../configuration/index.js'
import type { RequestId } from '../identifiers.js'
import type { UpstreamView } from '../upstream/index.js'
import { ServingError } from '../verdict.js'
import type { UpstreamDirectory } from './upstream-directory.js'

/** Where an attempt runs. */
export interface Placement {
  readonly upstream: UpstreamView
  /** Smaller runs earlier at the engine. */
  readonly priority: number
  /** The stream to attach to; undefined when a new one begins. */
  readonly handle: string | undefined
}

/** The scheduler as the rest of the node uses it. */
export interface Dispatcher {
  /**
   * Waits for an upstream.
   *
   * @throws ServingError `not-run` when the scheduler refuses, or when the signal aborts first
   */
  place (attempt: PendingAttempt, signal: AbortSignal): Promise<Placement>
  firstToken (id: RequestId): void
  /** Ends a placed attempt. */
  ended (id: RequestId, result: AttemptResult): void
  /** Tells the scheduler something else that happened. */
  feed (event: SchedulerEvent): void
  /** Attempts that wait. */
  waiting (): number
}

interface Waiter {
  readonly attempt: PendingAttempt
  readonly place: (placement: Placement) => void
  readonly refuse: (failure: ServingError) => void
}

/** What a dispatcher works with. */
export interface DispatcherOptions {
  readonly scheduler: Scheduler
  readonly directory: UpstreamDirectory
  /** The configuration in force. */
  readonly configuration: () => Configuration | undefined
  readonly clock: Clock
}

/**
 * @example
 * const dispatcher = createDispatcher({ scheduler, directory, configuration, clock })
 * const { upstream, priority } = await dispatcher.place(attempt, signal)
 */
export function createDispatcher (options: DispatcherOptions): Dispatcher {
  const { scheduler, directory, clock } = options
  const waiters = new Map<RequestId, Waiter>()
  let configured: Configuration | undefined

  /**
   * Failure guarded against: a caller that has just been told that a revision is in force sends a request
   * of its new class, and is refused for want of upstreams, since the scheduler hears of the revision only
   * with the next tick. Whatever the scheduler decides, it decides on the revision in force.
   */
  function handle (event: SchedulerEvent): void {
    const current = options.configuration()
    if (current !== undefined && current !== configured) {
      configured = current
      carryOutAll({ kind: 'configured', configuration: current })
    }
    carryOutAll(event)
  }

  function carryOutAll (event: SchedulerEvent): void {
    for (const effect of scheduler.handle(event, clock.now())) carryOut(effect)
  }

  function carryOut (effect: SchedulerEffect): void {
    const waiter = waiters.get(effect.id)
    if (waiter === undefined) return
    switch (effect.kind) {
      case 'dispatch': return dispatch(effect, waiter)
      case 'refuse':
        waiters.delete(effect.id)
        return waiter.refuse(refusal(effect))
    }
  }

  /**
   * Failure guarded against: an upstream vanishes between the decision and its carrying out, and an
   * accepted answer is lost over it. The attempt arrives again and is decided on the present upstreams.
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
    feed: handle,
    waiting: () => waiters.size
  }
}

function refusal (effect: Extract<SchedulerEffect, { kind: 'refuse' }>): ServingError {
  return new ServingError(REFUSALS[effect.code], { code: effect.code, verdict: 'not-run', retryAfter: effect.retryAfter })
}

const REFUSALS: Record<Extract<SchedulerEffect, { kind: 'refuse' }>['code'], string> = {
  overloaded: 'the class\'s target cannot be met now',
  'organisation-limit': 'the organisation uses its share already',
  'no-upstream': 'no upstream of the service is live'
}
