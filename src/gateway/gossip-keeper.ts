/** Exchanges states with other nodes: a few at a time, each a push and a pull. */
import { boundSignal } from '../bound-signal.js'
import type { Clock, Milliseconds } from '../clock.js'
import { createGossipTable } from '../gossip/index.js'
import type { GossipMessage, GossipTable, NodeState, SharedWall } from '../gossip/index.js'
import type { EventLog } from '../events/index.js'
import type { UpstreamLife } from '../placement/index.js'
import type { Random } from '../random.js'
import { packMessage, unpackMessage } from './packing.js'
import type { PeerAnswers, PeerLink } from './peer-link.js'

/** What the keeper needs. */
export interface GossipOptions {
  readonly incarnation: string
  /** Learns from the wall times of messages. */
  readonly wall: SharedWall
  readonly clock: Clock
  readonly random: Random
  readonly log: EventLog
  readonly signal: AbortSignal
  readonly link: (address: string) => PeerLink
  /** This node's state now; its sequence is set here. */
  readonly describe: () => NodeState
  /** This node's address for other nodes, which it doesn't exchange with. */
  readonly ownAddress: string
  /** Version of the configuration in force here; 0 for none. */
  readonly ownConfiguration: () => number
  /** Peer addresses that the store knows. */
  readonly addresses: () => readonly string[]
  /** Text of the configuration in force. */
  readonly configuration: () => string | undefined
  /** Takes a configuration that a peer has. */
  readonly offerConfiguration: (text: string, source: string) => void
  /** Called after each exchange that brought news. */
  readonly heard: () => void
}

/** States of the other nodes, kept up to date. */
export interface GossipKeeper {
  readonly table: GossipTable
  readonly answers: Pick<PeerAnswers, 'exchange' | 'configuration'>
  /** Tells peers at once that a long prompt was sent. */
  tellReading (upstream: UpstreamLife, reading: Milliseconds): void
  /** Tells some peers at once, at a change that can't wait. */
  spread (): void
}

/**
 * With one exchange of each node in this time, what one node says has reached 64 others after about six
 * rounds, and nine after three.
 */
const PERIOD: Milliseconds = 400

/** Bound on one exchange; a silent connection is closed then and the next exchange opens a new one. */
const EXCHANGE_TIMEOUT: Milliseconds = 800

/** Peers that are told at once of a change that can't wait. */
const SPREAD = 3

/** Peers that are told of a long prompt; with more nodes the others hear of it by the exchanges. */
const READING_SPREAD = 8

/** Bound on such a note: later it is of no use. */
const NOTE_TIMEOUT: Milliseconds = 300

/** Characters of an error's text in a line of the log. */
const ERROR_LENGTH = 200

/**
 * @example
 * const gossip = keepGossip({ incarnation, wall, clock, random, log, signal, link, describe, addresses, configuration, offerConfiguration, heard })
 */
export function keepGossip (options: GossipOptions): GossipKeeper {
  const { incarnation, wall, clock, random, log, signal, link } = options
  const table = createGossipTable(incarnation)
  const incarnations = new Map<string, string>()
  const unreachable = new Set<string>()
  let sequence = 0

  function publish (): void {
    sequence += 1
    table.publish({ ...options.describe(), incarnation, sequence })
  }

  function messageFor (peer: string | undefined): GossipMessage {
    return { from: incarnation, wall: clock.wall(), versions: table.versions(), ...table.missing(peer, clock.now()) }
  }

  function take (message: GossipMessage): void {
    const now = clock.now()
    wall.observe(message.from, message.wall, now)
    if (table.take(message, now).length > 0) options.heard()
  }

  async function exchangeWith (address: string): Promise<void> {
    const bound = boundSignal(EXCHANGE_TIMEOUT, signal)
    try {
      const reply = unpackMessage(await link(address).exchange.mutate(packMessage(messageFor(incarnations.get(address))), { signal: bound }))
      incarnations.set(address, reply.from)
      take(reply)
      regained(address)
      await fetchNewerConfiguration(address, reply, bound)
    } catch (error) {
      incarnations.delete(address)
      lost(address, error)
    }
  }

  /** One line for each peer until it answers again. */
  function lost (address: string, error: unknown): void {
    if (signal.aborted || unreachable.has(address)) return
    unreachable.add(address)
    log.info('peer-lost', { peer: address, error: String(error).slice(0, ERROR_LENGTH) })
  }

  function regained (address: string): void {
    if (unreachable.delete(address)) log.info('peer-regained', { peer: address })
  }

  /** A node that the store turns away learns of new versions here. */
  async function fetchNewerConfiguration (address: string, reply: GossipMessage, bound: AbortSignal): Promise<void> {
    const theirs = reply.states.find((state) => state.incarnation === reply.from)?.configuration ?? 0
    if (theirs <= options.ownConfiguration()) return
    const { text } = await link(address).configuration.query(undefined, { signal: bound })
    if (text !== null) options.offerConfiguration(text, address)
  }

  function pickPeers (count: number): string[] {
    const known = new Set([...options.addresses(), ...table.live(clock.now()).map((state) => state.peer)])
    known.delete(options.ownAddress)
    const left = [...known]
    const picked: string[] = []
    while (picked.length < count && left.length > 0) picked.push(...left.splice(random.integer(left.length), 1))
    return picked
  }

  function exchange (address: string): void {
    exchangeWith(address).catch((error) => log.error('exchange-failed-unexpectedly', { peer: address, error: String(error) }))
  }

  async function run (): Promise<void> {
    await clock.sleep(PERIOD * random.fraction(), signal).catch(() => {})
    while (!signal.aborted) {
      publish()
      for (const address of pickPeers(1)) exchange(address)
      await clock.sleep(PERIOD * (0.75 + 0.5 * random.fraction()), signal).catch(() => {})
    }
  }

  run().catch((error) => log.error('gossip-ended', { error: String(error) }))

  return {
    table,
    answers: {
      exchange: (message) => {
        take(message)
        const sender = message.states.find((state) => state.incarnation === message.from)
        if (sender !== undefined) {
          regained(sender.peer)
          fetchNewerConfiguration(sender.peer, message, boundSignal(EXCHANGE_TIMEOUT, signal)).catch((error) => lost(sender.peer, error))
        }
        return messageFor(message.from)
      },
      configuration: options.configuration
    },
    tellReading: (upstream, reading) => {
      const note = { from: incarnation, upstream, reading: Math.round(reading) }
      // The exchanges go on asking a peer that is lost; a note to it would only wait.
      for (const address of pickPeers(READING_SPREAD)) {
        if (!unreachable.has(address)) link(address).reading.mutate(note, { signal: boundSignal(NOTE_TIMEOUT) }).catch((error) => lost(address, error))
      }
    },
    spread: () => {
      publish()
      for (const address of pickPeers(SPREAD)) exchange(address)
    }
  }
}
