/** Procedures about requests: what arrives at one node and runs at another. */
import * as z from 'zod'
import { classNameSchema, incarnationSchema, organisationNameSchema, requestIdSchema } from '../identifiers.js'
import { homeRecordSchema, requestSchema, streamPositionSchema } from '../request/index.js'
import { usageSchema } from '../upstream/index.js'
import { ServingError } from '../verdict.js'
import type { FailureCode } from '../verdict.js'
import { peerProcedure, peerRouter } from './procedure.js'

/** A send of a request that arrived at a node which is not its home. */
export const forwardedSendSchema = z.object({
  request: requestSchema,
  /** Tokens that the caller has already. */
  offset: z.number().int().nonnegative(),
  traceparent: z.string().optional()
})
export type ForwardedSend = z.infer<typeof forwardedSendSchema>

/** A caller that asks for the answer to an id. */
export const forwardedLookupSchema = z.object({
  organisation: organisationNameSchema,
  id: requestIdSchema,
  offset: z.number().int().nonnegative()
})
export type ForwardedLookup = z.infer<typeof forwardedLookupSchema>

/** A failure on its way between nodes. */
export const failureSchema = z.object({
  message: z.string(),
  code: z.string(),
  verdict: z.enum(['not-run', 'may-have-run', 'ran']),
  retryAfter: z.number().optional()
})
export type WireFailure = z.infer<typeof failureSchema>

/** One piece of an answer on its way between nodes. */
export const forwardedPartSchema = z.discriminatedUnion('kind', [
  /** The request is known here; always first. */
  z.object({ kind: z.literal('found'), class: classNameSchema }),
  z.object({ kind: z.literal('accepted') }),
  /** Nothing new; the sender lives. */
  z.object({ kind: z.literal('waiting') }),
  z.object({ kind: z.literal('token'), offset: z.number().int().nonnegative(), text: z.string() }),
  z.object({ kind: z.literal('finished'), finish: z.enum(['stop', 'length']), usage: usageSchema }),
  z.object({
    kind: z.literal('plain'),
    response: z.object({ status: z.number().int(), headers: z.array(z.tuple([z.string(), z.string()])), body: z.string() })
  }),
  z.object({ kind: z.literal('failed'), failure: failureSchema }),
  z.object({ kind: z.literal('moved'), retryAfter: z.number() }),
  /** Another node decides about this id. */
  z.object({ kind: z.literal('elsewhere'), incarnation: incarnationSchema })
])
export type ForwardedPart = z.infer<typeof forwardedPartSchema>

/** A request with all that its successor needs to go on with it. Durations in milliseconds before the hand-over. */
export const handedExecutionSchema = z.object({
  request: requestSchema,
  accepted: z.boolean(),
  /** Something was sent to an upstream and may have run. */
  dispatched: z.boolean(),
  /** Tokens of the answer so far. */
  tokens: z.array(z.string()),
  /** The upstream's stream to attach to. */
  position: streamPositionSchema.optional(),
  age: z.number().nonnegative(),
  firstTokenAge: z.number().nonnegative().optional(),
  recomputedTokens: z.number().nonnegative(),
  traceparent: z.string().optional(),
  /** The final mark, for an answer that has ended and can still be read. */
  end: forwardedPartSchema.optional()
})
export type HandedExecution = z.infer<typeof handedExecutionSchema>

/** Part of a home's table on its way to a successor. */
export const handOverSchema = z.object({
  from: incarnationSchema,
  records: z.array(homeRecordSchema),
  executions: z.array(handedExecutionSchema)
})
export type HandOver = z.infer<typeof handOverSchema>

/** What a node does when peers ask about requests. */
export interface RequestHandlers {
  /** Runs or finds a request of which this node is the home or an heir. */
  submit (send: ForwardedSend, signal: AbortSignal): AsyncIterable<ForwardedPart>
  attach (lookup: ForwardedLookup, signal: AbortSignal): AsyncIterable<ForwardedPart>
  /** Whether this node decides about the id: as its home, or because it inherited it. */
  locate (lookup: ForwardedLookup): { holds: boolean }
  /** Takes part of a home's table, or none of it. Taking the same part twice changes nothing. */
  handOver (handOver: HandOver): { taken: boolean }
}

const neverAborts = new AbortController().signal

/** @example requestProcedures({ submit, attach, locate }) */
export function requestProcedures (handlers: RequestHandlers) {
  return peerRouter({
    submit: peerProcedure.input(forwardedSendSchema).mutation(async function * ({ input, signal }) {
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
 * A failure as it crosses nodes.
 *
 * @example
 * fromWire(toWire(failure)).verdict === failure.verdict
 */
export function toWire (failure: ServingError): WireFailure {
  const { message, code, verdict, retryAfter } = failure
  return { message, code, verdict, ...(retryAfter === undefined ? {} : { retryAfter }) }
}

/** @example fromWire({ message: 'too busy', code: 'overloaded', verdict: 'not-run' }) */
export function fromWire (failure: WireFailure): ServingError {
  const { message, code, verdict, retryAfter } = failure
  return new ServingError(message, { code: code as FailureCode, verdict, ...(retryAfter === undefined ? {} : { retryAfter }) })
}
