/** Facts: events in the processing of a request, recorded for explanations to operators and exchanged between nodes. */
import * as z from 'zod'
import { classNameSchema, organisationNameSchema, requestIdSchema, upstreamNameSchema } from '../identifiers.js'
import type { Outcome } from '../request/index.js'

const verdictSchema = z.enum(['not-run', 'may-have-run', 'ran'])

/** Schema of {@link Outcome}: how a request ended. */
export const outcomeSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('served'), finish: z.enum(['stop', 'length']), late: z.boolean() }),
  z.object({ kind: z.literal('refused'), code: z.string() }),
  z.object({ kind: z.literal('lost'), verdict: verdictSchema }),
  z.object({ kind: z.literal('unknown') })
]) satisfies z.ZodType<Outcome>

/** Schema of a fact. */
export const factSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('accepted') }),
  z.object({ kind: z.literal('refused'), code: z.string(), retryAfter: z.number() }),
  z.object({ kind: z.literal('dispatched'), upstream: upstreamNameSchema, attempt: z.number(), reason: z.string() }),
  z.object({ kind: z.literal('first-token'), upstream: upstreamNameSchema }),
  z.object({ kind: z.literal('attempt-failed'), upstream: upstreamNameSchema, verdict: verdictSchema, message: z.string() }),
  z.object({ kind: z.literal('moved-cache'), from: upstreamNameSchema, to: upstreamNameSchema, tokens: z.number() }),
  z.object({ kind: z.literal('handed-over'), to: z.string() }),
  z.object({ kind: z.literal('taken-over'), from: z.string() }),
  z.object({ kind: z.literal('attached'), offset: z.number() }),
  z.object({ kind: z.literal('ended'), outcome: outcomeSchema })
])
/** One event in the processing of a request. */
export type Fact = z.infer<typeof factSchema>

/** Facts that one node holds about a request, as they are sent to other nodes. */
export const requestFactsSchema = z.object({
  key: z.object({ id: requestIdSchema, organisation: organisationNameSchema, class: classNameSchema }),
  facts: z.array(z.object({ at: z.number(), fact: factSchema })),
  /** Number of facts that were dropped to bound memory. */
  dropped: z.number().int().nonnegative()
})
