/** Orders the size of services, while this node holds the duties. */
import type { Milliseconds } from '../clock.js'
import { repeat } from '../repeat.js'
import type { EngineSpeeds, UpstreamRecord } from '../placement/index.js'
import type { RouteTable, ScalingFacts, Service } from '../routing/index.js'
import { addBeside, busyEngines, createLoadFollower, createOrderBook, expectedEngines, planPools } from '../scaling/index.js'
import type { LoadFollower, OfferedWork, OrderAnswer, OrderBook, Pool, PoolSize } from '../scaling/index.js'
import type { DutyHolder } from './duty-holder.js'
import type { StoreContext } from './follow.js'
import type { DutyCalls, DutyProof } from './ports.js'
import type { UpstreamView } from './upstream-view.js'

/** What the keeper needs. */
export interface ScalingKeeperOptions {
  readonly context: StoreContext
  readonly failureDomains: readonly string[]
  readonly table: () => RouteTable | undefined
  readonly upstreams: UpstreamView
  readonly speeds: EngineSpeeds
  /** Whether an upstream's version carries the traffic; others are there beside it while versions are rolled out. */
  readonly carries: (upstream: UpstreamRecord) => boolean
  readonly duty: DutyHolder
  readonly calls: DutyCalls
  /** Work of all nodes, a second, by service. */
  readonly work: () => Readonly<Record<string, OfferedWork>>
}

const PERIOD: Milliseconds = 400

/** Load of a service that was never asked, as a part of the upstreams that were found, where no quota tells more. */
const FIRST_LOAD_PART = 0.3

/** Rates of work that has just begun are too low for this long. */
const RATES_SETTLE: Milliseconds = 4_000

/** Time beyond the boot until a new upstream's record is known. */
const BOOT_SLACK: Milliseconds = 2_000

interface ScaledService {
  readonly book: OrderBook
  readonly load: LoadFollower
  readonly firstLoad: number
  firstWork: Milliseconds | undefined
  /** When this node first planned it. */
  readonly since: Milliseconds
}

/**
 * @example
 * keepScaling({ context, failureDomains, table, upstreams, speeds, duty, calls, work })
 */
export function keepScaling (options: ScalingKeeperOptions): void {
  const { context, table, upstreams, duty, calls } = options
  const { clock, log, signal } = context
  const services = new Map<string, ScaledService>()
  let lastFencing = 0

  /** @returns undefined while nothing tells how much work to expect */
  function stateOf (service: Service, present: number): ScaledService | undefined {
    const known = services.get(service.name)
    if (known !== undefined) return known
    const expected = expectedEngines(quotaTokens(), options.speeds.of(service.name).perThousandTokens)
    if (expected === 0 && present === 0) return undefined
    const firstLoad = expected > 0 ? expected : present * FIRST_LOAD_PART
    const created: ScaledService = { book: createOrderBook(), load: createLoadFollower(firstLoad), firstLoad, firstWork: undefined, since: clock.now() }
    services.set(service.name, created)
    return created
  }

  /** Tokens a second that all organisations together may use; 0 where one may use any number. */
  function quotaTokens (): number {
    const quotas = (table()?.configuration.organisations ?? []).map((organisation) => organisation.quota)
    const isBounded = quotas.every((quota) => quota.unit === 'tokens' && quota.rate > 0)
    return isBounded ? quotas.reduce((sum, quota) => sum + quota.rate, 0) : 0
  }

  /** Every node follows the load, so that one that takes the duties over knows it. */
  function observe (service: Service, scaled: ScaledService, slots: number, now: Milliseconds): number {
    const work = options.work()[service.name]
    if (work !== undefined && scaled.firstWork === undefined) scaled.firstWork = now
    if (scaled.firstWork === undefined || now - scaled.firstWork < RATES_SETTLE) return scaled.firstLoad
    scaled.load.observe(work === undefined ? 0 : busyEngines(work, slots), now)
    return scaled.load.value(now)
  }

  async function orderFor (service: Service, facts: ScalingFacts): Promise<void> {
    const now = clock.now()
    const present = upstreams.all().filter((upstream) => upstream.service === service.name)
    const scaled = stateOf(service, present.length)
    if (scaled === undefined) return
    const load = observe(service, scaled, Math.min(...present.map((upstream) => upstream.slots)), now)
    const proof = duty.proof()
    if (proof === undefined) return
    if (proof.fencing !== lastFencing) scaled.book.reset()
    const running = (pool: Pool): number => present.filter((upstream) => isIn(pool, upstream) && !upstream.leaving).length
    const planned = planPools({
      awaitReclaimable: now - scaled.since < facts.bootTime + BOOT_SLACK && scaled.firstWork === undefined,
      facts,
      failureDomains: options.failureDomains,
      present: present.filter(options.carries),
      load,
      refusedUntil: scaled.book.refusedUntil,
      now
    })
    const sizes = addBeside(planned, present.filter((upstream) => !options.carries(upstream)), facts.most)
    for (const size of scaled.book.due(sizes, running, now)) {
      const answer = await order(proof, service.name, size)
      scaled.book.answered(size, answer, clock.now())
      log.info('upstreams-ordered', { service: service.name, failureDomain: size.failureDomain, reclaimable: size.reclaimable, desired: size.desired, running: running(size), load: Math.round(load * 100) / 100, answer: answer ?? 'none', fencing: proof.fencing })
      if (answer === 'superseded') return duty.superseded(proof)
    }
  }

  async function order (proof: DutyProof, service: string, { failureDomain, reclaimable, desired }: PoolSize): Promise<OrderAnswer> {
    duty.recordCall()
    try {
      return await calls.order(proof, { service, failureDomain, reclaimable, desired }, signal)
    } catch (error) {
      log.info('order-unanswered', { service, failureDomain, reclaimable, desired, error: String(error) })
      return undefined
    }
  }

  async function act (): Promise<void> {
    for (const service of table()?.configuration.services ?? []) {
      if (service.scaling !== undefined) await orderFor(service, service.scaling)
    }
    lastFencing = duty.proof()?.fencing ?? lastFencing
  }

  repeat(context, 'scaling', PERIOD, act)
}

function isIn (pool: Pool, upstream: Pool): boolean {
  return upstream.failureDomain === pool.failureDomain && upstream.reclaimable === pool.reclaimable
}
