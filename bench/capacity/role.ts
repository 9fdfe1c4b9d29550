/** What a role costs: the lines that `npm run capacity` fits and holds against the limits. */
import type { Point } from './fit.js'

/** What a line counts, with its unit. */
export type Quantity =
  | 'processor time a node, us/s'
  | 'memory a node, KB'
  | 'messages a node, B/s'
  | 'KV writes, 1/s'
  | 'KV reads and waiting watches, 1/s'

/** One quantity of one role over sizes of the fleet. */
export interface CapacityLine {
  readonly role: string
  readonly quantity: Quantity
  /** Module whose mechanism bounds the quantity. */
  readonly module: string
  /** False for a part of another line, which would be counted twice. */
  readonly partOfSum?: boolean
  readonly points: readonly Point[]
}

/** A role that can be measured with copies in one process. */
export interface CapacityRole {
  readonly name: string
  measure (seed: number): Promise<readonly CapacityLine[]>
}

/**
 * Limits that the users set for control on a node, and the key-value service's rates. "Several hundred"
 * writes are taken as 300.
 */
export const LIMITS: Readonly<Record<Quantity, number>> = {
  'processor time a node, us/s': 34_000,
  'memory a node, KB': 32 * 1_024,
  'messages a node, B/s': 3 * 1_024,
  'KV writes, 1/s': 300,
  'KV reads and waiting watches, 1/s': 2_000
}
