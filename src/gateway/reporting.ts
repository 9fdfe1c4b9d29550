/** Reports of a member: sends its state to an aggregator and receives the sums of the other nodes and store updates. */
import { startCallTimeout } from '../timeout-signal.js'
import type { Clock, Milliseconds } from '../clock.js'
import { aggregatorAnswerSchema, LIVENESS_TIMEOUT } from '../gossip/index.js'
import type { AggregatorAnswer, FleetReport, MemberMessage, SharedWallClock } from '../gossip/index.js'
import { pack, unpack } from './packing.js'
import type { PeerLink } from './peer-link.js'
import type { ReachablePeers } from './reachable-peers.js'
import type { StoreUpdateExchange } from './store-updates.js'

/** Dependencies of {@link createMemberReporter}. */
export interface MemberReporterOptions {
  readonly clock: Clock
  readonly signal: AbortSignal
  readonly wall: SharedWallClock
  readonly storeUpdates: StoreUpdateExchange
  readonly reachable: ReachablePeers
  /** Returns the client for a peer's address. */
  readonly link: (address: string) => PeerLink
  /** Current state of this node. */
  readonly localState: () => MemberMessage['state']
  /** Fetches the configuration of an aggregator if its version is higher than the version in force here. */
  readonly fetchConfiguration: (address: string, peerVersion: number, signal: AbortSignal) => Promise<void>
  /** Called after each answer. */
  readonly heard: () => void
}

/** Sends the reports of a member. */
export interface MemberReporter {
  /** Reports to the aggregators in turn until one answers. @returns the address of the one that answered; undefined if none did */
  report (aggregators: readonly string[]): Promise<string | undefined>
  /** Whether an aggregator has answered recently, so that this node need not act as an aggregator. */
  hasAggregator (): boolean
  /** Sums of all other nodes from the last answer; undefined if there was no recent answer or no other node. */
  others (): FleetReport | undefined
}

/**
 * Timeout of one report. An answer takes a few milliseconds. Even after a timeout and a second attempt at another
 * aggregator, the member's store data is young enough to stop dispatching to an upstream that is leaving.
 */
const REPORT_TIMEOUT: Milliseconds = 500

/**
 * Maximum number of aggregators tried per report. Three attempts find a live aggregator when two have just died. Each
 * failed attempt costs up to the timeout.
 */
const MAX_REPORT_ATTEMPTS = 3

/** Time for which an aggregator that did not answer is avoided: the time that the record of a dead node remains in the store. */
const AVOIDANCE_TIME: Milliseconds = 6_000

/** Time without an answer after which a member acts as an aggregator: three report periods, so that one slow or failed report has no effect. */
const AGGREGATOR_TIMEOUT: Milliseconds = 1_200

/**
 * Creates the reporter of one node.
 *
 * @example
 * const reporter = createMemberReporter({ clock, signal, wall, storeUpdates, reachable, link, localState, fetchConfiguration, heard })
 */
export function createMemberReporter (options: MemberReporterOptions): MemberReporter {
  const { clock, signal, wall, storeUpdates, reachable, link } = options
  let lastAnswer: { readonly others: FleetReport | undefined, readonly at: Milliseconds } | undefined

  async function reportTo (address: string): Promise<boolean> {
    const timeout = startCallTimeout(REPORT_TIMEOUT, signal)
    try {
      const sentAt = clock.now()
      const message: MemberMessage = { state: options.localState(), wall: clock.wall(), known: storeUpdates.known() }
      const answer = unpack(aggregatorAnswerSchema, await link(address).report.mutate(pack(message), { signal: timeout.signal }))
      reachable.regained(address)
      applyAnswer(answer, sentAt)
      await options.fetchConfiguration(address, answer.others?.configuration ?? 0, timeout.signal)
      return true
    } catch (error) {
      reachable.lost(address, error)
      return false
    } finally {
      timeout.end()
    }
  }

  function applyAnswer (answer: AggregatorAnswer, sentAt: Milliseconds): void {
    const now = clock.now()
    wall.setAgreed(answer.wall, now)
    storeUpdates.receive(answer.news, sentAt)
    lastAnswer = { others: answer.others, at: now }
    options.heard()
  }

  return {
    report: async (aggregators) => {
      const preferred = aggregators.filter((address) => !reachable.hasFailedWithin(address, AVOIDANCE_TIME))
      for (const address of (preferred.length > 0 ? preferred : aggregators).slice(0, MAX_REPORT_ATTEMPTS)) {
        if (await reportTo(address)) return address
        if (signal.aborted) return undefined
      }
      return undefined
    },
    hasAggregator: () => lastAnswer !== undefined && clock.now() - lastAnswer.at < AGGREGATOR_TIMEOUT,
    others: () => lastAnswer !== undefined && clock.now() - lastAnswer.at < LIVENESS_TIMEOUT ? lastAnswer.others : undefined
  }
}
