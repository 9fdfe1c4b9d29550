/**
 * The planner's desired state: one value in the key-value service, changed by compare-and-swap under the fencing
 * number of the lease.
 *
 * Two rules make late or repeated orders harmless, whichever planner sends them. First, an instance's name contains
 * the generation that first wanted it and is never reused. Second, the state of a slot only advances from wanted to
 * leaving to released. A repeated start order therefore finds the existing instance, and a release order is sent only
 * for a name that is never wanted again.
 */
import * as z from 'zod'
import { instanceNameSchema, serviceNameSchema } from '../identifiers.js'
import type { InstanceName, ServiceName } from '../identifiers.js'
import { offerIdentitySchema } from './types.js'
import type { StartOrder } from './types.js'

/** One instance that is or was wanted. */
export const slotSchema = z.object({
  name: instanceNameSchema,
  service: serviceNameSchema,
  /** Offer that the instance is ordered from. It may change until the instance has started. */
  offer: offerIdentitySchema,
  state: z.enum(['wanted', 'leaving', 'released']),
  /** Wall time of the last change of state, in milliseconds. */
  since: z.number(),
  /** Whether the cloud has listed the instance. */
  started: z.boolean(),
  reason: z.enum(['mix', 'reclaim', 'ended'])
})
export type Slot = z.infer<typeof slotSchema>

/** What the engines of a service must serve, and the generation that ordered it. */
export const serviceOrderSchema = z.object({
  service: serviceNameSchema,
  /** Increases with every change of this service's order, and only then. */
  generation: z.number().int().positive(),
  model: z.string(),
  version: z.string(),
  adapters: z.array(z.string()),
  role: z.enum(['mixed', 'prefill', 'decode'])
})
export type ServiceOrder = z.infer<typeof serviceOrderSchema>

/** The mix of instances chosen for a service. Its slots are adjusted towards this mix. */
export const chosenMixSchema = z.object({
  service: serviceNameSchema,
  /** Work per second for which the mix was chosen. */
  need: z.number().nonnegative(),
  instances: z.array(offerIdentitySchema.extend({ count: z.number().int().nonnegative() })),
  /** Wall time since which a cheaper mix has been available without interruption. Undefined if there is none. */
  cheaperSince: z.number().optional()
})
export type ChosenMix = z.infer<typeof chosenMixSchema>

/** The complete desired state. */
export const desiredStateSchema = z.object({
  /** Fencing number of the lease under which the state was written. */
  fencing: z.number().int().nonnegative(),
  /** Increases with every change of the state. */
  generation: z.number().int().nonnegative(),
  mixes: z.array(chosenMixSchema),
  slots: z.array(slotSchema),
  orders: z.array(serviceOrderSchema)
})
export type DesiredState = z.infer<typeof desiredStateSchema>

/** What the engines of a service should serve, without a generation. */
export type WantedOrder = Omit<ServiceOrder, 'generation'>

/** Maximum number of characters of the service's name in an instance's name. */
const MAX_PREFIX_LENGTH = 36

const RADIX = 36

const INSTANCE_NAME_PATTERN = /-g([0-9a-z]+)-s[0-9a-z]+$/

/**
 * Desired state in which nothing has been wanted yet.
 *
 * @example
 * const state = emptyDesiredState()
 */
export function emptyDesiredState (): DesiredState {
  return { fencing: 0, generation: 0, mixes: [], slots: [], orders: [] }
}

/**
 * Creates the name of a new instance.
 *
 * @param generation generation that first wants the instance
 * @param index index of the instance within that generation, over all services
 * @example
 * createInstanceName(service, 12, 3) // 'assistant-gc-s3'
 */
export function createInstanceName (service: ServiceName, generation: number, index: number): InstanceName {
  return instanceNameSchema.parse(`${service.slice(0, MAX_PREFIX_LENGTH)}-g${generation.toString(RADIX)}-s${index.toString(RADIX)}`)
}

/**
 * Generation contained in an instance's name.
 *
 * @returns undefined for a name that the planner did not create
 * @example
 * generationOfName(instanceNameSchema.parse('assistant-gc-s3')) // 12
 */
export function generationOfName (name: InstanceName): number | undefined {
  const match = INSTANCE_NAME_PATTERN.exec(name)
  return match?.[1] === undefined ? undefined : Number.parseInt(match[1], RADIX)
}

/**
 * Start order for a slot's instance.
 *
 * @example
 * await cloud.start(startOrderFor(slot, 'hillside'))
 */
export function startOrderFor (slot: Slot, group: string): StartOrder {
  return { name: slot.name, group, service: slot.service, ...slot.offer }
}

/**
 * Assigns generations to the wanted orders of the services. An unchanged order keeps its generation, so that engines
 * which already follow it need not act.
 *
 * @param generation generation of the state that is being made
 * @example
 * const orders = withOrders(state.orders, wanted, state.generation + 1)
 */
export function withOrders (known: readonly ServiceOrder[], wanted: readonly WantedOrder[], generation: number): ServiceOrder[] {
  return wanted.map((order) => {
    const before = known.find((candidate) => candidate.service === order.service)
    if (before !== undefined && isSameOrder(before, order)) return before
    return { ...order, generation }
  })
}

function isSameOrder (left: WantedOrder, right: WantedOrder): boolean {
  return left.model === right.model && left.version === right.version && left.role === right.role && isSameSet(left.adapters, right.adapters)
}

function isSameSet (left: readonly string[], right: readonly string[]): boolean {
  return left.length === right.length && left.every((item) => right.includes(item))
}
