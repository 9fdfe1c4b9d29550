/** Watches the upstream records of the registry and updates the view of upstreams. */
import type { Milliseconds } from '../clock.js'
import { createEndedIncarnations, REGISTRY_SETTLE_TIME } from '../placement/index.js'
import type { UpstreamRecord } from '../placement/index.js'
import type { KeyValueEntry } from '../protocols/key-value.js'
import type { UpstreamConnections } from './exchange.js'
import { followPrefix, boundedDelaySettings } from './follow.js'
import type { StoreContext, PrefixSubscription } from './follow.js'
import type { Registry } from './ports.js'
import { createUnusableEntries } from './unusable-entries.js'
import type { RegisteredUpstream, UpstreamView } from './upstream-view.js'

/**
 * Pause between two calls of the watch, as a fraction of the drain time. Each upstream writes a heartbeat about once a
 * second, and each heartbeat ends a waiting call. The pause lets one call return several heartbeats. The rest of the
 * drain time is left for the call itself and for requests that were dispatched before the notice was read.
 */
const BATCH_FRACTION = 0.4

/** Maximum number of characters of a key in a log line. Keys of the store may have 200. */
const MAX_LOGGED_KEY_LENGTH = 100

/** Options of {@link watchUpstreams}. */
export interface UpstreamWatcherOptions {
  /** Maximum time from the store's acceptance of a notice of leaving to the last request for that upstream. */
  readonly drain: Milliseconds
  /** Called with each usable record that is read, also with those of heartbeats that change nothing. */
  readonly onSeen: (record: UpstreamRecord) => void
  /** Called with each upstream that gives notice of leaving. */
  readonly onLeaving: (record: UpstreamRecord) => void
}

/**
 * @example
 * watchUpstreams(context, platform.registry, view, connections, { drain: 2 * SECOND, onSeen, onLeaving: evacuation.leaving })
 */
export function watchUpstreams (context: StoreContext, registry: Registry, view: UpstreamView, connections: Pick<UpstreamConnections, 'closeExcept'>, { drain, onSeen, onLeaving }: UpstreamWatcherOptions): PrefixSubscription {
  const { store, clock, log, signal } = context
  const prefix = registry.upstreamPrefix
  const endedIncarnations = createEndedIncarnations()
  /** Records that are not used yet since the store was restored and their upstream may have ended, by id. */
  const doubtful = new Map<string, RegisteredUpstream>()
  const unusable = createUnusableEntries()

  /**
   * Failure guarded against: another writer corrupts a record, or writes one with another meaning. Neither this record
   * nor the one before may be used, since requests would hang at an address where nothing answers. The next heartbeat of
   * the upstream replaces the record.
   */
  function readRecord ({ key, value, revision }: KeyValueEntry): RegisteredUpstream | undefined {
    const parsed = registry.readUpstream(key.slice(prefix.length), value)
    switch (parsed.kind) {
      case 'usable':
        unusable.forget(key)
        return { record: parsed.record, revision }
      case 'unusable':
        if (unusable.note(key, parsed.reason)) log.warn('upstream-record-unusable', { key: key.slice(0, MAX_LOGGED_KEY_LENGTH), reason: parsed.reason })
        return undefined
    }
  }

  function put (registered: RegisteredUpstream, source: 'watch' | 'listing'): void {
    const { record, revision } = registered
    onSeen(record)
    if (endedIncarnations.mayBeStale(record.incarnation, clock.now())) {
      if (!doubtful.has(record.id)) log.warn('upstream-doubtful', { upstream: record.id, service: record.service })
      doubtful.set(record.id, registered)
      return
    }
    const change = view.put(record, revision)
    if (change === undefined) return
    if (change === 'new') pruneConnections()
    if (change === 'leaving') onLeaving(record)
    log.info(`upstream-${change}`, { upstream: record.id, service: record.service, version: record.version, address: record.address, failureDomain: record.failureDomain, reclaimable: record.reclaimable, leavesIn: record.leavesIn, source })
  }

  /** Applies the records that are still present: their upstreams are alive. */
  function applyDoubtful (): void {
    const settled = [...doubtful.values()]
    doubtful.clear()
    for (const registered of settled) put(registered, 'watch')
  }

  store.epochs.onRestore(() => {
    endedIncarnations.registryRestored(clock.now())
    clock.sleep(REGISTRY_SETTLE_TIME, signal).then(applyDoubtful).catch((error) => { if (!signal.aborted) log.error('upstreams-not-settled', { error: String(error) }) })
  })

  /** Closes connections to incarnations that are no longer in the view. */
  function pruneConnections (): void {
    connections.closeExcept(new Set(view.all().map((record) => record.incarnation)))
  }

  function remove (key: string, revision: number): void {
    doubtful.delete(key.slice(prefix.length))
    const gone = view.remove(key.slice(prefix.length), revision)
    if (gone === undefined) return
    recordGone(gone, 'watch')
    pruneConnections()
  }

  function recordGone ({ id, incarnation, service }: UpstreamRecord, source: 'watch' | 'listing'): void {
    endedIncarnations.ended(incarnation, clock.now())
    log.info('upstream-gone', { upstream: id, service, source })
  }

  return followPrefix(context, prefix, {
    replace: (entries) => {
      unusable.retainOnly(new Set(entries.map(({ key }) => key)))
      const present = entries.map(readRecord).filter((registered) => registered !== undefined)
      doubtful.clear()
      for (const gone of view.retainOnly(new Set(present.map(({ record }) => record.id)))) recordGone(gone, 'listing')
      for (const registered of present) put(registered, 'listing')
      pruneConnections()
    },
    put: (entry) => {
      const registered = readRecord(entry)
      if (registered === undefined) remove(entry.key, entry.revision)
      else put(registered, 'watch')
    },
    remove: (key, revision) => {
      unusable.forget(key)
      remove(key, revision)
    }
  }, boundedDelaySettings(drain, drain * BATCH_FRACTION))
}
