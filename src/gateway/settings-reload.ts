/** Settings that change while the node runs: told by SIGHUP, or found by looking at the file now and then. */
import type { Clock, Milliseconds } from '../clock.js'
import type { EventLog } from '../events/index.js'
import { every } from '../clock.js'
import type { GatewaySettings } from './settings.js'

/** Settings in force. */
export interface SettingsKeeper {
  current (): GatewaySettings
  /** Reads the file again. Bad settings are told and the ones in force stay. */
  reload (reason: string): void
}

/** What a keeper needs. */
export interface SettingsKeeperOptions {
  readonly initial: GatewaySettings
  /** Reads and checks the file. @throws ServingError that names the wrong key */
  readonly read: () => GatewaySettings
  readonly clock: Clock
  readonly log: EventLog
  readonly signal: AbortSignal
}

/** How often the file is looked at without a signal. */
const PERIOD: Milliseconds = 5_000

/** What a running process can take over; the rest is in force from its next start on. */
const TAKEN_OVER: readonly (keyof GatewaySettings)[] = ['store', 'cloud']

/**
 * @example
 * const settings = keepSettings({ initial, read: () => loadSettings(schema, path), clock, log, signal })
 * process.on('SIGHUP', () => settings.reload('signal'))
 */
export function keepSettings ({ initial, read, clock, log, signal }: SettingsKeeperOptions): SettingsKeeper {
  let current = initial
  let lastText = JSON.stringify(initial)

  function reload (reason: string): void {
    let next: GatewaySettings
    try {
      next = read()
    } catch (error) {
      log.warn('settings-refused', { reason, error: (error as Error).message })
      return
    }
    const text = JSON.stringify(next)
    if (text === lastText) {
      if (reason === 'signal') log.info('settings-unchanged', { reason })
      return
    }
    lastText = text
    const changed = (Object.keys(next) as (keyof GatewaySettings)[]).filter((key) => JSON.stringify(next[key]) !== JSON.stringify(current[key]))
    current = { ...current, store: next.store, cloud: next.cloud }
    log.info('settings-reloaded', { reason, changed: changed.join(' '), afterRestart: changed.filter((key) => !TAKEN_OVER.includes(key)).join(' ') })
  }

  every(clock, PERIOD, signal, () => reload('file'), (error) => log.warn('settings-refused', { reason: 'file', error: String(error) })).catch(() => {})
  return { current: () => current, reload }
}
