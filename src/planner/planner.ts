/** Planner process. One runs next to each entry node, and only the one that holds the lease acts. */
import { createTimeoutSignal } from '../timeout-signal.js'
import { randomBytes } from 'node:crypto'
import { setMaxListeners } from 'node:events'
import type { Clock, Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import { configurationRevisionSchema } from '../configuration/index.js'
import type { ConfigurationRevision } from '../configuration/index.js'
import { CONFIGURATION_KEY } from '../entry/configuration-change.js'
import { createReportWriter } from '../entry/report-writer.js'
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
import { createFoldMemory, foldReports } from './report-folder.js'
import type { PlannerSettings } from './settings.js'

/** A running planner. */
export interface Planner {
  readonly incarnation: Incarnation
  readonly leadership: Leadership
  /** Stops as planned: releases the lease, writes the last report and ends. */
  stop (): Promise<void>
  /** Ends immediately without releasing the lease, like a crash of the process. */
  kill (): Promise<void>
}

const CONNECTIONS_PER_ADDRESS = 8

/** Pause between two passes over the reports. */
const FOLD_PERIOD: Milliseconds = 30 * SECOND

/** Minimum remaining time of the lease for a pass to start. */
const FOLD_LEASE_MARGIN: Milliseconds = 10 * SECOND

/** Time limit for writing the last report at a planned stop. */
const STOP_TIMEOUT: Milliseconds = 5 * SECOND

/**
 * Starts a planner.
 *
 * @example
 * const planner = startPlanner({ settings, clock, random })
 * onStopSignal(() => planner.stop())
 */
export function startPlanner (options: { settings: PlannerSettings, clock: Clock, random: Random }): Planner {
  const { settings, clock, random } = options
  const controller = new AbortController()
  const { signal } = controller
  setMaxListeners(0, signal)
  const log = createLog(`planner/${settings.instance}`, settings.log_level, clock.wall)
  const incarnation = incarnationSchema.parse(`planner-${settings.instance}-${randomBytes(6).toString('hex')}`)
  const connections = createConnections(CONNECTIONS_PER_ADDRESS)
  const keyValue = createKeyValue(connections, settings.platform.key_value)
  const leadership = createLeaseManager({ keyValue, clock, random, log, signal, holder: incarnation })
  const ledger = createLedger({ wall: clock.wall })
  const reporter = createReportWriter({ incarnation, instance: settings.instance, ledger, keyValue, clock, random, log, signal })
  const weightStoreAddress = settings.platform.weight_store
  const context: PlannerContext = {
    settings,
    keyValue,
    cloud: createCloud(connections, settings.platform.cloud),
    instanceList: createInstanceList(connections, settings.platform.instance_list, log),
    engineAt: (address) => createEngine(connections, address),
    weightStore: weightStoreAddress === undefined ? undefined : createWeightStore(connections, weightStoreAddress),
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

  const startTask = (task: string, period: Milliseconds, work: () => Promise<unknown>): void => repeat({ clock, log, signal }, `planner-${task}`, period, work)

  startTask('look', settings.period_ms, cycle.run)
  startTask('engine-orders', FOLLOW_UP_PERIOD, cycle.followUp)
  startTask('fold', FOLD_PERIOD, async () => {
    if (leadership.held(FOLD_LEASE_MARGIN) !== undefined) await foldReports({ keyValue, clock, log, memory }, signal)
  })
  log.info('started', { incarnation })

  async function shutDown (): Promise<void> {
    controller.abort()
    await connections.destroy()
  }

  return {
    incarnation,
    leadership,
    kill: shutDown,
    stop: async () => {
      await leadership.release().catch(() => {})
      await reporter.finish(createTimeoutSignal(STOP_TIMEOUT)).catch(() => false)
      await shutDown()
    }
  }
}

/** Reads the configuration from the key-value service. A lower revision than the current one is ignored. */
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
