/**
 * The callers' module: asks for addresses, keeps them for their time, mints request ids at a home,
 * sends again and resumes with the same id.
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

/** Whom a client asks first, and as whom. */
export interface ClientOptions {
  /** Any addresses of entry nodes; one that answers is enough. */
  readonly addresses: readonly Address[]
  /** The organisation's bearer key. */
  readonly key: string
  readonly clock?: Clock
  /** Chooses nodes and spreads pauses. Ids come from the system's own source, since they must not be guessed. */
  readonly random?: Random
}

/** A caller's connection to the system. */
export interface Client {
  /** Resolves to the whole answer, or rejects with a ServingError and its verdict. */
  chat (call: ChatCall): Promise<ChatAnswer>
  /** Resolves to the plain service's answer, or rejects with a ServingError and its verdict. */
  call (call: ServiceCall): Promise<ServiceAnswer>
  /** Addresses in use now. */
  addresses (): Promise<AddressAnswer>
  close (): Promise<void>
}

const CONNECTIONS_PER_ADDRESS = 64
const LARGEST_SEED = 2 ** 31

/**
 * @example
 * const client = createClient({ addresses: ['127.0.0.1:8080'], key })
 * const answer = await client.chat({ class: 'short-question', messages: [{ role: 'user', content: 'Which resin?' }] })
 */
export function createClient (options: ClientOptions): Client {
  const clock = options.clock ?? createSystemClock()
  const random = options.random ?? createRandom(randomInt(LARGEST_SEED))
  const connections = createConnections(CONNECTIONS_PER_ADDRESS)
  const freshConnections = createFreshConnections(CONNECTIONS_PER_ADDRESS)
  const headers = { authorization: `Bearer ${options.key}` }
  const cache = createAddressCache({ addresses: options.addresses, headers, connections: freshConnections, clock, random })
  const sending = { cache, connections, freshConnections, headers, clock, random }
  return {
    chat: (call) => chat(sending, call),
    call: (call) => callService(sending, call),
    addresses: cache.answer,
    close: async () => {
      await Promise.all([connections.destroy(), freshConnections.destroy()])
    }
  }
}
