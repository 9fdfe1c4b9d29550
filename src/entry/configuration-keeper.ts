/** The configuration that is in force at this node, kept fresh from the key-value service. */
import type { Clock, Milliseconds } from '../clock.js'
import { every, SECOND } from '../clock.js'
import { configurationRevisionSchema } from '../configuration/index.js'
import type { ConfigurationRevision } from '../configuration/index.js'
import type { Log } from '../log.js'
import type { KeyValue } from '../platform/key-value.js'

/** Key of the current configuration. */
export const CONFIGURATION_KEY = 'hornbeamgap/configuration/current'

/** The revision in force. */
export interface ConfigurationKeeper {
  current (): ConfigurationRevision | undefined
  refresh (): Promise<void>
}

const REFRESH_PERIOD: Milliseconds = SECOND

/**
 * @example
 * const keeper = createConfigurationKeeper({ keyValue, clock, log, signal })
 */
export function createConfigurationKeeper (options: { keyValue: KeyValue, clock: Clock, log: Log, signal: AbortSignal }): ConfigurationKeeper {
  const { keyValue, clock, log, signal } = options
  let current: ConfigurationRevision | undefined

  async function refresh (): Promise<void> {
    const entry = await keyValue.get(CONFIGURATION_KEY, signal)
    if (entry === undefined) return
    const revision = configurationRevisionSchema.parse(JSON.parse(entry.value))
    if (current !== undefined && revision.revision <= current.revision) return
    current = revision
    log.info('configuration-in-force', { revision: revision.revision, author: revision.author })
  }

  every(clock, REFRESH_PERIOD, signal, refresh, (error) => log.warn('configuration-unavailable', { error: String(error) })).catch(() => {})

  return { refresh, current: () => current }
}
