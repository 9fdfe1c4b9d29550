/** Upstreams known to one node, from the instance list and from notices that an upstream is leaving. */
import Emittery from 'emittery'
import type { Clock, Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Address, UpstreamName } from '../identifiers.js'
import type { Log } from '../log.js'
import type { InstanceList } from '../protocols/instance-list.js'
import { repeat } from '../repeat.js'
import type { Instance, UpstreamView } from '../upstream/index.js'

/** Source of the notice that an upstream is leaving. */
export type NoticeSource = 'instance-list' | 'cloud' | 'engine' | 'peer' | 'connection'

/** Events of the directory. */
export interface DirectoryEvents {
  /** The set of upstreams, an address or a `leaving` flag has changed. */
  changed: readonly UpstreamView[]
  /** First notice that an upstream is leaving. */
  leaving: { upstream: UpstreamName, source: NoticeSource }
}

/** Upstreams, with the number of requests that this node has in flight at each. */
export interface UpstreamDirectory {
  readonly notices: Emittery<DirectoryEvents>
  views (): readonly UpstreamView[]
  find (upstream: UpstreamName): UpstreamView | undefined
  /** Instances as they appear in the instance list, including entry nodes. */
  instances (): readonly Instance[]
  /** Increments the requests in flight at an upstream. The returned function decrements the number once. */
  enter (upstream: UpstreamName): () => void
  /**
   * Marks an upstream as leaving, so that it receives no new work. The mark lasts until the instance list no longer
   * shows the upstream at its address. A list that lags behind and still shows the upstream as live does not remove it.
   */
  markLeaving (upstream: UpstreamName, source: NoticeSource): void
  /** Reads the instance list. Rejects if the list cannot be read. */
  refresh (): Promise<void>
}

const REFRESH_PERIOD: Milliseconds = SECOND

/**
 * Creates the directory and starts its periodic refresh.
 *
 * @param options `signal` stops the refresh
 * @example
 * const directory = createUpstreamDirectory({ instanceList, clock, log, signal })
 */
export function createUpstreamDirectory (options: { instanceList: InstanceList, clock: Clock, log: Log, signal: AbortSignal }): UpstreamDirectory {
  const { instanceList, clock, log, signal } = options
  const notices = new Emittery<DirectoryEvents>()
  const inFlight = new Map<UpstreamName, number>()
  /** Addresses of the upstreams that are leaving. Undefined for an upstream that was not listed when it was marked. */
  const leaving = new Map<UpstreamName, Address | undefined>()
  let instances: readonly Instance[] = []
  let upstreams = new Map<UpstreamName, Instance>()
  let lastEmitted = ''

  async function refresh (): Promise<void> {
    const fresh = await instanceList.read(signal)
    instances = fresh
    upstreams = new Map(fresh.flatMap((instance) => instance.role.kind === 'upstream' ? [[instance.role.upstream, instance]] : []))
    clearEndedLeaving()
    for (const [upstream, instance] of upstreams) {
      if (instance.state === 'leaving') markLeaving(upstream, 'instance-list')
    }
    await emitIfChanged()
  }

  /**
   * Removes the marks of upstreams that are no longer listed at their address.
   *
   * Failure guarded against: a replacement starts under the name of its predecessor, and no read of the list shows the
   * name as missing in between. If the mark applied to the name alone, the replacement would never receive any work.
   * The mark therefore applies to a name at an address.
   */
  function clearEndedLeaving (): void {
    for (const [upstream, address] of leaving) {
      const listed = upstreams.get(upstream)
      if (listed === undefined || (address !== undefined && listed.address !== address)) leaving.delete(upstream)
    }
  }

  function markLeaving (upstream: UpstreamName, source: NoticeSource): void {
    if (leaving.has(upstream)) return
    leaving.set(upstream, upstreams.get(upstream)?.address)
    log.info('upstream-leaving', { upstream, source })
    emitIfChanged().catch(() => {})
    notices.emit('leaving', { upstream, source }).catch(() => {})
  }

  /** Emits `changed` if anything but the requests in flight has changed since the last event. */
  async function emitIfChanged (): Promise<void> {
    const currentViews = views()
    const current = JSON.stringify(currentViews.map((view) => [view.name, view.address, view.leaving]))
    if (current === lastEmitted) return
    lastEmitted = current
    await notices.emit('changed', currentViews)
  }

  function views (): UpstreamView[] {
    return [...upstreams].map(([upstream, instance]) => toView(upstream, instance))
  }

  function toView (name: UpstreamName, instance: Instance): UpstreamView {
    const role = instance.role as Extract<Instance['role'], { kind: 'upstream' }>
    return {
      name,
      service: role.service,
      failureDomain: instance.failureDomain,
      machineClass: instance.machineClass,
      address: instance.address,
      protocol: role.protocol,
      leaving: leaving.has(name),
      inFlight: inFlight.get(name) ?? 0
    }
  }

  repeat({ clock, log, signal }, 'instance-list', REFRESH_PERIOD, refresh)

  return {
    notices,
    refresh,
    views,
    find: (upstream) => {
      const instance = upstreams.get(upstream)
      return instance && toView(upstream, instance)
    },
    instances: () => instances,
    markLeaving,
    enter: (upstream) => {
      inFlight.set(upstream, (inFlight.get(upstream) ?? 0) + 1)
      let hasLeft = false
      return () => {
        if (hasLeft) return
        hasLeft = true
        inFlight.set(upstream, (inFlight.get(upstream) ?? 1) - 1)
      }
    }
  }
}
