/** Messages about permits and crashes: between a home, the owner of a fingerprint and all other nodes. */
import * as z from 'zod'
import { incarnationSchema } from '../identifiers.js'

/** What is known of crashes with a fingerprint in flight. Merging is a union, so it may travel late, twice or out of order. */
export const evidenceSchema = z.object({
  fingerprint: z.string().min(1),
  /** Permits whose dispatch ended in a crash. */
  crashes: z.array(z.string()).max(64),
  /** Such permits that a later whole answer explained away. */
  cleared: z.array(z.string()).max(64),
  /** The owner has refused the fingerprint. */
  quarantined: z.boolean()
})
export type Evidence = z.infer<typeof evidenceSchema>

/** A home asks for a dispatch. */
export const permitRequestSchema = z.object({
  /** Names the dispatch; see {@link permitName}. */
  permit: z.string().min(1).max(200),
  holder: incarnationSchema,
  /** What the holder itself knows; the owner may not have heard it yet. */
  evidence: evidenceSchema
})
export type PermitRequest = z.infer<typeof permitRequestSchema>

/** Answer to a {@link PermitRequest}. */
export const permitDecisionSchema = z.discriminatedUnion('kind', [
  /** `apart`: run it where nothing else runs; see {@link createIsolation}. */
  z.object({
    kind: z.literal('granted'),
    apart: z.boolean(),
    /** Crashes that a whole answer of this dispatch explains away; to be named when it ends. */
    suspectedFor: z.array(z.string()).max(64)
  }),
  /** Another one with the same body is in flight and none has been answered yet; ask again. */
  z.object({ kind: z.literal('wait') }),
  /** Two upstreams crashed: refused everywhere. */
  z.object({ kind: z.literal('quarantined') })
])
export type PermitDecision = z.infer<typeof permitDecisionSchema>

/** How a permitted dispatch ended. */
export const permitEndSchema = z.object({
  permit: z.string().min(1).max(200),
  fingerprint: z.string().min(1),
  /** `withdrawn`: nothing was learnt, since it did not run, or its upstream was left as announced. */
  how: z.enum(['answered', 'crashed', 'withdrawn']),
  /** What the grant named, so that an owner which knows nothing of the grant clears the same. */
  suspectedFor: z.array(z.string()).max(64).default([]),
  /** Tokens had come before it ended: a crash is then less likely to be its doing. */
  progressed: z.boolean().default(false)
})
export type PermitEnd = z.input<typeof permitEndSchema>

/** A permit in force. */
export const heldPermitSchema = z.object({ permit: z.string(), fingerprint: z.string(), holder: incarnationSchema, proven: z.boolean() })
export type HeldPermit = z.infer<typeof heldPermitSchema>

/**
 * Name of one dispatch.
 *
 * @param attempt 1 for the first
 * @example
 * permitName(request.id, 2)
 */
export function permitName (id: string, attempt: number): string {
  return `${id}#${attempt}`
}
