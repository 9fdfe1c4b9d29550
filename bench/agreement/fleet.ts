/**
 * Many nodes' agreement in one process and in virtual time: the keepers themselves, over the
 * in-process face of the key-value stand-in and a network of function calls that counts bodies.
 */
import type { Clock, Milliseconds } from '../../src/clock.js'
import { SECOND } from '../../src/clock.js'
import type { ConfigurationRevision } from '../../src/configuration/index.js'
import { createConfigurationWatcher } from '../../src/entry/configuration-watcher.js'
import type { ConfigurationWatcher } from '../../src/entry/configuration-watcher.js'
import { EXCHANGE_TIMEOUT, PROBE_TIMEOUT } from '../../src/entry/agreement-peers.js'
import type { AgreementPeers } from '../../src/entry/agreement-peers.js'
import { createMembershipTracker } from '../../src/entry/membership-tracker.js'
import type { MembershipTracker } from '../../src/entry/membership-tracker.js'
import type { Address, FailureDomain } from '../../src/identifiers.js'
import { nodeRecordSchema } from '../../src/membership/index.js'
import type { NodeRecord } from '../../src/membership/index.js'
import type { AgreementHandlers } from '../../src/peer/agreement.js'
import type { KeyValue } from '../../src/protocols/key-value.js'
import { createRandom } from '../../src/random.js'
import type { Random } from '../../src/random.js'
import { ServingError } from '../../src/verdict.js'
import { createFaultSwitch } from '../../stand-ins/faults.js'
import type { FaultSwitch } from '../../stand-ins/faults.js'
import { createDirectKeyValue } from '../../stand-ins/key-value-direct.js'
import type { DirectKeyValue } from '../../stand-ins/key-value-direct.js'
import { createKeyValueStore } from '../../stand-ins/key-value-store.js'
import type { KeyValueStore } from '../../stand-ins/key-value-store.js'

/** One node of the fleet. */
export interface FleetNode {
  readonly record: NodeRecord
  readonly region: number
  readonly configuration: ConfigurationWatcher
  readonly membership: MembershipTracker
  readonly alive: () => boolean
  /** When each revision came into force here, in virtual time. */
  readonly inForceAt: ReadonlyMap<number, Milliseconds>
  /** Every revision that was in force, in order. */
  readonly revisions: readonly number[]
  kill (): void
}

/** Messages between nodes so far. */
export interface Traffic {
  exchanges: number
  deliveries: number
  probes: number
  failures: number
  /** Bytes of JSON bodies, requests and answers. */
  bodyBytes: number
}

/** A running fleet. */
export interface Fleet {
  readonly store: KeyValueStore
  readonly faults: FaultSwitch
  readonly keyValue: DirectKeyValue
  readonly traffic: Traffic
  nodes (): readonly FleetNode[]
  /** Starts a node, by default in the domain whose turn it is. */
  start (domain?: number): FleetNode
  /** Cuts the paths for which the function returns false; the second argument is undefined for the key-value service. */
  reach (allowed: (from: FleetNode, to: FleetNode | undefined) => boolean): void
  stop (): void
}

/** What a fleet is made of. */
export interface FleetOptions {
  readonly clock: Clock
  readonly seed: number
  readonly nodes: number
  readonly domains: number
  /** The first domains belong to region 0, the rest to region 1. */
  readonly domainsInFirstRegion?: number
}

const WITHIN_REGION: Milliseconds = 2
const BETWEEN_REGIONS: Milliseconds = 15
const KEY_VALUE_LATENCY: Milliseconds = 3
const CONNECT_TIMEOUT: Milliseconds = SECOND

const SILENT_LOG = { info: () => {}, warn: () => {}, error: () => {} }

/**
 * @example
 * const fleet = createFleet({ clock, seed: 1, nodes: 370, domains: 5 })
 */
export function createFleet (options: FleetOptions): Fleet {
  const { clock } = options
  const random = createRandom(options.seed)
  const store = createKeyValueStore(clock)
  const faults = createFaultSwitch(clock, random)
  faults.faults.latency = KEY_VALUE_LATENCY
  const keyValue = createDirectKeyValue(store, faults, clock)
  const traffic: Traffic = { exchanges: 0, deliveries: 0, probes: 0, failures: 0, bodyBytes: 0 }
  const byAddress = new Map<Address, FleetNode>()
  let allowed: (from: FleetNode, to: FleetNode | undefined) => boolean = () => true
  let started = 0

  async function call<Q, A> (from: FleetNode, address: Address, timeout: Milliseconds, question: Q, handle: (handlers: AgreementHandlers, question: Q) => Promise<A>): Promise<A> {
    const to = byAddress.get(address)
    if (to === undefined || !to.alive()) return await unanswered(clock, CONNECT_TIMEOUT, traffic)
    if (!allowed(from, to)) return await unanswered(clock, timeout, traffic)
    const distance = from.region === to.region ? WITHIN_REGION : BETWEEN_REGIONS
    await clock.sleep(distance)
    if (!to.alive()) return await unanswered(clock, CONNECT_TIMEOUT, traffic)
    const sent = JSON.stringify(question)
    const answer = JSON.stringify(await withinTime(clock, timeout, handle(to.membership.handlers, JSON.parse(sent))))
    traffic.bodyBytes += sent.length + answer.length
    await clock.sleep(distance)
    if (!from.alive()) throw lost()
    return JSON.parse(answer)
  }

  function peersOf (self: () => FleetNode): AgreementPeers {
    const exchange: AgreementPeers['exchange'] = (address, message) => {
      traffic.exchanges += 1
      return call(self(), address, EXCHANGE_TIMEOUT, message, (handlers, received) => handlers.exchange(received))
    }
    return {
      exchange,
      exchangeOnNewConnection: exchange,
      deliver: (address, delivery) => {
        traffic.deliveries += 1
        return call(self(), address, delivery.within_ms, delivery, (handlers, received) => handlers.deliver(received))
      },
      probe: (address, target) => {
        traffic.probes += 1
        return call(self(), address, PROBE_TIMEOUT, target, (handlers, received) => handlers.probe(received))
      }
    }
  }

  function start (domain = started % options.domains): FleetNode {
    started += 1
    const record = recordOf(started, domain)
    const owner = new AbortController()
    const nodeRandom = createRandom(options.seed * 1_000 + started)
    const inForceAt = new Map<number, Milliseconds>()
    const revisions: number[] = []
    const parts = createParts({
      record,
      clock,
      random: nodeRandom,
      signal: owner.signal,
      peers: peersOf(() => node),
      keyValue: guardKeyValue(keyValue, () => allowed(node, undefined), clock),
      otherPeers: async () => [...byAddress.keys()]
    })
    const node: FleetNode = {
      ...parts,
      record,
      region: domain < (options.domainsInFirstRegion ?? options.domains) ? 0 : 1,
      inForceAt,
      revisions,
      alive: () => !owner.signal.aborted,
      kill: () => owner.abort()
    }
    parts.configuration.events.on('in-force', ({ revision }: { revision: ConfigurationRevision }) => {
      inForceAt.set(revision.revision, clock.now())
      revisions.push(revision.revision)
    })
    byAddress.set(record.peerAddress, node)
    Promise.allSettled([parts.configuration.refresh(), parts.membership.refresh()]).catch(() => {})
    return node
  }

  for (let index = 0; index < options.nodes; index += 1) start()

  return {
    store,
    faults,
    keyValue,
    traffic,
    start,
    nodes: () => [...byAddress.values()].filter((node) => node.alive()),
    reach: (rule) => { allowed = rule },
    stop: () => { for (const node of byAddress.values()) node.kill() }
  }
}

function createParts (options: { record: NodeRecord, clock: Clock, random: Random, signal: AbortSignal, peers: AgreementPeers, keyValue: KeyValue, otherPeers: () => Promise<readonly Address[]> }): Pick<FleetNode, 'configuration' | 'membership'> {
  const common = { keyValue: options.keyValue, clock: options.clock, random: options.random, log: SILENT_LOG, signal: options.signal }
  const configuration = createConfigurationWatcher({ ...common, watching: () => membership.watching() })
  const membership = createMembershipTracker({ ...common, record: options.record, peers: options.peers, configuration, listPeerAddresses: options.otherPeers })
  return { configuration, membership }
}

function recordOf (number: number, domain: number): NodeRecord {
  return nodeRecordSchema.parse({
    instance: `entry-${number}`,
    incarnation: `entry-${number}-${(number * 7_919).toString(16).padStart(12, '0')}`,
    failureDomain: domainName(domain),
    address: addressOf(number, 8_080),
    peerAddress: addressOf(number, 8_081),
    leaving: false
  })
}

/**
 * @example
 * domainName(0) // 'zone-a'
 */
export function domainName (domain: number): FailureDomain {
  return nodeRecordSchema.shape.failureDomain.parse(`zone-${String.fromCharCode(97 + domain)}`)
}

function addressOf (number: number, port: number): string {
  return `10.${(number >> 16) & 255}.${(number >> 8) & 255}.${number & 255}:${port}`
}

/** The service as a node reaches it: a node that is cut off waits in vain. */
function guardKeyValue (keyValue: KeyValue, reachable: () => boolean, clock: Clock): KeyValue {
  const guarded = <A extends unknown[], R>(method: (...parameters: A) => Promise<R>) => async (...parameters: A): Promise<R> => {
    if (reachable()) return method(...parameters)
    await clock.sleep(2 * SECOND)
    throw lost()
  }
  return {
    epochs: keyValue.epochs,
    get: guarded(keyValue.get),
    list: guarded(keyValue.list),
    put: guarded(keyValue.put),
    compareAndSwap: guarded(keyValue.compareAndSwap),
    compareAndDelete: guarded(keyValue.compareAndDelete),
    grantLease: guarded(keyValue.grantLease),
    keepAlive: guarded(keyValue.keepAlive),
    revokeLease: guarded(keyValue.revokeLease),
    watch: async function * (prefix, fromRevision, signal) {
      if (!reachable()) throw lost()
      for await (const changes of keyValue.watch(prefix, fromRevision, signal)) {
        if (!reachable()) throw lost()
        yield changes
      }
    }
  }
}

async function unanswered (clock: Clock, after: Milliseconds, traffic: Traffic): Promise<never> {
  traffic.failures += 1
  await clock.sleep(after)
  throw lost()
}

async function withinTime<T> (clock: Clock, timeout: Milliseconds, work: Promise<T>): Promise<T> {
  const waiting = new AbortController()
  const late = clock.sleep(timeout, waiting.signal).then(() => { throw lost() }, () => { throw lost() })
  late.catch(() => {})
  try {
    return await Promise.race([work, late])
  } finally {
    waiting.abort()
  }
}

function lost (): ServingError {
  return new ServingError('no answer', { code: 'connection-lost', verdict: 'may-have-run' })
}
