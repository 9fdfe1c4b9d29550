/**
 * Periodic exchange of messages with a random peer.
 *
 * The message and its answer carry configuration revisions, membership changes and suspicions. A peer is suspected if
 * exchanges with it fail.
 */
import type { Clock, Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Address, Incarnation } from '../identifiers.js'
import type { MembershipView, NodeRecord, Suspicions } from '../membership/index.js'
import type { AgreementHandlers, AgreementMessage, DeliveryTarget } from '../peer/agreement.js'
import type { Random } from '../random.js'
import type { AgreementPeers } from './agreement-peers.js'
import type { ConfigurationWatcher } from './configuration-watcher.js'

/** Options of {@link createPeerExchange}. */
export interface PeerExchangeOptions {
  /** Present record of this node. */
  readonly own: () => NodeRecord
  /** Whether messages must contain the record of this node because the key-value service may not have stored it. */
  readonly unregistered: () => boolean
  readonly view: MembershipView
  /** Called if a peer that has received the same changes has a different view. */
  readonly onDisagreement: () => void
  readonly suspicions: Suspicions
  readonly configuration: Pick<ConfigurationWatcher, 'current' | 'revision' | 'offer' | 'heard'>
  readonly peers: AgreementPeers
  readonly clock: Clock
  readonly random: Random
  readonly signal: AbortSignal
}

/** Exchange of messages with peers. */
export interface PeerExchange {
  /** Exchanges messages periodically until the signal is aborted. */
  run (): Promise<void>
  /** Starts exchanges with several peers at once, to distribute updates. */
  notifyPeers (): void
  /** Exchanges messages with a peer that may not be in the view. Rejects if the peer does not answer. */
  contact (address: Address): Promise<void>
  /** Handlers of the calls from peers. */
  readonly handlers: Pick<AgreementHandlers, 'exchange' | 'probe'>
  /** Time of the last message from a peer. Undefined before the first. */
  lastContactAt (): Milliseconds | undefined
}

/**
 * Maximum pause between two exchanges that a node starts. Its peers start about as many exchanges with the node, so a node
 * receives about one message per second.
 */
export const EXCHANGE_INTERVAL: Milliseconds = 2 * SECOND

/** Fraction by which the pause is shortened at random, so that nodes do not start their exchanges at the same time. */
const JITTER_FRACTION = 0.3

/** Maximum number of exchanges that wait for an answer at the same time. A slow peer must not delay the next exchange. */
const MAX_OUTSTANDING = 4

/** Number of peers that are notified at once of an update. */
const UPDATE_FAN_OUT = 3

/** Number of other peers that are asked to probe a peer before it is suspected. */
const PROBE_HELPERS = 2

/** One in this many exchanges goes to a peer that is down, to detect that it is reachable again. */
const EXCHANGES_PER_DOWN_PEER = 8

/**
 * Maximum number of membership changes in one message. At 250 bytes each, the changes of 74 nodes that fail at once take
 * two messages.
 */
const MAX_CHANGES_PER_MESSAGE = 48

/**
 * Creates the exchange with peers.
 *
 * @example
 * const exchange = createPeerExchange(options)
 * exchange.run()
 */
export function createPeerExchange (options: PeerExchangeOptions): PeerExchange {
  const { view, suspicions, configuration, peers, clock, random, signal } = options
  const pendingPulls = new Set<Incarnation>()
  let outstanding = 0
  let exchangeCount = 0
  let lastContact: Milliseconds | undefined

  function createMessage (receiver: Incarnation): AgreementMessage {
    return {
      from: options.own().incarnation,
      revision: configuration.revision(),
      seen: view.seen(),
      digest: view.digest(),
      rumours: suspicions.rumoursFor(receiver, view.nodes().length, clock.now()),
      ...(options.unregistered() ? { record: options.own() } : {})
    }
  }

  function createAnswer (message: AgreementMessage): AgreementMessage {
    const changes = message.seen < view.seen() ? view.changesAfter(message.seen, MAX_CHANGES_PER_MESSAGE) : undefined
    const current = configuration.current()
    return {
      ...createMessage(message.from),
      // Failure guarded against: a node that starts after many nodes have failed at once gives their addresses to callers
      // until it has detected each failure itself. A node that has no view yet therefore receives all suspicions.
      ...(message.seen === 0 ? { rumours: suspicions.allRumours(clock.now()) } : {}),
      ...(changes === undefined ? {} : { changes }),
      ...(current !== undefined && current.revision > message.revision ? { configuration: current } : {})
    }
  }

  function applyMessage (message: AgreementMessage): void {
    const now = clock.now()
    lastContact = now
    configuration.heard()
    suspicions.heard(message.from)
    suspicions.merge(message.rumours, now)
    if (message.seen === view.seen() && message.digest !== view.digest()) options.onDisagreement()
    if (message.record !== undefined) view.introduce(message.record, now)
    if (message.changes !== undefined) view.merge(message.changes, now)
    if (message.configuration !== undefined) configuration.offer(message.configuration, 'peer')
  }

  /** Exchanges messages with a peer. If the exchange fails, it is repeated on a new connection. */
  async function exchangeWith (target: DeliveryTarget): Promise<void> {
    try {
      applyMessage(await peers.exchange(target.peerAddress, createMessage(target.incarnation), signal))
    } catch {
      await retryOnNewConnection(target)
    }
  }

  /**
   * Repeats an exchange on a new connection and suspects the peer if neither this node nor other peers reach it.
   *
   * Failure guarded against: a router between the nodes has dropped the state of a pooled connection. That connection never
   * answers again, although new connections work, and a healthy peer would be suspected.
   */
  async function retryOnNewConnection (target: DeliveryTarget): Promise<void> {
    try {
      applyMessage(await peers.exchangeOnNewConnection(target.peerAddress, createMessage(target.incarnation), signal))
    } catch {
      if (signal.aborted) return
      if (!await isReachedByHelpers(target)) suspicions.suspect(target.incarnation, clock.now())
    }
  }

  /** Whether other peers reach the target. A broken network path between two nodes must not cause a suspicion of either node. */
  async function isReachedByHelpers (target: DeliveryTarget): Promise<boolean> {
    const helpers = pickRandom(reachablePeers().filter((node) => node.incarnation !== target.incarnation), PROBE_HELPERS)
    const answers = await Promise.allSettled(helpers.map((helper) => peers.probe(helper.peerAddress, target, signal)))
    const answered = answers.filter((answer) => answer.status === 'fulfilled')
    // If no helper answers, this node itself may be disconnected.
    return answered.length === 0 || answered.some((answer) => answer.value.reached)
  }

  function reachablePeers (): NodeRecord[] {
    const now = clock.now()
    return allPeers().filter((node) => !suspicions.isDown(node.incarnation, now))
  }

  function allPeers (): NodeRecord[] {
    return view.nodes().filter((node) => node.incarnation !== options.own().incarnation)
  }

  function nextPeer (): NodeRecord | undefined {
    exchangeCount += 1
    const now = clock.now()
    const down = exchangeCount % EXCHANGES_PER_DOWN_PEER === 0 ? allPeers().filter((node) => suspicions.isDown(node.incarnation, now)) : []
    return pickRandom(down.length > 0 ? down : reachablePeers(), 1)[0] ?? pickRandom(allPeers(), 1)[0]
  }

  function pickRandom<T> (items: readonly T[], count: number): T[] {
    const rest = [...items]
    const picked: T[] = []
    while (picked.length < count && rest.length > 0) {
      const index = random.integer(rest.length)
      picked.push(...rest.splice(index, 1))
    }
    return picked
  }

  function startExchange (target: DeliveryTarget): void {
    if (outstanding >= MAX_OUTSTANDING) return
    outstanding += 1
    exchangeWith(target).catch(() => {}).finally(() => { outstanding -= 1 })
  }

  /** Starts an exchange with the sender if it has later updates. At most one such exchange per sender runs at a time. */
  function requestUpdates (message: AgreementMessage): void {
    const ahead = message.revision > configuration.revision() || message.seen > view.seen()
    const sender = view.find(message.from)
    if (!ahead || sender === undefined || pendingPulls.has(message.from)) return
    pendingPulls.add(message.from)
    exchangeWith(sender).catch(() => {}).finally(() => pendingPulls.delete(message.from))
  }

  return {
    lastContactAt: () => lastContact,
    contact: async (address) => applyMessage(await peers.exchange(address, createMessage(options.own().incarnation), signal)),
    notifyPeers: () => pickRandom(reachablePeers(), UPDATE_FAN_OUT).forEach(startExchange),
    run: async () => {
      while (!signal.aborted) {
        await clock.sleep(EXCHANGE_INTERVAL * (1 - JITTER_FRACTION * random.fraction()), signal).catch(() => {})
        const peer = nextPeer()
        if (peer !== undefined && !signal.aborted) startExchange(peer)
      }
    },
    handlers: {
      exchange: async (message) => {
        const answer = createAnswer(message)
        applyMessage(message)
        requestUpdates(message)
        return answer
      },
      probe: async (target) => {
        try {
          applyMessage(await peers.exchangeOnNewConnection(target.peerAddress, createMessage(target.incarnation), signal))
          return { reached: true }
        } catch {
          return { reached: false }
        }
      }
    }
  }
}
