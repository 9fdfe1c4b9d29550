/** Use of quotas as other nodes report it. */
import { valueOf } from '../named-values.js'

/** Units per second by organisation. */
export type UnitRates = Readonly<Record<string, number>>

/** Use of quotas as reported for one or more nodes. */
export interface ReportedUsage {
  /** Number of nodes that the report covers. */
  readonly nodes: number
  /** Units that callers request. */
  readonly demand: UnitRates
  /** Units that were granted. */
  readonly granted: UnitRates
}

/** What other nodes report of one organisation, in units per second. */
export interface ReportedRates {
  readonly demand: number
  readonly granted: number
}

/** Rates of an organisation of which nothing is reported. */
export const NOTHING_REPORTED: ReportedRates = { demand: 0, granted: 0 }

/**
 * Sums what is reported of one organisation.
 *
 * @example
 * sumReports(reports, 'hillside').granted
 */
export function sumReports (reports: readonly ReportedUsage[], organisation: string): ReportedRates {
  let demand = 0
  let granted = 0
  for (const report of reports) {
    demand += valueOf(report.demand, organisation) ?? 0
    granted += valueOf(report.granted, organisation) ?? 0
  }
  return { demand, granted }
}
