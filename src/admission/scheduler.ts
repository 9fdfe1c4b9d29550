/**
 * The scheduler of one node. Each service has its own queue and its own upstreams. This module passes each event to the
 * service that it concerns.
 */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Configuration } from '../configuration/index.js'
import type { ClassName, RequestId, ServiceName, UpstreamName } from '../identifiers.js'
import type { Random } from '../random.js'
import { partialView, nodesPerUpstream, viewSize } from '../upstream/index.js'
import type { UpstreamView } from '../upstream/index.js'
import { createClassState } from './class-state.js'
import type { ClassState } from './class-state.js'
import { createServiceScheduler } from './service-scheduler.js'
import type { ServiceScheduler } from './service-scheduler.js'
import type { PendingAttempt, Scheduler, SchedulerEffect, SchedulerEvent } from './types.js'

/** Retry delay for attempts of a class that is not configured. */
const UNKNOWN_CLASS_RETRY: Milliseconds = 2 * SECOND

/** Options of {@link createScheduler}. */
export interface SchedulerOptions {
  /** Random source. Equal seeds and equal events give equal effects. */
  readonly random: Random
  /** Name of this node. If it is set, the node uses only a subset of the upstreams of a large service. */
  readonly node?: string
  /** Maximum number of upstreams of one service that this node uses. Derived from the number of nodes by default. */
  readonly maxViewSize?: number
}

/**
 * Creates a scheduler without configuration and upstreams.
 *
 * @example
 * const scheduler = createScheduler({ random: createRandom(1) })
 * for (const effect of scheduler.handle({ kind: 'arrived', attempt }, clock.now())) carryOut(effect)
 */
export function createScheduler (options: SchedulerOptions): Scheduler {
  const services = new Map<ServiceName, ServiceScheduler>()
  const classes = new Map<ClassName, ClassState>()
  const serviceOfUpstream = new Map<UpstreamName, ServiceName>()
  const serviceOfRequest = new Map<RequestId, ServiceName>()
  let upstreams: readonly UpstreamView[] = []
  let nodes = 1

  function configure (configuration: Configuration, now: Milliseconds): SchedulerEffect[] {
    const names = new Set(configuration.classes.map((requestClass) => requestClass.name))
    for (const name of classes.keys()) if (!names.has(name)) classes.delete(name)
    for (const requestClass of configuration.classes) {
      const known = classes.get(requestClass.name)?.requestClass
      if (JSON.stringify(known) !== JSON.stringify(requestClass)) classes.set(requestClass.name, createClassState(requestClass))
    }
    for (const service of configuration.services) {
      if (!services.has(service.name)) services.set(service.name, createServiceScheduler(options.random))
    }
    return updateUpstreams(upstreams, now)
  }

  function updateUpstreams (views: readonly UpstreamView[], now: Milliseconds): SchedulerEffect[] {
    upstreams = views
    serviceOfUpstream.clear()
    for (const view of views) serviceOfUpstream.set(view.name, view.service)
    for (const [name, service] of services) updateService(service, views.filter((view) => view.service === name), now)
    return forEachService((service) => service.advance(now))
  }

  function updateService (service: ServiceScheduler, views: readonly UpstreamView[], now: Milliseconds): void {
    const used = options.node === undefined ? views : partialView(options.node, views, options.maxViewSize ?? viewSize(nodes, views.length))
    service.fleet.update(used, now)
    service.fleet.setSharingNodes(nodesPerUpstream(nodes, used.length, views.length))
  }

  function arrived (attempt: PendingAttempt, now: Milliseconds): SchedulerEffect[] {
    const classState = classes.get(attempt.class)
    const service = classState && services.get(classState.requestClass.service)
    if (classState === undefined || service === undefined) {
      return [{ kind: 'refuse', id: attempt.id, code: 'no-upstream', retryAfter: UNKNOWN_CLASS_RETRY }]
    }
    serviceOfRequest.set(attempt.id, classState.requestClass.service)
    return service.arrived(attempt, classState, now)
  }

  function findByUpstream (upstream: UpstreamName): ServiceScheduler | undefined {
    const name = serviceOfUpstream.get(upstream)
    return name === undefined ? undefined : services.get(name)
  }

  function findByRequest (id: RequestId): ServiceScheduler | undefined {
    const name = serviceOfRequest.get(id)
    return name === undefined ? undefined : services.get(name)
  }

  function forEachService (run: (service: ServiceScheduler) => SchedulerEffect[]): SchedulerEffect[] {
    return [...services.values()].flatMap(run)
  }

  function decide (event: SchedulerEvent, now: Milliseconds): SchedulerEffect[] {
    switch (event.kind) {
      case 'configured':
        return configure(event.configuration, now)
      case 'upstreams':
        return updateUpstreams(event.upstreams, now)
      case 'load': {
        const service = findByUpstream(event.report.upstream)
        service?.fleet.reported(event.report, now)
        return service?.advance(now) ?? []
      }
      case 'cache':
        findByUpstream(event.upstream)?.fleet.cacheChanged(event.upstream, event.stored, event.evicted, event.gap)
        return []
      case 'nodes':
        nodes = event.count
        return updateUpstreams(upstreams, now)
      case 'arrived':
        return arrived(event.attempt, now)
      case 'first-token':
        findByRequest(event.id)?.firstToken(event.id, now)
        return []
      case 'ended': {
        const service = findByRequest(event.id)
        serviceOfRequest.delete(event.id)
        return service?.ended(event.id, event.result, now) ?? []
      }
      case 'tick':
        return forEachService((service) => service.tick(now))
    }
  }

  return {
    handle: (event, now) => {
      const effects = decide(event, now)
      for (const effect of effects) if (effect.kind === 'refuse') serviceOfRequest.delete(effect.id)
      return effects
    }
  }
}
