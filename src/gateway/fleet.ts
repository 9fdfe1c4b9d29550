/** Membership of this node in the fleet: records and states of the other nodes, and the peers that this node exchanges with. */
import type { Server } from 'node:http'
import type { Milliseconds } from '../clock.js'
import type { CrashEvidence } from '../crash-causes/index.js'
import { chooseAddresses, createSharedWallClock, MAX_FULL_MESH_NODES, aggregatorOrderFor, pickAggregators } from '../gossip/index.js'
import type { FleetReport, NodeState, ReachableNode } from '../gossip/index.js'
import type { RelayNode } from '../paths/index.js'
import type { InFlight, UpstreamIncarnation } from '../placement/index.js'
import { createConnections } from '../protocols/http.js'
import type { BrokenRuns } from '../quarantine/index.js'
import { ASSUMED_NODES } from '../quota/index.js'
import type { KeyValueEntry } from '../protocols/key-value.js'
import type { UsageCounts } from '../usage/index.js'
import type { ConfigurationWatcher } from './configuration-watcher.js'
import type { StoreContext } from './follow.js'
import { createGossipExchange } from './gossip-exchange.js'
import { startNodeRegistration } from './node-records.js'
import type { NodeRecord } from './node-records.js'
import { createPeerLinks, createPeerLinkServer } from './peer-link.js'
import type { PrefillNotice } from './peer-link.js'
import { createReachablePeers } from './reachable-peers.js'
import type { StoreUpdateExchange } from './store-updates.js'
import { createMemberReporter } from './reporting.js'
import { createStreamOrigins } from './stream-origins.js'
import type { StreamOrigins, StreamOriginsSettings } from './stream-origins.js'

/** State that a node reports about itself, without the fields of its record. */
export type LocalReport = Omit<NodeState, keyof NodeRecord | 'sequence' | 'nodes'>

/** This node's view of the other nodes. */
export interface Fleet {
  /** Reports of the live other nodes. A report covers one node, or the sums of several. */
  others (): FleetReport[]
  /** Requests in flight at the other live nodes, by the source of the report. */
  loads (): ReadonlyMap<string, InFlight>
  /** Broken runs reported by other nodes, including dead nodes whose state is still kept. */
  brokenRuns (): readonly BrokenRuns[]
  /** Crashes that other nodes have reported, including dead nodes whose state is still kept. */
  crashEvidence (): readonly CrashEvidence[]
  /** Tells some nodes at once what this node knows: an aggregator other aggregators, a member its aggregator. */
  announce (): void
  /** Resolves once this node has heard from another one since its start, if there is any that answers. */
  firstContact (): Promise<void>
  /** Usage counts of a window by incarnation, for nodes whose own state this node holds, including dead nodes whose state is still kept. */
  usage (window: number): ReadonlyMap<string, UsageCounts>
  /** Usage counts of a window by incarnation, for the members that report to this node. */
  memberUsage (window: number): ReadonlyMap<string, UsageCounts>
  /** Time since the last update of the live node that has been silent longest; undefined when there is no other live node. */
  maxSilence (): Milliseconds | undefined
  /**
   * Upper estimate of the number of serving nodes: the highest count of any source, including recently departed nodes.
   * An estimate that is too high gives each node a smaller share of a limit, so that the limit still holds.
   */
  maxNodeCount (): number
  /** Number of nodes that are registered or that reports cover now, this node included. */
  knownNodeCount (): number
  /** Names of the nodes that may be serving, this node included; empty before the records have been read. */
  nodeNames (): readonly string[]
  /** Whether this node is a member: it reports to an aggregator and receives sums and store updates from there. */
  isMember (): boolean
  /** Whether another node is ready, as far as this one knows. */
  hasOtherReadyNode (): boolean
  /** Addresses of ready nodes, in the selection for this caller. */
  addresses (caller: string): readonly string[]
  /** Other registered nodes, with their addresses for requests of nodes. */
  relayNodes (): readonly RelayNode[]
  /** Wall-clock time that the nodes agree on, in milliseconds. */
  wall (): Milliseconds
  /** Notifies other nodes of a prompt that was dispatched to an upstream and needs this prefill time there. */
  announcePrefill (upstream: UpstreamIncarnation, prefill: Milliseconds): void
  /** Origins of streams, held here and at other nodes. */
  readonly streamOrigins: StreamOrigins
  /** Removes this node's record from the store; an aggregator exchanges its state with some peers at once. */
  withdraw (): Promise<void>
  /** Closes the connections to other nodes. */
  close (): Promise<void>
}

/** Dependencies of {@link joinFleet}. */
export interface FleetOptions {
  readonly context: StoreContext & { readonly storeUpdates: StoreUpdateExchange }
  /** This node's record without its peer address, which is known once the peer server listens. */
  readonly self: Omit<NodeRecord, 'peer'>
  readonly streamOrigins: StreamOriginsSettings
  /** Starts listening with the server for requests of other nodes. @returns its address */
  readonly listen: (server: Server) => Promise<string>
  readonly configuration: ConfigurationWatcher
  /** Maximum number of addresses in one answer to a caller. */
  readonly maxAddresses: number
  /** Whether this node accepts requests. */
  readonly isReady: () => boolean
  /** Current state of this node. */
  readonly report: () => LocalReport
  /** Called when new state of other nodes has been received. */
  readonly heard: () => void
  /** Called when another node has dispatched a long prompt. */
  readonly reading: (notice: PrefillNotice) => void
  /** Called when the node records have been read for the first time. */
  readonly onRecordsLoaded: () => void
  /** Called with an entry of the fleet prefix that is not a node record. */
  readonly onOtherEntry: (entry: KeyValueEntry) => void
  /** Called when a key of the fleet prefix that is not a node record has been deleted. */
  readonly onOtherKeyDeleted: (key: string) => void
}

/** Maximum number of connections to one peer. Two are enough since exchanges are short. */
const MAX_CONNECTIONS_PER_PEER = 2

/**
 * Mean time between two exchanges of an aggregator, and between two reports of a member. With one exchange per period and
 * aggregator, an update reaches nine other aggregators after about three rounds and sixteen after about four.
 */
const EXCHANGE_PERIOD: Milliseconds = 400

/**
 * Minimum prefill time of a prompt that is announced to all nodes at once in a fleet with members.
 *
 * Failure guarded against: about 3% of the prompts occupy an engine for 0.3 to 1.5 s, while the load sums that nodes
 * receive are 1 to 2 s old. Without a notice, nodes dispatch further requests to an engine that looks idle, and these
 * wait until the prefill has ended. With notices and 22 nodes, 4 of 507 answers start late instead of 11, and the 99th
 * percentile of the time to the first token falls from 1.7 to 1.1 s. 160 requests per second cause 5 notices per second.
 */
const MIN_ANNOUNCED_PREFILL: Milliseconds = 300

/** Time after its start at which a node stops waiting for its first contact: the store or its peers may be gone or cut off. */
const FIRST_CONTACT_TIMEOUT: Milliseconds = 1_000

/**
 * Starts the peer server, registers this node in the store, and starts exchanging states or reporting to an aggregator.
 *
 * @throws when the peer server cannot listen on its address
 * @example
 * const fleet = await joinFleet({ context, self, streamOrigins, listen, configuration, maxAddresses, isReady, report, heard, reading, onRecordsLoaded, onOtherEntry, onOtherKeyDeleted })
 */
export async function joinFleet (options: FleetOptions): Promise<Fleet> {
  const { context, configuration } = options
  const { clock, random, log, signal, storeUpdates } = context
  const peer = await options.listen(createPeerLinkServer({
    exchange: (message) => gossip.answers.exchange(message),
    report: (message) => gossip.answers.report(message),
    configuration: () => gossip.answers.configuration(),
    streamBegan: (message) => streamOrigins.answers.streamBegan(message),
    streamOrigin: (stream) => streamOrigins.answers.streamOrigin(stream),
    reading: (notice) => {
      options.reading(notice)
      gossip.forwardPrefillNotice(notice)
    }
  }))
  const self: NodeRecord = { ...options.self, peer }
  const wall = createSharedWallClock()
  const connections = createConnections(MAX_CONNECTIONS_PER_PEER)
  const link = createPeerLinks(connections, { sent: 0, received: 0 })
  const reachable = createReachablePeers(clock, log, signal)
  const records = startNodeRegistration(context, self, { onOtherEntry: options.onOtherEntry, onOtherKeyDeleted: options.onOtherKeyDeleted, onLoaded: onRecordsLoaded })
  const localState = (): NodeState => ({ ...self, ...options.report(), nodes: 1, sequence: Math.round(clock.now()) })
  const streamOrigins = createStreamOrigins({ ...options.streamOrigins, context, incarnation: self.incarnation, ownName: self.name, nodes: records.all, link, reachable })
  const gossip = createGossipExchange({
    incarnation: self.incarnation,
    wall,
    clock,
    random,
    log,
    signal,
    link,
    reachable,
    localState,
    ownAddress: peer,
    ownConfiguration: () => configuration.table()?.configuration.version ?? 0,
    addresses: () => aggregators(records.all()).map((record) => record.peer),
    configuration: configuration.text,
    offerConfiguration: configuration.offer,
    updatesFor: storeUpdates.updatesFor,
    heard
  })
  const reporter = createMemberReporter({ clock, signal, wall, storeUpdates, reachable, link, localState, fetchConfiguration: gossip.fetchConfiguration, heard })

  let currentAggregator: string | undefined
  let isFailing = false
  let endFirstContact: () => void = () => {}
  const firstContact = new Promise<void>((resolve) => { endFirstContact = resolve })
  const cancelFirstContact = clock.schedule(FIRST_CONTACT_TIMEOUT, () => endFirstContact())

  const aggregators = memoizeLatest((known: readonly NodeRecord[]) => pickAggregators(known))

  /** Includes this node's own record even where the store has rejected it or its lease has expired. */
  const isAggregatorAmong = memoizeLatest((known: readonly NodeRecord[]) => pickAggregators([...known.filter(({ name }) => name !== self.name), self]).some(({ name }) => name === self.name))

  function isSelectedAggregator (): boolean {
    return isAggregatorAmong(records.all())
  }

  function isMember (): boolean {
    return reporter.hasAggregator() && !isSelectedAggregator()
  }

  /** Reports to an aggregator. A node that reaches none exchanges states as an aggregator does, so that any peer that answers keeps it up to date. */
  async function reportOrExchange (): Promise<void> {
    const aggregator = isSelectedAggregator() ? undefined : await reporter.report(aggregatorOrderFor(self, aggregators(records.all())).map((record) => record.peer))
    logRoleChange(aggregator)
    if (aggregator === undefined) gossip.exchangeOnce()
  }

  /** Logs the role only when it changes. Every node starts as an aggregator, and small fleets consist of aggregators only. */
  function logRoleChange (aggregator: string | undefined): void {
    if (aggregator === currentAggregator || signal.aborted) return
    currentAggregator = aggregator
    log.info('exchange-role', { role: aggregator === undefined ? 'aggregator' : 'member', aggregator, nodes: records.all().length })
  }

  function heard (): void {
    options.heard()
    endFirstContact()
  }

  /** A node that starts learns what the others know before it sends requests, so it does not wait for its period. */
  function onRecordsLoaded (): void {
    options.onRecordsLoaded()
    if (records.all().every(({ name }) => name === self.name)) endFirstContact()
    else announce()
  }

  function announce (): void {
    tryExchange(async () => isMember() ? reportOrExchange() : gossip.exchangeUrgently())
  }

  /**
   * Failure guarded against: one exchange fails in a way that nobody thought of, and this node tells the others nothing more, or ends.
   * Of failures in a row the first one is logged.
   */
  async function tryExchange (exchange: () => Promise<void>): Promise<void> {
    try {
      await exchange()
      isFailing = false
    } catch (error) {
      if (!isFailing && !signal.aborted) log.error('exchange-failed-unexpectedly', { peer: currentAggregator ?? 'none', error: String(error) })
      isFailing = true
    }
  }

  async function runExchanges (): Promise<void> {
    await clock.sleep(EXCHANGE_PERIOD * random.fraction(), signal).catch(() => {})
    while (!signal.aborted) {
      await tryExchange(reportOrExchange)
      await clock.sleep(EXCHANGE_PERIOD * (0.75 + 0.5 * random.fraction()), signal).catch(() => {})
    }
  }

  runExchanges().catch((error) => log.error('gossip-ended', { error: String(error) }))

  /** States of the other aggregators and of the members that report to this node. */
  function directlyReceivedStates (): NodeState[] {
    const now = clock.now()
    return [...gossip.table.live(now), ...gossip.members.live(now)]
  }

  function others (): FleetReport[] {
    if (!isMember()) return directlyReceivedStates()
    const received = reporter.others()
    return received === undefined ? [] : [received]
  }

  function loads (): ReadonlyMap<string, InFlight> {
    if (!isMember()) return new Map(directlyReceivedStates().map((state) => [state.incarnation, state.inFlight]))
    const received = reporter.others()
    return new Map(received === undefined ? [] : [['others', received.inFlight]])
  }

  /** Includes registered nodes unless their state says that they are not ready, and unregistered nodes only if their state says that they are. */
  function otherReadyNodes (): Map<string, ReachableNode> {
    const states = new Map(directlyReceivedStates().map((state) => [state.name, state]))
    const known = new Map<string, ReachableNode>(records.all().filter(({ name }) => name !== self.name && states.get(name)?.ready !== false).map((record) => [record.name, record]))
    for (const { name, front, processor, ready } of states.values()) if (ready && name !== self.name) known.set(name, { name, front, processor })
    return known
  }

  function addresses (caller: string): readonly string[] {
    const known = otherReadyNodes()
    if (options.isReady()) known.set(self.name, self)
    return chooseAddresses(caller, [...known.values()], options.maxAddresses)
  }

  function nodeNames (): readonly string[] {
    if (!records.isLoaded()) return []
    return [...new Set([self, ...records.all(), ...directlyReceivedStates()].map(({ name }) => name))]
  }

  function knownNodeCount (): number {
    return Math.max(records.isLoaded() ? 1 : ASSUMED_NODES, records.all().length, others().reduce((sum, { nodes }) => sum + nodes, 1))
  }

  return {
    others,
    loads,
    // In a fleet with members the states of dead nodes are left out. The sums of a dead aggregator contain its members,
    // which report to another aggregator by then and would count twice.
    brokenRuns: () => (records.all().length > MAX_FULL_MESH_NODES ? others() : gossip.table.all()).map(({ crashes }) => crashes),
    crashEvidence: () => [...gossip.table.all(), ...gossip.members.all(), ...others()].map(({ crashCauses }) => crashCauses),
    announce,
    firstContact: () => firstContact,
    usage: (window) => usageByIncarnation([...gossip.table.all(), ...gossip.members.all()], window),
    memberUsage: (window) => usageByIncarnation(gossip.members.all(), window),
    maxSilence: () => gossip.table.maxSilence(clock.now()),
    maxNodeCount: () => Math.max(knownNodeCount(), records.all().length + records.departedCount()),
    knownNodeCount,
    nodeNames,
    isMember,
    hasOtherReadyNode: () => otherReadyNodes().size > 0,
    addresses,
    relayNodes: () => records.all().filter(({ name }) => name !== self.name),
    wall: () => wall.at(clock.wall(), clock.now()),
    announcePrefill: (upstream, prefill) => {
      if (records.all().length > MAX_FULL_MESH_NODES && prefill < MIN_ANNOUNCED_PREFILL) return
      gossip.announcePrefill(upstream, prefill, isMember() ? currentAggregator : undefined)
    },
    streamOrigins,
    withdraw: async () => {
      if (!isMember()) gossip.exchangeUrgently()
      await records.withdraw()
    },
    close: () => {
      cancelFirstContact()
      endFirstContact()
      streamOrigins.close()
      return connections.destroy()
    }
  }
}

function usageByIncarnation (states: readonly NodeState[], window: number): ReadonlyMap<string, UsageCounts> {
  return new Map(states.map((state) => [state.incarnation, state.usage[String(window)] ?? {}]))
}

/**
 * Keeps the latest result of a function of an immutable value. The role of a node is asked for by each log line of a
 * request, and ranking hundreds of records takes longer than the rest of the line.
 */
function memoizeLatest<Value, Result> (compute: (value: Value) => Result): (value: Value) => Result {
  let latest: { readonly value: Value, readonly result: Result } | undefined
  return (value) => {
    if (latest?.value !== value) latest = { value, result: compute(value) }
    return latest.result
  }
}
