/**
 * The nodes as this node knows them: its own record under a lease, the view that a few watchers read
 * and everybody passes on, suspicions, and the places that follow from the view.
 */
import Emittery from 'emittery'
import type { Clock, Milliseconds } from '../clock.js'
import { every, MINUTE, SECOND } from '../clock.js'
import { timeForSubtree } from '../configuration/index.js'
import type { ConfigurationRevision } from '../configuration/index.js'
import type { Address, Incarnation, OrganisationName } from '../identifiers.js'
import type { Log } from '../log.js'
import { selectAddressNodes, createMembershipView, createSuspicions, isWatcher, successorsOf } from '../membership/index.js'
import type { AddressAnswer, NodeRecord, PeerState } from '../membership/index.js'
import type { AgreementHandlers, DeliveryTarget } from '../peer/agreement.js'
import type { KeyValue, KeyValueChange } from '../protocols/key-value.js'
import type { Random } from '../random.js'
import type { AgreementPeers } from './agreement-peers.js'
import type { ConfigurationKeeper } from './configuration-keeper.js'
import { deliverConfiguration } from './delivery.js'
import { followKeys } from '../protocols/key-watch.js'
import { createPeerExchange } from './peer-exchange.js'
import { toStamped, toViewChange } from './node-records.js'
import { createRegistration, NODE_PREFIX } from './registration.js'

/** What the keeper tells. */
export interface MembershipEvents {
  /** Nodes came, went, or began to leave. */
  changed: { readonly nodes: readonly NodeRecord[] }
  /** An incarnation has gone for good. */
  gone: { readonly incarnation: Incarnation }
}

/** How far a revision has come. */
export interface DeliveryReport {
  readonly revision: number
  /** Nodes at which it is in force, this one included. */
  readonly confirmed: number
  /** Nodes that have not confirmed it, the unheard ones included. Empty: it is in force everywhere. */
  readonly missing: readonly NodeRecord[]
  /**
   * Nodes that went without a word in the last two hours: dead, or cut off with others and serving on
   * with an earlier revision. Nobody can tell which before they are heard again.
   */
  readonly unheard: readonly NodeRecord[]
}

/** The nodes that are known. */
export interface MembershipKeeper {
  /** All nodes that are not gone, this one first; leaving and suspected ones included. */
  nodes (): readonly NodeRecord[]
  /** Number of nodes that are neither leaving nor down. */
  count (): number
  record (incarnation: Incarnation): NodeRecord | undefined
  own (): NodeRecord
  peerOf (incarnation: Incarnation): PeerState
  /** Whether peers have failed to reach the node for longer than it takes to refute that. */
  isDown (incarnation: Incarnation): boolean
  /** Addresses for an organisation's callers: never a leaving node, never empty while any node is live. */
  addressAnswer (organisation: OrganisationName, lifetime: Milliseconds): AddressAnswer
  /** The node that keeps notes for this one, in another failure domain where there is one. */
  buddy (): NodeRecord | undefined
  /** Nodes to hand requests over to, best first. */
  successors (): readonly NodeRecord[]
  /** Whether this node is one of those that watch the key-value service. */
  watching (): boolean
  /** Hands a configuration to all nodes at once and tells who has not confirmed in time. */
  deliver (configuration: ConfigurationRevision, within: Milliseconds): Promise<DeliveryReport>
  /** What this node does when peers ask. */
  readonly handlers: AgreementHandlers
  /** Reads the service once. */
  refresh (): Promise<void>
  /** Marks this node as leaving, so that callers are not given its address any more. */
  leave (): Promise<void>
  /** Removes this node's record at the end of a planned stop. */
  withdraw (): Promise<void>
  readonly events: Emittery<MembershipEvents>
}

/** Options of {@link createMembershipKeeper}. */
export interface MembershipOptions {
  readonly record: NodeRecord
  readonly keyValue: KeyValue
  readonly clock: Clock
  readonly log: Log
  readonly signal: AbortSignal
  readonly random: Random
  readonly peers: AgreementPeers
  readonly configuration: ConfigurationKeeper
  /** Peer addresses from a source other than the key-value service: the instance list. */
  readonly otherPeers?: () => Promise<readonly Address[]>
}

const SETTLE_PERIOD: Milliseconds = SECOND

/**
 * Failure guarded against: a change went missing on its way through peers, and a node would be known
 * here and not there for good. Views of one revision that differ are read again from the service, not
 * sooner after the last reading than this, and by a share of the nodes each second.
 */
const SETTLING: Milliseconds = 15 * SECOND

const RELIST_SHARE = 0.1

/** Every node reads the whole list this often, in case a peer's account of it was wrong. */
const RELIST_PERIOD: Milliseconds = 10 * MINUTE

/** A node that hears no peer for this long reads the configuration itself. */
const PEER_SILENCE: Milliseconds = 5 * SECOND

const VARIATION = 0.5

/** Peers of the instance list that are asked at a time when no other is heard. */
const FIRST_CONTACTS = 3

/** Share of the time that the first delivery has; nodes that were missed get the rest. */
const FIRST_ROUND = 2 / 3

/**
 * @example
 * const membership = createMembershipKeeper({ record, keyValue, peers, configuration, clock, random, log, signal })
 */
export function createMembershipKeeper (options: MembershipOptions): MembershipKeeper {
  const { keyValue, peers, configuration, clock, log, signal, random } = options
  const events = new Emittery<MembershipEvents>()
  const view = createMembershipView(options.record)
  const suspicions = createSuspicions(options.record.incarnation)
  let own = options.record
  let toldVersion = view.version()
  let toldNodes = view.nodes()
  let doubtful = false
  let listedAt = -Infinity

  const registration = createRegistration({ record: () => own, fleet: () => view.nodes().length, keyValue, clock, random, log, signal })
  const exchange = createPeerExchange({
    own: () => own,
    unregistered: () => own.leaving || !registration.registered(),
    view,
    disagreed: () => { doubtful = true },
    suspicions,
    configuration,
    peers,
    clock,
    random,
    signal
  })

  async function load (): Promise<number> {
    const listing = await keyValue.list(NODE_PREFIX, signal)
    view.replace(listing.entries.flatMap(toStamped), listing.revision, clock.now())
    listedAt = clock.now()
    doubtful = false
    tellChanges()
    return listing.revision
  }

  function changed (changes: readonly KeyValueChange[]): void {
    for (const change of changes.map(toViewChange)) {
      if (change !== undefined) view.merge({ after: view.seen(), upTo: change.revision, changes: [change] }, clock.now())
    }
    tellChanges()
  }

  function tellChanges (): void {
    if (view.version() === toldVersion) return
    toldVersion = view.version()
    const before = toldNodes
    toldNodes = view.nodes()
    suspicions.retain((about) => view.find(about) !== undefined)
    events.emit('changed', { nodes: toldNodes }).catch(() => {})
    for (const node of before) {
      if (view.stateOf(node.incarnation) === 'gone') events.emit('gone', { incarnation: node.incarnation }).catch(() => {})
    }
  }

  function reachable (): NodeRecord[] {
    const now = clock.now()
    const staying = view.nodes().filter((node) => !node.leaving)
    const up = staying.filter((node) => !suspicions.isDown(node.incarnation, now))
    return up.length > 0 ? up : staying
  }

  function targetsOf (nodes: readonly NodeRecord[]): DeliveryTarget[] {
    return nodes.filter((node) => node.incarnation !== own.incarnation)
      .map((node) => ({ incarnation: node.incarnation, peerAddress: node.peerAddress }))
  }

  /** Nodes that are down come last, so that they head no group. */
  function upFirst (targets: readonly DeliveryTarget[]): DeliveryTarget[] {
    const now = clock.now()
    const down = targets.filter((target) => suspicions.isDown(target.incarnation, now))
    return [...targets.filter((target) => !down.includes(target)), ...down]
  }

  const deliveryOptions = { from: own.incarnation, peers, clock, signal }

  async function deliver (revision: ConfigurationRevision, within: Milliseconds): Promise<DeliveryReport> {
    configuration.offer(revision, 'delivery')
    const targets = upFirst(targetsOf(view.nodes()))
    const first = await deliverConfiguration(deliveryOptions, revision, targets, within * FIRST_ROUND)
    const rest = targets.filter((target) => first.includes(target.incarnation))
    const missed = await deliverConfiguration(deliveryOptions, revision, rest, within * (1 - FIRST_ROUND))
    // A node that went meanwhile has nothing to confirm.
    const missing = missed.flatMap((incarnation) => view.find(incarnation) ?? [])
    const unheard = view.vanished(clock.now())
    return { revision: revision.revision, confirmed: targets.length + 1 - missed.length, missing: [...missing, ...unheard], unheard }
  }

  async function tick (): Promise<void> {
    view.removeLapsed(clock.now(), (incarnation) => suspicions.isDown(incarnation, clock.now()))
    tellChanges()
    const last = exchange.lastHeard() ?? -Infinity
    const heardPeer = clock.now() - last < PEER_SILENCE
    if (!heardPeer && random.fraction() < VARIATION) await seekOthers()
    if (doubtful && clock.now() - listedAt > SETTLING && random.fraction() < RELIST_SHARE) await load().catch(() => {})
  }

  /**
   * Failure guarded against: a node that starts while the key-value service is down knows nobody and
   * would have neither configuration nor view. The instance list names its peers, and any of them
   * passes both on.
   */
  async function seekOthers (): Promise<void> {
    await Promise.allSettled([configuration.refresh(), contactOthers()])
    tellChanges()
  }

  async function contactOthers (): Promise<void> {
    const addresses = (await options.otherPeers?.() ?? []).filter((address) => address !== own.peerAddress)
    const first = random.integer(Math.max(1, addresses.length))
    const chosen = [...addresses.slice(first), ...addresses.slice(0, first)].slice(0, FIRST_CONTACTS)
    await Promise.allSettled(chosen.map(exchange.contact))
  }

  async function relist (): Promise<void> {
    while (!signal.aborted) {
      await clock.sleep(RELIST_PERIOD * (1 - VARIATION * random.fraction()), signal).catch(() => {})
      if (!signal.aborted) await load().catch(() => {})
    }
  }

  const watching = (): boolean => isWatcher(own, reachable())

  followKeys({
    keyValue,
    prefix: NODE_PREFIX,
    clock,
    random,
    signal,
    wanted: watching,
    load,
    changed,
    failed: () => {}
  }).catch(() => {})
  every(clock, SETTLE_PERIOD, signal, tick, (error) => log.warn('membership-failed', { error: String(error) })).catch(() => {})
  relist().catch(() => {})
  exchange.run().catch(() => {})
  configuration.events.on('in-force', ({ source }) => {
    // A delivery reaches everybody by itself; other news is passed on at once.
    if (source !== 'delivery') exchange.spread()
  })

  return {
    events,
    nodes: view.nodes,
    count: () => reachable().length,
    record: view.find,
    own: () => own,
    peerOf: view.stateOf,
    isDown: (incarnation) => suspicions.isDown(incarnation, clock.now()),
    addressAnswer: (organisation, lifetime) => ({
      nodes: selectAddressNodes(organisation, reachable()).map((node) => ({ address: node.address, incarnation: node.incarnation, failure_domain: node.failureDomain })),
      lifetime_ms: lifetime
    }),
    buddy: () => successorsOf(own, reachable())[0],
    successors: () => successorsOf(own, reachable()),
    watching,
    deliver,
    handlers: {
      ...exchange.handlers,
      exchange: async (message) => {
        const answer = await exchange.handlers.exchange(message)
        tellChanges()
        return answer
      },
      deliver: async (delivery) => {
        configuration.heard()
        configuration.offer(delivery.configuration, 'delivery')
        const missing = await deliverConfiguration(deliveryOptions, delivery.configuration, delivery.below, timeForSubtree(delivery.within_ms))
        return { revision: configuration.revision(), missing }
      }
    },
    refresh: async () => {
      await load()
      await registration.renew()
    },
    leave: async () => {
      own = { ...own, leaving: true }
      view.setOwn(own)
      tellChanges()
      exchange.spread()
      await registration.write()
    },
    withdraw: registration.withdraw
  }
}
