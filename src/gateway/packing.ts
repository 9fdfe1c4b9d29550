/**
 * Messages of an exchange as one compressed text. States of nodes repeat the same names, so that 64 of them
 * shrink to a fifth; links of 7 Mbit/s carry callers' answers beside them.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { gossipMessageSchema } from '../gossip/index.js'
import type { GossipMessage } from '../gossip/index.js'
import { ServingError } from '../verdict.js'

/** Fastest level: it takes a third of the time of the usual one and leaves a tenth more. */
const LEVEL = 1

/** Bound on a message as it is read: 64 nodes of 2 KB each, several times over. */
export const LARGEST_MESSAGE = 1_048_576

/**
 * @example
 * await link(address).exchange.mutate(packMessage(message))
 */
export function packMessage (message: GossipMessage): string {
  return deflateRawSync(JSON.stringify(message), { level: LEVEL }).toString('base64')
}

/**
 * @throws ServingError `invalid-request` when it is no message
 * @example
 * table.take(unpackMessage(text), clock.now())
 */
export function unpackMessage (text: string): GossipMessage {
  try {
    return gossipMessageSchema.parse(JSON.parse(inflateRawSync(Buffer.from(text, 'base64'), { maxOutputLength: LARGEST_MESSAGE }).toString()))
  } catch (cause) {
    throw new ServingError('a message of another node is malformed', { code: 'invalid-request', verdict: 'not-run', cause })
  }
}
