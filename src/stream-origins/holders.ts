/** Chooses the nodes that hold the record of a stream. Every node that knows the same nodes chooses the same ones. */
import { pickAcrossDomains } from '../membership/rendezvous.js'
import type { RankCandidate } from '../membership/rendezvous.js'
import type { StreamId } from './types.js'

/** A node that may hold records. */
export type HolderCandidate = RankCandidate

/** Number of nodes to which the origin of a stream is sent. One of them is left in 93 of 100 cases where four of eight others are killed at once. */
export const RECORD_HOLDERS = 3

/**
 * Number of nodes that are asked: more than hold the record, since each node leaves itself out and nodes may have changed
 * meanwhile. Two in each of three failure domains.
 */
export const ASKED_HOLDERS = 6

/**
 * Picks the holders of a stream's record from the failure domains in turn.
 *
 * @param nodes all registered nodes
 * @example
 * pickHolders('9c41d07be2a35f68', records, RECORD_HOLDERS)
 */
export function pickHolders<Node extends HolderCandidate> (stream: StreamId, nodes: readonly Node[], count: number): Node[] {
  return pickAcrossDomains(`stream/${stream}`, nodes, count)
}
