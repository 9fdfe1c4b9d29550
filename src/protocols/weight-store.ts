/**
 * Client of the weight store, from which engines fetch the models that they are ordered to load. All open transfers share
 * the store's rate. The system never fetches weights itself. It decides which engine is ordered to load next, and reads
 * from the store how large the models are and which transfers are in progress.
 */
import * as z from 'zod'
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Address } from '../identifiers.js'
import { exchangeJson } from './http.js'
import type { Connections } from './http.js'

/** Schema of a transfer in progress. */
export const weightTransferSchema = z.object({
  /** Name that the fetching engine gives itself. */
  upstream: z.string(),
  model: z.string(),
  bytes: z.number().positive(),
  receivedBytes: z.number().nonnegative()
})

/** Schema of the store's models and transfers. */
export const weightStoreStatusSchema = z.object({
  /** Bytes per millisecond that the store sends in all transfers together. */
  bytesPerMs: z.number().positive(),
  models: z.array(z.object({ model: z.string(), bytes: z.number().positive() })),
  transfers: z.array(weightTransferSchema)
})
export type WeightStoreStatus = z.infer<typeof weightStoreStatusSchema>

/** The weight store. */
export interface WeightStore {
  /** Reads the status. Rejects with a ServingError if the store is not available. */
  status (signal?: AbortSignal): Promise<WeightStoreStatus>
}

/** Timeout of one call. */
const CALL_TIMEOUT: Milliseconds = 2 * SECOND

/**
 * Creates a client of the weight store.
 *
 * @example
 * const { transfers } = await createWeightStore(connections, settings.platform.weight_store).status()
 */
export function createWeightStore (connections: Connections, address: Address): WeightStore {
  return {
    status: (signal) => exchangeJson(connections, {
      address, method: 'GET', path: '/status', idleTimeout: CALL_TIMEOUT, ...(signal ? { signal } : {})
    }, weightStoreStatusSchema)
  }
}
