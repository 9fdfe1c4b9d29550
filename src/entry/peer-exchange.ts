/**
 * The periodic exchange with one peer at a time: revisions, membership changes and suspicions ride on
 * it, both ways. Its failures are what a peer is suspected by.
 */
import type { Clock, Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Address, Incarnation } from '../identifiers.js'
import type { MembershipView, NodeRecord, Suspicions } from '../membership/index.js'
import type { AgreementHandlers, AgreementMessage, DeliveryTarget } from '../peer/agreement.js'
import type { Random } from '../random.js'
import type { AgreementPeers } from './agreement-peers.js'
import type { ConfigurationKeeper } from './configuration-keeper.js'

/** What the exchange works with. */
export interface PeerExchangeOptions {
  readonly own: () => NodeRecord
  /** Whether peers must be given this node's own record, since the service may not hold it. */
  readonly unregistered: () => boolean
  readonly view: MembershipView
  /** A peer that has seen the same changes has another view. */
  readonly disagreed: () => void
  readonly suspicions: Suspicions
  readonly configuration: Pick<ConfigurationKeeper, 'current' | 'revision' | 'offer' | 'heard'>
  readonly peers: AgreementPeers
  readonly clock: Clock
  readonly random: Random
  readonly signal: AbortSignal
}

/** The exchange as its node uses it. */
export interface PeerExchange {
  /** Runs until the signal aborts. */
  run (): Promise<void>
  /** Exchanges with some peers at once, to spread news. */
  spread (): void
  /** Exchanges with a peer that may not be in the view; rejects when it does not answer. */
  contact (address: Address): Promise<void>
  readonly handlers: Pick<AgreementHandlers, 'exchange' | 'probe'>
  /** Time of the last exchange that succeeded. */
  lastHeard (): Milliseconds | undefined
}

/** Pause between two exchanges that a node begins. With as many that others begin, it hears from a peer each second. */
export const EXCHANGE_PERIOD: Milliseconds = 2 * SECOND

const VARIATION = 0.3

/** Exchanges that wait for answers at a time; a slow peer must not hold up the next exchange. */
const OUTSTANDING = 4

/** Peers told at once when there is news. */
const NEWS_FAN_OUT = 3

/** Peers asked to try in this node's place before a peer is suspected. */
const HELPERS = 2

/** One exchange in so many goes to a peer that is down, to notice that it is back. */
const DOWN_TURN = 8

/** Membership changes in one message: with 250 bytes each, a wave of 74 takes two messages. */
const CHANGES_A_MESSAGE = 48

/**
 * @example
 * const exchange = createPeerExchange(options)
 * exchange.run()
 */
export function createPeerExchange (options: PeerExchangeOptions): PeerExchange {
  const { view, suspicions, configuration, peers, clock, random, signal } = options
  const pulling = new Set<Incarnation>()
  let outstanding = 0
  let turn = 0
  let lastHeard: Milliseconds | undefined

  function messageFor (receiver: Incarnation): AgreementMessage {
    return {
      from: options.own().incarnation,
      revision: configuration.revision(),
      seen: view.seen(),
      digest: view.digest(),
      rumours: suspicions.rumoursFor(receiver, view.nodes().length, clock.now()),
      ...(options.unregistered() ? { record: options.own() } : {})
    }
  }

  function answerTo (message: AgreementMessage): AgreementMessage {
    const changes = message.seen < view.seen() ? view.changesAfter(message.seen, CHANGES_A_MESSAGE) : undefined
    const current = configuration.current()
    return {
      ...messageFor(message.from),
      // Failure guarded against: a node that starts after a wave would give callers the addresses of the
      // dead until it has found each of them itself.
      ...(message.seen === 0 ? { rumours: suspicions.allRumours(clock.now()) } : {}),
      ...(changes === undefined ? {} : { changes }),
      ...(current !== undefined && current.revision > message.revision ? { configuration: current } : {})
    }
  }

  function take (message: AgreementMessage): void {
    const now = clock.now()
    lastHeard = now
    configuration.heard()
    suspicions.heard(message.from)
    suspicions.merge(message.rumours, now)
    if (message.seen === view.seen() && message.digest !== view.digest()) options.disagreed()
    if (message.record !== undefined) view.introduce(message.record, now)
    if (message.changes !== undefined) view.merge(message.changes, now)
    if (message.configuration !== undefined) configuration.offer(message.configuration, 'peer')
  }

  /** Tries once, then on a connection of its own, then through helpers; only then suspects. */
  async function exchangeWith (target: DeliveryTarget): Promise<void> {
    try {
      take(await peers.exchange(target.peerAddress, messageFor(target.incarnation), signal))
    } catch {
      await exchangeAnew(target)
    }
  }

  /**
   * Failure guarded against: a connection that something between the ends has forgotten stays silent
   * for good while new ones work. A new connection is tried before the peer is doubted.
   */
  async function exchangeAnew (target: DeliveryTarget): Promise<void> {
    try {
      take(await peers.exchangeAnew(target.peerAddress, messageFor(target.incarnation), signal))
    } catch {
      if (signal.aborted) return
      if (!await reachedByHelpers(target)) suspicions.suspect(target.incarnation, clock.now())
    }
  }

  /** One lost path between two nodes must not make either of them suspected. */
  async function reachedByHelpers (target: DeliveryTarget): Promise<boolean> {
    const helpers = pick(candidates().filter((node) => node.incarnation !== target.incarnation), HELPERS)
    const answers = await Promise.allSettled(helpers.map((helper) => peers.probe(helper.peerAddress, target, signal)))
    const heard = answers.filter((answer) => answer.status === 'fulfilled')
    // With no helper to be heard, this node itself may be the one that is cut off.
    return heard.length === 0 || heard.some((answer) => answer.value.reached)
  }

  function candidates (): NodeRecord[] {
    const now = clock.now()
    return others().filter((node) => !suspicions.isDown(node.incarnation, now))
  }

  function others (): NodeRecord[] {
    return view.nodes().filter((node) => node.incarnation !== options.own().incarnation)
  }

  function nextPeer (): NodeRecord | undefined {
    turn += 1
    const now = clock.now()
    const down = turn % DOWN_TURN === 0 ? others().filter((node) => suspicions.isDown(node.incarnation, now)) : []
    return pick(down.length > 0 ? down : candidates(), 1)[0] ?? pick(others(), 1)[0]
  }

  function pick<T> (items: readonly T[], count: number): T[] {
    const rest = [...items]
    const picked: T[] = []
    while (picked.length < count && rest.length > 0) {
      const index = random.integer(rest.length)
      picked.push(...rest.splice(index, 1))
    }
    return picked
  }

  function begin (target: DeliveryTarget): void {
    if (outstanding >= OUTSTANDING) return
    outstanding += 1
    exchangeWith(target).catch(() => {}).finally(() => { outstanding -= 1 })
  }

  /** A sender that is ahead is asked at once; one question at a time for each sender. */
  function pull (message: AgreementMessage): void {
    const ahead = message.revision > configuration.revision() || message.seen > view.seen()
    const sender = view.find(message.from)
    if (!ahead || sender === undefined || pulling.has(message.from)) return
    pulling.add(message.from)
    exchangeWith(sender).catch(() => {}).finally(() => pulling.delete(message.from))
  }

  return {
    lastHeard: () => lastHeard,
    contact: async (address) => take(await peers.exchange(address, messageFor(options.own().incarnation), signal)),
    spread: () => pick(candidates(), NEWS_FAN_OUT).forEach(begin),
    run: async () => {
      while (!signal.aborted) {
        await clock.sleep(EXCHANGE_PERIOD * (1 - VARIATION * random.fraction()), signal).catch(() => {})
        const peer = nextPeer()
        if (peer !== undefined && !signal.aborted) begin(peer)
      }
    },
    handlers: {
      exchange: async (message) => {
        const answer = answerTo(message)
        take(message)
        pull(message)
        return answer
      },
      probe: async (target) => {
        try {
          take(await peers.exchangeAnew(target.peerAddress, messageFor(target.incarnation), signal))
          return { reached: true }
        } catch {
          return { reached: false }
        }
      }
    }
  }
}
