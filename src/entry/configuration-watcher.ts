/**
 * Keeps the configuration in force at this node up to date.
 *
 * Revisions are received from a watch on the key-value service, from peers with a higher revision, or from the node that
 * accepted a change. A lower revision never replaces a higher one.
 */
import Emittery from 'emittery'
import type { Clock, Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import { parseJson } from '../json.js'
import { configurationRevisionSchema } from '../configuration/index.js'
import type { ConfigurationRevision } from '../configuration/index.js'
import type { Log } from '../log.js'
import type { KeyValue, KeyValueEntry } from '../protocols/key-value.js'
import { createRandom } from '../random.js'
import type { Random } from '../random.js'
import { CONFIGURATION_KEY } from './configuration-change.js'
import { followKeys } from '../protocols/key-watch.js'

export { CONFIGURATION_KEY } from './configuration-change.js'

/** Source from which this node received a revision. */
export type RevisionSource = 'key-value' | 'peer' | 'delivery'

/** Events of a {@link ConfigurationWatcher}. */
export interface ConfigurationEvents {
  /** A higher revision has come into force at this node. */
  'in-force': { readonly revision: ConfigurationRevision, readonly source: RevisionSource }
}

/** Configuration in force at one node. */
export interface ConfigurationWatcher {
  /** Revision in force. Undefined before the first configuration. */
  current (): ConfigurationRevision | undefined
  /** Number of the revision in force. 0 before the first configuration. */
  revision (): number
  /** Puts a revision into force if it is higher than the present one. */
  offer (revision: ConfigurationRevision, source: RevisionSource): void
  /** Records contact with a peer or the service, from which this node would have received a later revision. */
  heard (): void
  /** Time of the last contact with the service or a peer, on the clock of this node. */
  lastContactAt (): Milliseconds | undefined
  /**
   * Whether this node may accept new requests: a configuration is in force, and the last contact with the key-value
   * service or a peer is at most {@link MAX_SILENCE} ago.
   */
  usable (now: Milliseconds): boolean
  /** Reads the configuration from the service once. Rejects if the service does not answer. */
  refresh (): Promise<void>
  readonly events: Emittery<ConfigurationEvents>
}

/**
 * Time without contact to the key-value service and to peers after which a node accepts no new requests, because it can't
 * know whether a change has been accepted. It must be shorter than the 9 s within which a change must be in force on
 * every serving node.
 */
export const MAX_SILENCE: Milliseconds = 8 * SECOND

/**
 * Starts to follow the configuration until the signal is aborted.
 *
 * @param options.watching whether this node currently watches the service. Always if omitted
 * @example
 * const configuration = createConfigurationWatcher({ keyValue, clock, log, signal, watching: () => membership.watching() })
 */
export function createConfigurationWatcher (options: { keyValue: KeyValue, clock: Clock, log: Log, signal: AbortSignal, random?: Random, watching?: () => boolean }): ConfigurationWatcher {
  const { keyValue, clock, log, signal } = options
  const events = new Emittery<ConfigurationEvents>()
  let current: ConfigurationRevision | undefined
  let lastContact: Milliseconds | undefined
  let available = true

  function offer (revision: ConfigurationRevision, source: RevisionSource): void {
    if (current !== undefined && revision.revision <= current.revision) return
    current = revision
    log.info('configuration-in-force', { revision: revision.revision, author: revision.author, source })
    events.emit('in-force', { revision, source }).catch(() => {})
  }

  function recordContact (): void {
    lastContact = clock.now()
  }

  function applyEntry (entry: KeyValueEntry): void {
    const parsed = configurationRevisionSchema.safeParse(parseJson(entry.value))
    if (parsed.success) offer(parsed.data, 'key-value')
    else log.error('configuration-unreadable', { key: entry.key, revision: entry.revision })
  }

  async function load (): Promise<number> {
    const listing = await keyValue.list(CONFIGURATION_KEY, signal)
    for (const entry of listing.entries) applyEntry(entry)
    recordContact()
    if (!available) log.info('configuration-service-back')
    available = true
    return listing.revision
  }

  function handleFailure (error: unknown): void {
    if (available) log.warn('configuration-service-unavailable', { error: String(error) })
    available = false
  }

  followKeys({
    keyValue,
    prefix: CONFIGURATION_KEY,
    clock,
    random: options.random ?? createRandom(0),
    signal,
    wanted: options.watching ?? (() => true),
    load,
    changed: (changes) => {
      recordContact()
      for (const change of changes) if (change.kind === 'put') applyEntry(change.entry)
    },
    failed: handleFailure
  }).catch(() => {})

  return {
    events,
    offer,
    heard: recordContact,
    current: () => current,
    revision: () => current?.revision ?? 0,
    lastContactAt: () => lastContact,
    usable: (now) => current !== undefined && lastContact !== undefined && now - lastContact <= MAX_SILENCE,
    refresh: async () => { await load() }
  }
}
