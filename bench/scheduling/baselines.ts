/**
 * Policies to compare with: the usual ways to choose an upstream, without admission and first come
 * first served, and a fixed limit with a bounded queue.
 */
import type { PendingAttempt, Scheduler, SchedulerEffect, SchedulerEvent } from '../../src/admission/index.js'
import type { Milliseconds } from '../../src/clock.js'
import { SECOND } from '../../src/clock.js'
import type { Configuration } from '../../src/configuration/index.js'
import type { ClassName, RequestId, ServiceName, UpstreamName } from '../../src/identifiers.js'
import type { Random } from '../../src/random.js'
import type { UpstreamView } from '../../src/upstream/index.js'

/** A way to choose an upstream. */
export type ChoiceName = 'random' | 'round robin' | 'least in flight' | 'two choices' | 'least reported'

/** Engines' places and nodes, which a fixed limit has to be told. */
export interface FixedLimit {
  readonly perUpstream: number
  readonly longestWait: Milliseconds
}

const RETRY: Milliseconds = 2 * SECOND

/**
 * @param limit none: everything is sent at once
 * @example
 * simulate({ ...options, createPolicy: (random) => createBaseline('two choices', random) })
 */
export function createBaseline (name: ChoiceName, random: Random, limit?: FixedLimit): Scheduler {
  const serviceOf = new Map<ClassName, ServiceName>()
  const inFlight = new Map<UpstreamName, number>()
  const reported = new Map<UpstreamName, number>()
  const placed = new Map<RequestId, UpstreamName>()
  let queue: { attempt: PendingAttempt, since: Milliseconds }[] = []
  let upstreams: readonly UpstreamView[] = []
  let turn = 0

  function count (view: UpstreamView): number {
    return inFlight.get(view.name) ?? 0
  }

  function candidates (attempt: PendingAttempt): UpstreamView[] {
    const service = serviceOf.get(attempt.class)
    return upstreams.filter((view) => view.service === service && !view.leaving && !attempt.excluded.includes(view.name))
  }

  function choose (views: readonly UpstreamView[]): UpstreamView {
    switch (name) {
      case 'random': return random.pick(views)
      case 'round robin': return views[turn++ % views.length] as UpstreamView
      case 'least in flight': return least(views, count)
      case 'two choices': return least([random.pick(views), random.pick(views)], count)
      case 'least reported': return least(views, (view) => reported.get(view.name) ?? 0)
    }
  }

  function least (views: readonly UpstreamView[], value: (view: UpstreamView) => number): UpstreamView {
    const smallest = Math.min(...views.map(value))
    return random.pick(views.filter((view) => value(view) === smallest))
  }

  function place (attempt: PendingAttempt): SchedulerEffect[] {
    const all = candidates(attempt)
    if (all.length === 0) return [{ kind: 'refuse', id: attempt.id, code: 'no-upstream', retryAfter: RETRY }]
    const open = limit === undefined ? all : all.filter((view) => view.protocol === 'plain' || count(view) < limit.perUpstream)
    if (open.length === 0) return []
    const chosen = choose(open)
    inFlight.set(chosen.name, count(chosen) + 1)
    placed.set(attempt.id, chosen.name)
    return [{ kind: 'dispatch', id: attempt.id, upstream: chosen.name, priority: 0 }]
  }

  function drain (now: Milliseconds): SchedulerEffect[] {
    const effects: SchedulerEffect[] = []
    const left: typeof queue = []
    for (const entry of queue) {
      const placing = place(entry.attempt)
      if (placing.length > 0) effects.push(...placing)
      else if (limit !== undefined && now - entry.since > limit.longestWait && !entry.attempt.accepted) {
        effects.push({ kind: 'refuse', id: entry.attempt.id, code: 'overloaded', retryAfter: RETRY })
      } else left.push(entry)
    }
    queue = left
    return effects
  }

  function configure (configuration: Configuration): void {
    for (const requestClass of configuration.classes) serviceOf.set(requestClass.name, requestClass.service)
  }

  function release (id: RequestId): void {
    queue = queue.filter((entry) => entry.attempt.id !== id)
    const upstream = placed.get(id)
    if (upstream === undefined) return
    placed.delete(id)
    inFlight.set(upstream, (inFlight.get(upstream) ?? 1) - 1)
  }

  return {
    handle: (event: SchedulerEvent, now) => {
      switch (event.kind) {
        case 'configured':
          configure(event.configuration)
          return []
        case 'upstreams':
          upstreams = event.upstreams
          return drain(now)
        case 'load':
          reported.set(event.report.upstream, event.report.running + event.report.waiting)
          return []
        case 'arrived':
          queue.push({ attempt: event.attempt, since: now })
          return drain(now)
        case 'ended':
          release(event.id)
          return drain(now)
        case 'tick':
          return drain(now)
        case 'cache':
        case 'nodes':
        case 'first-token':
          return []
      }
    }
  }
}
