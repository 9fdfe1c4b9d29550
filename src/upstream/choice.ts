/** Which upstream a request goes to. */
import type { Address, FailureDomain, ServiceName, UpstreamName } from '../identifiers.js'
import type { Random } from '../random.js'

/** An upstream as one node sees it. */
export interface UpstreamView {
  readonly name: UpstreamName
  readonly service: ServiceName
  readonly failureDomain: FailureDomain
  /** Upstreams of one machine class are about equally fast. */
  readonly machineClass?: string | undefined
  readonly address: Address
  readonly protocol: 'model' | 'plain'
  readonly leaving: boolean
  /** Requests of this node being run there. */
  readonly inFlight: number
}

/**
 * Chooses among the upstreams of a service: never one that is leaving or excluded, and the one with
 * the fewest requests of this node in flight, ties at random.
 *
 * @returns undefined when none is left
 * @example
 * chooseUpstream(views, service, new Set(), random)?.name
 */
export function chooseUpstream (views: readonly UpstreamView[], service: ServiceName, excluded: ReadonlySet<UpstreamName>, random: Random): UpstreamView | undefined {
  const candidates = views.filter((view) => view.service === service && !view.leaving && !excluded.has(view.name))
  if (candidates.length === 0) return undefined
  const least = Math.min(...candidates.map((view) => view.inFlight))
  return random.pick(candidates.filter((view) => view.inFlight === least))
}
