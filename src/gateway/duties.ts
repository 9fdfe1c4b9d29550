/** The duties of one node at a time, put together: who holds them, usage reports, orders for upstreams. */
import type { EngineSpeeds, UpstreamRecord } from '../placement/index.js'
import type { RouteTable } from '../routing/index.js'
import { sumWork } from '../scaling/index.js'
import type { WorkMeter } from '../scaling/index.js'
import type { UsageWindows } from '../usage/index.js'
import type { DutyHolder } from './duty-holder.js'
import type { Fleet } from './fleet.js'
import type { FollowContext } from './follow.js'
import type { DutyCalls } from './ports.js'
import { keepScaling } from './scaling-keeper.js'
import type { GatewaySettings } from './settings.js'
import type { UpstreamView } from './upstream-view.js'
import { keepUsage } from './usage-keeper.js'

/** What the duties need. */
export interface DutiesOptions {
  readonly context: FollowContext
  readonly settings: GatewaySettings
  readonly incarnation: string
  readonly calls: DutyCalls
  readonly holder: DutyHolder
  readonly fleet: Fleet
  readonly usage: UsageWindows
  readonly work: WorkMeter
  readonly upstreams: UpstreamView
  readonly speeds: EngineSpeeds
  /** Whether an upstream's version carries the traffic. */
  readonly carries: (upstream: UpstreamRecord) => boolean
  readonly table: () => RouteTable | undefined
}

/** Running duties. */
export interface Duties {
  /** Gives the duties up, and writes the counts that only this node has. */
  release (): Promise<void>
  /** Writes the counts of what was served since. */
  writeCounts (): Promise<void>
}

/**
 * @example
 * const duties = keepDuties({ context, settings, incarnation, calls, holder, fleet, usage, work, upstreams, speeds, carries, table })
 */
export function keepDuties (options: DutiesOptions): Duties {
  const { context, settings, calls, holder, fleet, incarnation } = options
  const { bounds } = settings
  const usage = settings.duties.usage
    ? keepUsage({
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
    keepScaling({
      context,
      failureDomains: settings.failureDomains,
      table: options.table,
      upstreams: options.upstreams,
      speeds: options.speeds,
      carries: options.carries,
      duty: holder,
      calls,
      work: () => sumWork([options.work.rates(context.clock.now()), ...fleet.others().map((report) => report.work)])
    })
  }
  return {
    release: async () => { await Promise.allSettled([holder.release(), usage?.flush()]) },
    writeCounts: async () => { await usage?.flush() }
  }
}
