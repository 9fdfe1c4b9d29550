/** Procedures about requests that arrive at one node and are executed by another node. */
import * as z from 'zod'
import { classNameSchema, incarnationSchema, organisationNameSchema, requestIdSchema } from '../identifiers.js'
import { homeRecordSchema, requestSchema, streamPositionSchema } from '../request/index.js'
import { usageSchema } from '../upstream/index.js'
import { ServingError } from '../verdict.js'
import type { FailureCode } from '../verdict.js'
import { peerProcedure, peerRouter } from './procedure.js'

/** Submission of a request by a caller to a node that is not the home of the request. */
export const forwardedSubmissionSchema = z.object({
  request: requestSchema,
  /** Number of tokens that the caller has already received. */
  offset: z.number().int().nonnegative(),
  traceparent: z.string().optional()
})
export type ForwardedSubmission = z.infer<typeof forwardedSubmissionSchema>

/** Lookup of the answer to a request id by a caller. */
export const forwardedLookupSchema = z.object({
  organisation: organisationNameSchema,
  id: requestIdSchema,
  offset: z.number().int().nonnegative()
})
export type ForwardedLookup = z.infer<typeof forwardedLookupSchema>

/** Serialised form of a failure between nodes. */
export const wireFailureSchema = z.object({
  message: z.string(),
  code: z.string(),
  verdict: z.enum(['not-run', 'may-have-run', 'ran']),
  retryAfter: z.number().optional()
})
export type WireFailure = z.infer<typeof wireFailureSchema>

/** Serialised form of one part of an answer between nodes. */
export const forwardedPartSchema = z.discriminatedUnion('kind', [
  /** The node knows the request. This is always the first part. */
  z.object({ kind: z.literal('found'), class: classNameSchema }),
  z.object({ kind: z.literal('accepted') }),
  /** Keep-alive message without content. */
  z.object({ kind: z.literal('waiting') }),
  z.object({ kind: z.literal('token'), offset: z.number().int().nonnegative(), text: z.string() }),
  z.object({ kind: z.literal('finished'), finish: z.enum(['stop', 'length']), usage: usageSchema }),
  z.object({
    kind: z.literal('plain'),
    response: z.object({ status: z.number().int(), headers: z.array(z.tuple([z.string(), z.string()])), body: z.string(), endedWithConnection: z.literal(true).optional() })
  }),
  z.object({ kind: z.literal('failed'), failure: wireFailureSchema }),
  z.object({ kind: z.literal('moved'), retryAfter: z.number() }),
  /** Another node holds the request; the lookup is to be repeated there. */
  z.object({ kind: z.literal('elsewhere'), incarnation: incarnationSchema })
])
export type ForwardedPart = z.infer<typeof forwardedPartSchema>

/** State that a successor needs to continue a request. Ages are in milliseconds at the time of the hand-over. */
export const handedOverExecutionSchema = z.object({
  request: requestSchema,
  accepted: z.boolean(),
  /** Whether an attempt was dispatched to an upstream and may have run. */
  dispatched: z.boolean(),
  /** Tokens of the answer that were generated so far. */
  tokens: z.array(z.string()),
  /** Position in the stream of the upstream that the successor attaches to. */
  position: streamPositionSchema.optional(),
  age: z.number().nonnegative(),
  firstTokenAge: z.number().nonnegative().optional(),
  recomputedTokens: z.number().nonnegative(),
  traceparent: z.string().optional(),
  /** Final part of an answer that has ended and can still be read. */
  end: forwardedPartSchema.optional()
})
export type HandedOverExecution = z.infer<typeof handedOverExecutionSchema>

/** Batch of records and executions that a home hands over to a successor. */
export const handOverSchema = z.object({
  from: incarnationSchema,
  records: z.array(homeRecordSchema),
  executions: z.array(handedOverExecutionSchema)
})
export type HandOver = z.infer<typeof handOverSchema>

/** Handlers of the request procedures at a node. */
export interface RequestHandlers {
  /** Executes or finds a request of which this node is the home or a successor. */
  submit (submission: ForwardedSubmission, signal: AbortSignal): AsyncIterable<ForwardedPart>
  /** Reads the answer to a known request. */
  attach (lookup: ForwardedLookup, signal: AbortSignal): AsyncIterable<ForwardedPart>
  /** Returns whether this node holds the request, as its home or after a hand-over. */
  locate (lookup: ForwardedLookup): { holds: boolean }
  /** Accepts a batch of a hand-over completely or not at all. Accepting the same batch twice has no further effect. */
  handOver (handOver: HandOver): { taken: boolean }
}

const neverAborts = new AbortController().signal

/**
 * Creates the router of the request procedures.
 *
 * @example
 * requestProcedures({ submit, attach, locate, handOver })
 */
export function requestProcedures (handlers: RequestHandlers) {
  return peerRouter({
    submit: peerProcedure.input(forwardedSubmissionSchema).mutation(async function * ({ input, signal }) {
      yield * handlers.submit(input, signal ?? neverAborts)
    }),
    attach: peerProcedure.input(forwardedLookupSchema).mutation(async function * ({ input, signal }) {
      yield * handlers.attach(input, signal ?? neverAborts)
    }),
    locate: peerProcedure.input(forwardedLookupSchema).mutation(({ input }) => handlers.locate(input)),
    handOver: peerProcedure.input(handOverSchema).mutation(({ input }) => handlers.handOver(input))
  })
}

/**
 * Serialises a failure for another node.
 *
 * @example
 * fromWireFailure(toWireFailure(failure)).verdict === failure.verdict
 */
export function toWireFailure (failure: ServingError): WireFailure {
  const { message, code, verdict, retryAfter } = failure
  return { message, code, verdict, ...(retryAfter === undefined ? {} : { retryAfter }) }
}

/**
 * Restores a failure that another node has serialised.
 *
 * @example
 * fromWireFailure({ message: 'too busy', code: 'overloaded', verdict: 'not-run' })
 */
export function fromWireFailure (failure: WireFailure): ServingError {
  const { message, code, verdict, retryAfter } = failure
  return new ServingError(message, { code: code as FailureCode, verdict, ...(retryAfter === undefined ? {} : { retryAfter }) })
}
