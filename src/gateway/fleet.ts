/** The nodes of the system as one node knows them: registered in the store, and heard of by gossip. */
import type { Server } from 'node:http'
import type { Milliseconds } from '../clock.js'
import { createSharedWall } from '../gossip/index.js'
import type { NodeState } from '../gossip/index.js'
import type { UpstreamLife } from '../placement/index.js'
import { createConnections } from '../protocols/http.js'
import { UNKNOWN_NODES } from '../quota/index.js'
import type { ConfigurationKeeper } from './configuration-keeper.js'
import type { FollowContext } from './follow.js'
import { keepGossip } from './gossip-keeper.js'
import { keepNodeRecords } from './node-records.js'
import type { NodeRecord } from './node-records.js'
import { createPeerLinks, createPeerLinkServer } from './peer-link.js'
import type { ReadingNote } from './peer-link.js'

/** What a node tells of itself, beside its record. */
export type OwnReport = Omit<NodeState, keyof NodeRecord | 'sequence'>

/** The other nodes. */
export interface Fleet {
  /** Nodes that were heard of within seconds. */
  live (): NodeState[]
  /** Since the live node that was silent for the longest time was heard of; undefined when there is no other. */
  oldest (): Milliseconds | undefined
  /** All that is remembered, nodes that have died lately included. */
  remembered (): NodeState[]
  /** Nodes that may serve, as many as any source knows of: a share that is too small breaks no bound. */
  size (): number
  /** Addresses of the nodes that take requests. */
  addresses (): readonly string[]
  /** Wall time that the nodes agree on. */
  wall (): Milliseconds
  tellReading (upstream: UpstreamLife, reading: Milliseconds): void
  /** Leaves the records and tells some nodes at once. */
  withdraw (): Promise<void>
  close (): Promise<void>
}

/** What the fleet needs. */
export interface FleetOptions {
  readonly context: FollowContext
  /** This node's record but for the address for other nodes, which is known once it listens. */
  readonly self: Omit<NodeRecord, 'peer'>
  /** Listens with the server that other nodes ask. @returns its address */
  readonly listen: (server: Server) => Promise<string>
  readonly configuration: ConfigurationKeeper
  /** This node takes requests. */
  readonly isReady: () => boolean
  /** What this node tells now. */
  readonly report: () => OwnReport
  /** Other nodes have told something new. */
  readonly heard: (live: readonly NodeState[]) => void
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
 * Listens for other nodes, registers this one and begins to exchange states.
 *
 * @throws when the address for other nodes can't be listened on
 * @example
 * const fleet = await joinFleet({ context, self, listen, configuration, report, heard, reading, otherGone })
 */
export async function joinFleet (options: FleetOptions): Promise<Fleet> {
  const { context, configuration, report } = options
  const { clock, random, log, signal } = context
  const peer = await options.listen(createPeerLinkServer({
    exchange: (message) => gossip.answers.exchange(message),
    configuration: () => gossip.answers.configuration(),
    reading: options.reading
  }))
  const self: NodeRecord = { ...options.self, peer }
  const sharedWall = createSharedWall()
  const connections = createConnections(PEER_CONNECTIONS)
  const records = keepNodeRecords(context, self, { otherGone: options.otherGone, listed: options.listed })
  const gossip = keepGossip({
    incarnation: self.incarnation,
    wall: sharedWall,
    clock,
    random,
    log,
    signal,
    link: createPeerLinks(connections, { sent: 0, received: 0 }),
    describe: () => ({ ...self, ...report(), sequence: 0 }),
    ownAddress: peer,
    ownConfiguration: () => configuration.table()?.configuration.version ?? 0,
    addresses: () => records.all().map((record) => record.peer),
    configuration: configuration.text,
    offerConfiguration: configuration.offer,
    heard: () => options.heard(live())
  })

  function live (): NodeState[] {
    return gossip.table.live(clock.now())
  }

  /** Registered nodes count until they say that they aren't ready; those that only gossip knows must say that they are. */
  function addresses (): readonly string[] {
    const states = new Map(live().map((state) => [state.name, state]))
    const others = records.all().filter(({ name }) => name !== self.name && states.get(name)?.ready !== false).map((record) => record.front)
    const known = new Set(others)
    for (const state of states.values()) if (state.ready) known.add(state.front)
    if (options.isReady()) known.add(self.front)
    return [...known]
  }

  return {
    live,
    oldest: () => gossip.table.oldest(clock.now()),
    remembered: gossip.table.all,
    size: () => Math.max(records.isListed() ? 1 : UNKNOWN_NODES, records.all().length, live().length + 1),
    addresses,
    wall: () => sharedWall.at(clock.wall(), clock.now()),
    tellReading: gossip.tellReading,
    withdraw: async () => {
      gossip.spread()
      await records.withdraw()
    },
    close: () => connections.destroy()
  }
}
