/** Orders the number of upstreams of each service from the platform, while this node holds the duties. */
import type { Milliseconds } from '../clock.js'
import { valueOf } from '../named-values.js'
import { repeat } from '../repeat.js'
import type { EngineSpeeds, UpstreamRecord } from '../placement/index.js'
import type { RouteTable, ScalingConfiguration, Service } from '../routing/index.js'
import { addOtherVersions, bindingConstraint, offeredLoad, createLoadEstimator, createOrderTracker, expectedLoad, planPools, startingLoad } from '../scaling/index.js'
import type { LoadEstimator, OfferedWork, OrderAnswer, OrderTracker, Pool, PoolSize } from '../scaling/index.js'
import type { DutyHolder } from './duty-holder.js'
import type { StoreContext } from './follow.js'
import type { DutyCalls, DutyProof } from './ports.js'
import type { UpstreamView } from './upstream-view.js'

/** Options of `startScalingController`. */
export interface ScalingControllerOptions {
  readonly context: StoreContext
  readonly failureDomains: readonly string[]
  readonly table: () => RouteTable | undefined
  readonly upstreams: UpstreamView
  readonly speeds: EngineSpeeds
  /** Whether the version of an upstream carries the traffic. During a roll-out upstreams of other versions run beside it. */
  readonly carriesTraffic: (upstream: UpstreamRecord) => boolean
  readonly duty: DutyHolder
  readonly calls: DutyCalls
  /** Work per second that all nodes receive, by service. */
  readonly work: () => Readonly<Record<string, OfferedWork>>
  /** Fraction of the known nodes whose work is included. */
  readonly coverage: () => number
}

/** Pause between two rounds of planning. */
const PERIOD: Milliseconds = 400

/** Assumed load of a service without requests so far, as a fraction of its present upstreams. Used if the quotas give no estimate. */
const INITIAL_LOAD_FRACTION = 0.3

/** Fraction of the known nodes whose work must be known for a measured load to count. */
const MIN_COVERAGE = 0.5

/** Time from the end of the boot of a new upstream until its record is known. */
const REGISTRATION_DELAY: Milliseconds = 2_000

interface ScaledService {
  readonly orders: OrderTracker
  /** Undefined until the rates of work have settled. */
  load: LoadEstimator | undefined
  /** Load to assume until then, in busy upstreams. */
  readonly initialLoad: number
  /** Slots of the smallest upstream, as last seen. */
  slots: number
  /** Time at which the first work was seen. */
  firstWorkAt: Milliseconds | undefined
  /** Time at which this node first planned the service. */
  readonly since: Milliseconds
}

/**
 * Starts the periodic planning and ordering. They end with the signal of the context.
 *
 * @example
 * startScalingController({ context, failureDomains, table, upstreams, speeds, carriesTraffic, duty, calls, work, coverage })
 */
export function startScalingController (options: ScalingControllerOptions): void {
  const { context, table, upstreams, duty, calls } = options
  const { clock, log, signal } = context
  const services = new Map<string, ScaledService>()
  let lastFencing = 0

  /** @returns undefined while neither quotas nor present upstreams give an estimate of the load */
  function stateOf (service: Service, present: number): ScaledService | undefined {
    const known = services.get(service.name)
    if (known !== undefined) return known
    const expected = expectedLoad(quotaTokens(), options.speeds.of(service.name).perThousandTokens)
    if (expected === 0 && present === 0) return undefined
    const initialLoad = expected > 0 ? expected : present * INITIAL_LOAD_FRACTION
    const created: ScaledService = { orders: createOrderTracker(), load: undefined, initialLoad, slots: Infinity, firstWorkAt: undefined, since: clock.now() }
    services.set(service.name, created)
    return created
  }

  /** Tokens per second that all organisations together may use; 0 if the quota of one of them is not a limit on tokens. */
  function quotaTokens (): number {
    const quotas = (table()?.configuration.organisations ?? []).map((organisation) => organisation.quota)
    const isBounded = quotas.every((quota) => quota.unit === 'tokens' && quota.rate > 0)
    return isBounded ? quotas.reduce((sum, quota) => sum + quota.rate, 0) : 0
  }

  /**
   * Updates the load of a service. Every node does so, to know the load if it takes over the duties.
   *
   * Failure guarded against: a holder that is cut off from most other nodes sees little more than its own work and shrinks
   * the fleet for all. Until reports cover half of the nodes again, it keeps its estimate.
   */
  function observeLoad (scaled: ScaledService, work: OfferedWork | undefined, now: Milliseconds): number {
    if (work !== undefined) scaled.firstWorkAt ??= now
    if (scaled.firstWorkAt === undefined) return scaled.initialLoad
    if (options.coverage() < MIN_COVERAGE) return scaled.load?.value(now) ?? scaled.initialLoad
    const load = work === undefined ? 0 : offeredLoad(work, scaled.slots)
    if (scaled.load === undefined) {
      const start = startingLoad(scaled.initialLoad, load, Math.max(now - scaled.firstWorkAt, work?.measured.span ?? 0))
      if (start === undefined) return scaled.initialLoad
      scaled.load = createLoadEstimator(start)
    }
    scaled.load.observe(load, now)
    return scaled.load.value(now)
  }

  async function scale (service: Service, facts: ScalingConfiguration): Promise<void> {
    const now = clock.now()
    const present = upstreams.all().filter((upstream) => upstream.service === service.name)
    const scaled = stateOf(service, present.length)
    if (scaled === undefined) return
    const work = valueOf(options.work(), service.name)
    // Without the last known slots, a service would need none at all while all of its upstreams are gone.
    if (present.length > 0) scaled.slots = Math.min(...present.map((upstream) => upstream.slots))
    const load = observeLoad(scaled, work, now)
    const proof = duty.proof()
    if (proof === undefined) return
    if (proof.fencing !== lastFencing) scaled.orders.reset()
    const running = (pool: Pool): number => present.filter((upstream) => isInPool(pool, upstream) && !upstream.leaving).length
    const planned = planPools({
      assumeReclaimableRunning: now - scaled.since < facts.bootTime + REGISTRATION_DELAY && scaled.firstWorkAt === undefined,
      facts,
      failureDomains: options.failureDomains,
      present: present.filter(options.carriesTraffic),
      load,
      unavailableUntil: scaled.orders.unavailableUntil,
      now
    })
    const constraint = work === undefined ? 'prefill' : bindingConstraint(work, scaled.slots)
    const sizes = addOtherVersions(planned, present.filter((upstream) => !options.carriesTraffic(upstream)), facts.maxUpstreams)
    for (const size of scaled.orders.due(sizes, running, now)) {
      const answer = await sendOrder(proof, service.name, size)
      scaled.orders.answered(size, answer, clock.now())
      log.info('upstreams-ordered', { service: service.name, failureDomain: size.failureDomain, reclaimable: size.reclaimable, desired: size.desired, running: running(size), load: Math.round(load * 100) / 100, constraint, answer: answer ?? 'none', fencing: proof.fencing })
      if (answer === 'superseded') return duty.superseded(proof)
    }
  }

  async function sendOrder (proof: DutyProof, service: string, { failureDomain, reclaimable, desired }: PoolSize): Promise<OrderAnswer> {
    duty.recordCall()
    try {
      return await calls.order(proof, { service, failureDomain, reclaimable, desired }, signal)
    } catch (error) {
      log.info('order-unanswered', { service, failureDomain, reclaimable, desired, error: String(error) })
      return undefined
    }
  }

  async function scaleAll (): Promise<void> {
    for (const service of table()?.configuration.services ?? []) {
      if (service.scaling !== undefined) await scale(service, service.scaling)
    }
    lastFencing = duty.proof()?.fencing ?? lastFencing
  }

  repeat(context, 'scaling', PERIOD, scaleAll)
}

function isInPool (pool: Pool, upstream: Pool): boolean {
  return upstream.failureDomain === pool.failureDomain && upstream.reclaimable === pool.reclaimable
}
