/** Procedures about requests that crash upstreams: permits, isolation and evidence. */
import { z } from 'zod'
import { incarnationSchema, upstreamNameSchema } from '../identifiers.js'
import { evidenceSchema, heldPermitSchema, permitRequestSchema } from '../request/index.js'
import type { Evidence, HeldPermit, PermitDecision, PermitEnd, PermitRequest } from '../request/index.js'
import { peerProcedure, peerRouter } from './procedure.js'

const permitEndMessageSchema = z.object({
  permit: z.string().min(1).max(200),
  fingerprint: z.string().min(1),
  how: z.enum(['answered', 'crashed', 'withdrawn']),
  suspectedFor: z.array(z.string()).max(64).default([])
})

/** A suspect at an upstream. */
export const isolationMessageSchema = z.object({
  upstream: upstreamNameSchema,
  permit: z.string().min(1).max(200),
  holder: incarnationSchema
})
export type IsolationMessage = z.infer<typeof isolationMessageSchema>

/** What a node does as the owner of fingerprints and of upstreams' names. */
export interface SuspicionHandlers {
  acquire (request: PermitRequest): PermitDecision
  release (end: PermitEnd): void
  observe (evidence: readonly Evidence[]): void
  adopt (permits: readonly HeldPermit[]): void
  enter (message: IsolationMessage): { admitted: boolean }
  leave (message: IsolationMessage): void
}

/** @example suspicionProcedures(permits.handlers) */
export function suspicionProcedures (handlers: SuspicionHandlers) {
  return peerRouter({
    acquire: peerProcedure.input(permitRequestSchema).mutation(({ input }) => handlers.acquire(input)),
    release: peerProcedure.input(permitEndMessageSchema).mutation(({ input }) => handlers.release(input)),
    observe: peerProcedure.input(z.array(evidenceSchema).max(1_000)).mutation(({ input }) => handlers.observe(input)),
    adopt: peerProcedure.input(z.array(heldPermitSchema).max(10_000)).mutation(({ input }) => handlers.adopt(input)),
    enter: peerProcedure.input(isolationMessageSchema).mutation(({ input }) => handlers.enter(input)),
    leave: peerProcedure.input(isolationMessageSchema).mutation(({ input }) => handlers.leave(input))
  })
}
