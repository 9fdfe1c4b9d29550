/** The platform's instance list: live and leaving instances, behind reality. */
import * as z from 'zod'
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Address } from '../identifiers.js'
import { instanceSchema } from '../upstream/index.js'
import type { Instance } from '../upstream/index.js'
import { exchangeJson } from './http.js'
import type { Connections } from './http.js'

/** The list as the system uses it. */
export interface InstanceList {
  /** Rejects with a ServingError when the list cannot be had. */
  read (signal?: AbortSignal): Promise<Instance[]>
}

const CALL_TIMEOUT: Milliseconds = 2 * SECOND

const answerSchema = z.object({ instances: z.array(instanceSchema) })

/**
 * @example
 * const instances = await createInstanceList(connections, settings.platform.instance_list).read()
 */
export function createInstanceList (connections: Connections, address: Address): InstanceList {
  return {
    read: async (signal) => {
      const exchange = { address, method: 'GET', path: '/instances', silence: CALL_TIMEOUT, ...(signal ? { signal } : {}) } as const
      return (await exchangeJson(connections, exchange, answerSchema)).instances
    }
  }
}

/**
 * Where the entry nodes of a list listen for peers.
 *
 * @example
 * const addresses = peerAddresses(await instanceList.read())
 */
export function peerAddresses (instances: readonly Instance[]): Address[] {
  return instances.flatMap((instance) => instance.role.kind === 'entry' ? [instance.role.peerAddress] : [])
}
