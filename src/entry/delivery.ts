/** Delivers a configuration revision to many nodes along a tree, and collects the nodes that did not confirm it. */
import type { Clock, Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import { DELIVERY_FAN_OUT, splitTargets } from '../configuration/index.js'
import type { ConfigurationRevision } from '../configuration/index.js'
import type { Incarnation } from '../identifiers.js'
import type { DeliveryTarget } from '../peer/agreement.js'
import type { AgreementPeers } from './agreement-peers.js'

/** Options of a delivery. */
export interface DeliveryOptions {
  /** The node that delivers. */
  readonly from: Incarnation
  readonly peers: AgreementPeers
  readonly clock: Clock
  readonly signal: AbortSignal
}

/** Share of the remaining time in which the head of a group must answer. After it, the next node becomes the head. */
const HEAD_TIME_SHARE = 0.5

/** Minimum time for a call. With less time left, the remaining targets count as missing. */
const MIN_CALL_TIME: Milliseconds = 0.1 * SECOND

/**
 * Delivers a revision to all targets.
 *
 * @param timeLimit time for the whole delivery, in milliseconds
 * @returns the targets that did not confirm the revision in time
 * @example
 * const missing = await deliverConfiguration(options, configuration, targets, 4_000)
 */
export async function deliverConfiguration (options: DeliveryOptions, configuration: ConfigurationRevision, targets: readonly DeliveryTarget[], timeLimit: Milliseconds): Promise<Incarnation[]> {
  const groups = splitTargets(targets, DELIVERY_FAN_OUT)
  const missing = await Promise.all(groups.map((group) => deliverToGroup(options, configuration, group, timeLimit)))
  return missing.flat()
}

/**
 * Delivers a revision to the first node of a group, which passes it on to the rest of the group.
 *
 * Failure guarded against: the first node is dead or unreachable, and the whole group misses the revision. The next
 * node becomes the head as long as time is left. A second delivery is harmless, because a node puts a revision in force
 * only once.
 */
async function deliverToGroup (options: DeliveryOptions, configuration: ConfigurationRevision, group: readonly DeliveryTarget[], timeLimit: Milliseconds): Promise<Incarnation[]> {
  const deadline = options.clock.now() + timeLimit
  const missing: Incarnation[] = []
  for (const [index, head] of group.entries()) {
    const remaining = deadline - options.clock.now()
    const followers = group.slice(index + 1)
    if (remaining < MIN_CALL_TIME) return [...missing, ...group.slice(index).map((target) => target.incarnation)]
    const callTimeout = followers.length === 0 ? remaining : Math.max(MIN_CALL_TIME, remaining * HEAD_TIME_SHARE)
    try {
      const receipt = await options.peers.deliver(head.peerAddress, { from: options.from, configuration, below: followers, within_ms: callTimeout }, options.signal)
      const confirmed = receipt.revision >= configuration.revision ? [] : [head.incarnation]
      return [...missing, ...confirmed, ...receipt.missing]
    } catch {
      missing.push(head.incarnation)
    }
  }
  return missing
}
