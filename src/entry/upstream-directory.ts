/** The upstreams that one node knows, kept fresh from the instance list and from other sources' notices. */
import Emittery from 'emittery'
import type { Clock, Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Address, UpstreamName } from '../identifiers.js'
import type { Log } from '../log.js'
import type { InstanceList } from '../protocols/instance-list.js'
import { repeat } from '../repeat.js'
import type { Instance, UpstreamView } from '../upstream/index.js'

/** Who said that an upstream is leaving. */
export type NoticeSource = 'instance-list' | 'cloud' | 'engine' | 'peer' | 'connection'

/** What the directory tells the rest of the node. */
export interface DirectoryNotices {
  /** The views changed in anything but the requests in flight. */
  changed: readonly UpstreamView[]
  /** First notice that an upstream is leaving. */
  leaving: { upstream: UpstreamName, source: NoticeSource }
}

/** Upstreams and the requests this node has at them. */
export interface UpstreamDirectory {
  readonly notices: Emittery<DirectoryNotices>
  views (): readonly UpstreamView[]
  find (upstream: UpstreamName): UpstreamView | undefined
  /** Instances as the list shows them, entry nodes included. */
  instances (): readonly Instance[]
  /** Counts a request in; the returned function counts it out. */
  enter (upstream: UpstreamName): () => void
  /**
   * Gives an upstream no new work from now on, whatever the instance list still shows. Lasts until
   * the list no longer shows it at its address, so that a lagging list cannot take it back.
   */
  markLeaving (upstream: UpstreamName, source: NoticeSource): void
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
  const notices = new Emittery<DirectoryNotices>()
  const inFlight = new Map<UpstreamName, number>()
  /** Addresses of the upstreams that leave; undefined for one that was not listed yet. */
  const leaving = new Map<UpstreamName, Address | undefined>()
  let instances: readonly Instance[] = []
  let known = new Map<UpstreamName, Instance>()
  let shape = ''

  async function refresh (): Promise<void> {
    const fresh = await instanceList.read(signal)
    instances = fresh
    known = new Map(fresh.flatMap((instance) => instance.role.kind === 'upstream' ? [[instance.role.upstream, instance]] : []))
    forgetGone()
    for (const [upstream, instance] of known) {
      if (instance.state === 'leaving') markLeaving(upstream, 'instance-list')
    }
    await announce()
  }

  /**
   * Failure guarded against: a replacement starts under its predecessor's name before the list has missed
   * that name once, and gets no work for as long as it lives. What leaves is an upstream at its address.
   */
  function forgetGone (): void {
    for (const [upstream, address] of leaving) {
      const listed = known.get(upstream)
      if (listed === undefined || (address !== undefined && listed.address !== address)) leaving.delete(upstream)
    }
  }

  function markLeaving (upstream: UpstreamName, source: NoticeSource): void {
    if (leaving.has(upstream)) return
    leaving.set(upstream, known.get(upstream)?.address)
    log.info('upstream-leaving', { upstream, source })
    announce().catch(() => {})
    notices.emit('leaving', { upstream, source }).catch(() => {})
  }

  async function announce (): Promise<void> {
    const present = views()
    const now = JSON.stringify(present.map((view) => [view.name, view.address, view.leaving]))
    if (now === shape) return
    shape = now
    await notices.emit('changed', present)
  }

  function views (): UpstreamView[] {
    return [...known].map(([upstream, instance]) => toView(upstream, instance))
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
      const instance = known.get(upstream)
      return instance && toView(upstream, instance)
    },
    instances: () => instances,
    markLeaving,
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
