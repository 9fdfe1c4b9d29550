/** Messages between the operators' command and the nodes. */
import * as z from 'zod'
import { plannerHistorySchema } from '../capacity/index.js'
import { configurationRevisionSchema } from '../configuration/index.js'
import { addressSchema, classNameSchema, failureDomainSchema, incarnationSchema, instanceNameSchema, organisationNameSchema, requestIdSchema } from '../identifiers.js'
import { factSchema } from '../report/index.js'

/** Ask for a document to be put in force, or for its difference only. */
export const applyRequestSchema = z.object({
  /** Parsed from TOML; checked by the node. */
  document: z.unknown(),
  /** Minted once by the command and kept over its attempts. */
  change_id: z.string().min(8).max(100),
  author: z.string().min(1).max(200),
  reason: z.string().min(1).max(2_000),
  /** Revision the operator changes; the current one when left out. */
  base: z.number().int().nonnegative().optional(),
  dry_run: z.boolean().default(false)
})
export type ApplyRequest = z.input<typeof applyRequestSchema>

/** Ask for an earlier revision's document to be put in force again. */
export const rollbackRequestSchema = applyRequestSchema.omit({ document: true }).extend({ to: z.number().int().positive() })
export type RollbackRequest = z.input<typeof rollbackRequestSchema>

/** Where a node stands. */
export const nodeStatusSchema = z.object({
  instance: instanceNameSchema,
  incarnation: incarnationSchema,
  failure_domain: failureDomainSchema,
  address: addressSchema,
  leaving: z.boolean(),
  /** False: it could not be asked. What it has in force is unknown then. */
  answered: z.boolean(),
  revision: z.number().int().nonnegative().optional(),
  usable: z.boolean().optional(),
  open: z.number().int().nonnegative().optional(),
  report_age_ms: z.number().optional()
})
export type NodeStatus = z.infer<typeof nodeStatusSchema>

/** What became of a change. */
export const changeAnswerSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('accepted'),
    revision: z.number().int(),
    change_id: z.string(),
    superseded: z.boolean(),
    difference: z.array(z.string()),
    /** Nodes at which it was in force when this was answered, and those that had not confirmed it. */
    confirmed: z.number().int(),
    missing: z.array(instanceNameSchema)
  }),
  z.object({ kind: z.literal('dry-run'), base: z.number().int(), difference: z.array(z.string()) }),
  z.object({ kind: z.literal('unchanged'), revision: z.number().int() }),
  z.object({ kind: z.literal('conflict'), revision: z.number().int(), author: z.string(), reason: z.string(), difference: z.array(z.string()) }),
  /** Nobody can tell yet. The same change id settles it later. */
  z.object({ kind: z.literal('unknown'), change_id: z.string() })
])
export type ChangeAnswer = z.infer<typeof changeAnswerSchema>

/** The revision in force at the node that answers. */
export const currentAnswerSchema = z.object({ current: configurationRevisionSchema.optional() })

/** Revisions with what each changed, latest first. */
export const historyAnswerSchema = z.object({
  revisions: z.array(z.object({
    revision: z.number().int(),
    change_id: z.string(),
    author: z.string(),
    reason: z.string(),
    changed_at: z.number(),
    /** Against the revision before it; of the oldest one that is told nothing is known before. */
    difference: z.array(z.string())
  }))
})
export type HistoryAnswer = z.infer<typeof historyAnswerSchema>

/** Where every node stands. */
export const statusAnswerSchema = z.object({
  /** Latest revision that the answering node knows of. */
  revision: z.number().int().nonnegative(),
  nodes: z.array(nodeStatusSchema)
})
export type StatusAnswer = z.infer<typeof statusAnswerSchema>

/** What happened to one request, as all nodes that saw it remember. */
export const explainAnswerSchema = z.object({
  id: requestIdSchema,
  organisation: organisationNameSchema.optional(),
  class: classNameSchema.optional(),
  facts: z.array(z.object({ node: incarnationSchema, at: z.number(), fact: factSchema, text: z.string() })),
  /** Facts that were dropped to keep memory bounded. */
  dropped: z.number().int(),
  /** The node whose id it is lives. If not, what only it knew is lost. */
  home_lives: z.boolean(),
  asked: z.number().int(),
  silent: z.array(instanceNameSchema)
})
export type ExplainAnswer = z.infer<typeof explainAnswerSchema>

/** What the planner did, and why. */
export const plannerAnswerSchema = plannerHistorySchema
