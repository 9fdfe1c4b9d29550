/** Schema of the description of a stand-in platform: failure domains, cloud offers and initial upstreams. */
import * as z from 'zod'
import { offerSchema } from '../src/capacity/index.js'
import { failureDomainSchema, serviceNameSchema } from '../src/identifiers.js'

/** Loopback port; 0 for any free port. */
const portSchema = z.number().int().min(0).max(65_535)

/** Speed and size of the engines of a service. Omitted values have the defaults of the stand-in. */
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

/** Speed and size of the engines of a service. */
export type EngineShapeSample = z.infer<typeof engineShapeSchema>

/** Servers of a service that are started with the platform. */
export const upstreamGroupSchema = z.strictObject({
  service: serviceNameSchema,
  protocol: z.enum(['model', 'plain']),
  count: z.number().int().positive(),
  machine_class: z.string().min(1),
  market: z.enum(['reclaimable', 'on-demand']).default('reclaimable'),
  /** Port of the first server. The other servers have the ports after it. */
  first_port: portSchema.default(0),
  /** Model that is loaded initially; engines only. */
  model: z.string().optional(),
  adapters: z.array(z.string()).default([]),
  check_fencing: z.boolean().default(true),
  /** Duration of each call; plain services only. */
  call_ms: z.number().nonnegative().default(0),
  shape: engineShapeSchema.prefault({})
})

/** Servers of a service that are started with the platform. */
export type UpstreamGroup = z.infer<typeof upstreamGroupSchema>

/** An offer of the cloud. */
const offerSampleSchema = z.strictObject({
  failure_domain: offerSchema.shape.failureDomain,
  machine_class: offerSchema.shape.machineClass,
  market: offerSchema.shape.market,
  price_per_hour: offerSchema.shape.pricePerHour
})

/** Description of a platform and its upstreams. */
export const platformSampleSchema = z.strictObject({
  /** Cloud group of the upstreams' instances. */
  group: z.string().min(1),
  failure_domains: z.array(failureDomainSchema).min(1),
  ports: z.strictObject({
    key_value: portSchema.default(0),
    instance_list: portSchema.default(0),
    cloud: portSchema.default(0),
    weight_store: portSchema.default(0),
    /** Port of the control interface, through which a person sets faults and reclaims instances. */
    control: portSchema.default(0)
  }).prefault({}),
  instance_list_lag_ms: z.number().nonnegative().default(0),
  /** Time from a start order until the instance is live. */
  machine_start_ms: z.number().nonnegative().default(0),
  /** Time from then until the server of the instance answers. */
  server_start_ms: z.number().nonnegative().default(0),
  weight_store: z.strictObject({
    bytes_per_ms: z.number().positive(),
    models: z.array(z.strictObject({ model: z.string().min(1), bytes: z.number().positive() }))
  }),
  offers: z.array(offerSampleSchema).min(1),
  upstreams: z.array(upstreamGroupSchema).min(1)
})

/** Description of a platform and its upstreams. */
export type PlatformSample = z.infer<typeof platformSampleSchema>
