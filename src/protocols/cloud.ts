/** The cloud: what it sells, starting and giving back instances, and notices of reclaims. */
import * as z from 'zod'
import { cloudInstanceSchema, offerSchema, reclaimNoticeSchema, startAnswerSchema } from '../capacity/index.js'
import type { CloudInstance, Offer, ReclaimNotice, StartAnswer, StartOrder } from '../capacity/index.js'
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Address, InstanceName } from '../identifiers.js'
import { exchangeJson } from './http.js'
import type { Connections, HttpExchange } from './http.js'

/** Notices after a sequence number. */
export interface NoticePage {
  readonly notices: readonly ReclaimNotice[]
  /** Sequence to ask after next time. */
  readonly next: number
}

/**
 * The cloud as the system uses it. Every method rejects with a ServingError. A `start` or `release`
 * that rejects with `may-have-run` may be sent again under the same name, or settled by `list`.
 */
export interface Cloud {
  offers (signal?: AbortSignal): Promise<readonly Offer[]>
  /** Idempotent by name. */
  start (order: StartOrder, signal?: AbortSignal): Promise<StartAnswer>
  /** Idempotent; a released name is never started again, also if its start order arrives later. */
  release (name: InstanceName, signal?: AbortSignal): Promise<void>
  /** Instances of a group that have not ended. */
  list (group: string, signal?: AbortSignal): Promise<readonly CloudInstance[]>
  /** Notices whose sequence is above `after`, oldest first; 0 asks for all that are remembered. */
  notices (after: number, signal?: AbortSignal): Promise<NoticePage>
}

const CALL_TIMEOUT: Milliseconds = 2 * SECOND

const offersSchema = z.object({ offers: z.array(offerSchema) })
const listSchema = z.object({ instances: z.array(cloudInstanceSchema) })
const noticesSchema = z.object({ notices: z.array(reclaimNoticeSchema), next: z.number().int().nonnegative() })

/**
 * @param address where the cloud's API answers
 * @example
 * const { notices, next } = await createCloud(connections, settings.platform.cloud).notices(0)
 */
export function createCloud (connections: Connections, address: Address): Cloud {
  const exchange = (method: HttpExchange['method'], path: string, body?: unknown, signal?: AbortSignal): HttpExchange =>
    ({ address, method, path, body, silence: CALL_TIMEOUT, ...(signal ? { signal } : {}) })

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
