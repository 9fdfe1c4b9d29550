/**
 * The weight store, from which engines fetch what they are ordered to load. Its rate is shared by
 * the transfers that are open. The system never fetches weights itself: it decides which engine is
 * ordered to load next, and reads here how large a model is and what is under way.
 */
import * as z from 'zod'
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Address } from '../identifiers.js'
import { exchangeJson } from './http.js'
import type { Connections } from './http.js'

/** One fetch under way. */
export const weightTransferSchema = z.object({
  /** The engine that fetches, as it names itself. */
  upstream: z.string(),
  model: z.string(),
  bytes: z.number().positive(),
  receivedBytes: z.number().nonnegative()
})

/** What the store holds and does. */
export const weightStoreStatusSchema = z.object({
  /** Bytes the store sends in a millisecond, shared by all transfers. */
  bytesPerMs: z.number().positive(),
  models: z.array(z.object({ model: z.string(), bytes: z.number().positive() })),
  transfers: z.array(weightTransferSchema)
})
export type WeightStoreStatus = z.infer<typeof weightStoreStatusSchema>

/** The store as the system uses it. */
export interface WeightStore {
  /** Rejects with a ServingError when the store cannot be had. */
  status (signal?: AbortSignal): Promise<WeightStoreStatus>
}

const CALL_TIMEOUT: Milliseconds = 2 * SECOND

/**
 * @example
 * const { transfers } = await createWeightStore(connections, settings.platform.weight_store).status()
 */
export function createWeightStore (connections: Connections, address: Address): WeightStore {
  return {
    status: (signal) => exchangeJson(connections, {
      address, method: 'GET', path: '/status', silence: CALL_TIMEOUT, ...(signal ? { signal } : {})
    }, weightStoreStatusSchema)
  }
}
