/** Push-pull gossip of node states between aggregators, and answers to the reports of members. */
import { createTimeoutSignal, startCallTimeout } from '../timeout-signal.js'
import type { Clock, Milliseconds } from '../clock.js'
import { withoutSingleParts } from '../crash-causes/index.js'
import { createGossipTable, gossipMessageSchema, mergeReports } from '../gossip/index.js'
import type { AggregatorAnswer, FleetReport, GossipMessage, GossipTable, MemberMessage, StoreUpdate, NodeState, SharedWallClock } from '../gossip/index.js'
import type { EventLog } from '../events/index.js'
import type { UpstreamIncarnation } from '../placement/index.js'
import type { Random } from '../random.js'
import { pack, unpack } from './packing.js'
import type { PeerHandlers, PeerLink, PrefillNotice } from './peer-link.js'
import type { ReachablePeers } from './reachable-peers.js'

/** Dependencies of {@link createGossipExchange}. */
export interface GossipExchangeOptions {
  readonly incarnation: string
  /** Receives the wall-clock times that messages carry. */
  readonly wall: SharedWallClock
  readonly clock: Clock
  readonly random: Random
  readonly log: EventLog
  readonly signal: AbortSignal
  /** Returns the client for a peer's address. */
  readonly link: (address: string) => PeerLink
  readonly reachable: ReachablePeers
  /** Current state of this node, without its members. The exchange sets the sequence. */
  readonly localState: () => NodeState
  /** This node's peer address, which is left out when peers are picked. */
  readonly ownAddress: string
  /** Version of the configuration in force at this node; 0 for none. */
  readonly ownConfiguration: () => number
  /** Peer addresses of the aggregators, according to the node records. */
  readonly addresses: () => readonly string[]
  /** Text of the configuration in force. */
  readonly configuration: () => string | undefined
  /** Called with the text of a peer's newer configuration and the peer's address. */
  readonly offerConfiguration: (text: string, source: string) => void
  /** Store updates that a member lacks, given the revisions that it has. */
  readonly updatesFor: (known: Readonly<Record<string, number>>) => StoreUpdate[]
  /** Called after each exchange that brought a new state. */
  readonly heard: () => void
}

/** Keeps the states of the other aggregators and of this node's members up to date. */
export interface GossipExchange {
  /** States of the other aggregators. */
  readonly table: GossipTable
  /** States of the members that report to this node. */
  readonly members: GossipTable
  /** Handlers for the requests of other nodes. */
  readonly answers: Pick<PeerHandlers, 'exchange' | 'report' | 'configuration'>
  /** Starts one exchange with each of a few random aggregators, if there are any. */
  exchangeOnce (): void
  /** Fetches the configuration of a peer if its version is higher than the version in force here. */
  fetchConfiguration (address: string, peerVersion: number, signal: AbortSignal): Promise<void>
  /** Notifies other nodes at once of a dispatched prompt and its prefill time: through the aggregator if one is given, else directly. */
  announcePrefill (upstream: UpstreamIncarnation, prefill: Milliseconds, aggregator: string | undefined): void
  /** Forwards a notice of another node to the nodes that `passTo` names. */
  forwardPrefillNotice (notice: PrefillNotice): void
  /** Exchanges states with some peers at once, for a change that cannot wait for the next period. */
  exchangeUrgently (): void
}

/** Timeout of one exchange. A connection without an answer is closed then, and the next exchange opens a new one. */
export const EXCHANGE_TIMEOUT: Milliseconds = 800

/**
 * Number of peers per period for an aggregator with members. Two peers make up for the delay that the report on either side
 * adds to the age of what members receive.
 */
const AGGREGATOR_FANOUT = 2

/** Number of peers that receive an urgent change at once. */
const URGENT_FANOUT = 3

/** Number of peers that receive a prefill notice from a node that has no aggregator and no members. */
const PREFILL_NOTICE_FANOUT = 8

/** Timeout of a prefill notice. A later notice would be of no use. */
const PREFILL_NOTICE_TIMEOUT: Milliseconds = 300

/** Time for which the sums of the aggregators are reused for answers to members. Each member sends about 2.5 reports per second. */
const SUMS_CACHE_TIME: Milliseconds = 100

/**
 * Creates the gossip exchange of one node.
 *
 * @example
 * const gossip = createGossipExchange({ incarnation, wall, clock, random, log, signal, link, reachable, localState, ownAddress, ownConfiguration, addresses, configuration, offerConfiguration, updatesFor, heard })
 */
export function createGossipExchange (options: GossipExchangeOptions): GossipExchange {
  const { incarnation, wall, clock, random, log, signal, link, reachable } = options
  const table = createGossipTable(incarnation)
  const members = createGossipTable(incarnation)
  const incarnations = new Map<string, string>()
  let sequence = 0
  let sums: { readonly report: FleetReport | undefined, readonly at: Milliseconds } | undefined

  function publish (): void {
    sequence += 1
    const own = options.localState()
    table.publish({ ...own, ...mergeReports([own, ...members.live(clock.now())]), incarnation, sequence })
  }

  function messageFor (peer: string | undefined): GossipMessage {
    return { from: incarnation, wall: clock.wall(), versions: table.versions(), ...table.missing(peer, clock.now()) }
  }

  function applyMessage (message: GossipMessage): void {
    const now = clock.now()
    wall.observe(message.from, message.wall, now)
    if (table.receive(message, now).length > 0) options.heard()
  }

  async function exchangeWith (address: string): Promise<void> {
    const timeout = startCallTimeout(EXCHANGE_TIMEOUT, signal)
    try {
      const reply = unpack(gossipMessageSchema, await link(address).exchange.mutate(pack(messageFor(incarnations.get(address))), { signal: timeout.signal }))
      incarnations.set(address, reply.from)
      applyMessage(reply)
      reachable.regained(address)
      await fetchConfiguration(address, configurationOf(reply), timeout.signal)
    } catch (error) {
      incarnations.delete(address)
      reachable.lost(address, error)
    } finally {
      timeout.end()
    }
  }

  /** Brings new versions to a node that cannot read the store. */
  async function fetchConfiguration (address: string, peerVersion: number, timeoutSignal: AbortSignal): Promise<void> {
    if (peerVersion <= options.ownConfiguration()) return
    const { text } = await link(address).configuration.query(undefined, { signal: timeoutSignal })
    if (text !== null) options.offerConfiguration(text, address)
  }

  /** Skips unreachable peers, where a notice would only wait for its timeout. The exchanges keep retrying these peers. */
  function sendNotice (addresses: readonly string[], notice: PrefillNotice): void {
    for (const address of addresses) {
      if (!reachable.isUnreachable(address)) link(address).reading.mutate(notice, { signal: createTimeoutSignal(PREFILL_NOTICE_TIMEOUT) }).catch((error) => reachable.lost(address, error))
    }
  }

  function forwardPrefillNotice (notice: PrefillNotice): void {
    if (notice.passTo === 'nobody') return
    if (notice.passTo === 'all') sendNotice(options.addresses().filter((address) => address !== options.ownAddress), { ...notice, passTo: 'members' })
    const ownMembers = members.live(clock.now()).filter((state) => state.incarnation !== notice.from)
    sendNotice(ownMembers.map(({ peer }) => peer), { ...notice, passTo: 'nobody' })
  }

  function pickPeers (count: number): string[] {
    const known = new Set([...options.addresses(), ...table.live(clock.now()).map((state) => state.peer)])
    known.delete(options.ownAddress)
    const remaining = [...known]
    const picked: string[] = []
    while (picked.length < count && remaining.length > 0) picked.push(...remaining.splice(random.integer(remaining.length), 1))
    return picked
  }

  function startExchange (address: string): void {
    exchangeWith(address).catch((error) => log.error('exchange-failed-unexpectedly', { peer: address, error: String(error) }))
  }

  /** Sums of this node and of the other aggregators with their members, without this node's members. */
  function sumsWithoutMembers (now: Milliseconds): FleetReport | undefined {
    if (sums === undefined || now - sums.at > SUMS_CACHE_TIME) sums = { report: mergeReports([options.localState(), ...table.live(now)]), at: now }
    return sums.report
  }

  function answerMember ({ state, wall: memberWall, known }: MemberMessage): AggregatorAnswer {
    const now = clock.now()
    members.receive({ from: state.incarnation, versions: {}, states: [state], ages: {} }, now)
    wall.observe(state.incarnation, memberWall, now)
    const otherMembers = members.live(now).filter(({ incarnation: other }) => other !== state.incarnation)
    const aggregatorSums = sumsWithoutMembers(now)
    const others = mergeReports(aggregatorSums === undefined ? otherMembers : [aggregatorSums, ...otherMembers])
    return {
      from: incarnation,
      wall: wall.at(clock.wall(), now),
      others: others && { ...others, crashCauses: withoutSingleParts(others.crashCauses) },
      news: options.updatesFor(known)
    }
  }

  return {
    table,
    members,
    answers: {
      exchange: (message) => {
        applyMessage(message)
        const sender = message.states.find((state) => state.incarnation === message.from)
        if (sender !== undefined) {
          reachable.regained(sender.peer)
          fetchConfiguration(sender.peer, sender.configuration, createTimeoutSignal(EXCHANGE_TIMEOUT, signal)).catch((error) => reachable.lost(sender.peer, error))
        }
        return messageFor(message.from)
      },
      report: answerMember,
      configuration: options.configuration
    },
    exchangeOnce: () => {
      publish()
      for (const address of pickPeers(members.live(clock.now()).length > 0 ? AGGREGATOR_FANOUT : 1)) startExchange(address)
    },
    fetchConfiguration,
    announcePrefill: (upstream, prefill, aggregator) => {
      const notice = { from: incarnation, upstream, reading: Math.round(prefill) }
      if (aggregator !== undefined) return sendNotice([aggregator], { ...notice, passTo: 'all' })
      const hasMembers = members.live(clock.now()).length > 0
      if (!hasMembers) return sendNotice(pickPeers(PREFILL_NOTICE_FANOUT), { ...notice, passTo: 'nobody' })
      forwardPrefillNotice({ ...notice, passTo: 'all' })
    },
    forwardPrefillNotice,
    exchangeUrgently: () => {
      publish()
      for (const address of pickPeers(URGENT_FANOUT)) startExchange(address)
    }
  }
}

function configurationOf (message: GossipMessage): number {
  return message.states.find((state) => state.incarnation === message.from)?.configuration ?? 0
}
