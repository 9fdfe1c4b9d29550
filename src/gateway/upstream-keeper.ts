/** Keeps the view of upstreams in step with the store's records. */
import type { Milliseconds } from '../clock.js'
import { createEndedLives, SETTLED_AFTER } from '../placement/index.js'
import type { UpstreamRecord } from '../placement/index.js'
import type { KeyValueEntry } from '../protocols/key-value.js'
import type { UpstreamConnections } from './exchange.js'
import { followPrefix, boundedDelaySettings } from './follow.js'
import type { StoreContext, PrefixSubscription } from './follow.js'
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
export function keepUpstreams (context: StoreContext, registry: Registry, view: UpstreamView, connections: UpstreamConnections, drain: Milliseconds, leaving: (record: UpstreamRecord) => void): PrefixSubscription {
  const { store, clock, log, signal } = context
  const prefix = registry.upstreamPrefix
  const lives = createEndedLives()
  /** Records that are left aside, by id. */
  const doubtful = new Map<string, RegisteredUpstream>()
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

  function put (registered: RegisteredUpstream, source: 'watch' | 'listing'): void {
    const { record, revision } = registered
    if (lives.isDoubtful(record.life, clock.now())) {
      if (!doubtful.has(record.id)) log.warn('upstream-doubtful', { upstream: record.id, service: record.service })
      doubtful.set(record.id, registered)
      return
    }
    const change = view.put(record, revision)
    if (change === undefined) return
    if (change === 'new') keepConnections()
    if (change === 'leaving') leaving(record)
    log.info(`upstream-${change}`, { upstream: record.id, service: record.service, address: record.address, failureDomain: record.failureDomain, reclaimable: record.reclaimable, leavesIn: record.leavesIn, source })
  }

  /** What stands there still is alive. */
  function takeDoubtful (): void {
    const settled = [...doubtful.values()]
    doubtful.clear()
    for (const registered of settled) put(registered, 'watch')
  }

  store.epochs.onRestore(() => {
    lives.restored(clock.now())
    clock.sleep(SETTLED_AFTER, signal).then(takeDoubtful).catch((error) => { if (!signal.aborted) log.error('upstreams-not-settled', { error: String(error) }) })
  })

  function keepConnections (): void {
    connections.keep(new Set(view.all().map((record) => record.life)))
  }

  function remove (key: string, revision: number): void {
    doubtful.delete(key.slice(prefix.length))
    const gone = view.remove(key.slice(prefix.length), revision)
    if (gone === undefined) return
    noteGone(gone, 'watch')
    keepConnections()
  }

  function noteGone ({ id, life, service }: UpstreamRecord, source: 'watch' | 'listing'): void {
    lives.ended(life, clock.now())
    log.info('upstream-gone', { upstream: id, service, source })
  }

  return followPrefix(context, prefix, {
    replace: (entries) => {
      const present = entries.map(read).filter((registered) => registered !== undefined)
      doubtful.clear()
      for (const gone of view.keepOnly(new Set(present.map(({ record }) => record.id)))) noteGone(gone, 'listing')
      for (const registered of present) put(registered, 'listing')
      keepConnections()
    },
    put: (entry) => {
      const registered = read(entry)
      if (registered === undefined) remove(entry.key, entry.revision)
      else put(registered, 'watch')
    },
    remove
  }, boundedDelaySettings(drain, drain * BATCH_PART))
}
