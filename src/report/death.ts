/**
 * What another node's notes tell of the requests that were open at a node when it died. The sums count
 * them already, as abandoned by the dead node; a note says more about some of them and adds nothing.
 */
import * as z from 'zod'
import type { Milliseconds } from '../clock.js'
import { classNameSchema, incarnationSchema, organisationNameSchema } from '../identifiers.js'
import type { DeadHomeCounts } from '../request/index.js'

const count = z.number().int()

/** Requests of one class and organisation that were open at a node when it died. */
export const deathNoteSchema = z.strictObject({
  /** Period in which the death was noticed. */
  period: z.number().int().nonnegative(),
  incarnation: incarnationSchema,
  class: classNameSchema,
  organisation: organisationNameSchema,
  /** Streams that the other node attached to, to answer their callers. */
  resumed: count,
  lost: count,
  unknown: count
})
export type DeathNote = z.infer<typeof deathNoteSchema>

/**
 * @param period in which the death was noticed
 * @example
 * notes.push(...deathNotesOf(account, periodOf(clock.wall())))
 */
export function deathNotesOf (account: DeadHomeCounts, period: Milliseconds): DeathNote[] {
  return account.rows.map((row) => ({
    period,
    incarnation: account.incarnation,
    class: row.class,
    organisation: row.organisation,
    resumed: row.resumed,
    lost: row.lost,
    unknown: row.unknown
  }))
}

/**
 * Adds up what several nodes noted, one entry for each dead node, class and organisation.
 *
 * @example
 * sumDeathNotes([...total.deaths, ...snapshot.deaths])
 */
export function sumDeathNotes (notes: readonly DeathNote[]): DeathNote[] {
  const sums = new Map<string, DeathNote>()
  for (const note of notes) {
    const name = `${note.period}/${note.incarnation}/${note.class}/${note.organisation}`
    const sum = sums.get(name)
    sums.set(name, sum === undefined ? note : { ...sum, resumed: sum.resumed + note.resumed, lost: sum.lost + note.lost, unknown: sum.unknown + note.unknown })
  }
  return [...sums.values()]
}
