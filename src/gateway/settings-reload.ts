/** Reloads settings while the node runs, on SIGHUP and by polling the file. */
import type { Clock, Milliseconds } from '../clock.js'
import type { EventLog } from '../events/index.js'
import { every } from '../clock.js'
import type { GatewaySettings } from './settings.js'

/** The settings in force, and their reload. */
export interface SettingsWatcher {
  current (): GatewaySettings
  /** Reads the file again. Invalid settings are logged and the present ones stay in force. */
  reload (reason: string): void
}

/** Options of `watchSettings`. */
export interface SettingsWatcherOptions {
  readonly initial: GatewaySettings
  /** Reads and validates the file. @throws ServingError that names the invalid key */
  readonly read: () => GatewaySettings
  readonly clock: Clock
  readonly log: EventLog
  readonly signal: AbortSignal
}

/** Period at which the file is read without a signal. */
const POLL_PERIOD: Milliseconds = 5_000

/** Settings that a running process applies. The others take effect at its next start. */
const RELOADABLE: readonly (keyof GatewaySettings)[] = ['store', 'cloud']

/**
 * Starts to poll the settings file. The polling ends with the signal.
 *
 * @example
 * const settings = watchSettings({ initial, read: () => loadSettings(schema, path), clock, log, signal })
 * process.on('SIGHUP', () => settings.reload('signal'))
 */
export function watchSettings ({ initial, read, clock, log, signal }: SettingsWatcherOptions): SettingsWatcher {
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
    log.info('settings-reloaded', { reason, changed: changed.join(' '), afterRestart: changed.filter((key) => !RELOADABLE.includes(key)).join(' ') })
  }

  every(clock, POLL_PERIOD, signal, () => reload('file'), (error) => log.warn('settings-refused', { reason: 'file', error: String(error) })).catch(() => {})
  return { current: () => current, reload }
}
