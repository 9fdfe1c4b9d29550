/**
 * Totals of the epochs that were folded. A total holds one period and one part of the counts, and
 * the names of the epochs that are in it: adding an epoch and its name is one write, so an epoch is
 * counted once whatever becomes of replies, processes and leases.
 */
import * as z from 'zod'
import type { Milliseconds } from '../clock.js'
import { classNameSchema, incarnationSchema, instanceNameSchema } from '../identifiers.js'
import { readJson } from '../json.js'
import { deathNoteSchema, sumDeathNotes } from './death.js'
import type { Spend } from './ledger.js'
import { endsIncarnation, snapshotName, spendSchema } from './snapshot.js'
import type { Snapshot } from './snapshot.js'
import { addWritten, cellSchema, createTally, periodOf, writeTally } from './tally.js'
import type { Tally, WrittenCell } from './tally.js'

/** Part of a total that holds what belongs to no class: spend and gaps. No class can have this name. */
export const COMMON_PART = '_common'

const partSchema = z.union([classNameSchema, z.literal(COMMON_PART)])
export type TotalPart = z.infer<typeof partSchema>

/** Counts of a node after its last snapshot are unknown: it died without a last word. */
export const gapSchema = z.strictObject({
  incarnation: incarnationSchema,
  instance: instanceNameSchema,
  epoch: z.number().int().positive(),
  /** Wall time of the last snapshot. */
  from: z.number(),
  /** Wall time at which the node was known to be gone. */
  to: z.number()
})
export type Gap = z.infer<typeof gapSchema>

/** A gap that is none: the node lived and reported on. */
export const returnSchema = z.strictObject({ incarnation: incarnationSchema, epoch: z.number().int().positive() })
export type Return = z.infer<typeof returnSchema>

/** One part of the counts of one period, with the epochs that are in it. */
export const totalSchema = z.strictObject({
  format: z.literal(1),
  period: z.number().int().nonnegative(),
  part: partSchema,
  /** Epochs that are counted in, by name and last sequence number. */
  folded: z.array(z.strictObject({ name: z.string(), sequence: z.number().int().positive() })),
  cells: z.array(cellSchema),
  spend: z.array(spendSchema),
  gaps: z.array(gapSchema),
  returns: z.array(returnSchema),
  deaths: z.array(deathNoteSchema).default([]),
  /** Incarnations that left histograms out. */
  latencyOmitted: z.array(incarnationSchema)
})
export type Total = z.infer<typeof totalSchema>

/** A total that an epoch goes into. */
export interface TotalKey {
  readonly period: Milliseconds
  readonly part: TotalPart
}

/**
 * Totals that closed snapshots go into.
 *
 * @example
 * for (const key of totalsOf(snapshots)) await fold(key, snapshots)
 */
export function totalsOf (snapshots: readonly Snapshot[]): TotalKey[] {
  const keys = new Map<string, TotalKey>()
  const add = (period: Milliseconds, part: TotalPart): void => {
    keys.set(`${period}/${part}`, { period, part })
  }
  for (const snapshot of snapshots) {
    for (const cell of cellsOf(snapshot)) add(cell.period, cell.class)
    for (const spend of snapshot.spend) add(spend.period, COMMON_PART)
    for (const death of snapshot.deaths) add(death.period, COMMON_PART)
    if (snapshot.state.kind === 'given-up' || snapshot.latencyOmitted) add(periodOf(snapshot.writtenAt), COMMON_PART)
    if (snapshot.returned !== undefined) add(snapshot.returned.period, COMMON_PART)
  }
  return [...keys.values()]
}

/**
 * Adds closed snapshots to a total. Those that are in it already change nothing.
 *
 * @param total the stored one, or undefined for the first
 * @returns the new total, or undefined when there is nothing to add
 * @example
 * const next = foldInto(stored, key, snapshots)
 */
export function foldInto (total: Total | undefined, key: TotalKey, snapshots: readonly Snapshot[]): Total | undefined {
  const base = total ?? emptyTotal(key)
  const known = new Set(base.folded.map((folded) => folded.name))
  const added = snapshots.filter((snapshot) => !known.has(snapshotName(snapshot)) && concerns(snapshot, key))
  if (added.length === 0) return undefined
  const tally = createTally()
  addWritten(tally, base.cells)
  for (const snapshot of added) addWritten(tally, cellsIn(snapshot, key))
  return {
    ...base,
    folded: [...base.folded, ...added.map((snapshot) => ({ name: snapshotName(snapshot), sequence: snapshot.sequence }))],
    cells: writeTally(tally),
    ...(key.part === COMMON_PART ? commonOf(base, key, added) : {})
  }
}

/**
 * Cells of a snapshot as they count once it is closed: what was open at a node that is gone is
 * abandoned.
 *
 * @example
 * addWritten(tally, cellsOf(snapshot))
 */
export function cellsOf (snapshot: Snapshot): WrittenCell[] {
  if (!endsIncarnation(snapshot.state)) return snapshot.cells
  const tally: Tally = createTally()
  for (const open of snapshot.open) tally.cell(open).counts.abandoned += open.open
  return [...snapshot.cells, ...writeTally(tally)]
}

/**
 * The gap that a snapshot tells of.
 *
 * @returns undefined unless the node was given up
 * @example
 * gapOf(snapshot)?.from
 */
export function gapOf (snapshot: Snapshot): Gap | undefined {
  if (snapshot.state.kind !== 'given-up') return undefined
  const { incarnation, instance, epoch, writtenAt } = snapshot
  return { incarnation, instance, epoch, from: writtenAt, to: snapshot.state.at }
}

/**
 * @returns undefined for a text that is no total
 * @example
 * const total = decodeTotal(entry.value)
 */
export function decodeTotal (text: string): Total | undefined {
  return readJson(totalSchema, text)
}

function emptyTotal (key: TotalKey): Total {
  return { format: 1, period: key.period, part: key.part, folded: [], cells: [], spend: [], gaps: [], returns: [], deaths: [], latencyOmitted: [] }
}

function concerns (snapshot: Snapshot, key: TotalKey): boolean {
  return totalsOf([snapshot]).some((one) => one.period === key.period && one.part === key.part)
}

function cellsIn (snapshot: Snapshot, key: TotalKey): WrittenCell[] {
  return cellsOf(snapshot).filter((cell) => cell.period === key.period && cell.class === key.part)
}

function commonOf (base: Total, key: TotalKey, added: readonly Snapshot[]): Pick<Total, 'spend' | 'gaps' | 'returns' | 'deaths' | 'latencyOmitted'> {
  const here = (snapshot: Snapshot): boolean => periodOf(snapshot.writtenAt) === key.period
  const spend = added.flatMap((snapshot) => snapshot.spend.filter((one) => one.period === key.period))
  const gaps = added.filter(here).flatMap((snapshot) => gapOf(snapshot) ?? [])
  const returns = added.flatMap((snapshot) => returnsIn(snapshot, key))
  const deaths = added.flatMap((snapshot) => snapshot.deaths.filter((one) => one.period === key.period))
  const omitted = added.filter((snapshot) => here(snapshot) && snapshot.latencyOmitted).map((snapshot) => snapshot.incarnation)
  return {
    spend: sumSpend([...base.spend, ...spend]),
    gaps: [...base.gaps, ...gaps],
    returns: [...base.returns, ...returns],
    deaths: sumDeathNotes([...base.deaths, ...deaths]),
    latencyOmitted: [...new Set([...base.latencyOmitted, ...omitted])]
  }
}

function returnsIn (snapshot: Snapshot, key: TotalKey): Return[] {
  const { incarnation, returned } = snapshot
  return returned?.period === key.period ? [{ incarnation, epoch: returned.epoch }] : []
}

function sumSpend (spend: readonly Spend[]): Spend[] {
  const sums = new Map<string, Spend>()
  for (const one of spend) {
    const name = `${one.period}/${one.service}`
    sums.set(name, { ...one, amount: one.amount + (sums.get(name)?.amount ?? 0) })
  }
  return [...sums.values()]
}
