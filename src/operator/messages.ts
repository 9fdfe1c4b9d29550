/** Schemas of the requests and answers of the operators' API. The nodes and the operators' command share them. */
import * as z from 'zod'
import { plannerHistorySchema } from '../capacity/index.js'
import { configurationRevisionSchema } from '../configuration/index.js'
import { addressSchema, classNameSchema, failureDomainSchema, incarnationSchema, instanceNameSchema, organisationNameSchema, requestIdSchema } from '../identifiers.js'
import { factSchema } from '../report/index.js'

/** Request to apply a configuration document, or to return only its difference in a dry run. */
export const applyRequestSchema = z.object({
  /** Document parsed from TOML by the command. The node validates it. */
  document: z.unknown(),
  /**
   * Created once by the command. All attempts of the same change carry the same id, so that the change is applied at
   * most once.
   */
  change_id: z.string().min(8).max(100),
  author: z.string().min(1).max(200),
  reason: z.string().min(1).max(2_000),
  /** Revision that the change is based on. Defaults to the current one. */
  base: z.number().int().nonnegative().optional(),
  dry_run: z.boolean().default(false)
})
export type ApplyRequest = z.input<typeof applyRequestSchema>

/** Request to apply the document of an earlier revision again. */
export const rollbackRequestSchema = applyRequestSchema.omit({ document: true }).extend({ to: z.number().int().positive() })
export type RollbackRequest = z.input<typeof rollbackRequestSchema>

/** State of one node. */
export const nodeStatusSchema = z.object({
  instance: instanceNameSchema,
  incarnation: incarnationSchema,
  failure_domain: failureDomainSchema,
  address: addressSchema,
  leaving: z.boolean(),
  /** False if the node did not answer. The revision in force there is then unknown. */
  answered: z.boolean(),
  revision: z.number().int().nonnegative().optional(),
  usable: z.boolean().optional(),
  open: z.number().int().nonnegative().optional(),
  report_age_ms: z.number().optional()
})
export type NodeStatus = z.infer<typeof nodeStatusSchema>

/** Outcome of a change. */
export const changeAnswerSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('accepted'),
    revision: z.number().int(),
    change_id: z.string(),
    superseded: z.boolean(),
    difference: z.array(z.string()),
    /**
     * Number of nodes that had confirmed the revision when the answer was sent. The nodes in `missing` had not
     * confirmed it.
     */
    confirmed: z.number().int(),
    missing: z.array(instanceNameSchema)
  }),
  z.object({ kind: z.literal('dry-run'), base: z.number().int(), difference: z.array(z.string()) }),
  z.object({ kind: z.literal('unchanged'), revision: z.number().int() }),
  z.object({ kind: z.literal('conflict'), revision: z.number().int(), author: z.string(), reason: z.string(), difference: z.array(z.string()) }),
  /** The change may or may not have been accepted. A repetition with the same change id settles the outcome. */
  z.object({ kind: z.literal('unknown'), change_id: z.string() })
])
export type ChangeAnswer = z.infer<typeof changeAnswerSchema>

/** Revision in force at the answering node. Undefined if the node knows none. */
export const currentAnswerSchema = z.object({ current: configurationRevisionSchema.optional() })

/** Revisions with their differences, latest first. */
export const historyAnswerSchema = z.object({
  revisions: z.array(z.object({
    revision: z.number().int(),
    change_id: z.string(),
    author: z.string(),
    reason: z.string(),
    changed_at: z.number(),
    /** Difference from the previous revision. Empty if no previous revision is stored. */
    difference: z.array(z.string())
  }))
})
export type HistoryAnswer = z.infer<typeof historyAnswerSchema>

/** State of every known node. */
export const statusAnswerSchema = z.object({
  /** Latest revision known to the answering node. */
  revision: z.number().int().nonnegative(),
  nodes: z.array(nodeStatusSchema)
})
export type StatusAnswer = z.infer<typeof statusAnswerSchema>

/** Facts about one request, merged from all nodes that remember it. */
export const explainAnswerSchema = z.object({
  id: requestIdSchema,
  organisation: organisationNameSchema.optional(),
  class: classNameSchema.optional(),
  facts: z.array(z.object({ node: incarnationSchema, at: z.number(), fact: factSchema, text: z.string() })),
  /** Number of facts that the nodes dropped to bound their memory. */
  dropped: z.number().int(),
  /** Whether the node that owns the request is still known. If not, facts known only to that node are lost. */
  home_lives: z.boolean(),
  asked: z.number().int(),
  silent: z.array(instanceNameSchema)
})
export type ExplainAnswer = z.infer<typeof explainAnswerSchema>

/** Actions of the planner with their reasons. */
export const plannerAnswerSchema = plannerHistorySchema
