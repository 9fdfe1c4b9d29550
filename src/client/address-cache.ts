/** The addresses that the system gave this caller, kept for their time. */
import type { Clock, Milliseconds } from '../clock.js'
import type { Address, Incarnation } from '../identifiers.js'
import { addressAnswerSchema } from '../membership/index.js'
import type { AddressAnswer } from '../membership/index.js'
import { exchangeJson } from '../protocols/http.js'
import type { Connections } from '../protocols/http.js'
import type { Random } from '../random.js'
import { ServingError, toServingError } from '../verdict.js'

/** One node of an address answer. */
export type KnownNode = AddressAnswer['nodes'][number]

/** Addresses in use. */
export interface AddressCache {
  /** @throws ServingError `not-run` when no node answers */
  answer (): Promise<AddressAnswer>
  /** Asks again before the time of the present answer is over. */
  forget (): void
  /** The node is not chosen for a while, unless all are avoided. */
  avoid (address: Address): void
  /**
   * A node to send to: the home of an id when it is among them, another at random otherwise.
   */
  choose (home: Incarnation | undefined): Promise<KnownNode>
}

/** What the cache needs. */
export interface AddressCacheOptions {
  /** Addresses asked when no others are known. */
  readonly addresses: readonly Address[]
  readonly headers: Readonly<Record<string, string>>
  readonly connections: Connections
  readonly clock: Clock
  readonly random: Random
}

/** Bound on the wait for an address answer. */
const SILENCE: Milliseconds = 2_000

const AVOID_TIME: Milliseconds = 5_000

/**
 * @example
 * const node = await createAddressCache(options).choose(undefined)
 */
export function createAddressCache (options: AddressCacheOptions): AddressCache {
  const { connections, clock, random, headers } = options
  const avoided = new Map<Address, Milliseconds>()
  let kept: { answer: AddressAnswer, until: Milliseconds } | undefined
  let asking: Promise<AddressAnswer> | undefined

  async function ask (): Promise<AddressAnswer> {
    const known = kept?.answer.nodes.map((node) => node.address) ?? []
    let failure: unknown
    for (const address of shuffled([...new Set([...known, ...options.addresses])])) {
      try {
        const answer = await exchangeJson(connections, { address, method: 'GET', path: '/v1/addresses', headers, idleTimeout: SILENCE }, addressAnswerSchema)
        kept = { answer, until: clock.now() + answer.lifetime_ms }
        return answer
      } catch (error) {
        failure = error
        if (toServingError(error, 'not-run').code === 'upstream-refused' && String(error).includes('unauthenticated')) break
      }
    }
    throw new ServingError(`no entry node answers: ${failure instanceof Error ? failure.message : 'no address is known'}`, { code: 'no-upstream', verdict: 'not-run' })
  }

  /** Nodes that were avoided come last, so that one of them is still asked when no other is left. */
  function shuffled (addresses: readonly Address[]): Address[] {
    const drawn = addresses.map((address) => ({ address, order: random.fraction() + (isAvoided(address) ? 1 : 0) }))
    return drawn.sort((left, right) => left.order - right.order).map((item) => item.address)
  }

  function isAvoided (address: Address): boolean {
    return (avoided.get(address) ?? -Infinity) > clock.now()
  }

  async function answer (): Promise<AddressAnswer> {
    if (kept !== undefined && clock.now() < kept.until) return kept.answer
    asking ??= ask().finally(() => { asking = undefined })
    return asking
  }

  return {
    answer,
    forget: () => {
      if (kept !== undefined) kept = { ...kept, until: -Infinity }
    },
    avoid: (address) => { avoided.set(address, clock.now() + AVOID_TIME) },
    choose: async (home) => {
      const { nodes } = await answer()
      const free = nodes.filter((node) => !isAvoided(node.address))
      const atHome = free.find((node) => node.incarnation === home)
      if (atHome !== undefined) return atHome
      const candidates = free.length > 0 ? free : nodes
      if (candidates.length === 0) throw new ServingError('no entry node is known', { code: 'no-upstream', verdict: 'not-run' })
      return random.pick(candidates)
    }
  }
}
