/**
 * Membership of the entry nodes as known to one node.
 *
 * The node registers its own record under a lease. A few nodes watch the records in the key-value service, and all nodes
 * forward changes and suspicions to each other. The buddy, the successors and the address answers follow from the
 * resulting view.
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
import type { ConfigurationWatcher } from './configuration-watcher.js'
import { deliverConfiguration } from './delivery.js'
import { followKeys } from '../protocols/key-watch.js'
import { createPeerExchange } from './peer-exchange.js'
import { toRevisionedRecords, toViewChange } from './node-records.js'
import { createRegistration, NODE_PREFIX } from './registration.js'

/** Events of a {@link MembershipTracker}. */
export interface MembershipEvents {
  /** Nodes have joined or gone, or have begun to leave. */
  changed: { readonly nodes: readonly NodeRecord[] }
  /** An incarnation has gone and will not return. */
  gone: { readonly incarnation: Incarnation }
}

/** Result of the delivery of a configuration revision. */
export interface DeliveryReport {
  readonly revision: number
  /** Number of nodes at which the revision is in force, including this node. */
  readonly confirmed: number
  /**
   * Nodes that have not confirmed the revision, including {@link DeliveryReport.vanished}. If empty, the revision is in
   * force at all nodes.
   */
  readonly missing: readonly NodeRecord[]
  /**
   * Nodes that disappeared without leaving in the last two hours. They are dead, or disconnected and still serving with
   * an earlier revision. The two cases can't be distinguished until the nodes are in contact again.
   */
  readonly vanished: readonly NodeRecord[]
}

/** Membership as known to one node. */
export interface MembershipTracker {
  /** All nodes that are not gone, this node first. Leaving and suspected nodes are included. */
  nodes (): readonly NodeRecord[]
  /** Number of nodes that are neither leaving nor down. If there are none, the number of nodes that are not leaving. */
  count (): number
  /** Record of a node. Undefined if the node is gone or unknown. */
  record (incarnation: Incarnation): NodeRecord | undefined
  /** Present record of this node. */
  own (): NodeRecord
  /** Membership state of a node. */
  peerOf (incarnation: Incarnation): PeerState
  /** Whether the node has been suspected for at least the time that a refutation takes. */
  isDown (incarnation: Incarnation): boolean
  /**
   * Addresses for the callers of an organisation. They never include a leaving node, and they are never empty while a node
   * that is not leaving is known.
   */
  addressAnswer (organisation: OrganisationName, lifetime: Milliseconds): AddressAnswer
  /** Node that keeps the notes of this node. It is in another failure domain if there is one. */
  buddy (): NodeRecord | undefined
  /** Nodes that requests may be handed over to, best first. */
  successors (): readonly NodeRecord[]
  /** Whether this node is one of the nodes that watch the key-value service. */
  watching (): boolean
  /** Delivers a configuration to all nodes and reports the nodes that have not confirmed within the given time. */
  deliver (configuration: ConfigurationRevision, within: Milliseconds): Promise<DeliveryReport>
  /** Handlers of the calls from peers. */
  readonly handlers: AgreementHandlers
  /** Reads all node records from the service once and renews the registration. Rejects if the service does not answer. */
  refresh (): Promise<void>
  /** Marks this node as leaving, so that its address is no longer given to callers. */
  leave (): Promise<void>
  /** Removes the record of this node at the end of a planned stop. */
  withdraw (): Promise<void>
  readonly events: Emittery<MembershipEvents>
}

/** Options of {@link createMembershipTracker}. */
export interface MembershipOptions {
  readonly record: NodeRecord
  readonly keyValue: KeyValue
  readonly clock: Clock
  readonly log: Log
  readonly signal: AbortSignal
  readonly random: Random
  readonly peers: AgreementPeers
  readonly configuration: ConfigurationWatcher
  /** Returns peer addresses from the instance list, which is independent of the key-value service. */
  readonly listPeerAddresses?: () => Promise<readonly Address[]>
}

/** Interval at which the membership is checked for lapsed records, missing contact and differing views. */
const CHECK_INTERVAL: Milliseconds = SECOND

/**
 * Minimum time since the last read before the node records are read again because of differing views.
 *
 * Failure guarded against: a change is lost while peers forward it, and a node remains known to some nodes and unknown to
 * others. If the views of two nodes differ at the same revision, the records are read again from the service. This
 * interval and {@link REREAD_FRACTION} limit the load on the service.
 */
const MIN_REREAD_INTERVAL: Milliseconds = 15 * SECOND

/** Probability with which a node with a differing view reads the records again in one check. */
const REREAD_FRACTION = 0.1

/** Maximum time between two complete reads of the records by every node. The reads correct wrong updates from peers. */
const FULL_READ_INTERVAL: Milliseconds = 10 * MINUTE

/** Time without contact to peers after which a node reads the configuration itself and looks for peers in the instance list. */
const MAX_PEER_SILENCE: Milliseconds = 5 * SECOND

/** Fraction by which pauses vary, and probability with which a node without contact looks for peers in one check. */
const RANDOM_FRACTION = 0.5

/** Maximum number of peers from the instance list that are contacted at once. */
const MAX_CONTACTS = 3

/** Fraction of the delivery time for the first attempt. The rest is for a second attempt at the nodes that were missed. */
const FIRST_DELIVERY_FRACTION = 2 / 3

/**
 * Registers this node and starts to follow the membership until the signal is aborted.
 *
 * @example
 * const membership = createMembershipTracker({ record, keyValue, peers, configuration, clock, random, log, signal })
 */
export function createMembershipTracker (options: MembershipOptions): MembershipTracker {
  const { keyValue, peers, configuration, clock, log, signal, random } = options
  const events = new Emittery<MembershipEvents>()
  const view = createMembershipView(options.record)
  const suspicions = createSuspicions(options.record.incarnation)
  let own = options.record
  let reportedVersion = view.version()
  let reportedNodes = view.nodes()
  let viewsDisagree = false
  let lastReadAt = -Infinity

  const registration = createRegistration({ record: () => own, fleetSize: () => view.nodes().length, keyValue, clock, random, log, signal })
  const exchange = createPeerExchange({
    own: () => own,
    unregistered: () => own.leaving || !registration.registered(),
    view,
    onDisagreement: () => { viewsDisagree = true },
    suspicions,
    configuration,
    peers,
    clock,
    random,
    signal
  })

  async function readNodes (): Promise<number> {
    const listing = await keyValue.list(NODE_PREFIX, signal)
    view.replace(listing.entries.flatMap(toRevisionedRecords), listing.revision, clock.now())
    lastReadAt = clock.now()
    viewsDisagree = false
    emitChanges()
    return listing.revision
  }

  function applyChanges (changes: readonly KeyValueChange[]): void {
    for (const change of changes.map(toViewChange)) {
      if (change !== undefined) view.merge({ after: view.seen(), upTo: change.revision, changes: [change] }, clock.now())
    }
    emitChanges()
  }

  function emitChanges (): void {
    if (view.version() === reportedVersion) return
    reportedVersion = view.version()
    const before = reportedNodes
    reportedNodes = view.nodes()
    suspicions.retain((about) => view.find(about) !== undefined)
    events.emit('changed', { nodes: reportedNodes }).catch(() => {})
    for (const node of before) {
      if (view.stateOf(node.incarnation) === 'gone') events.emit('gone', { incarnation: node.incarnation }).catch(() => {})
    }
  }

  function reachableNodes (): NodeRecord[] {
    const now = clock.now()
    const notLeaving = view.nodes().filter((node) => !node.leaving)
    const reachable = notLeaving.filter((node) => !suspicions.isDown(node.incarnation, now))
    return reachable.length > 0 ? reachable : notLeaving
  }

  function toDeliveryTargets (nodes: readonly NodeRecord[]): DeliveryTarget[] {
    return nodes.filter((node) => node.incarnation !== own.incarnation)
      .map((node) => ({ incarnation: node.incarnation, peerAddress: node.peerAddress }))
  }

  /** Moves nodes that are down to the end, because the first node of a group forwards the delivery to the others. */
  function reachableFirst (targets: readonly DeliveryTarget[]): DeliveryTarget[] {
    const now = clock.now()
    const down = targets.filter((target) => suspicions.isDown(target.incarnation, now))
    return [...targets.filter((target) => !down.includes(target)), ...down]
  }

  const deliveryOptions = { from: own.incarnation, peers, clock, signal }

  async function deliver (revision: ConfigurationRevision, within: Milliseconds): Promise<DeliveryReport> {
    configuration.offer(revision, 'delivery')
    const targets = reachableFirst(toDeliveryTargets(view.nodes()))
    const unconfirmed = await deliverConfiguration(deliveryOptions, revision, targets, within * FIRST_DELIVERY_FRACTION)
    const rest = targets.filter((target) => unconfirmed.includes(target.incarnation))
    const missed = await deliverConfiguration(deliveryOptions, revision, rest, within * (1 - FIRST_DELIVERY_FRACTION))
    // Nodes that have gone in the meantime need not confirm.
    const missing = missed.flatMap((incarnation) => view.find(incarnation) ?? [])
    const vanished = view.vanished(clock.now())
    return { revision: revision.revision, confirmed: targets.length + 1 - missed.length, missing: [...missing, ...vanished], vanished }
  }

  async function checkMembership (): Promise<void> {
    view.removeLapsed(clock.now(), (incarnation) => suspicions.isDown(incarnation, clock.now()))
    emitChanges()
    const lastContact = exchange.lastContactAt() ?? -Infinity
    const hasContact = clock.now() - lastContact < MAX_PEER_SILENCE
    if (!hasContact && random.fraction() < RANDOM_FRACTION) await findPeers()
    if (viewsDisagree && clock.now() - lastReadAt > MIN_REREAD_INTERVAL && random.fraction() < REREAD_FRACTION) await readNodes().catch(() => {})
  }

  /**
   * Looks for peers in the instance list and reads the configuration from the service.
   *
   * Failure guarded against: a node that starts while the key-value service is down knows no peers and gets neither the
   * configuration nor the membership. The instance list contains its peers, and any of them forwards both.
   */
  async function findPeers (): Promise<void> {
    await Promise.allSettled([configuration.refresh(), contactListedPeers()])
    emitChanges()
  }

  async function contactListedPeers (): Promise<void> {
    const addresses = (await options.listPeerAddresses?.() ?? []).filter((address) => address !== own.peerAddress)
    const offset = random.integer(Math.max(1, addresses.length))
    const chosen = [...addresses.slice(offset), ...addresses.slice(0, offset)].slice(0, MAX_CONTACTS)
    await Promise.allSettled(chosen.map(exchange.contact))
  }

  async function runFullReads (): Promise<void> {
    while (!signal.aborted) {
      await clock.sleep(FULL_READ_INTERVAL * (1 - RANDOM_FRACTION * random.fraction()), signal).catch(() => {})
      if (!signal.aborted) await readNodes().catch(() => {})
    }
  }

  const watching = (): boolean => isWatcher(own, reachableNodes())

  followKeys({
    keyValue,
    prefix: NODE_PREFIX,
    clock,
    random,
    signal,
    wanted: watching,
    load: readNodes,
    changed: applyChanges,
    failed: () => {}
  }).catch(() => {})
  every(clock, CHECK_INTERVAL, signal, checkMembership, (error) => log.warn('membership-failed', { error: String(error) })).catch(() => {})
  runFullReads().catch(() => {})
  exchange.run().catch(() => {})
  configuration.events.on('in-force', ({ source }) => {
    // A delivery reaches all nodes directly. Revisions from other sources are forwarded to peers at once.
    if (source !== 'delivery') exchange.notifyPeers()
  })

  return {
    events,
    nodes: view.nodes,
    count: () => reachableNodes().length,
    record: view.find,
    own: () => own,
    peerOf: view.stateOf,
    isDown: (incarnation) => suspicions.isDown(incarnation, clock.now()),
    addressAnswer: (organisation, lifetime) => ({
      nodes: selectAddressNodes(organisation, reachableNodes()).map((node) => ({ address: node.address, incarnation: node.incarnation, failure_domain: node.failureDomain })),
      lifetime_ms: lifetime
    }),
    buddy: () => successorsOf(own, reachableNodes())[0],
    successors: () => successorsOf(own, reachableNodes()),
    watching,
    deliver,
    handlers: {
      ...exchange.handlers,
      exchange: async (message) => {
        const answer = await exchange.handlers.exchange(message)
        emitChanges()
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
      await readNodes()
      await registration.renew()
    },
    leave: async () => {
      own = { ...own, leaving: true }
      view.setOwn(own)
      emitChanges()
      exchange.notifyPeers()
      await registration.write()
    },
    withdraw: registration.withdraw
  }
}
