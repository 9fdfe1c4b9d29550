/** Follows what the operator writes. The configuration in force at this node is the highest version received from the store or from a peer. */
import type { Milliseconds } from '../clock.js'
import { createRouteTable, supersedes } from '../routing/index.js'
import type { RouteTable, RoutingConfiguration } from '../routing/index.js'
import { boundedDelaySettings, followPrefix } from './follow.js'
import type { PrefixHandler, PrefixSubscription, StoreContext } from './follow.js'
import type { Registry } from './ports.js'
import { createUnusableEntries } from './unusable-entries.js'

/** Maximum number of characters of the reason why a configuration can't be read, in a log line. */
const MAX_REASON_LENGTH = 300

/** Configuration in force at one node. */
export interface ConfigurationWatcher {
  /** Routes of the configuration in force; undefined before the first configuration. */
  table (): RouteTable | undefined
  /** Text of the configuration in force, for peers that cannot reach the store. */
  text (): string | undefined
  /** Puts a configuration into force if its version is higher than the present one. @param source peer address, or `store` */
  offer (text: string, source: string): void
  readonly subscription: PrefixSubscription
}

/**
 * Follows the operator's prefix and puts each new version of the configuration into force.
 *
 * @param maxDelay time within which a new version must be in force
 * @param onChange called with each version that comes into force
 * @param otherHandler receives the operator's other entries. One watch for the whole prefix needs one call instead of several
 * @example
 * const watcher = createConfigurationWatcher(context, platform.registry, 2 * SECOND, ({ configuration }) => applyCallerLimits(server, configuration.limits), orders)
 */
export function createConfigurationWatcher (context: StoreContext, registry: Registry, maxDelay: Milliseconds, onChange: (table: RouteTable) => void, otherHandler: PrefixHandler): ConfigurationWatcher {
  const { log } = context
  let table: RouteTable | undefined
  let text: string | undefined
  /** Sources whose latest text can't be read. */
  const unusable = createUnusableEntries()

  function offer (candidate: string, source: string): void {
    let configuration: RoutingConfiguration
    try {
      configuration = registry.readConfiguration(candidate)
    } catch (error) {
      const reason = String(error).slice(0, MAX_REASON_LENGTH)
      if (unusable.note(source, reason)) log.warn('configuration-unreadable', { source, error: reason })
      return
    }
    unusable.forget(source)
    const inForce = table?.configuration.version
    if (!supersedes(configuration.version, inForce)) return
    table = createRouteTable(configuration)
    text = candidate
    log.info('configuration-in-force', { version: configuration.version, before: inForce, source, routes: configuration.routes.length, organisations: configuration.organisations?.length, quotaRate: configuration.organisations?.reduce((sum, { quota }) => sum + quota.rate, 0) })
    onChange(table)
  }

  const isConfiguration = (key: string): boolean => key === registry.configurationKey
  const subscription = followPrefix(context, registry.operatorPrefix, {
    replace: (entries) => {
      for (const entry of entries) if (isConfiguration(entry.key)) offer(entry.value, 'store')
      otherHandler.replace(entries.filter(({ key }) => !isConfiguration(key)))
    },
    put: (entry) => isConfiguration(entry.key) ? offer(entry.value, 'store') : otherHandler.put(entry),
    remove: (key, revision) => {
      // The configuration in force stays. Operators replace it and never delete it.
      if (isConfiguration(key)) log.warn('configuration-removed', { key })
      else otherHandler.remove(key, revision)
    }
  }, boundedDelaySettings(maxDelay, 0))

  return { table: () => table, text: () => text, offer, subscription }
}
