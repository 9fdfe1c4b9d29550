/**
 * What the planner wants: one value in the key-value service, changed by compare-and-swap under the
 * lease's fencing number.
 *
 * Two rules make late or repeated orders harmless, whoever sends them. Each instance's name comes
 * from the generation that first wanted it, and is never used again. And a name only moves forward:
 * wanted, leaving, released. A start order sent twice finds the first instance; a release order is
 * only ever sent for a name that nobody will want again.
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
  /** Where it is wanted; it may change until the instance has started. */
  offer: offerIdentitySchema,
  state: z.enum(['wanted', 'leaving', 'released']),
  /** Wall time of the last change of state, in milliseconds. */
  since: z.number(),
  /** Whether the cloud has been seen to have it. */
  started: z.boolean(),
  reason: z.enum(['mix', 'reclaim', 'ended'])
})
export type Slot = z.infer<typeof slotSchema>

/** What the engines of a service must serve, and since which generation. */
export const serviceOrderSchema = z.object({
  service: serviceNameSchema,
  /** Rises with every change of this service's order, and only then. */
  generation: z.number().int().positive(),
  model: z.string(),
  version: z.string(),
  adapters: z.array(z.string()),
  role: z.enum(['mixed', 'prefill', 'decode'])
})
export type ServiceOrder = z.infer<typeof serviceOrderSchema>

/** The mix chosen for a service, towards which its slots are brought. */
export const chosenMixSchema = z.object({
  service: serviceNameSchema,
  /** Work a second for which it was chosen. */
  need: z.number().nonnegative(),
  instances: z.array(offerIdentitySchema.extend({ count: z.number().int().nonnegative() })),
  /** Wall time since when a cheaper mix has been seen without pause; undefined when there is none. */
  cheaperSince: z.number().optional()
})
export type ChosenMix = z.infer<typeof chosenMixSchema>

/** The whole desired state. */
export const desiredStateSchema = z.object({
  /** Fencing number of the lease under which it was written. */
  fencing: z.number().int().nonnegative(),
  /** Strictly rising by one. */
  generation: z.number().int().nonnegative(),
  mixes: z.array(chosenMixSchema),
  slots: z.array(slotSchema),
  orders: z.array(serviceOrderSchema)
})
export type DesiredState = z.infer<typeof desiredStateSchema>

/** What engines of a service should serve, before it has a generation. */
export type WantedOrder = Omit<ServiceOrder, 'generation'>

/** Longest part of a service's name in an instance's name. */
const LONGEST_PREFIX = 36

const RADIX = 36

const MINTED_NAME = /-g([0-9a-z]+)-s[0-9a-z]+$/

/**
 * Desired state before anything was wanted.
 *
 * @example
 * const state = emptyDesiredState()
 */
export function emptyDesiredState (): DesiredState {
  return { fencing: 0, generation: 0, mixes: [], slots: [], orders: [] }
}

/**
 * Name of the instance for a need.
 *
 * @param generation generation that first wants it
 * @param index number of the need within that generation, over all services
 * @example
 * mintName(service, 12, 3) // 'assistant-gc-s3'
 */
export function mintName (service: ServiceName, generation: number, index: number): InstanceName {
  return instanceNameSchema.parse(`${service.slice(0, LONGEST_PREFIX)}-g${generation.toString(RADIX)}-s${index.toString(RADIX)}`)
}

/**
 * Generation that minted a name.
 *
 * @returns undefined for a name that the planner did not mint
 * @example
 * mintedBy(instanceNameSchema.parse('assistant-gc-s3')) // 12
 */
export function mintedBy (name: InstanceName): number | undefined {
  const match = MINTED_NAME.exec(name)
  return match?.[1] === undefined ? undefined : Number.parseInt(match[1], RADIX)
}

/**
 * Order for a slot's instance.
 *
 * @example
 * await cloud.start(startOrderFor(slot, 'hillside'))
 */
export function startOrderFor (slot: Slot, group: string): StartOrder {
  return { name: slot.name, group, service: slot.service, ...slot.offer }
}

/**
 * Takes the services' orders into the state. A service whose order is unchanged keeps its
 * generation, so that engines which already obeyed it have nothing to do.
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
