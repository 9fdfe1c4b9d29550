/**
 * A node's report as it lies in the key-value service: cumulative counts of one epoch of one
 * incarnation. A later sequence number replaces an earlier one, so a lost reply or a second write of
 * the same snapshot changes nothing.
 */
import * as z from 'zod'
import type { Milliseconds } from '../clock.js'
import { classNameSchema, incarnationSchema, instanceNameSchema, organisationNameSchema, serviceNameSchema } from '../identifiers.js'
import type { Incarnation, InstanceName } from '../identifiers.js'
import { readJson } from '../json.js'
import { deathNoteSchema } from './death.js'
import type { EpochCounts } from './ledger.js'
import { cellSchema } from './tally.js'

/** Most bytes of a value; the key-value service takes a megabyte. */
export const LARGEST_SNAPSHOT = 900_000

/**
 * Where an epoch stands.
 *
 * - `counting`: the node goes on writing.
 * - `closed`: the node closed the epoch and counts on in the next one.
 * - `final`: the node stopped as planned; nothing follows.
 * - `given-up`: the folder closed it, since the node is gone. A node that lives sees this at its next
 *   write and counts on in a new epoch.
 */
export const snapshotStateSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('counting') }),
  z.strictObject({ kind: z.literal('closed') }),
  z.strictObject({ kind: z.literal('final') }),
  z.strictObject({ kind: z.literal('given-up'), at: z.number() })
])
export type SnapshotState = z.infer<typeof snapshotStateSchema>

/** Money spent on one service in one period. */
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

/** A snapshot as it is written. */
export const snapshotSchema = z.strictObject({
  format: z.literal(1),
  incarnation: incarnationSchema,
  instance: instanceNameSchema,
  epoch: z.number().int().positive(),
  /** Rises with each snapshot of the incarnation. */
  sequence: z.number().int().positive(),
  /** Wall time of the epoch's first moment. */
  since: z.number(),
  /** Wall time of the last event that is counted in. */
  writtenAt: z.number(),
  /** The next snapshot follows within this time while the node lives, in milliseconds. */
  nextWithin: z.number().positive(),
  state: snapshotStateSchema,
  /** Epoch of this incarnation that was given up although the node lived, and where its gap is kept. */
  returned: z.strictObject({ epoch: z.number().int().positive(), period: z.number().int() }).optional(),
  /** Histograms were left out to keep the value within its bound. */
  latencyOmitted: z.boolean().default(false),
  cells: z.array(cellSchema),
  open: z.array(openCountSchema),
  spend: z.array(spendSchema),
  deaths: z.array(deathNoteSchema).default([])
})
export type Snapshot = z.infer<typeof snapshotSchema>

/** What a snapshot says beside the counts. */
export interface SnapshotHead {
  readonly incarnation: Incarnation
  readonly instance: InstanceName
  readonly sequence: number
  readonly writtenAt: Milliseconds
  readonly nextWithin: Milliseconds
  readonly state: SnapshotState
  readonly returned?: { epoch: number, period: Milliseconds } | undefined
}

/**
 * Name of an epoch, unique over all time.
 *
 * @example
 * snapshotName({ incarnation, epoch: 2 }) // 'entry-1-a1b2.2'
 */
export function snapshotName (snapshot: { incarnation: Incarnation, epoch: number }): string {
  return `${snapshot.incarnation}.${snapshot.epoch}`
}

/**
 * Text of a snapshot, within {@link LARGEST_SNAPSHOT}: counts always, histograms if they fit.
 *
 * @example
 * const text = encodeSnapshot(head, ledger.snapshot())
 */
export function encodeSnapshot (head: SnapshotHead, counts: EpochCounts): string {
  const snapshot = { format: 1, ...head, ...counts }
  const text = JSON.stringify(snapshot)
  if (text.length <= LARGEST_SNAPSHOT) return text
  const cells = counts.cells.map((cell) => ({ ...cell, latency: {} }))
  return JSON.stringify({ ...snapshot, cells, latencyOmitted: true })
}

/**
 * @returns undefined for a text that is no snapshot; such a key is left alone and reported
 * @example
 * const snapshot = decodeSnapshot(entry.value)
 */
export function decodeSnapshot (text: string): Snapshot | undefined {
  return readJson(snapshotSchema, text)
}

/**
 * Whether nothing follows in this epoch, so that it may be folded.
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
 * Whether the incarnation ended with this epoch, so that what is open in it was left behind.
 *
 * @example
 * endsIncarnation({ kind: 'closed' }) // false: it counts on in the next epoch
 */
export function endsIncarnation (state: SnapshotState): boolean {
  switch (state.kind) {
    case 'counting': return false
    case 'closed': return false
    case 'final': return true
    case 'given-up': return true
  }
}
