/** Messages about permits and crashes between a home, the owner of a fingerprint and all other nodes. */
import * as z from 'zod'
import { incarnationSchema } from '../identifiers.js'

/**
 * What is known of the crashes of one fingerprint. Evidence is merged as a union of sets, so it may arrive late,
 * twice or out of order.
 */
export const evidenceSchema = z.object({
  fingerprint: z.string().min(1),
  /** Names of the crashes; see {@link crashName}. */
  crashes: z.array(z.string()).max(64),
  /** Crashes that the request did not cause, according to a later complete answer. */
  cleared: z.array(z.string()).max(64),
  /** Whether the owner has quarantined the fingerprint. */
  quarantined: z.boolean()
})
export type Evidence = z.infer<typeof evidenceSchema>

/** Request of a home for permission to dispatch. */
export const permitRequestSchema = z.object({
  /** Name of the dispatch; see {@link permitName}. */
  permit: z.string().min(1).max(200),
  holder: incarnationSchema,
  /** Evidence known to the holder, which may not have reached the owner yet. */
  evidence: evidenceSchema
})
export type PermitRequest = z.infer<typeof permitRequestSchema>

/** Answer to a {@link PermitRequest}. */
export const permitDecisionSchema = z.discriminatedUnion('kind', [
  /** `apart` says that the request must run in isolation; see {@link createIsolation}. */
  z.object({
    kind: z.literal('granted'),
    apart: z.boolean(),
    /** Crashes that a complete answer of this dispatch clears. The holder returns them in {@link PermitEnd}. */
    suspectedFor: z.array(z.string()).max(64)
  }),
  /** Another dispatch of this fingerprint is in flight and none has been answered yet. Ask again later. */
  z.object({ kind: z.literal('wait') }),
  /** The fingerprint has crashed too many upstreams and is refused at all nodes. */
  z.object({ kind: z.literal('quarantined') })
])
export type PermitDecision = z.infer<typeof permitDecisionSchema>

/** How a permitted dispatch ended. */
export const permitEndSchema = z.object({
  permit: z.string().min(1).max(200),
  fingerprint: z.string().min(1),
  /** `withdrawn` gives no evidence: the request did not run, or its upstream left as announced. */
  how: z.enum(['answered', 'crashed', 'withdrawn']),
  /** Crashes named in the grant, so that an owner that does not know of the grant clears the same ones. */
  suspectedFor: z.array(z.string()).max(64).default([]),
  /** Whether tokens had arrived before the end. A crash is then less likely to be caused by this request. */
  progressed: z.boolean().default(false)
})
export type PermitEnd = z.input<typeof permitEndSchema>

/** A permit in force. */
export const heldPermitSchema = z.object({ permit: z.string(), fingerprint: z.string(), holder: incarnationSchema, proven: z.boolean() })
export type HeldPermit = z.infer<typeof heldPermitSchema>

/**
 * Name of one dispatch of a request.
 *
 * @param attempt number of the attempt, starting at 1
 * @example
 * permitName(request.id, 2)
 */
export function permitName (id: string, attempt: number): string {
  return `${id}#${attempt}`
}
