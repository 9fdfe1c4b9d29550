/** Client of the platform's instance list, which names the live and the leaving instances with a delay. */
import * as z from 'zod'
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Address } from '../identifiers.js'
import type { Log } from '../log.js'
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

/** Maximum number of characters of a reason in a log line. */
const MAX_REASON_LENGTH = 200

const answerSchema = z.object({ instances: z.array(z.unknown()) })

/**
 * Creates a client of the instance list.
 *
 * Failure guarded against: one odd entry makes the whole list unusable, and no change of the instances is followed. Each entry is checked
 * by itself, and odd ones are passed over.
 *
 * @example
 * const instances = await createInstanceList(connections, settings.platform.instance_list, log).read()
 */
export function createInstanceList (connections: Connections, address: Address, log: Pick<Log, 'warn'>): InstanceList {
  let loggedReasons = ''

  /** Logs the odd entries when they change, and not at each read. */
  function logUnusable (reasons: readonly string[]): void {
    const text = reasons.join('\n')
    if (text !== loggedReasons && reasons.length > 0) log.warn('instances-unusable', { count: reasons.length, reason: reasons[0] })
    loggedReasons = text
  }

  return {
    read: async (signal) => {
      const exchange = { address, method: 'GET', path: '/instances', idleTimeout: CALL_TIMEOUT, ...(signal ? { signal } : {}) } as const
      const results = (await exchangeJson(connections, exchange, answerSchema)).instances.map((entry) => instanceSchema.safeParse(entry))
      logUnusable(results.flatMap(({ error }) => error === undefined ? [] : [describeProblem(error)]))
      return results.flatMap(({ success, data }) => success ? [data] : [])
    }
  }
}

function describeProblem ({ issues: [issue] }: z.ZodError): string {
  return `${issue?.path.join('.') || 'the entry'}: ${issue?.message}`.slice(0, MAX_REASON_LENGTH)
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
