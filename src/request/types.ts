/** What a request is, what becomes of it, and the messages about it. */
import * as z from 'zod'
import type { Milliseconds } from '../clock.js'
import { classNameSchema, organisationNameSchema, requestIdSchema, upstreamNameSchema } from '../identifiers.js'
import type { ClassName, OrganisationName, RequestId } from '../identifiers.js'

/** One message of a conversation, in the shape language-model clients use. */
export const chatMessageSchema = z.object({
  role: z.enum(['system', 'user', 'assistant', 'tool']),
  content: z.string()
})
export type ChatMessage = z.infer<typeof chatMessageSchema>

/** Body of a chat completion. `model` names the class of work. */
export const chatBodySchema = z.object({
  model: classNameSchema,
  messages: z.array(chatMessageSchema).min(1),
  stream: z.boolean().default(false),
  max_tokens: z.number().int().positive().max(1_000_000).default(512),
  temperature: z.number().min(0).max(2).optional(),
  adapter: z.string().optional()
})
export type ChatBody = z.infer<typeof chatBodySchema>

/** A call of a plain service, passed through. */
export const plainCallSchema = z.object({
  method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
  /** Path and query as the plain service sees them. */
  path: z.string().startsWith('/'),
  headers: z.array(z.tuple([z.string(), z.string()])),
  /** Base64 of the body's bytes. */
  body: z.string()
})
export type PlainCall = z.infer<typeof plainCallSchema>

/** What has to be done for a request. */
export const workSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('model'), body: chatBodySchema }),
  z.object({ kind: z.literal('plain'), call: plainCallSchema })
])
export type Work = z.infer<typeof workSchema>

/** A request as its home knows it. Serializable: it crosses nodes on a hand-over. */
export const requestSchema = z.object({
  id: requestIdSchema,
  organisation: organisationNameSchema,
  class: classNameSchema,
  idempotent: z.boolean(),
  /** Hash of organisation, class and work: tells a second send from a different request under the same id. */
  fingerprint: z.string().min(1),
  work: workSchema
})
export type Request = z.infer<typeof requestSchema>

/** Where a stream stands at an upstream. */
export const streamPositionSchema = z.object({
  upstream: upstreamNameSchema,
  /** The upstream's name for the stream; survives the connection. */
  handle: z.string(),
  /** Tokens received so far. */
  offset: z.number().int().nonnegative()
})
export type StreamPosition = z.infer<typeof streamPositionSchema>

/** One piece of an answer. Offsets count tokens and are continuous per request. */
export interface AnswerToken {
  readonly offset: number
  readonly text: string
}

/** Why an answer is whole. */
export type FinishReason = 'stop' | 'length'

/** How a request ended, once and for good. */
export const outcomeSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('served'), finish: z.enum(['stop', 'length']), late: z.boolean() }),
  z.object({ kind: z.literal('refused'), code: z.string() }),
  z.object({ kind: z.literal('lost'), verdict: z.enum(['not-run', 'may-have-run', 'ran']) }),
  z.object({ kind: z.literal('unknown') })
])
export type Outcome = z.infer<typeof outcomeSchema>

/** The facts that reports count. */
export interface RequestTimes {
  readonly acceptedAt: Milliseconds
  readonly firstTokenAt?: Milliseconds
  readonly endedAt?: Milliseconds
}

/** Who asked for what, for counters. */
export interface RequestKey {
  readonly id: RequestId
  readonly organisation: OrganisationName
  readonly class: ClassName
}
