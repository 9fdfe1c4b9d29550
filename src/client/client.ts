/**
 * Client library for callers. It discovers and caches the addresses of entry nodes, creates request ids, retries failed
 * attempts and resumes interrupted answers under the same request id.
 */
import { randomInt } from 'node:crypto'
import type { Clock } from '../clock.js'
import { createSystemClock } from '../clock.js'
import type { Address } from '../identifiers.js'
import type { AddressAnswer } from '../membership/index.js'
import { createConnections, createFreshConnections } from '../protocols/http.js'
import { createRandom } from '../random.js'
import type { Random } from '../random.js'
import { createAddressCache } from './address-cache.js'
import { chat } from './chat.js'
import type { ChatAnswer, ChatCall } from './chat.js'
import { callService } from './plain.js'
import type { ServiceAnswer, ServiceCall } from './plain.js'

/** Options of {@link createClient}. */
export interface ClientOptions {
  /** Initial addresses of entry nodes. At least one of them must answer. */
  readonly addresses: readonly Address[]
  /** Bearer key of the organisation. */
  readonly key: string
  readonly clock?: Clock
  /**
   * Random numbers for the choice of nodes and for the jitter of retry delays. Request ids always use the
   * cryptographic random source, because they must not be guessable.
   */
  readonly random?: Random
}

/** Client of the system. */
export interface Client {
  /** Executes a chat completion. Resolves to the complete answer, or rejects with a ServingError. */
  chat (call: ChatCall): Promise<ChatAnswer>
  /** Calls a plain service. Resolves to the answer of the service, or rejects with a ServingError. */
  call (call: ServiceCall): Promise<ServiceAnswer>
  /** Returns the entry nodes that are currently in use. */
  addresses (): Promise<AddressAnswer>
  /** Closes all connections. */
  close (): Promise<void>
}

const CONNECTIONS_PER_ADDRESS = 64
const MAX_SEED = 2 ** 31

/**
 * Creates a client. Connections are opened when they are needed.
 *
 * @example
 * const client = createClient({ addresses: ['127.0.0.1:8080'], key })
 * const answer = await client.chat({ class: 'short-question', messages: [{ role: 'user', content: 'Which resin?' }] })
 */
export function createClient (options: ClientOptions): Client {
  const clock = options.clock ?? createSystemClock()
  const random = options.random ?? createRandom(randomInt(MAX_SEED))
  const connections = createConnections(CONNECTIONS_PER_ADDRESS)
  const freshConnections = createFreshConnections(CONNECTIONS_PER_ADDRESS)
  const headers = { authorization: `Bearer ${options.key}` }
  const cache = createAddressCache({ addresses: options.addresses, headers, connections: freshConnections, clock, random })
  const context = { cache, connections, freshConnections, headers, clock, random }
  return {
    chat: (call) => chat(context, call),
    call: (call) => callService(context, call),
    addresses: cache.answer,
    close: async () => {
      await Promise.all([connections.destroy(), freshConnections.destroy()])
    }
  }
}
