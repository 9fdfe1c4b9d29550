/** What the system knows about an upstream. */
import * as z from 'zod'
import { addressSchema, failureDomainSchema, instanceNameSchema, serviceNameSchema, upstreamNameSchema } from '../identifiers.js'
import type { Address, FailureDomain, ServiceName, UpstreamName } from '../identifiers.js'

/** One entry of the platform's instance list. */
export const instanceSchema = z.object({
  name: instanceNameSchema,
  failureDomain: failureDomainSchema,
  machineClass: z.string(),
  address: addressSchema,
  /** What runs there. */
  role: z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('entry'), peerAddress: addressSchema }),
    z.object({ kind: z.literal('upstream'), upstream: upstreamNameSchema, service: serviceNameSchema, protocol: z.enum(['model', 'plain']) })
  ]),
  state: z.enum(['live', 'leaving']),
  reclaimable: z.boolean().default(true)
})
export type Instance = z.infer<typeof instanceSchema>

/** A model engine's load as it reports it, late. */
export const loadReportSchema = z.object({
  upstream: upstreamNameSchema,
  /** Requests being decoded. */
  running: z.number().int().nonnegative(),
  /** Requests waiting for a place in the batch. */
  waiting: z.number().int().nonnegative(),
  /** Share of cache memory in use, 0 to 1. */
  cacheUsed: z.number().min(0).max(1),
  /** Age of these figures at the engine when it answered, in milliseconds. */
  ageMs: z.number().nonnegative(),
  leaving: z.boolean().default(false),
  models: z.array(z.string()).default([]),
  adapters: z.array(z.string()).default([]),
  role: z.enum(['mixed', 'prefill', 'decode']).default('mixed'),
  /** Desired-state generation last obeyed. */
  generation: z.number().int().nonnegative().default(0)
})
export type LoadReport = z.infer<typeof loadReportSchema>

/** Tokens accounted for by an answer's final mark. */
export const usageSchema = z.object({
  prompt_tokens: z.number().int().nonnegative(),
  completion_tokens: z.number().int().nonnegative(),
  cached_tokens: z.number().int().nonnegative().default(0)
})
export type Usage = z.infer<typeof usageSchema>

/** An upstream as one node sees it. */
export interface UpstreamView {
  readonly name: UpstreamName
  readonly service: ServiceName
  readonly failureDomain: FailureDomain
  /** Upstreams of one machine class are about equally fast. */
  readonly machineClass?: string | undefined
  readonly address: Address
  readonly protocol: 'model' | 'plain'
  readonly leaving: boolean
  /** Requests of this node being run there. */
  readonly inFlight: number
}
