/** Starts the duties, which one node at a time performs: reporting usage and ordering upstreams. */
import type { EngineSpeeds, UpstreamRecord } from '../placement/index.js'
import type { RouteTable } from '../routing/index.js'
import { sumWork } from '../scaling/index.js'
import type { WorkMeter } from '../scaling/index.js'
import type { UsageWindows } from '../usage/index.js'
import type { DutyHolder } from './duty-holder.js'
import type { Fleet } from './fleet.js'
import type { StoreContext } from './follow.js'
import type { DutyCalls } from './ports.js'
import { startScalingController } from './scaling-controller.js'
import type { GatewaySettings } from './settings.js'
import type { UpstreamView } from './upstream-view.js'
import { startUsageReporter } from './usage-reporter.js'

/** Dependencies of {@link startDuties}. */
export interface DutiesOptions {
  readonly context: StoreContext
  readonly settings: GatewaySettings
  readonly incarnation: string
  readonly calls: DutyCalls
  readonly holder: DutyHolder
  readonly fleet: Fleet
  readonly usage: UsageWindows
  readonly work: WorkMeter
  readonly upstreams: UpstreamView
  readonly speeds: EngineSpeeds
  /** Whether regular traffic is routed to this upstream's version. */
  readonly carriesTraffic: (upstream: UpstreamRecord) => boolean
  readonly table: () => RouteTable | undefined
}

/** Running duties. */
export interface Duties {
  /** Releases the lease and writes the usage counts that only this node holds. */
  release (): Promise<void>
  /** Writes the usage counts that have changed since the last write. */
  writeUsageCounts (): Promise<void>
}

/**
 * Starts the usage reports and the scaling orders that the settings enable.
 *
 * @example
 * const duties = startDuties({ context, settings, incarnation, calls, holder, fleet, usage, work, upstreams, speeds, carriesTraffic, table })
 */
export function startDuties (options: DutiesOptions): Duties {
  const { context, settings, calls, holder, fleet, incarnation } = options
  const { bounds } = settings
  const usage = settings.duties.usage
    ? startUsageReporter({
      context,
      incarnation,
      windows: options.usage,
      windowLength: bounds.usageWindow,
      due: bounds.usageDue,
      sharedWall: fleet.wall,
      duty: holder,
      calls,
      heard: fleet.usage,
      members: fleet.memberUsage,
      isMember: fleet.isMember,
      fencingIsChecked: bounds.fencingIsChecked
    })
    : undefined
  if (settings.duties.scaling) {
    startScalingController({
      context,
      failureDomains: settings.failureDomains,
      table: options.table,
      upstreams: options.upstreams,
      speeds: options.speeds,
      carriesTraffic: options.carriesTraffic,
      duty: holder,
      calls,
      work: () => sumWork([options.work.rates(context.clock.now()), ...fleet.others().map((report) => report.work)]),
      coverage: () => fleet.others().reduce((sum, { nodes }) => sum + nodes, 1) / fleet.knownNodeCount()
    })
  }
  return {
    release: async () => { await Promise.allSettled([holder.release(), usage?.flush()]) },
    writeUsageCounts: async () => { await usage?.flush() }
  }
}
