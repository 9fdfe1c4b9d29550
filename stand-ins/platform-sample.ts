/** Description of a platform's stand-ins: failure domains, what the cloud sells, what runs at the start. */
import * as z from 'zod'
import { offerSchema } from '../src/capacity/index.js'
import { failureDomainSchema, serviceNameSchema } from '../src/identifiers.js'

/** Loopback port; 0 takes any free one. */
const portSchema = z.number().int().min(0).max(65_535)

/** How fast and how large the engines of a service are; what is left out keeps the stand-in's default. */
export const engineShapeSchema = z.strictObject({
  prefill_tokens_per_ms: z.number().positive().optional(),
  token_ms: z.number().positive().optional(),
  batch: z.number().int().positive().optional(),
  batch_cost: z.number().nonnegative().optional(),
  cache_tokens: z.number().int().positive().optional(),
  link_tokens_per_ms: z.number().positive().optional(),
  load_lag_ms: z.number().nonnegative().optional(),
  cache_feed_delay_ms: z.number().nonnegative().optional()
})
export type EngineShapeSample = z.infer<typeof engineShapeSchema>

/** The servers of one service at the start. */
export const upstreamGroupSchema = z.strictObject({
  service: serviceNameSchema,
  protocol: z.enum(['model', 'plain']),
  count: z.number().int().positive(),
  machine_class: z.string().min(1),
  market: z.enum(['reclaimable', 'on-demand']).default('reclaimable'),
  /** Port of the first server; the others follow. */
  first_port: portSchema.default(0),
  /** Model that is loaded at the start; only for engines. */
  model: z.string().optional(),
  adapters: z.array(z.string()).default([]),
  check_fencing: z.boolean().default(true),
  /** Time of each call; only for plain services. */
  call_ms: z.number().nonnegative().default(0),
  shape: engineShapeSchema.prefault({})
})
export type UpstreamGroup = z.infer<typeof upstreamGroupSchema>

/** One thing that the cloud sells. */
const offerSampleSchema = z.strictObject({
  failure_domain: offerSchema.shape.failureDomain,
  machine_class: offerSchema.shape.machineClass,
  market: offerSchema.shape.market,
  price_per_hour: offerSchema.shape.pricePerHour
})

/** A platform with its upstreams. */
export const platformSampleSchema = z.strictObject({
  /** Deployment that instances are bought for. */
  group: z.string().min(1),
  failure_domains: z.array(failureDomainSchema).min(1),
  ports: z.strictObject({
    key_value: portSchema.default(0),
    instance_list: portSchema.default(0),
    cloud: portSchema.default(0),
    weight_store: portSchema.default(0),
    /** Where a person switches faults and takes instances back. */
    control: portSchema.default(0)
  }).prefault({}),
  instance_list_lag_ms: z.number().nonnegative().default(0),
  /** Time from a start order until the machine is live. */
  machine_start_ms: z.number().nonnegative().default(0),
  /** Time from then until its server answers. */
  server_start_ms: z.number().nonnegative().default(0),
  weight_store: z.strictObject({
    bytes_per_ms: z.number().positive(),
    models: z.array(z.strictObject({ model: z.string().min(1), bytes: z.number().positive() }))
  }),
  offers: z.array(offerSampleSchema).min(1),
  upstreams: z.array(upstreamGroupSchema).min(1)
})
export type PlatformSample = z.infer<typeof platformSampleSchema>
