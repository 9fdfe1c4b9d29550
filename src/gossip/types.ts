/** What nodes tell each other about themselves, passed on from node to node. */
import * as z from 'zod'
import { upstreamLifeSchema } from '../placement/index.js'

const countsSchema = z.record(z.string(), z.number())

/** Work of one service that a node took in, a second. */
const workSchema = z.object({
  requests: z.number(),
  /** Milliseconds of reading. */
  reading: z.number(),
  generatedTokens: z.number()
})

/** Speed of a service's engines as a node has learnt it. */
const speedSchema = z.object({ base: z.number(), perThousandTokens: z.number(), perMillionPairs: z.number(), samples: z.number() })

/** One node as it last told of itself. A higher sequence of the same incarnation replaces a lower one. */
export const nodeStateSchema = z.object({
  name: z.string(),
  incarnation: z.string(),
  /** Rises with each change and each heartbeat. */
  sequence: z.number().int(),
  failureDomain: z.string(),
  /** Address for callers. */
  front: z.string(),
  /** Address for other nodes. */
  peer: z.string(),
  /** Takes new requests. */
  ready: z.boolean(),
  /** Version of the configuration in force there; 0 for none. */
  configuration: z.number(),
  /** Units a second by organisation. */
  demand: countsSchema,
  /** Requests in flight by life of an upstream, and the reading of prompts that they still need, in milliseconds. */
  inFlight: z.record(upstreamLifeSchema, z.object({ requests: z.number(), reading: z.number() })),
  /** Offered work by service. */
  work: z.record(z.string(), workSchema),
  /** How fast the engines of each service read prompts, as it has seen. */
  speeds: z.record(z.string(), speedSchema),
  /** Requests that began to run, by window and organisation; the latest windows only. */
  usage: z.record(z.string(), countsSchema),
  /** Broken runs by fingerprint of the request; -1 for one that was answered whole since. */
  crashes: countsSchema
})
export type NodeState = z.infer<typeof nodeStateSchema>

/** Latest sequence by incarnation. */
export type Versions = Readonly<Record<string, number>>

/** One half of an exchange between two nodes. */
export const gossipMessageSchema = z.object({
  /** Incarnation of the sender. */
  from: z.string(),
  /** Wall time of the sender when it wrote this, in milliseconds. */
  wall: z.number(),
  /** What the sender knows. */
  versions: z.record(z.string(), z.number()),
  /** States that the receiver lacks, as far as the sender knows. */
  states: z.array(nodeStateSchema),
  /** How long ago the sender first heard each of these, in milliseconds; its own is new. */
  ages: z.record(z.string(), z.number())
})
export type GossipMessage = z.infer<typeof gossipMessageSchema>
