/**
 * Snapshots: the reports of nodes as they are stored in the key-value service. A snapshot contains the cumulative
 * counts of one epoch of one incarnation. Each snapshot replaces the one with the previous sequence number, so a lost
 * response or a repeated write of the same snapshot does not change the counts.
 */
import * as z from 'zod'
import type { Milliseconds } from '../clock.js'
import { classNameSchema, incarnationSchema, instanceNameSchema, organisationNameSchema, serviceNameSchema } from '../identifiers.js'
import type { Incarnation, InstanceName } from '../identifiers.js'
import { readJson } from '../json.js'
import { deathRecordSchema } from './death.js'
import type { EpochCounts } from './ledger.js'
import { cellSchema } from './tally.js'

/** Maximum size of an encoded snapshot, in bytes. The key-value service accepts values up to one megabyte. */
export const MAX_SNAPSHOT_BYTES = 900_000

/**
 * State of an epoch.
 *
 * - `counting`: the node is still counting in this epoch.
 * - `closed`: the node closed the epoch and continues in the next one.
 * - `final`: the node has stopped as planned. No further epoch follows.
 * - `given-up`: the planner closed the epoch because the node appeared to be gone. If the node is alive after all, its
 *   next write detects this state, and it continues in a new epoch.
 */
export const snapshotStateSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('counting') }),
  z.strictObject({ kind: z.literal('closed') }),
  z.strictObject({ kind: z.literal('final') }),
  z.strictObject({ kind: z.literal('given-up'), at: z.number() })
])
export type SnapshotState = z.infer<typeof snapshotStateSchema>

/** Stored form of the spend on one service in one period. */
export const spendSchema = z.strictObject({
  period: z.number().int().nonnegative(),
  service: serviceNameSchema,
  amount: z.number()
})

const openCountSchema = z.strictObject({
  period: z.number().int().nonnegative(),
  class: classNameSchema,
  organisation: organisationNameSchema,
  open: z.number().int().nonnegative()
})

/** Stored form of a snapshot. */
export const snapshotSchema = z.strictObject({
  format: z.literal(1),
  incarnation: incarnationSchema,
  instance: instanceNameSchema,
  epoch: z.number().int().positive(),
  /** Increases with each snapshot of the incarnation. */
  sequence: z.number().int().positive(),
  /** Wall time of the start of the epoch. */
  since: z.number(),
  /** Wall time up to which events are counted. */
  writtenAt: z.number(),
  /** Maximum time until the next snapshot while the node is alive, in milliseconds. */
  nextWithin: z.number().positive(),
  state: snapshotStateSchema,
  /**
   * Epoch of this incarnation that was given up although the node was alive, and the period whose total stores its gap.
   */
  returned: z.strictObject({ epoch: z.number().int().positive(), period: z.number().int() }).optional(),
  /** Whether histograms were omitted to keep the snapshot within its maximum size. */
  latencyOmitted: z.boolean().default(false),
  cells: z.array(cellSchema),
  open: z.array(openCountSchema),
  spend: z.array(spendSchema),
  deaths: z.array(deathRecordSchema).default([])
})
export type Snapshot = z.infer<typeof snapshotSchema>

/** Fields of a snapshot other than the counts. */
export interface SnapshotHeader {
  readonly incarnation: Incarnation
  readonly instance: InstanceName
  readonly sequence: number
  readonly writtenAt: Milliseconds
  readonly nextWithin: Milliseconds
  readonly state: SnapshotState
  readonly returned?: { epoch: number, period: Milliseconds } | undefined
}

/**
 * Returns the name of an epoch, which is unique across all incarnations.
 *
 * @example
 * snapshotName({ incarnation, epoch: 2 }) // 'entry-1-a1b2.2'
 */
export function snapshotName (snapshot: { incarnation: Incarnation, epoch: number }): string {
  return `${snapshot.incarnation}.${snapshot.epoch}`
}

/**
 * Encodes a snapshot as JSON. If the text exceeds {@link MAX_SNAPSHOT_BYTES}, the histograms are omitted and only the
 * counts are kept.
 *
 * @example
 * const text = encodeSnapshot(header, ledger.snapshot())
 */
export function encodeSnapshot (header: SnapshotHeader, counts: EpochCounts): string {
  const snapshot = { format: 1, ...header, ...counts }
  const text = JSON.stringify(snapshot)
  if (text.length <= MAX_SNAPSHOT_BYTES) return text
  const cells = counts.cells.map((cell) => ({ ...cell, latency: {} }))
  return JSON.stringify({ ...snapshot, cells, latencyOmitted: true })
}

/**
 * Decodes a snapshot.
 *
 * @returns the snapshot, or undefined if the text is not a valid one
 * @example
 * const snapshot = decodeSnapshot(entry.value)
 */
export function decodeSnapshot (text: string): Snapshot | undefined {
  return readJson(snapshotSchema, text)
}

/**
 * Whether the epoch is complete, so that it may be folded into the totals.
 *
 * @example
 * isClosed({ kind: 'counting' }) // false
 */
export function isClosed (state: SnapshotState): boolean {
  switch (state.kind) {
    case 'counting': return false
    case 'closed': return true
    case 'final': return true
    case 'given-up': return true
  }
}

/**
 * Whether the incarnation ended with this epoch, so that its open requests are counted as abandoned.
 *
 * @example
 * endsIncarnation({ kind: 'closed' }) // false: the node continues in the next epoch
 */
export function endsIncarnation (state: SnapshotState): boolean {
  switch (state.kind) {
    case 'counting': return false
    case 'closed': return false
    case 'final': return true
    case 'given-up': return true
  }
}
