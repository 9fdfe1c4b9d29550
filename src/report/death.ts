/**
 * Death records: what is known about the requests that were open at a node when it died, from the notes that another
 * node kept about them. These requests are already part of the sums as abandoned by the dead node. A death record
 * states what became of them and is not added to the sums.
 */
import * as z from 'zod'
import type { Milliseconds } from '../clock.js'
import { classNameSchema, incarnationSchema, organisationNameSchema } from '../identifiers.js'
import type { DeadHomeCounts } from '../request/index.js'

const count = z.number().int()

/** Requests of one class and organisation that were open at a node when it died, in their stored form. */
export const deathRecordSchema = z.strictObject({
  /** Wall time of the start of the period in which the death was detected. */
  period: z.number().int().nonnegative(),
  incarnation: incarnationSchema,
  class: classNameSchema,
  organisation: organisationNameSchema,
  /** Requests whose streams the other node resumed in order to answer the callers. */
  resumed: count,
  lost: count,
  unknown: count
})
export type DeathRecord = z.infer<typeof deathRecordSchema>

/**
 * Converts the counts of one dead node to death records.
 *
 * @param period period in which the death was detected
 * @example
 * records.push(...deathRecordsOf(counts, periodOf(clock.wall())))
 */
export function deathRecordsOf (counts: DeadHomeCounts, period: Milliseconds): DeathRecord[] {
  return counts.rows.map((row) => ({
    period,
    incarnation: counts.incarnation,
    class: row.class,
    organisation: row.organisation,
    resumed: row.resumed,
    lost: row.lost,
    unknown: row.unknown
  }))
}

/**
 * Merges death records, which several nodes may have written, into one per period, dead node, class and organisation.
 *
 * @example
 * sumDeathRecords([...total.deaths, ...snapshot.deaths])
 */
export function sumDeathRecords (records: readonly DeathRecord[]): DeathRecord[] {
  const sums = new Map<string, DeathRecord>()
  for (const record of records) {
    const key = `${record.period}/${record.incarnation}/${record.class}/${record.organisation}`
    const sum = sums.get(key)
    sums.set(key, sum === undefined ? record : { ...sum, resumed: sum.resumed + record.resumed, lost: sum.lost + record.lost, unknown: sum.unknown + record.unknown })
  }
  return [...sums.values()]
}
