/** A planner: runs beside an entry node on every instance, and acts only while it holds the lease. */
import { boundSignal } from '../bound-signal.js'
import { randomBytes } from 'node:crypto'
import { setMaxListeners } from 'node:events'
import type { Clock, Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import { configurationRevisionSchema } from '../configuration/index.js'
import type { ConfigurationRevision } from '../configuration/index.js'
import { CONFIGURATION_KEY } from '../entry/configuration-change.js'
import { createReportKeeper } from '../entry/report-keeper.js'
import { incarnationSchema } from '../identifiers.js'
import type { Incarnation } from '../identifiers.js'
import type { Leadership } from '../lease/index.js'
import { createLog } from '../log.js'
import { createCloud } from '../protocols/cloud.js'
import { createEngine } from '../protocols/engine.js'
import { createConnections } from '../protocols/http.js'
import { createInstanceList } from '../protocols/instance-list.js'
import { createKeyValue } from '../protocols/key-value.js'
import type { KeyValue } from '../protocols/key-value.js'
import { createWeightStore } from '../protocols/weight-store.js'
import type { Random } from '../random.js'
import { repeat } from '../repeat.js'
import { createLedger } from '../report/index.js'
import type { PlannerContext } from './context.js'
import { createPlannerCycle, FOLLOW_UP_PERIOD } from './cycle.js'
import { createLeaseManager } from '../protocols/lease-manager.js'
import { createFoldMemory, foldGone } from './report-folder.js'
import type { PlannerSettings } from './settings.js'

/** A running planner. */
export interface Planner {
  readonly incarnation: Incarnation
  readonly leadership: Leadership
  /** Gives the lease up and ends: a planned stop. */
  stop (): Promise<void>
  /** Ends at once, as the death of the process would. */
  kill (): Promise<void>
}

const CONNECTIONS_PER_ADDRESS = 8

const FOLD_PERIOD: Milliseconds = 30 * SECOND
const FOLD_MARGIN: Milliseconds = 10 * SECOND

/** Bound on the last report and on giving the lease up. */
const STOP_BOUND: Milliseconds = 5 * SECOND

/**
 * Starts a planner.
 *
 * @example
 * const planner = startPlanner({ settings, clock, random })
 * onStopSignal(() => planner.stop())
 */
export function startPlanner (options: { settings: PlannerSettings, clock: Clock, random: Random }): Planner {
  const { settings, clock, random } = options
  const owner = new AbortController()
  const { signal } = owner
  setMaxListeners(0, signal)
  const log = createLog(`planner/${settings.instance}`, settings.log_level, clock.wall)
  const incarnation = incarnationSchema.parse(`planner-${settings.instance}-${randomBytes(6).toString('hex')}`)
  const connections = createConnections(CONNECTIONS_PER_ADDRESS)
  const keyValue = createKeyValue(connections, settings.platform.key_value)
  const leadership = createLeaseManager({ keyValue, clock, random, log, signal, holder: incarnation })
  const ledger = createLedger({ wall: clock.wall })
  const reports = createReportKeeper({ incarnation, instance: settings.instance, ledger, keyValue, clock, random, log, signal })
  const storeAddress = settings.platform.weight_store
  const context: PlannerContext = {
    settings,
    keyValue,
    cloud: createCloud(connections, settings.platform.cloud),
    instanceList: createInstanceList(connections, settings.platform.instance_list),
    engineAt: (address) => createEngine(connections, address),
    weightStore: storeAddress === undefined ? undefined : createWeightStore(connections, storeAddress),
    leadership,
    configuration: createConfigurationReader(keyValue, signal),
    ledger,
    clock,
    random,
    log,
    signal
  }
  const cycle = createPlannerCycle(context)
  const memory = createFoldMemory()

  const run = (task: string, period: Milliseconds, work: () => Promise<unknown>): void => repeat({ clock, log, signal }, `planner-${task}`, period, work)

  run('look', settings.period_ms, cycle.run)
  run('engine-orders', FOLLOW_UP_PERIOD, cycle.followUp)
  run('fold', FOLD_PERIOD, async () => {
    if (leadership.held(FOLD_MARGIN) !== undefined) await foldGone({ keyValue, clock, log, memory }, signal)
  })
  log.info('started', { incarnation })

  async function end (): Promise<void> {
    owner.abort()
    await connections.destroy()
  }

  return {
    incarnation,
    leadership,
    kill: end,
    stop: async () => {
      await leadership.release().catch(() => {})
      await reports.finish(boundSignal(STOP_BOUND)).catch(() => false)
      await end()
    }
  }
}

/** Reads the configuration from the key-value service; never goes back to a lower revision. */
function createConfigurationReader (keyValue: KeyValue, signal: AbortSignal): PlannerContext['configuration'] {
  let current: ConfigurationRevision | undefined
  return async () => {
    const entry = await keyValue.get(CONFIGURATION_KEY, signal)
    if (entry !== undefined) {
      const revision = configurationRevisionSchema.parse(JSON.parse(entry.value))
      if (current === undefined || revision.revision > current.revision) current = revision
    }
    return current?.configuration
  }
}
