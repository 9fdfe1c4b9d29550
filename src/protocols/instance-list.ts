/** Client of the platform's instance list, which names the live and the leaving instances with a delay. */
import * as z from 'zod'
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Address } from '../identifiers.js'
import { instanceSchema } from '../upstream/index.js'
import type { Instance } from '../upstream/index.js'
import { exchangeJson } from './http.js'
import type { Connections } from './http.js'

/** The platform's instance list. */
export interface InstanceList {
  /** Reads the list. Rejects with a ServingError if the list is not available. */
  read (signal?: AbortSignal): Promise<Instance[]>
}

/** Timeout of one call. */
const CALL_TIMEOUT: Milliseconds = 2 * SECOND

const answerSchema = z.object({ instances: z.array(instanceSchema) })

/**
 * Creates a client of the instance list.
 *
 * @example
 * const instances = await createInstanceList(connections, settings.platform.instance_list).read()
 */
export function createInstanceList (connections: Connections, address: Address): InstanceList {
  return {
    read: async (signal) => {
      const exchange = { address, method: 'GET', path: '/instances', idleTimeout: CALL_TIMEOUT, ...(signal ? { signal } : {}) } as const
      return (await exchangeJson(connections, exchange, answerSchema)).instances
    }
  }
}

/**
 * Addresses at which the entry nodes of a list listen for peers.
 *
 * @example
 * const addresses = peerAddresses(await instanceList.read())
 */
export function peerAddresses (instances: readonly Instance[]): Address[] {
  return instances.flatMap((instance) => instance.role.kind === 'entry' ? [instance.role.peerAddress] : [])
}
