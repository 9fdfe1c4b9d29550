/** Keeps the view of upstreams in step with the store's records. */
import type { Milliseconds } from '../clock.js'
import type { UpstreamRecord } from '../placement/index.js'
import type { KeyValueEntry } from '../protocols/key-value.js'
import type { UpstreamConnections } from './exchange.js'
import { follow, promptTerms } from './follow.js'
import type { FollowContext, Following } from './follow.js'
import type { Registry } from './ports.js'
import type { RegisteredUpstream, UpstreamView } from './upstream-view.js'

/**
 * Upstreams write a heartbeat each second or so, and each ends a waiting call. A pause between two calls
 * reads several at once. Part of the time after which a leaving upstream must get nothing new; the rest is
 * for the call and for requests that were chosen before.
 */
const BATCH_PART = 0.4

/** Unusable records whose reason is remembered, so that each is told once and not at each reading. */
const MOST_UNUSABLE = 50

/** Characters of a key in a line of the log: the store's keys may have 200. */
const LONGEST_KEY = 100

/**
 * @param drain a leaving upstream gets nothing later than this after the store has taken its notice
 * @param leaving called with each upstream that gives notice
 * @example
 * keepUpstreams(context, platform.registry, view, connections, 2 * SECOND, evacuation.leaving)
 */
export function keepUpstreams (context: FollowContext, registry: Registry, view: UpstreamView, connections: UpstreamConnections, drain: Milliseconds, leaving: (record: UpstreamRecord) => void): Following {
  const { log } = context
  const prefix = registry.upstreamPrefix
  const unusable = new Map<string, string>()

  /**
   * Failure guarded against: another writer spoils a record, or writes one that means something else. It names no
   * upstream to use, and neither does what stood there before: the upstream's next heartbeat writes it anew.
   */
  function read ({ key, value, revision }: KeyValueEntry): RegisteredUpstream | undefined {
    const reading = registry.readUpstream(key.slice(prefix.length), value)
    switch (reading.kind) {
      case 'usable':
        unusable.delete(key)
        return { record: reading.record, revision }
      case 'unusable':
        if (unusable.get(key) !== reading.reason) log.warn('upstream-record-unusable', { key: key.slice(0, LONGEST_KEY), reason: reading.reason })
        remember(key, reading.reason)
        return undefined
    }
  }

  function remember (key: string, reason: string): void {
    unusable.delete(key)
    unusable.set(key, reason)
    const [oldest] = unusable.keys()
    if (unusable.size > MOST_UNUSABLE && oldest !== undefined) unusable.delete(oldest)
  }

  function put ({ record, revision }: RegisteredUpstream, source: 'watch' | 'listing'): void {
    const change = view.put(record, revision)
    if (change === undefined) return
    if (change === 'new') keepConnections()
    if (change === 'leaving') leaving(record)
    log.info(`upstream-${change}`, { upstream: record.id, service: record.service, address: record.address, failureDomain: record.failureDomain, reclaimable: record.reclaimable, leavesIn: record.leavesIn, source })
  }

  function keepConnections (): void {
    connections.keep(new Set(view.all().map((record) => record.life)))
  }

  function remove (key: string, revision: number): void {
    const gone = view.remove(key.slice(prefix.length), revision)
    if (gone === undefined) return
    log.info('upstream-gone', { upstream: gone.id, service: gone.service, source: 'watch' })
    keepConnections()
  }

  return follow(context, prefix, {
    replace: (entries) => {
      const present = entries.map(read).filter((registered) => registered !== undefined)
      for (const { id, service } of view.keepOnly(new Set(present.map(({ record }) => record.id)))) log.info('upstream-gone', { upstream: id, service, source: 'listing' })
      for (const registered of present) put(registered, 'listing')
      keepConnections()
    },
    put: (entry) => {
      const registered = read(entry)
      if (registered === undefined) remove(entry.key, entry.revision)
      else put(registered, 'watch')
    },
    remove
  }, promptTerms(drain, drain * BATCH_PART))
}
