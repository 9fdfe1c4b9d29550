/** Hands a configuration to nodes at once, down a tree, and gathers who has not confirmed. */
import type { Clock, Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import { DELIVERY_FAN_OUT, splitTargets } from '../configuration/index.js'
import type { ConfigurationRevision } from '../configuration/index.js'
import type { Incarnation } from '../identifiers.js'
import type { DeliveryTarget } from '../peer/agreement.js'
import type { AgreementPeers } from './agreement-peers.js'

/** What a delivery needs. */
export interface DeliveryOptions {
  readonly from: Incarnation
  readonly peers: AgreementPeers
  readonly clock: Clock
  readonly signal: AbortSignal
}

/** A head that has not answered in this share of the time is passed over. */
const HEAD_SHARE = 0.5

const SHORTEST_CALL: Milliseconds = 0.1 * SECOND

/**
 * Delivers to all targets.
 *
 * @param within time for the whole delivery, in milliseconds
 * @returns targets that have not confirmed
 * @example
 * const missing = await deliverTo(options, configuration, targets, 4_000)
 */
export async function deliverTo (options: DeliveryOptions, configuration: ConfigurationRevision, targets: readonly DeliveryTarget[], within: Milliseconds): Promise<Incarnation[]> {
  const groups = splitTargets(targets, DELIVERY_FAN_OUT)
  const missing = await Promise.all(groups.map((group) => deliverToGroup(options, configuration, group, within)))
  return missing.flat()
}

/**
 * Failure guarded against: the head of a group is dead or cut off, and with it the whole group would
 * be missed. The next node of the group becomes its head while there is time; delivering twice is
 * harmless since a revision is put in force once.
 */
async function deliverToGroup (options: DeliveryOptions, configuration: ConfigurationRevision, group: readonly DeliveryTarget[], within: Milliseconds): Promise<Incarnation[]> {
  const deadline = options.clock.now() + within
  const missing: Incarnation[] = []
  for (const [index, head] of group.entries()) {
    const remaining = deadline - options.clock.now()
    const below = group.slice(index + 1)
    if (remaining < SHORTEST_CALL) return [...missing, ...group.slice(index).map((target) => target.incarnation)]
    const patience = below.length === 0 ? remaining : Math.max(SHORTEST_CALL, remaining * HEAD_SHARE)
    try {
      const receipt = await options.peers.deliver(head.peerAddress, { from: options.from, configuration, below, within_ms: patience }, options.signal)
      const confirmed = receipt.revision >= configuration.revision ? [] : [head.incarnation]
      return [...missing, ...confirmed, ...receipt.missing]
    } catch {
      missing.push(head.incarnation)
    }
  }
  return missing
}
