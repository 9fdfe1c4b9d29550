/** Messages of the gossip between nodes. */
import * as z from 'zod'
import { reportedDeparturesSchema, reportedLimitsSchema } from '../backpressure/index.js'
import { crashEvidenceSchema } from '../crash-causes/index.js'
import { upstreamIncarnationSchema } from '../placement/index.js'
import { versionEvidenceSchema } from '../rollout/index.js'

const countsSchema = z.record(z.string(), z.number())

/** Work offered to a node for one service, per second. */
const workSchema = z.object({
  requests: z.number(),
  /** Milliseconds of prefill. */
  reading: z.number(),
  generatedTokens: z.number(),
  /** Time since the first request, and sums over completed attempts; zero in reports of nodes that do not measure them. */
  measured: z.object({ span: z.number(), attempts: z.number(), tokens: z.number(), held: z.number() }).default({ span: 0, attempts: 0, tokens: 0, held: 0 })
})

/** Speed of a service's engines as a node has estimated it. */
const speedSchema = z.object({ base: z.number(), perThousandTokens: z.number(), perMillionPairs: z.number(), samples: z.number() })

const reportFields = {
  /** Number of nodes that the report covers. */
  nodes: z.number().int().positive(),
  /** Version of the configuration in force, the highest where the report covers several nodes; 0 for none. */
  configuration: z.number(),
  /** Units per second that callers request, by organisation. */
  demand: countsSchema,
  /** Units per second that are granted, by organisation. */
  granted: countsSchema,
  /**
   * Requests in flight by incarnation of an upstream, how many of them have no first answer, and the prefill of these, in
   * milliseconds.
   */
  inFlight: z.record(upstreamIncarnationSchema, z.object({ requests: z.number(), reading: z.number(), unanswered: z.number().default(0) })),
  /** Mean time for which a request holds a slot, by service; empty from nodes of an older build. */
  holdTime: z.record(z.string(), z.object({ mean: z.number().nonnegative(), samples: z.number().nonnegative() })).default({}),
  /** Largest recent delays of first answers, by incarnation of an upstream, in milliseconds; empty from nodes of an older build. */
  delays: z.record(upstreamIncarnationSchema, z.number()).default({}),
  /** Offered work by service. */
  work: z.record(z.string(), workSchema),
  /** Estimated prefill speed of the engines, by service. */
  speeds: z.record(z.string(), speedSchema),
  /**
   * Number of broken runs by fingerprint of the request; -1 where a request with this fingerprint has since been answered
   * completely.
   */
  crashes: countsSchema,
  /** Crashes of upstreams and the parts of prompts that ran there; empty from nodes of an older build. */
  crashCauses: crashEvidenceSchema.default({}),
  /** Evidence on versions that are rolled out, by service. */
  rollouts: z.record(z.string(), versionEvidenceSchema),
  /** Rate limits that upstreams gave in their answers. */
  limits: reportedLimitsSchema.default({}),
  /** Upstreams whose answers said that they leave. */
  departures: reportedDeparturesSchema.default([])
}

/** Report of one node, or the merged report of several nodes. */
export const fleetReportSchema = z.object(reportFields)
export type FleetReport = z.infer<typeof fleetReportSchema>

/**
 * State that a node publishes of itself, merged with the reports of its members. A higher sequence of the same incarnation
 * replaces a lower one.
 */
export const nodeStateSchema = z.object({
  name: z.string(),
  incarnation: z.string(),
  /** Incremented with each change and each heartbeat. */
  sequence: z.number().int(),
  failureDomain: z.string(),
  /** Address for callers. */
  front: z.string(),
  /** Address for other nodes. */
  peer: z.string(),
  /** Cores that it may use. */
  processor: z.number(),
  /** Whether the node accepts new requests. */
  ready: z.boolean(),
  ...reportFields,
  /** Number of requests that began to run at this node alone, by window and organisation, for the latest windows only. */
  usage: z.record(z.string(), countsSchema)
})
export type NodeState = z.infer<typeof nodeStateSchema>

/** Latest known sequence by incarnation. */
export type VersionVector = Readonly<Record<string, number>>

/** One half of an exchange between two nodes. */
export const gossipMessageSchema = z.object({
  /** Incarnation of the sender. */
  from: z.string(),
  /** Wall time of the sender when it wrote the message, in milliseconds. */
  wall: z.number(),
  /** Version vector of the sender. */
  versions: z.record(z.string(), z.number()),
  /** States that the receiver lacks, as far as the sender knows. */
  states: z.array(nodeStateSchema),
  /** Time since the sender first received each of these states, in milliseconds; 0 for its own state. */
  ages: z.record(z.string(), z.number())
})
export type GossipMessage = z.infer<typeof gossipMessageSchema>

/** Report of a member to its aggregator. */
export const memberMessageSchema = z.object({
  state: nodeStateSchema,
  /** Wall time of the member when it wrote the report, in milliseconds. */
  wall: z.number(),
  /** Latest revision that the member has, by followed prefix of the store. */
  known: z.record(z.string(), z.number())
})
export type MemberMessage = z.infer<typeof memberMessageSchema>

/** An odd revision may be higher than all to come, after which a member takes every change for an older one. */
const revisionSchema = z.number().int().nonnegative()

const entrySchema = z.object({ key: z.string(), value: z.string(), revision: revisionSchema })

/** Changes under a prefix of the store since a revision, for a node that does not read the store itself. */
export const storeUpdateSchema = z.object({
  prefix: z.string(),
  /** Latest revision that the update contains. */
  revision: revisionSchema,
  /**
   * Whether the entries are the complete content of the prefix, since the changes after the requested revision are no
   * longer known.
   */
  isWhole: z.boolean(),
  entries: z.array(entrySchema),
  removed: z.array(z.object({ key: z.string(), revision: revisionSchema })),
  /** Time since the store last answered for this prefix, in milliseconds. */
  age: z.number()
})
export type StoreUpdate = z.infer<typeof storeUpdateSchema>

/** Answer of an aggregator to a member. */
export const aggregatorAnswerSchema = z.object({
  /** Incarnation of the aggregator. */
  from: z.string(),
  /** Wall time that the aggregator and its peers agree on, in milliseconds. */
  wall: z.number(),
  /** Merged report of all live nodes except the member; undefined where there are none. */
  others: fleetReportSchema.optional(),
  news: z.array(storeUpdateSchema)
})
export type AggregatorAnswer = z.infer<typeof aggregatorAnswerSchema>
