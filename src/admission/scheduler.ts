/** The scheduler of one node: it keeps what waits and what runs, and decides where and when. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import { findClass } from '../configuration/index.js'
import type { Configuration } from '../configuration/index.js'
import type { RequestId, UpstreamName } from '../identifiers.js'
import type { Random } from '../random.js'
import { chooseUpstream } from '../upstream/index.js'
import type { UpstreamView } from '../upstream/index.js'
import type { PendingAttempt, Scheduler, SchedulerEffect, SchedulerEvent } from './types.js'

/** Earliest sensible next attempt while no upstream is live. */
const NO_UPSTREAM_RETRY: Milliseconds = 2 * SECOND

interface Running {
  readonly attempt: PendingAttempt
  readonly upstream: UpstreamName
}

/**
 * @param random seeded; equal seeds and equal events give equal effects
 * @example
 * const scheduler = createScheduler({ random: createRandom(1) })
 * for (const effect of scheduler.handle({ kind: 'arrived', attempt }, clock.now())) carryOut(effect)
 */
export function createScheduler (options: { random: Random }): Scheduler {
  const { random } = options
  const waiting = new Map<RequestId, PendingAttempt>()
  const running = new Map<RequestId, Running>()
  const inFlight = new Map<UpstreamName, number>()
  const reserved = new Set<UpstreamName>()
  let configuration: Configuration | undefined
  let upstreams: readonly UpstreamView[] = []

  function count (upstream: UpstreamName): number {
    return inFlight.get(upstream) ?? 0
  }

  function place (attempt: PendingAttempt, now: Milliseconds): SchedulerEffect[] {
    const requestClass = configuration && findClass(configuration, attempt.class)
    if (requestClass === undefined) return giveUp(attempt)
    const served = upstreams
      .filter((view) => view.service === requestClass.service && !attempt.excluded.includes(view.name))
      .map((view) => ({ ...view, inFlight: count(view.name) }))
    const free = served.filter((view) => !reserved.has(view.name) && (!attempt.apart || view.inFlight === 0))
    const chosen = chooseUpstream(free, requestClass.service, new Set(), random)
    if (chosen !== undefined) return start(attempt, chosen.name, requestClass.target.whole_answer_ms, now)
    return served.some((view) => !view.leaving) ? wait(attempt) : giveUp(attempt)
  }

  function start (attempt: PendingAttempt, upstream: UpstreamName, target: Milliseconds, now: Milliseconds): SchedulerEffect[] {
    waiting.delete(attempt.id)
    running.set(attempt.id, { attempt, upstream })
    inFlight.set(upstream, count(upstream) + 1)
    if (attempt.apart) reserved.add(upstream)
    return [{ kind: 'dispatch', id: attempt.id, upstream, priority: Math.round(attempt.arrivedAt + target - now) }]
  }

  function wait (attempt: PendingAttempt): SchedulerEffect[] {
    waiting.set(attempt.id, attempt)
    return []
  }

  function giveUp (attempt: PendingAttempt): SchedulerEffect[] {
    if (attempt.accepted) return wait(attempt)
    waiting.delete(attempt.id)
    return [{ kind: 'refuse', id: attempt.id, code: 'no-upstream', retryAfter: NO_UPSTREAM_RETRY }]
  }

  function release (id: RequestId): void {
    waiting.delete(id)
    const ended = running.get(id)
    if (ended === undefined) return
    running.delete(id)
    inFlight.set(ended.upstream, count(ended.upstream) - 1)
    if (ended.attempt.apart) reserved.delete(ended.upstream)
  }

  function placeWaiting (now: Milliseconds): SchedulerEffect[] {
    return [...waiting.values()].flatMap((attempt) => place(attempt, now))
  }

  return {
    handle: (event: SchedulerEvent, now: Milliseconds): readonly SchedulerEffect[] => {
      switch (event.kind) {
        case 'configured':
          configuration = event.configuration
          return placeWaiting(now)
        case 'upstreams':
          upstreams = event.upstreams
          return placeWaiting(now)
        case 'arrived':
          return place(event.attempt, now)
        case 'ended':
          release(event.id)
          return placeWaiting(now)
        case 'tick':
          return placeWaiting(now)
        case 'load':
        case 'cache':
        case 'nodes':
        case 'first-token':
          return []
      }
    }
  }
}
