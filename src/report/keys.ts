/** Where reports lie in the key-value service. */
import type { Milliseconds } from '../clock.js'
import type { Incarnation } from '../identifiers.js'
import { snapshotName } from './snapshot.js'
import type { TotalKey } from './total.js'

const NODES = 'hornbeamgap/reports/nodes/'
const TOTALS = 'hornbeamgap/reports/totals/'

/**
 * Nodes' reports are spread over so many prefixes, so that a reader of a large fleet never asks for
 * all of them in one answer. All epochs of an incarnation lie under one prefix.
 */
export const SHARDS = 64

const SHARD_DIGITS = 2

const HASH_START = 0x811c9dc5
const HASH_FACTOR = 0x01000193

/**
 * Prefix of one shard of the nodes' reports.
 *
 * @param shard 0 to {@link SHARDS} - 1
 * @example
 * const listing = await keyValue.list(shardPrefix(0), signal)
 */
export function shardPrefix (shard: number): string {
  return `${NODES}${String(shard).padStart(SHARD_DIGITS, '0')}/`
}

/**
 * Key of the report of one epoch of a node.
 *
 * @example
 * snapshotKey({ incarnation, epoch: 1 })
 */
export function snapshotKey (snapshot: { incarnation: Incarnation, epoch: number }): string {
  return shardOf(snapshot.incarnation) + snapshotName(snapshot)
}

/**
 * Prefix of the reports of all epochs of one incarnation.
 *
 * @example
 * const listing = await keyValue.list(incarnationPrefix(incarnation), signal)
 */
export function incarnationPrefix (incarnation: Incarnation): string {
  return `${shardOf(incarnation)}${incarnation}.`
}

/**
 * Prefix of all parts of a period's total.
 *
 * @example
 * periodPrefix(0) // 'hornbeamgap/reports/totals/1970-01-01T00/'
 */
export function periodPrefix (period: Milliseconds): string {
  return `${TOTALS}${new Date(period).toISOString().slice(0, 13)}/`
}

/**
 * Key of one part of a period's total.
 *
 * @example
 * totalKey({ period, part: 'booking' })
 */
export function totalKey (key: TotalKey): string {
  return periodPrefix(key.period) + key.part
}

function shardOf (incarnation: Incarnation): string {
  return shardPrefix(hash(incarnation) % SHARDS)
}

/** FNV-1a: spreads names that differ in a few characters. */
function hash (text: string): number {
  let value = HASH_START
  for (let index = 0; index < text.length; index += 1) {
    value = Math.imul(value ^ text.charCodeAt(index), HASH_FACTOR) >>> 0
  }
  return value
}
