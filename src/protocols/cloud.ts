/** Client of the cloud's API: offers, start and release of instances, and reclaim notices. */
import * as z from 'zod'
import { cloudInstanceSchema, offerSchema, reclaimNoticeSchema, startAnswerSchema } from '../capacity/index.js'
import type { CloudInstance, Offer, ReclaimNotice, StartAnswer, StartOrder } from '../capacity/index.js'
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Address, InstanceName } from '../identifiers.js'
import { exchangeJson } from './http.js'
import type { Connections, HttpExchange } from './http.js'

/** Reclaim notices after a sequence number. */
export interface NoticePage {
  readonly notices: readonly ReclaimNotice[]
  /** Sequence number to pass to the next call of {@link Cloud.notices}. */
  readonly next: number
}

/**
 * The cloud's API. Every method rejects with a ServingError. If `start` or `release` rejects with the verdict
 * `may-have-run`, repeat the call with the same name, or find out the outcome with `list`.
 */
export interface Cloud {
  /** Offers of instances that can be started. */
  offers (signal?: AbortSignal): Promise<readonly Offer[]>
  /** Starts an instance. A repeated order with the same name starts no second instance. */
  start (order: StartOrder, signal?: AbortSignal): Promise<StartAnswer>
  /** Ends an instance. Idempotent. A released name is never started, even if its start order arrives after the release. */
  release (name: InstanceName, signal?: AbortSignal): Promise<void>
  /** Lists the instances of a group that have not ended. */
  list (group: string, signal?: AbortSignal): Promise<readonly CloudInstance[]>
  /** Reclaim notices with a sequence number greater than `after`, oldest first. 0 returns all notices that the cloud still keeps. */
  notices (after: number, signal?: AbortSignal): Promise<NoticePage>
}

/** Timeout of one call. */
const CALL_TIMEOUT: Milliseconds = 2 * SECOND

const offersSchema = z.object({ offers: z.array(offerSchema) })
const listSchema = z.object({ instances: z.array(cloudInstanceSchema) })
const noticesSchema = z.object({ notices: z.array(reclaimNoticeSchema), next: z.number().int().nonnegative() })

/**
 * Creates a client of the cloud's API.
 *
 * @param address of the API
 * @example
 * const { notices, next } = await createCloud(connections, settings.platform.cloud).notices(0)
 */
export function createCloud (connections: Connections, address: Address): Cloud {
  const exchange = (method: HttpExchange['method'], path: string, body?: unknown, signal?: AbortSignal): HttpExchange =>
    ({ address, method, path, body, idleTimeout: CALL_TIMEOUT, ...(signal ? { signal } : {}) })

  return {
    offers: async (signal) => (await exchangeJson(connections, exchange('GET', '/offers', undefined, signal), offersSchema)).offers,
    start: (order, signal) => exchangeJson(connections, exchange('PUT', `/instances/${order.name}`, order, signal), startAnswerSchema),
    release: async (name, signal) => {
      await exchangeJson(connections, exchange('DELETE', `/instances/${name}`, undefined, signal), z.unknown())
    },
    list: async (group, signal) =>
      (await exchangeJson(connections, exchange('GET', `/instances?group=${encodeURIComponent(group)}`, undefined, signal), listSchema)).instances,
    notices: (after, signal) => exchangeJson(connections, exchange('GET', `/notices?after=${after}`, undefined, signal), noticesSchema)
  }
}
