/** Messages about crashes of upstreams and the parts of the prompts that ran there. */
import * as z from 'zod'
import { upstreamIncarnationSchema } from '../placement/index.js'
import type { UpstreamIncarnation } from '../placement/index.js'

/** Id of a part of a prompt. */
export type PartId = string

const crashSchema = z.object({
  /** Wall time that the nodes agree on at which the crash was first seen, in milliseconds. */
  at: z.number(),
  /** Parts of the prompts that ran there, each with the largest fraction of a node's recent requests that hold it. */
  parts: z.record(z.string(), z.number()),
  /** Those of the parts whose answer, at one run at least, had just begun or not begun yet. */
  fresh: z.array(z.string()),
  /** Parts of which a later request has been answered, so that they did not cause the crash. */
  sound: z.array(z.string()),
  /** The upstream has answered later, so it did not crash. */
  refuted: z.boolean()
})

/** Crashes by the incarnation that ended. Exchanged between nodes. */
export const crashEvidenceSchema = z.record(upstreamIncarnationSchema, crashSchema)
export type CrashEvidence = z.infer<typeof crashEvidenceSchema>

/** A crash as its records keep it. */
export interface Crash {
  readonly at: number
  readonly parts: ReadonlyMap<PartId, number>
  readonly fresh: ReadonlySet<PartId>
  readonly sound: ReadonlySet<PartId>
  readonly refuted: boolean
}

/** Crashes by the incarnation that ended. */
export type Crashes = ReadonlyMap<UpstreamIncarnation, Crash>
