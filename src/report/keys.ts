/** Keys of reports in the key-value service. */
import type { Milliseconds } from '../clock.js'
import type { Incarnation } from '../identifiers.js'
import { snapshotName } from './snapshot.js'
import type { TotalKey } from './total.js'

const NODES_PREFIX = 'hornbeamgap/reports/nodes/'
const TOTALS_PREFIX = 'hornbeamgap/reports/totals/'

/**
 * Number of key prefixes over which the snapshots of the nodes are distributed, so that a reader in a large fleet never
 * requests all snapshots in one response. All epochs of an incarnation are stored under the same prefix.
 */
export const SHARDS = 64

const SHARD_DIGITS = 2

/** Parameters of the 32-bit FNV-1a hash. */
const FNV_OFFSET_BASIS = 0x811c9dc5
const FNV_PRIME = 0x01000193

/**
 * Returns the key prefix of one shard of the snapshots.
 *
 * @param shard 0 to {@link SHARDS} - 1
 * @example
 * const listing = await keyValue.list(shardPrefix(0), signal)
 */
export function shardPrefix (shard: number): string {
  return `${NODES_PREFIX}${String(shard).padStart(SHARD_DIGITS, '0')}/`
}

/**
 * Returns the key of the snapshot of one epoch.
 *
 * @example
 * snapshotKey({ incarnation, epoch: 1 })
 */
export function snapshotKey (snapshot: { incarnation: Incarnation, epoch: number }): string {
  return shardPrefixOf(snapshot.incarnation) + snapshotName(snapshot)
}

/**
 * Returns the key prefix of the snapshots of all epochs of one incarnation.
 *
 * @example
 * const listing = await keyValue.list(incarnationPrefix(incarnation), signal)
 */
export function incarnationPrefix (incarnation: Incarnation): string {
  return `${shardPrefixOf(incarnation)}${incarnation}.`
}

/**
 * Returns the key prefix of all parts of the total of one period.
 *
 * @example
 * periodPrefix(0) // 'hornbeamgap/reports/totals/1970-01-01T00/'
 */
export function periodPrefix (period: Milliseconds): string {
  return `${TOTALS_PREFIX}${new Date(period).toISOString().slice(0, 13)}/`
}

/**
 * Returns the key of one part of the total of one period.
 *
 * @example
 * totalKey({ period, part: 'booking' })
 */
export function totalKey (key: TotalKey): string {
  return periodPrefix(key.period) + key.part
}

function shardPrefixOf (incarnation: Incarnation): string {
  return shardPrefix(fnv1a(incarnation) % SHARDS)
}

/** 32-bit FNV-1a hash, which distributes names well even if they differ only in a few characters. */
function fnv1a (text: string): number {
  let value = FNV_OFFSET_BASIS
  for (let index = 0; index < text.length; index += 1) {
    value = Math.imul(value ^ text.charCodeAt(index), FNV_PRIME) >>> 0
  }
  return value
}
