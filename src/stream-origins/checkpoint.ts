/** What a node writes into the store, so that streams can be resumed at their versions after all nodes that knew of them have ended. */
import * as z from 'zod'
import type { StreamId, StreamOrigin } from './types.js'
import { streamIdSchema, streamOriginSchema } from './types.js'

const valuesByNameSchema = z.record(z.string(), z.array(z.string()))

/** Checkpoint of one incarnation of a node. */
export const originCheckpointSchema = z.object({
  /** Epoch of the store that the node knew. A checkpoint of an earlier epoch comes from a copy, so that what was written after it is missing. */
  epoch: z.number(),
  /** Whether this checkpoint and the others that the node had read named all versions at which a stream that is still resumed may have begun at any node. */
  isComplete: z.boolean(),
  /** Versions that the node has seen lately, by service. */
  versions: valuesByNameSchema,
  /** Services at which streams of the node began lately, by route. */
  destinations: valuesByNameSchema,
  /** Streams of the node whose callers may still resume them, unless their origin can be inferred. */
  streams: z.array(streamOriginSchema.extend({ ids: z.array(streamIdSchema) }))
})
export type OriginCheckpoint = z.infer<typeof originCheckpointSchema>

/**
 * Groups the streams of a checkpoint by their origins.
 *
 * @example
 * groupByOrigin([['9c41d07be2a35f68', { service: 'plans', version: 'v2' }]]) // [{ service: 'plans', version: 'v2', ids: ['9c41d07be2a35f68'] }]
 */
export function groupByOrigin (streams: Iterable<readonly [StreamId, StreamOrigin]>): OriginCheckpoint['streams'] {
  const groups = new Map<string, OriginCheckpoint['streams'][number]>()
  for (const [stream, { service, version }] of streams) {
    const key = JSON.stringify([service, version])
    const group = groups.get(key) ?? { service, version, ids: [] }
    group.ids.push(stream)
    groups.set(key, group)
  }
  return [...groups.values()]
}
