/** A member's side of the reports: it tells an aggregator of itself and hears the sums of all and news of the store. */
import { boundSignal } from '../bound-signal.js'
import type { Clock, Milliseconds } from '../clock.js'
import { aggregatorAnswerSchema, SILENT_AFTER } from '../gossip/index.js'
import type { AggregatorAnswer, FleetReport, MemberMessage, SharedWall } from '../gossip/index.js'
import { pack, unpack } from './packing.js'
import type { PeerLink } from './peer-link.js'
import type { ReachablePeers } from './reachable-peers.js'
import type { Relay } from './relay.js'

/** What the member needs. */
export interface ReportingOptions {
  readonly clock: Clock
  readonly signal: AbortSignal
  readonly wall: SharedWall
  readonly relay: Relay
  readonly reachable: ReachablePeers
  readonly link: (address: string) => PeerLink
  /** What this node tells now. */
  readonly describe: () => MemberMessage['state']
  /** Asks an aggregator for its configuration where it is newer. */
  readonly fetchConfiguration: (address: string, theirs: number, bound: AbortSignal) => Promise<void>
  /** Called after each answer. */
  readonly heard: () => void
}

/** A member's reports. */
export interface Reporting {
  /** Reports to the first aggregator of these that answers. @returns its address; undefined where none did */
  report (aggregators: readonly string[]): Promise<string | undefined>
  /** An aggregator has answered lately, so that this node needn't act as one. */
  isAttached (): boolean
  /** Sums of all other nodes as last told; undefined while none were told lately. */
  others (): FleetReport | undefined
}

/**
 * Bound on one report. An answer takes some ms; with a second try at another aggregator what a member knows of the store
 * stays younger than what a leaving upstream allows.
 */
const REPORT_TIMEOUT: Milliseconds = 500

/** Aggregators that are tried in one turn: of two that have just died one is found each time, and each costs its bound. */
const MOST_TRIES = 3

/** An aggregator that didn't answer comes last for this time: as long as its record stands after its death. */
const AVOIDED: Milliseconds = 6_000

/** Three periods of the reports: a report that is slow, or one that fails, doesn't make an aggregator of a member. */
const ATTACHED: Milliseconds = 1_200

/**
 * @example
 * const reporting = createReporting({ clock, signal, wall, relay, reachable, link, describe, fetchConfiguration, heard })
 */
export function createReporting (options: ReportingOptions): Reporting {
  const { clock, signal, wall, relay, reachable, link } = options
  let told: { readonly others: FleetReport | undefined, readonly at: Milliseconds } | undefined

  async function reportTo (address: string): Promise<boolean> {
    const bound = boundSignal(REPORT_TIMEOUT, signal)
    try {
      const askedAt = clock.now()
      const message: MemberMessage = { state: options.describe(), wall: clock.wall(), known: relay.known() }
      const answer = unpack(aggregatorAnswerSchema, await link(address).report.mutate(pack(message), { signal: bound }))
      reachable.regained(address)
      take(answer, askedAt)
      await options.fetchConfiguration(address, answer.others?.configuration ?? 0, bound)
      return true
    } catch (error) {
      reachable.lost(address, error)
      return false
    }
  }

  function take (answer: AggregatorAnswer, askedAt: Milliseconds): void {
    const now = clock.now()
    wall.agree(answer.wall, now)
    relay.take(answer.news, askedAt)
    told = { others: answer.others, at: now }
    options.heard()
  }

  return {
    report: async (aggregators) => {
      const willing = aggregators.filter((address) => !reachable.hasFailedWithin(address, AVOIDED))
      for (const address of (willing.length > 0 ? willing : aggregators).slice(0, MOST_TRIES)) {
        if (await reportTo(address)) return address
        if (signal.aborted) return undefined
      }
      return undefined
    },
    isAttached: () => told !== undefined && clock.now() - told.at < ATTACHED,
    others: () => told !== undefined && clock.now() - told.at < SILENT_AFTER ? told.others : undefined
  }
}
