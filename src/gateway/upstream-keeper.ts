/** Keeps the view of upstreams in step with the store's records. */
import type { Milliseconds } from '../clock.js'
import type { WatchPauses } from '../entry/key-watch.js'
import type { UpstreamRecord } from '../placement/index.js'
import type { KeyValueEntry } from '../protocols/key-value.js'
import type { UpstreamConnections } from './exchange.js'
import { follow, PROMPT_PAUSES } from './follow.js'
import type { FollowContext, Following } from './follow.js'
import type { Registry } from './ports.js'
import type { UpstreamView } from './upstream-view.js'

/**
 * Upstreams write a heartbeat each second or so, and each ends a waiting call. A pause between two calls
 * reads several at once. Part of the time after which a leaving upstream must get nothing new; the rest is
 * for the call and for requests that were chosen before.
 */
const BATCH_PART = 0.4

/**
 * @param drain a leaving upstream gets nothing later than this after the store has taken its notice
 * @param leaving called with each upstream that gives notice
 * @example
 * keepUpstreams(context, platform.registry, view, connections, 2 * SECOND, evacuation.leaving)
 */
export function keepUpstreams (context: FollowContext, registry: Registry, view: UpstreamView, connections: UpstreamConnections, drain: Milliseconds, leaving: (record: UpstreamRecord) => void): Following {
  const pauses: WatchPauses = { ...PROMPT_PAUSES, batch: drain * BATCH_PART }
  const { log } = context
  const prefix = registry.upstreamPrefix

  function read (entry: KeyValueEntry): UpstreamRecord | undefined {
    try {
      return registry.readUpstream(entry.key.slice(prefix.length), entry.value)
    } catch (error) {
      log.warn('upstream-record-unreadable', { key: entry.key, error: String(error).slice(0, 300) })
      return undefined
    }
  }

  function put (record: UpstreamRecord, source: 'watch' | 'listing'): void {
    const change = view.put(record)
    if (change === undefined) return
    if (change === 'leaving') leaving(record)
    log.info(`upstream-${change}`, { upstream: record.id, service: record.service, address: record.address, failureDomain: record.failureDomain, reclaimable: record.reclaimable, leavesIn: record.leavesIn, source })
  }

  function keepConnections (): void {
    connections.keep(new Set(view.all().map((record) => record.id)))
  }

  return follow(context, prefix, {
    replace: (entries) => {
      const records = entries.map(read).filter((record) => record !== undefined)
      for (const id of view.replace(records)) log.info('upstream-gone', { upstream: id, source: 'listing' })
      for (const record of records) put(record, 'listing')
      keepConnections()
    },
    put: (entry) => {
      const record = read(entry)
      if (record !== undefined) put(record, 'watch')
    },
    remove: (key) => {
      const gone = view.remove(key.slice(prefix.length))
      if (gone === undefined) return
      log.info('upstream-gone', { upstream: gone.id, service: gone.service, source: 'watch' })
      keepConnections()
    }
  }, pauses)
}
