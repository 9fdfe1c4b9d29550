/**
 * Messages about requests that are suspected of crashing upstreams: permits, isolation and evidence. Each dispatch of
 * an attempt needs two messages. They do not use tRPC, because its framing is several times larger than the messages.
 * Messages that are due for the same peer at the same time share one JSON exchange instead.
 */
import * as z from 'zod'
import { crashEvidenceSchema } from '../crash-causes/index.js'
import type { CrashEvidence } from '../crash-causes/index.js'
import { incarnationSchema, upstreamNameSchema } from '../identifiers.js'
import { evidenceSchema, heldPermitSchema, permitDecisionSchema, permitRequestSchema } from '../request/index.js'
import type { Evidence, HeldPermit, PermitDecision, PermitEnd, PermitRequest } from '../request/index.js'

/** Path of the exchange on the listener for peers. */
export const SUSPICION_PATH = '/suspicion'

/** Maximum number of messages in one exchange, and of items of evidence in one message. */
const MAX_MESSAGES = 1_000

/** Id of a permit. */
const permitIdSchema = z.string().min(1).max(200)

/** A suspected request that occupies an upstream alone, identified by its permit. */
export const isolationMessageSchema = z.object({ upstream: upstreamNameSchema, permit: permitIdSchema, holder: incarnationSchema })
export type IsolationMessage = z.infer<typeof isolationMessageSchema>

/** End of a permit, with the outcome of the attempt. */
const permitEndMessageSchema = z.object({
  permit: permitIdSchema,
  fingerprint: z.string().min(1),
  how: z.enum(['answered', 'crashed', 'withdrawn']),
  suspectedFor: z.array(z.string()).max(64).default([]),
  progressed: z.boolean().default(false)
})

/** Message from one node to the owner of a fingerprint or of an upstream's name. */
export const suspicionMessageSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('acquire'), request: permitRequestSchema }),
  z.object({ kind: z.literal('release'), end: permitEndMessageSchema }),
  z.object({ kind: z.literal('observe'), evidence: z.array(evidenceSchema).max(MAX_MESSAGES), crashes: crashEvidenceSchema.default({}) }),
  z.object({ kind: z.literal('adopt'), permits: z.array(heldPermitSchema).max(10_000) }),
  z.object({ kind: z.literal('enter'), isolation: isolationMessageSchema }),
  z.object({ kind: z.literal('leave'), isolation: isolationMessageSchema })
])
export type SuspicionMessage = z.infer<typeof suspicionMessageSchema>

/** Answer to a message. `taken` acknowledges a message that has no result. */
export const suspicionAnswerSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('decided'), decision: permitDecisionSchema }),
  z.object({ kind: z.literal('admitted'), admitted: z.boolean() }),
  z.object({ kind: z.literal('taken') })
])
export type SuspicionAnswer = z.infer<typeof suspicionAnswerSchema>

/** Request of one exchange. */
export const suspicionBatchSchema = z.object({ messages: z.array(suspicionMessageSchema).max(MAX_MESSAGES) })

/** Response of one exchange, with the answers in the order of the messages. */
export const suspicionAnswersSchema = z.object({ answers: z.array(suspicionAnswerSchema) })

/** Handlers at the node that owns fingerprints and names of upstreams. */
export interface SuspicionHandlers {
  /** Decides on a request for a permit. */
  acquire (request: PermitRequest): PermitDecision
  /** Ends a permit. */
  release (end: PermitEnd): void
  /** Records evidence of crashes: by request, and the messages that requests had which ran alone. */
  observe (evidence: readonly Evidence[], crashes: CrashEvidence): void
  /** Adds permits whose previous owner leaves. This node becomes the owner of their fingerprints. */
  adopt (permits: readonly HeldPermit[]): void
  /** Returns whether the suspected request may enter isolation at the upstream. */
  enter (message: IsolationMessage): boolean
  /** Ends an isolation. */
  leave (message: IsolationMessage): void
}

const ACKNOWLEDGEMENT: SuspicionAnswer = { kind: 'taken' }

/**
 * Handles one message and returns its answer.
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
      return ACKNOWLEDGEMENT
    case 'observe':
      handlers.observe(message.evidence, message.crashes)
      return ACKNOWLEDGEMENT
    case 'adopt':
      handlers.adopt(message.permits)
      return ACKNOWLEDGEMENT
    case 'leave':
      handlers.leave(message.isolation)
      return ACKNOWLEDGEMENT
  }
}
