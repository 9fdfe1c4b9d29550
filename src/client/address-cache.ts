/** Cache of the addresses of entry nodes that the system returned to this caller. */
import type { Clock, Milliseconds } from '../clock.js'
import type { Address, Incarnation } from '../identifiers.js'
import { addressAnswerSchema } from '../membership/index.js'
import type { AddressAnswer } from '../membership/index.js'
import { exchangeJson } from '../protocols/http.js'
import type { Connections } from '../protocols/http.js'
import type { Random } from '../random.js'
import { ServingError, toServingError } from '../verdict.js'

/** Entry node in an address answer. */
export type KnownNode = AddressAnswer['nodes'][number]

/** Addresses of entry nodes and choice among them. */
export interface AddressCache {
  /**
   * Returns the cached address answer, or requests a new one after its lifetime.
   *
   * @throws ServingError `no-upstream` with verdict `not-run` when no node answers
   */
  answer (): Promise<AddressAnswer>
  /** Ends the lifetime of the cached answer, so that the next use requests a new one. */
  invalidate (): void
  /** Excludes a node for {@link AVOIDANCE_PERIOD}. If all nodes are excluded, excluded nodes are chosen as well. */
  avoid (address: Address): void
  /**
   * Chooses the node for an attempt: the home of the request id if it is available, otherwise a random node.
   *
   * @throws ServingError `no-upstream` with verdict `not-run` when no node is known
   */
  choose (home: Incarnation | undefined): Promise<KnownNode>
}

/** Options of {@link createAddressCache}. */
export interface AddressCacheOptions {
  /** Initial addresses. They stay in use besides the addresses that the system returned. */
  readonly addresses: readonly Address[]
  readonly headers: Readonly<Record<string, string>>
  readonly connections: Connections
  readonly clock: Clock
  readonly random: Random
}

/** Maximum wait for an address answer from one node. */
const ANSWER_TIMEOUT: Milliseconds = 2_000

/** Time for which a node is excluded after a failure. */
const AVOIDANCE_PERIOD: Milliseconds = 5_000

/**
 * Creates an empty cache.
 *
 * @example
 * const node = await createAddressCache(options).choose(undefined)
 */
export function createAddressCache (options: AddressCacheOptions): AddressCache {
  const { connections, clock, random, headers } = options
  const avoided = new Map<Address, Milliseconds>()
  let cached: { answer: AddressAnswer, until: Milliseconds } | undefined
  let pending: Promise<AddressAnswer> | undefined

  async function fetchAddresses (): Promise<AddressAnswer> {
    const known = cached?.answer.nodes.map((node) => node.address) ?? []
    let failure: unknown
    for (const address of shuffled([...new Set([...known, ...options.addresses])])) {
      try {
        const answer = await exchangeJson(connections, { address, method: 'GET', path: '/v1/addresses', headers, idleTimeout: ANSWER_TIMEOUT }, addressAnswerSchema)
        cached = { answer, until: clock.now() + answer.lifetime_ms }
        return answer
      } catch (error) {
        failure = error
        if (toServingError(error, 'not-run').code === 'upstream-refused' && String(error).includes('unauthenticated')) break
      }
    }
    throw new ServingError(`no entry node answers: ${failure instanceof Error ? failure.message : 'no address is known'}`, { code: 'no-upstream', verdict: 'not-run' })
  }

  /** Random order in which excluded nodes come last, so that they are still requested if no other node answers. */
  function shuffled (addresses: readonly Address[]): Address[] {
    const ranked = addresses.map((address) => ({ address, order: random.fraction() + (isAvoided(address) ? 1 : 0) }))
    return ranked.sort((left, right) => left.order - right.order).map((item) => item.address)
  }

  function isAvoided (address: Address): boolean {
    return (avoided.get(address) ?? -Infinity) > clock.now()
  }

  async function answer (): Promise<AddressAnswer> {
    if (cached !== undefined && clock.now() < cached.until) return cached.answer
    pending ??= fetchAddresses().finally(() => { pending = undefined })
    return pending
  }

  return {
    answer,
    invalidate: () => {
      if (cached !== undefined) cached = { ...cached, until: -Infinity }
    },
    avoid: (address) => { avoided.set(address, clock.now() + AVOIDANCE_PERIOD) },
    choose: async (home) => {
      const { nodes } = await answer()
      const available = nodes.filter((node) => !isAvoided(node.address))
      const homeNode = available.find((node) => node.incarnation === home)
      if (homeNode !== undefined) return homeNode
      const candidates = available.length > 0 ? available : nodes
      if (candidates.length === 0) throw new ServingError('no entry node is known', { code: 'no-upstream', verdict: 'not-run' })
      return random.pick(candidates)
    }
  }
}
