/** Data about upstreams: instances, load reports, token usage, and the view of one node. */
import * as z from 'zod'
import { addressSchema, failureDomainSchema, instanceNameSchema, serviceNameSchema, upstreamNameSchema } from '../identifiers.js'
import type { Address, FailureDomain, ServiceName, UpstreamName } from '../identifiers.js'

/** One entry of the platform's instance list. */
export const instanceSchema = z.object({
  name: instanceNameSchema,
  failureDomain: failureDomainSchema,
  machineClass: z.string(),
  address: addressSchema,
  /** What runs on the instance. */
  role: z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('entry'), peerAddress: addressSchema }),
    z.object({ kind: z.literal('upstream'), upstream: upstreamNameSchema, service: serviceNameSchema, protocol: z.enum(['model', 'plain']) })
  ]),
  state: z.enum(['live', 'leaving']),
  reclaimable: z.boolean().default(true)
})
export type Instance = z.infer<typeof instanceSchema>

/** Load that a model engine reports about itself. It arrives with a delay. */
export const loadReportSchema = z.object({
  upstream: upstreamNameSchema,
  /** Requests being decoded. */
  running: z.number().int().nonnegative(),
  /** Requests waiting for a batch slot. */
  waiting: z.number().int().nonnegative(),
  /** Share of cache memory in use, 0 to 1. */
  cacheUsed: z.number().min(0).max(1),
  /** Age of these values when the engine sent the report, in milliseconds. */
  ageMs: z.number().nonnegative(),
  leaving: z.boolean().default(false),
  models: z.array(z.string()).default([]),
  adapters: z.array(z.string()).default([]),
  role: z.enum(['mixed', 'prefill', 'decode']).default('mixed'),
  /** Generation of the latest desired state that the engine has applied. */
  generation: z.number().int().nonnegative().default(0)
})
export type LoadReport = z.infer<typeof loadReportSchema>

/** Token usage reported at the end of an answer. */
export const usageSchema = z.object({
  prompt_tokens: z.number().int().nonnegative(),
  completion_tokens: z.number().int().nonnegative(),
  cached_tokens: z.number().int().nonnegative().default(0)
})
export type Usage = z.infer<typeof usageSchema>

/** An upstream as seen by one node. */
export interface UpstreamView {
  readonly name: UpstreamName
  readonly service: ServiceName
  readonly failureDomain: FailureDomain
  /** Machine class. Upstreams of one class have about the same speed. */
  readonly machineClass?: string | undefined
  readonly address: Address
  readonly protocol: 'model' | 'plain'
  readonly leaving: boolean
  /** Requests of this node in flight at the upstream. */
  readonly inFlight: number
}
