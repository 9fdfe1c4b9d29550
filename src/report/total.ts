/**
 * Totals: the sums of folded epochs. To fold an epoch is to add its counts to the totals. A total contains one part of
 * the counts of one period, and the names of the epochs that it includes. The counts of an epoch and its name are added
 * in a single write. Each epoch is therefore counted exactly once, even if responses are lost, processes crash, or two
 * processes fold at the same time.
 */
import * as z from 'zod'
import type { Milliseconds } from '../clock.js'
import { classNameSchema, incarnationSchema, instanceNameSchema } from '../identifiers.js'
import { readJson } from '../json.js'
import { deathRecordSchema, sumDeathRecords } from './death.js'
import type { Spend } from './ledger.js'
import { endsIncarnation, snapshotName, spendSchema } from './snapshot.js'
import type { Snapshot } from './snapshot.js'
import { addEncodedCells, cellSchema, createTally, encodeTally, periodOf } from './tally.js'
import type { EncodedCell, Tally } from './tally.js'

/** Part of a total for data without a class, such as spend and gaps. No class can have this name. */
export const COMMON_PART = '_common'

const partSchema = z.union([classNameSchema, z.literal(COMMON_PART)])
export type TotalPart = z.infer<typeof partSchema>

/** Stored form of a gap: a node died without a final report, so its counts after its last snapshot are unknown. */
export const gapSchema = z.strictObject({
  incarnation: incarnationSchema,
  instance: instanceNameSchema,
  epoch: z.number().int().positive(),
  /** Wall time of the last snapshot. */
  from: z.number(),
  /** Wall time at which the node was given up. */
  to: z.number()
})
export type Gap = z.infer<typeof gapSchema>

/** Stored form of a revoked gap: the node was given up, but turned out to be alive and reported its counts later. */
export const revokedGapSchema = z.strictObject({ incarnation: incarnationSchema, epoch: z.number().int().positive() })
export type RevokedGap = z.infer<typeof revokedGapSchema>

/** Stored form of a total: one part of the counts of one period, and the epochs included in it. */
export const totalSchema = z.strictObject({
  format: z.literal(1),
  period: z.number().int().nonnegative(),
  part: partSchema,
  /** Included epochs, each with the sequence number of the snapshot that was folded. */
  folded: z.array(z.strictObject({ name: z.string(), sequence: z.number().int().positive() })),
  cells: z.array(cellSchema),
  spend: z.array(spendSchema),
  gaps: z.array(gapSchema),
  returns: z.array(revokedGapSchema),
  deaths: z.array(deathRecordSchema).default([]),
  /** Incarnations whose snapshots omitted histograms. */
  latencyOmitted: z.array(incarnationSchema)
})
export type Total = z.infer<typeof totalSchema>

/** Key of a total. */
export interface TotalKey {
  readonly period: Milliseconds
  readonly part: TotalPart
}

/**
 * Returns the keys of the totals that closed snapshots must be folded into.
 *
 * @example
 * for (const key of totalKeysOf(snapshots)) await fold(key, snapshots)
 */
export function totalKeysOf (snapshots: readonly Snapshot[]): TotalKey[] {
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
 * Folds closed snapshots into a total. Snapshots that the total already includes are ignored.
 *
 * @param total stored total, or undefined if there is none yet
 * @returns the new total, or undefined if there is nothing to add
 * @example
 * const next = foldInto(stored, key, snapshots)
 */
export function foldInto (total: Total | undefined, key: TotalKey, snapshots: readonly Snapshot[]): Total | undefined {
  const base = total ?? emptyTotal(key)
  const foldedNames = new Set(base.folded.map((folded) => folded.name))
  const added = snapshots.filter((snapshot) => !foldedNames.has(snapshotName(snapshot)) && contributesTo(snapshot, key))
  if (added.length === 0) return undefined
  const tally = createTally()
  addEncodedCells(tally, base.cells)
  for (const snapshot of added) addEncodedCells(tally, cellsIn(snapshot, key))
  return {
    ...base,
    folded: [...base.folded, ...added.map((snapshot) => ({ name: snapshotName(snapshot), sequence: snapshot.sequence }))],
    cells: encodeTally(tally),
    ...(key.part === COMMON_PART ? mergeCommonPart(base, key, added) : {})
  }
}

/**
 * Returns the cells that a snapshot contributes to totals and reports. If the incarnation has ended, its open requests
 * are counted as abandoned.
 *
 * @example
 * addEncodedCells(tally, cellsOf(snapshot))
 */
export function cellsOf (snapshot: Snapshot): EncodedCell[] {
  if (!endsIncarnation(snapshot.state)) return snapshot.cells
  const tally: Tally = createTally()
  for (const open of snapshot.open) tally.cell(open).counts.abandoned += open.open
  return [...snapshot.cells, ...encodeTally(tally)]
}

/**
 * Returns the gap after a snapshot.
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
 * Decodes a total.
 *
 * @returns the total, or undefined if the text is not a valid one
 * @example
 * const total = decodeTotal(entry.value)
 */
export function decodeTotal (text: string): Total | undefined {
  return readJson(totalSchema, text)
}

function emptyTotal (key: TotalKey): Total {
  return { format: 1, period: key.period, part: key.part, folded: [], cells: [], spend: [], gaps: [], returns: [], deaths: [], latencyOmitted: [] }
}

function contributesTo (snapshot: Snapshot, key: TotalKey): boolean {
  return totalKeysOf([snapshot]).some((candidate) => candidate.period === key.period && candidate.part === key.part)
}

function cellsIn (snapshot: Snapshot, key: TotalKey): EncodedCell[] {
  return cellsOf(snapshot).filter((cell) => cell.period === key.period && cell.class === key.part)
}

function mergeCommonPart (base: Total, key: TotalKey, added: readonly Snapshot[]): Pick<Total, 'spend' | 'gaps' | 'returns' | 'deaths' | 'latencyOmitted'> {
  const isWrittenInPeriod = (snapshot: Snapshot): boolean => periodOf(snapshot.writtenAt) === key.period
  const spend = added.flatMap((snapshot) => snapshot.spend.filter((item) => item.period === key.period))
  const gaps = added.filter(isWrittenInPeriod).flatMap((snapshot) => gapOf(snapshot) ?? [])
  const returns = added.flatMap((snapshot) => revokedGapsIn(snapshot, key))
  const deaths = added.flatMap((snapshot) => snapshot.deaths.filter((record) => record.period === key.period))
  const omitted = added.filter((snapshot) => isWrittenInPeriod(snapshot) && snapshot.latencyOmitted).map((snapshot) => snapshot.incarnation)
  return {
    spend: sumSpend([...base.spend, ...spend]),
    gaps: [...base.gaps, ...gaps],
    returns: [...base.returns, ...returns],
    deaths: sumDeathRecords([...base.deaths, ...deaths]),
    latencyOmitted: [...new Set([...base.latencyOmitted, ...omitted])]
  }
}

function revokedGapsIn (snapshot: Snapshot, key: TotalKey): RevokedGap[] {
  const { incarnation, returned } = snapshot
  return returned?.period === key.period ? [{ incarnation, epoch: returned.epoch }] : []
}

function sumSpend (spend: readonly Spend[]): Spend[] {
  const sums = new Map<string, Spend>()
  for (const item of spend) {
    const name = `${item.period}/${item.service}`
    sums.set(name, { ...item, amount: item.amount + (sums.get(name)?.amount ?? 0) })
  }
  return [...sums.values()]
}
