/** The upstreams that one node knows, kept fresh from the instance list. */
import type { Clock, Milliseconds } from '../clock.js'
import { every, SECOND } from '../clock.js'
import type { UpstreamName } from '../identifiers.js'
import type { Log } from '../log.js'
import type { InstanceList } from '../platform/instance-list.js'
import type { Instance, UpstreamView } from '../upstream/index.js'

/** Upstreams and the requests this node has at them. */
export interface UpstreamDirectory {
  views (): readonly UpstreamView[]
  /** Counts a request in; the returned function counts it out. */
  enter (upstream: UpstreamName): () => void
  refresh (): Promise<void>
}

const REFRESH_PERIOD: Milliseconds = SECOND

/**
 * @param signal ends the refreshing
 * @example
 * const directory = createUpstreamDirectory({ instanceList, clock, log, signal })
 */
export function createUpstreamDirectory (options: { instanceList: InstanceList, clock: Clock, log: Log, signal: AbortSignal }): UpstreamDirectory {
  const { instanceList, clock, log, signal } = options
  const inFlight = new Map<UpstreamName, number>()
  let instances: readonly Instance[] = []

  async function refresh (): Promise<void> {
    const fresh = await instanceList.read(signal)
    logLeaving(fresh)
    instances = fresh
  }

  function logLeaving (fresh: readonly Instance[]): void {
    const before = new Set(instances.filter((instance) => instance.state === 'leaving').map((instance) => instance.name))
    for (const instance of fresh) {
      if (instance.state === 'leaving' && !before.has(instance.name)) log.info('instance-leaving', { instance: instance.name, source: 'instance-list' })
    }
  }

  every(clock, REFRESH_PERIOD, signal, refresh, (error) => log.warn('instance-list-unavailable', { error: String(error) })).catch(() => {})

  return {
    refresh,
    views: () => instances.flatMap((instance) => toView(instance, inFlight)),
    enter: (upstream) => {
      inFlight.set(upstream, (inFlight.get(upstream) ?? 0) + 1)
      let left = false
      return () => {
        if (left) return
        left = true
        inFlight.set(upstream, (inFlight.get(upstream) ?? 1) - 1)
      }
    }
  }
}

function toView (instance: Instance, inFlight: ReadonlyMap<UpstreamName, number>): UpstreamView[] {
  if (instance.role.kind !== 'upstream') return []
  return [{
    name: instance.role.upstream,
    service: instance.role.service,
    failureDomain: instance.failureDomain,
    address: instance.address,
    protocol: instance.role.protocol,
    leaving: instance.state === 'leaving',
    inFlight: inFlight.get(instance.role.upstream) ?? 0
  }]
}
