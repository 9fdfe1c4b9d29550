/** What nodes tell each other about themselves, passed on from node to node. */
import * as z from 'zod'
import { reportedDeparturesSchema, reportedLimitsSchema } from '../backpressure/index.js'
import { upstreamLifeSchema } from '../placement/index.js'
import { versionEvidenceSchema } from '../rollout/index.js'

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

const reportFields = {
  /** Nodes that it speaks for. */
  nodes: z.number().int().positive(),
  /** Version of the configuration in force there, the highest of several nodes; 0 for none. */
  configuration: z.number(),
  /** Units a second by organisation that callers ask for. */
  demand: countsSchema,
  /** Units a second by organisation that are let through. */
  granted: countsSchema,
  /** Requests in flight by life of an upstream, and the reading of prompts that they still need, in milliseconds. */
  inFlight: z.record(upstreamLifeSchema, z.object({ requests: z.number(), reading: z.number() })),
  /** Offered work by service. */
  work: z.record(z.string(), workSchema),
  /** How fast the engines of each service read prompts, as it has seen. */
  speeds: z.record(z.string(), speedSchema),
  /** Broken runs by fingerprint of the request; -1 for one that was answered whole since. */
  crashes: countsSchema,
  /** What it saw of versions that are rolled out, by service. */
  rollouts: z.record(z.string(), versionEvidenceSchema),
  /** Rate limits that upstreams named in answers to it. */
  limits: reportedLimitsSchema.default({}),
  /** Upstreams that said in answers to it that they leave. */
  departures: reportedDeparturesSchema.default([])
}

/** Sums of what one or several nodes see and do. */
export const fleetReportSchema = z.object(reportFields)
export type FleetReport = z.infer<typeof fleetReportSchema>

/**
 * One node as it last told of itself, with the sums of those that report to it. A higher sequence of the same
 * incarnation replaces a lower one.
 */
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
  /** Cores that it may use. */
  processor: z.number(),
  /** Takes new requests. */
  ready: z.boolean(),
  ...reportFields,
  /** Requests that began to run at this node alone, by window and organisation; the latest windows only. */
  usage: z.record(z.string(), countsSchema)
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

/** What a member tells its aggregator. */
export const memberMessageSchema = z.object({
  state: nodeStateSchema,
  /** Wall time of the member when it wrote this, in milliseconds. */
  wall: z.number(),
  /** Latest revision that it has, by followed prefix of the store. */
  known: z.record(z.string(), z.number())
})
export type MemberMessage = z.infer<typeof memberMessageSchema>

const entrySchema = z.object({ key: z.string(), value: z.string(), revision: z.number() })

/** What a node has read under a prefix of the store beyond a revision, for a node that doesn't read it itself. */
export const newsSchema = z.object({
  prefix: z.string(),
  /** Latest revision that it contains. */
  revision: z.number(),
  /** The entries are all that stand there, where the changes since the asked revision aren't known any more. */
  isWhole: z.boolean(),
  entries: z.array(entrySchema),
  removed: z.array(z.object({ key: z.string(), revision: z.number() })),
  /** Since the store was last heard of for this prefix, in milliseconds. */
  age: z.number()
})
export type News = z.infer<typeof newsSchema>

/** An aggregator's answer to a member. */
export const aggregatorAnswerSchema = z.object({
  /** Incarnation of the aggregator. */
  from: z.string(),
  /** Wall time that the aggregator and its peers agree on, in milliseconds. */
  wall: z.number(),
  /** Sums of all live nodes but the member; undefined where there are none. */
  others: fleetReportSchema.optional(),
  news: z.array(newsSchema)
})
export type AggregatorAnswer = z.infer<typeof aggregatorAnswerSchema>
