/**
 * State of the cloud stand-in: offers with limited capacity, instances by name, and reclaims. The HTTP
 * server and the in-process client share this module, which has no network code.
 */
import { reclaimNoticeSchema } from '../src/capacity/index.js'
import type { CloudInstance, Offer, ReclaimNotice, StartAnswer, StartOrder } from '../src/capacity/index.js'
import type { Clock, Milliseconds } from '../src/clock.js'
import type { FailureDomain, InstanceName } from '../src/identifiers.js'
import type { NoticePage } from '../src/protocols/cloud.js'

/** Operations of the cloud. All are synchronous. */
export interface CloudState {
  offers (): readonly Offer[]
  /** Replaces the offers. Instances that already run are not affected. */
  setOffers (offers: readonly Offer[]): void
  /** Sets the maximum number of instances of an offer: undefined removes the limit, 0 refuses every start. */
  limitCapacity (offer: Pick<Offer, 'failureDomain' | 'machineClass' | 'market'>, limit: number | undefined): void
  /** Starts an instance. A repeated order with the same name starts nothing and returns the existing instance. */
  start (order: StartOrder): StartAnswer
  /** Ends an instance. Its name cannot be started again. */
  release (name: InstanceName): void
  /** Instances of a group that have not ended. */
  list (group: string): readonly CloudInstance[]
  /** Sends reclaim notices for instances, which end when the notice time is over. */
  reclaim (names: readonly InstanceName[], notice: Milliseconds): void
  /** Reclaims all reclaimable instances of a failure domain. */
  reclaimDomain (failureDomain: FailureDomain, notice: Milliseconds): void
  /** Reclaim notices with a sequence number greater than `after`. */
  notices (after: number): NoticePage
  /** Start orders that created an instance, so that tests can count the instances that were bought. */
  startedOrders (): readonly StartOrder[]
  /** Updates the state to the current time: reports instances that have become live and removes ended ones. */
  updateToNow (): void
}

/** Callbacks for instances that become live or end. */
export interface CloudEvents {
  started? (instance: CloudInstance): void
  ended? (instance: CloudInstance): void
}

interface StoredInstance {
  readonly order: StartOrder
  readonly liveAt: Milliseconds
  endsAt: Milliseconds
  isReported: boolean
}

interface StoredNotice {
  readonly sequence: number
  readonly order: StartOrder
  readonly endsAt: Milliseconds
}

/**
 * Creates a cloud without instances.
 *
 * @param options.startTime time from a start order until the instance is live
 * @example
 * const cloud = createCloudState({ clock, offers, startTime: 0 })
 */
export function createCloudState (options: { clock: Clock, offers: readonly Offer[], startTime: Milliseconds, events?: CloudEvents }): CloudState {
  const { clock, events } = options
  const instances = new Map<InstanceName, StoredInstance>()
  const endedNames = new Set<InstanceName>()
  const limits = new Map<string, number>()
  const notices: StoredNotice[] = []
  const startedOrders: StartOrder[] = []
  let offers = options.offers

  function updateToNow (): void {
    const now = clock.now()
    for (const instance of instances.values()) {
      if (!instance.isReported && instance.liveAt <= now) {
        instance.isReported = true
        events?.started?.(toCloudInstance(instance, now))
      }
      if (instance.endsAt <= now) endInstance(instance)
    }
  }

  function endInstance (instance: StoredInstance): void {
    instances.delete(instance.order.name)
    endedNames.add(instance.order.name)
    if (instance.isReported) events?.ended?.(toCloudInstance(instance, clock.now()))
  }

  function refusal (order: StartOrder): string | undefined {
    const key = offerKey(order)
    if (!offers.some((offer) => offerKey(offer) === key)) return 'no such offer'
    const limit = limits.get(key)
    const used = [...instances.values()].filter((instance) => offerKey(instance.order) === key).length
    return limit !== undefined && used >= limit ? 'insufficient capacity' : undefined
  }

  function reclaim (names: readonly InstanceName[], notice: Milliseconds): void {
    const endsAt = clock.now() + notice
    for (const name of names) {
      const instance = instances.get(name)
      if (instance === undefined) continue
      instance.endsAt = Math.min(instance.endsAt, endsAt)
      notices.push({ sequence: notices.length + 1, order: instance.order, endsAt: instance.endsAt })
    }
    updateToNow()
  }

  return {
    updateToNow,
    reclaim,
    offers: () => offers,
    setOffers: (changed) => { offers = changed },
    limitCapacity: (offer, limit) => {
      if (limit === undefined) limits.delete(offerKey(offer))
      else limits.set(offerKey(offer), limit)
    },
    start: (order) => {
      updateToNow()
      if (endedNames.has(order.name)) return { kind: 'ended' }
      const existing = instances.get(order.name)
      if (existing !== undefined) return { kind: 'started', instance: toCloudInstance(existing, clock.now()) }
      const reason = refusal(order)
      if (reason !== undefined) return { kind: 'refused', reason }
      const instance = { order, liveAt: clock.now() + options.startTime, endsAt: Infinity, isReported: false }
      instances.set(order.name, instance)
      startedOrders.push(order)
      updateToNow()
      return { kind: 'started', instance: toCloudInstance(instance, clock.now()) }
    },
    release: (name) => {
      updateToNow()
      endedNames.add(name)
      const instance = instances.get(name)
      if (instance !== undefined) endInstance(instance)
    },
    list: (group) => {
      updateToNow()
      const own = [...instances.values()].filter((instance) => instance.order.group === group)
      return own.map((instance) => toCloudInstance(instance, clock.now()))
    },
    reclaimDomain: (failureDomain, notice) => {
      const reclaimed = [...instances.values()].filter(({ order }) => order.failureDomain === failureDomain && order.market === 'reclaimable')
      reclaim(reclaimed.map((instance) => instance.order.name), notice)
    },
    notices: (after) => {
      updateToNow()
      const page = notices.slice(Math.max(0, after))
      return { notices: page.map((notice) => toNotice(notice, clock.now())), next: notices.length }
    },
    startedOrders: () => startedOrders
  }
}

function offerKey (offer: Pick<Offer, 'failureDomain' | 'machineClass' | 'market'>): string {
  return `${offer.failureDomain}/${offer.machineClass}/${offer.market}`
}

function toCloudInstance (instance: StoredInstance, now: Milliseconds): CloudInstance {
  if (instance.endsAt !== Infinity) return { ...instance.order, state: 'reclaiming' }
  return { ...instance.order, state: instance.liveAt <= now ? 'live' : 'starting' }
}

function toNotice (notice: StoredNotice, now: Milliseconds): ReclaimNotice {
  return reclaimNoticeSchema.parse({
    sequence: notice.sequence,
    instance: notice.order.name,
    failureDomain: notice.order.failureDomain,
    remainingMs: Math.max(0, notice.endsAt - now)
  })
}
