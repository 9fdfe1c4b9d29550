/**
 * Messages about requests that crash upstreams: permits, isolation and evidence. There are two for each
 * dispatch, so they do not go by tRPC, whose framing costs several times their content: what is due to
 * one peer at a moment shares one small JSON exchange.
 */
import * as z from 'zod'
import { incarnationSchema, upstreamNameSchema } from '../identifiers.js'
import { evidenceSchema, heldPermitSchema, permitDecisionSchema, permitRequestSchema } from '../request/index.js'
import type { Evidence, HeldPermit, PermitDecision, PermitEnd, PermitRequest } from '../request/index.js'

/** Path of the exchange on the peers' listener. */
export const SUSPICION_PATH = '/suspicion'

const MOST_MESSAGES = 1_000
const permitSchema = z.string().min(1).max(200)

/** A suspect at an upstream. */
export const isolationMessageSchema = z.object({ upstream: upstreamNameSchema, permit: permitSchema, holder: incarnationSchema })
export type IsolationMessage = z.infer<typeof isolationMessageSchema>

const permitEndMessageSchema = z.object({
  permit: permitSchema,
  fingerprint: z.string().min(1),
  how: z.enum(['answered', 'crashed', 'withdrawn']),
  suspectedFor: z.array(z.string()).max(64).default([]),
  progressed: z.boolean().default(false)
})

/** What one node tells or asks another. */
export const suspicionMessageSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('acquire'), request: permitRequestSchema }),
  z.object({ kind: z.literal('release'), end: permitEndMessageSchema }),
  z.object({ kind: z.literal('observe'), evidence: z.array(evidenceSchema).max(MOST_MESSAGES) }),
  z.object({ kind: z.literal('adopt'), permits: z.array(heldPermitSchema).max(10_000) }),
  z.object({ kind: z.literal('enter'), isolation: isolationMessageSchema }),
  z.object({ kind: z.literal('leave'), isolation: isolationMessageSchema })
])
export type SuspicionMessage = z.infer<typeof suspicionMessageSchema>

/** Answer to a message, by its kind. */
export const suspicionAnswerSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('decided'), decision: permitDecisionSchema }),
  z.object({ kind: z.literal('admitted'), admitted: z.boolean() }),
  z.object({ kind: z.literal('taken') })
])
export type SuspicionAnswer = z.infer<typeof suspicionAnswerSchema>

/** Messages of one exchange, answered in their order. */
export const suspicionBatchSchema = z.object({ messages: z.array(suspicionMessageSchema).max(MOST_MESSAGES) })
export const suspicionAnswersSchema = z.object({ answers: z.array(suspicionAnswerSchema) })

/** What a node does as the owner of fingerprints and of upstreams' names. */
export interface SuspicionHandlers {
  acquire (request: PermitRequest): PermitDecision
  release (end: PermitEnd): void
  observe (evidence: readonly Evidence[]): void
  adopt (permits: readonly HeldPermit[]): void
  enter (message: IsolationMessage): boolean
  leave (message: IsolationMessage): void
}

const TAKEN: SuspicionAnswer = { kind: 'taken' }

/**
 * Answers one message.
 *
 * @example
 * batch.messages.map((message) => answerSuspicion(handlers, message))
 */
export function answerSuspicion (handlers: SuspicionHandlers, message: SuspicionMessage): SuspicionAnswer {
  switch (message.kind) {
    case 'acquire': return { kind: 'decided', decision: handlers.acquire(message.request) }
    case 'enter': return { kind: 'admitted', admitted: handlers.enter(message.isolation) }
    case 'release':
      handlers.release(message.end)
      return TAKEN
    case 'observe':
      handlers.observe(message.evidence)
      return TAKEN
    case 'adopt':
      handlers.adopt(message.permits)
      return TAKEN
    case 'leave':
      handlers.leave(message.isolation)
      return TAKEN
  }
}
