/** The other nodes: their records, what they tell, and which of them this one talks to. */
import type { Server } from 'node:http'
import type { Milliseconds } from '../clock.js'
import { chooseAddresses, createSharedWall, EQUALS, orderFor, pickAggregators } from '../gossip/index.js'
import type { FleetReport, NodeState, Reachable } from '../gossip/index.js'
import type { InFlight, UpstreamLife } from '../placement/index.js'
import { createConnections } from '../protocols/http.js'
import type { BrokenRuns } from '../quarantine/index.js'
import { UNKNOWN_NODES } from '../quota/index.js'
import type { UsageCounts } from '../usage/index.js'
import type { ConfigurationKeeper } from './configuration-keeper.js'
import type { FollowContext } from './follow.js'
import { keepGossip } from './gossip-keeper.js'
import { keepNodeRecords } from './node-records.js'
import type { NodeRecord } from './node-records.js'
import { createPeerLinks, createPeerLinkServer } from './peer-link.js'
import type { ReadingNote } from './peer-link.js'
import { createReachablePeers } from './reachable-peers.js'
import type { Relay } from './relay.js'
import { createReporting } from './reporting.js'

/** What a node tells of itself, beside its record. */
export type OwnReport = Omit<NodeState, keyof NodeRecord | 'sequence' | 'nodes'>

/** The other nodes. */
export interface Fleet {
  /** What the other nodes tell that were heard of within seconds, each report of one or more of them. */
  others (): FleetReport[]
  /** Requests in flight of the other live nodes, by who tells of them. */
  loads (): ReadonlyMap<string, InFlight>
  /** Broken runs that other nodes tell, dead ones included while they are remembered. */
  brokenRuns (): readonly BrokenRuns[]
  /** Counts of a window by incarnation, of the nodes that told this one themselves, dead ones included while they are remembered. */
  usage (window: number): ReadonlyMap<string, UsageCounts>
  /** The same of the nodes that report to this one. */
  memberUsage (window: number): ReadonlyMap<string, UsageCounts>
  /** Since the live node that was silent for the longest time was heard of; undefined when there is no other. */
  oldest (): Milliseconds | undefined
  /** Nodes that may serve, as many as any source knows of, and those that were there lately: a share that is too small breaks no bound. */
  size (): number
  /** Nodes that are registered or heard of now. */
  present (): number
  /** Names of the nodes that may serve, this one included; none before the records were read. */
  names (): readonly string[]
  /** Another node reads the store and hears of the others for this one. */
  isMember (): boolean
  /** Addresses of nodes that take requests, as one caller gets them. */
  addresses (caller: string): readonly string[]
  /** Wall time that the nodes agree on. */
  wall (): Milliseconds
  tellReading (upstream: UpstreamLife, reading: Milliseconds): void
  /** Leaves the records and tells some nodes at once. */
  withdraw (): Promise<void>
  close (): Promise<void>
}

/** What the fleet needs. */
export interface FleetOptions {
  readonly context: FollowContext & { readonly relay: Relay }
  /** This node's record but for the address for other nodes, which is known once it listens. */
  readonly self: Omit<NodeRecord, 'peer'>
  /** Listens with the server that other nodes ask. @returns its address */
  readonly listen: (server: Server) => Promise<string>
  readonly configuration: ConfigurationKeeper
  /** Addresses that a caller takes from one answer. */
  readonly mostAddresses: number
  /** This node takes requests. */
  readonly isReady: () => boolean
  /** What this node tells now. */
  readonly report: () => OwnReport
  /** Other nodes have told something new. */
  readonly heard: () => void
  /** Another node has sent a long prompt. */
  readonly reading: (note: ReadingNote) => void
  /** The nodes' records have been read for the first time. */
  readonly listed: () => void
  /** A key beside the nodes' records has vanished. */
  readonly otherGone: (key: string) => void
}

/** Connections to one other node: exchanges are short. */
const PEER_CONNECTIONS = 2

/**
 * With one exchange of each aggregator in this time, what one says has reached sixteen others after about four rounds,
 * and nine after three. Members report as often.
 */
const PERIOD: Milliseconds = 400

/**
 * Reading of a prompt from which on all nodes of a fleet with aggregators are told at once.
 *
 * Load pattern answered: three prompts in a hundred keep an engine for 0.3 to 1.5 s, and the sums that nodes hear are one to
 * two seconds old; requests went to engines that looked idle and waited behind such a prompt for as long as it took. With
 * 22 nodes four of 507 plans begin late in place of eleven, the slowest in a hundred after 1.1 s in place of 1.7; five
 * notes a second at 160 requests.
 */
const LONG_READING: Milliseconds = 300

/**
 * Listens for other nodes, registers this one and begins to exchange states or to report.
 *
 * @throws when the address for other nodes can't be listened on
 * @example
 * const fleet = await joinFleet({ context, self, listen, configuration, mostAddresses, isReady, report, heard, reading, listed, otherGone })
 */
export async function joinFleet (options: FleetOptions): Promise<Fleet> {
  const { context, configuration } = options
  const { clock, random, log, signal, relay } = context
  const peer = await options.listen(createPeerLinkServer({
    exchange: (message) => gossip.answers.exchange(message),
    report: (message) => gossip.answers.report(message),
    configuration: () => gossip.answers.configuration(),
    reading: (note) => {
      options.reading(note)
      gossip.passReading(note)
    }
  }))
  const self: NodeRecord = { ...options.self, peer }
  const wall = createSharedWall()
  const connections = createConnections(PEER_CONNECTIONS)
  const link = createPeerLinks(connections, { sent: 0, received: 0 })
  const reachable = createReachablePeers(clock, log, signal)
  const records = keepNodeRecords(context, self, { otherGone: options.otherGone, listed: options.listed })
  const describe = (): NodeState => ({ ...self, ...options.report(), nodes: 1, sequence: Math.round(clock.now()) })
  const gossip = keepGossip({
    incarnation: self.incarnation,
    wall,
    clock,
    random,
    log,
    signal,
    link,
    reachable,
    describe,
    ownAddress: peer,
    ownConfiguration: () => configuration.table()?.configuration.version ?? 0,
    addresses: () => aggregators().map((record) => record.peer),
    configuration: configuration.text,
    offerConfiguration: configuration.offer,
    newsFor: relay.newsFor,
    heard: options.heard
  })
  const reporting = createReporting({ clock, signal, wall, relay, reachable, link, describe, fetchConfiguration: gossip.fetchConfiguration, heard: options.heard })

  let reportsTo: string | undefined

  function aggregators (): NodeRecord[] {
    return pickAggregators(records.all())
  }

  /** A node that the store turns away counts itself in, though its record has lapsed there. */
  function isAppointed (): boolean {
    return pickAggregators([...records.all().filter(({ name }) => name !== self.name), self]).some(({ name }) => name === self.name)
  }

  function isMember (): boolean {
    return reporting.isAttached() && !isAppointed()
  }

  /** A node that finds no aggregator does what one does, so that it hears of the others by whoever answers. */
  async function takeTurn (): Promise<void> {
    const answered = isAppointed() ? undefined : await reporting.report(orderFor(self, aggregators()).map((record) => record.peer))
    tellRole(answered)
    if (answered === undefined) gossip.exchangeOnce()
  }

  /** A node begins as an aggregator; where all are, there is nothing to tell. */
  function tellRole (aggregator: string | undefined): void {
    if (aggregator === reportsTo || signal.aborted) return
    reportsTo = aggregator
    log.info('exchange-role', { role: aggregator === undefined ? 'aggregator' : 'member', aggregator, nodes: records.all().length })
  }

  async function run (): Promise<void> {
    await clock.sleep(PERIOD * random.fraction(), signal).catch(() => {})
    while (!signal.aborted) {
      await takeTurn()
      await clock.sleep(PERIOD * (0.75 + 0.5 * random.fraction()), signal).catch(() => {})
    }
  }

  run().catch((error) => log.error('gossip-ended', { error: String(error) }))

  /** The other aggregators, and the nodes that report here. */
  function heardDirectly (): NodeState[] {
    const now = clock.now()
    return [...gossip.table.live(now), ...gossip.members.live(now)]
  }

  function others (): FleetReport[] {
    if (!isMember()) return heardDirectly()
    const told = reporting.others()
    return told === undefined ? [] : [told]
  }

  function loads (): ReadonlyMap<string, InFlight> {
    if (!isMember()) return new Map(heardDirectly().map((state) => [state.incarnation, state.inFlight]))
    const told = reporting.others()
    return new Map(told === undefined ? [] : [['others', told.inFlight]])
  }

  /** Registered nodes count until they say that they aren't ready; those that were only heard of must say that they are. */
  function addresses (caller: string): readonly string[] {
    const states = new Map(heardDirectly().map((state) => [state.name, state]))
    const known = new Map<string, Reachable>(records.all().filter(({ name }) => name !== self.name && states.get(name)?.ready !== false).map((record) => [record.name, record]))
    for (const { name, front, processor, ready } of states.values()) if (ready) known.set(name, { name, front, processor })
    if (options.isReady()) known.set(self.name, self)
    return chooseAddresses(caller, [...known.values()], options.mostAddresses)
  }

  function names (): readonly string[] {
    if (!records.isListed()) return []
    return [...new Set([self, ...records.all(), ...heardDirectly()].map(({ name }) => name))]
  }

  function present (): number {
    return Math.max(records.isListed() ? 1 : UNKNOWN_NODES, records.all().length, others().reduce((sum, { nodes }) => sum + nodes, 1))
  }

  return {
    others,
    loads,
    // With members, what a dead aggregator told would count beside what its members tell another one.
    brokenRuns: () => (records.all().length > EQUALS ? others() : gossip.table.all()).map(({ crashes }) => crashes),
    usage: (window) => usageOf([...gossip.table.all(), ...gossip.members.all()], window),
    memberUsage: (window) => usageOf(gossip.members.all(), window),
    oldest: () => gossip.table.oldest(clock.now()),
    size: () => Math.max(present(), records.all().length + records.departed()),
    present,
    names,
    isMember,
    addresses,
    wall: () => wall.at(clock.wall(), clock.now()),
    tellReading: (upstream, reading) => {
      if (records.all().length > EQUALS && reading < LONG_READING) return
      gossip.tellReading(upstream, reading, isMember() ? reportsTo : undefined)
    },
    withdraw: async () => {
      if (!isMember()) gossip.spread()
      await records.withdraw()
    },
    close: () => connections.destroy()
  }
}

function usageOf (states: readonly NodeState[], window: number): ReadonlyMap<string, UsageCounts> {
  return new Map(states.map((state) => [state.incarnation, state.usage[String(window)] ?? {}]))
}
