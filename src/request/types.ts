/** Requests, their answers and outcomes, and the schemas of the messages about them. */
import * as z from 'zod'
import type { Milliseconds } from '../clock.js'
import { classNameSchema, organisationNameSchema, requestIdSchema, upstreamNameSchema } from '../identifiers.js'
import type { ClassName, OrganisationName, RequestId } from '../identifiers.js'

/** One message of a conversation, in the format of common language-model clients. */
export const chatMessageSchema = z.object({
  role: z.enum(['system', 'user', 'assistant', 'tool']),
  content: z.string()
})
export type ChatMessage = z.infer<typeof chatMessageSchema>

/** Largest number of tokens that a request may allow. */
export const MAX_TOKENS = 1_000_000

/** Body of a chat completion. `model` names the request class. */
export const chatBodySchema = z.object({
  model: classNameSchema,
  messages: z.array(chatMessageSchema).min(1),
  stream: z.boolean().default(false),
  max_tokens: z.number().int().positive().max(MAX_TOKENS).default(512),
  temperature: z.number().min(0).max(2).optional(),
  adapter: z.string().optional()
})
export type ChatBody = z.infer<typeof chatBodySchema>

/** A call that is passed through to a plain service. */
export const plainCallSchema = z.object({
  method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
  /** Path and query as sent to the plain service. */
  path: z.string().startsWith('/'),
  headers: z.array(z.tuple([z.string(), z.string()])),
  /** The bytes of the body, in Base64. */
  body: z.string()
})
export type PlainCall = z.infer<typeof plainCallSchema>

/** The work of a request. */
export const workSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('model'), body: chatBodySchema }),
  z.object({ kind: z.literal('plain'), call: plainCallSchema })
])
export type Work = z.infer<typeof workSchema>

/** A request at its home. Serialisable, because it is sent to another node in a hand-over. */
export const requestSchema = z.object({
  id: requestIdSchema,
  organisation: organisationNameSchema,
  class: classNameSchema,
  idempotent: z.boolean(),
  /** Hash of organisation, class and work. Distinguishes a repeated request from a different one with the same id. */
  fingerprint: z.string().min(1),
  work: workSchema
})
export type Request = z.infer<typeof requestSchema>

/** Position in a stream of an upstream. */
export const streamPositionSchema = z.object({
  upstream: upstreamNameSchema,
  /** The upstream's identifier of the stream. It remains valid when the connection is lost. */
  handle: z.string(),
  /** Number of tokens received so far. */
  offset: z.number().int().nonnegative()
})
export type StreamPosition = z.infer<typeof streamPositionSchema>

/** One token of an answer. Offsets count tokens, start at 0 and have no gaps. */
export interface AnswerToken {
  readonly offset: number
  readonly text: string
}

/** Why a complete answer ended. */
export type FinishReason = 'stop' | 'length'

/** The final outcome of a request. */
export const outcomeSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('served'), finish: z.enum(['stop', 'length']), late: z.boolean() }),
  z.object({ kind: z.literal('refused'), code: z.string() }),
  z.object({ kind: z.literal('lost'), verdict: z.enum(['not-run', 'may-have-run', 'ran']) }),
  z.object({ kind: z.literal('unknown') })
])
export type Outcome = z.infer<typeof outcomeSchema>

/** Times of a request that reports use. */
export interface RequestTimes {
  readonly acceptedAt: Milliseconds
  readonly firstTokenAt?: Milliseconds
  readonly endedAt?: Milliseconds
}

/** Identifies a request and its counters. */
export interface RequestKey {
  readonly id: RequestId
  readonly organisation: OrganisationName
  readonly class: ClassName
}
