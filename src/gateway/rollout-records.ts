/** Orders to roll versions out and the system's answers to them, as this node knows them. */
import type { Milliseconds } from '../clock.js'
import { ONLY_EPOCH } from '../protocols/epochs.js'
import { ABSENT } from '../protocols/key-value.js'
import { epochOf } from '../revision.js'
import { answers, isBehind, sameOrder } from '../rollout/index.js'
import type { RolloutOrder, RolloutStatus } from '../rollout/index.js'
import type { KeyValueEntry } from '../protocols/key-value.js'
import { followPrefix, boundedDelaySettings } from './follow.js'
import type { StoreContext, PrefixHandler, PrefixSubscription } from './follow.js'
import type { RolloutRegistry } from './ports.js'

/** A status as this node knows it. */
export interface KnownStatus {
  readonly status: RolloutStatus
  /** At which the store has it, or an earlier one. */
  readonly revision: number
  /** The store came back from a copy without it; it has to be written again. */
  readonly isLost: boolean
  /** When this node first knew of this stage. */
  readonly since: Milliseconds
}

/** Orders and statuses by service. */
export interface RolloutRecords {
  orders (): readonly RolloutOrder[]
  order (service: string): RolloutOrder | undefined
  status (service: string): KnownStatus | undefined
  /** Time at which the statuses were last heard of; undefined before the first time. */
  statusHeardAt (): Milliseconds | undefined
  /** Takes what the operator writes beside the configuration. */
  readonly follower: PrefixHandler
}

/** Characters of an error in a line of the log. */
const LONGEST_ERROR = 200

/**
 * Statuses are followed once there is an order: without one there are none that matter, and each start would pay for
 * the reading.
 *
 * @param within an order or a status must be known after this time
 * @param changed called with the service whose order or status is another
 * @example
 * const records = keepRolloutRecords(context, platform.registry.rollouts, 2 * SECOND, rollouts.changed)
 */
export function keepRolloutRecords (context: StoreContext, registry: RolloutRegistry, within: Milliseconds, changed: (service: string) => void): RolloutRecords {
  const { store, clock, log } = context
  const orders = new Map<string, { readonly key: string, readonly order: RolloutOrder }>()
  const statuses = new Map<string, KnownStatus>()
  let following: PrefixSubscription | undefined

  function putOrder ({ key, value, revision }: KeyValueEntry): void {
    const read = registry.readOrder(key, value, revision)
    if (read === undefined) return
    if (read instanceof Error) return log.warn('rollout-order-unreadable', { key, error: read.message.slice(0, LONGEST_ERROR) })
    const known = orders.get(read.service)?.order
    const order = asAnswered(sameOrder(read, known))
    if (known?.revision === order.revision) return
    orders.set(order.service, { key, order })
    following ??= followStatuses()
    log.info('rollout-ordered', { service: order.service, version: order.version, duration: order.duration, order: order.revision })
    changed(order.service)
  }

  function asAnswered (order: RolloutOrder): RolloutOrder {
    const status = statuses.get(order.service)?.status
    return sameOrder(order, status && { version: status.version, revision: status.order })
  }

  function removeOrder (key: string): void {
    for (const [service, known] of orders) {
      if (known.key !== key) continue
      orders.delete(service)
      log.info('rollout-order-removed', { service })
      changed(service)
    }
  }

  function followStatuses (): PrefixSubscription {
    return followPrefix(context, registry.statusPrefix, {
      replace: (entries) => {
        noteMissing(new Set(entries.map(({ key }) => key)))
        for (const entry of entries) putStatus(entry)
      },
      put: putStatus,
      remove: (key) => log.warn('rollout-status-removed', { key })
    }, boundedDelaySettings(within, 0))
  }

  /** A return from a copy took these away; in one epoch nobody does. */
  function noteMissing (present: ReadonlySet<string>): void {
    for (const [service, known] of statuses) {
      const isPast = epochOf(known.revision) < (store.epochs.current() ?? ONLY_EPOCH)
      if (isPast && !present.has(registry.statusKey(service))) statuses.set(service, { ...known, revision: ABSENT, isLost: true })
    }
  }

  function putStatus ({ key, value, revision }: KeyValueEntry): void {
    const service = key.slice(registry.statusPrefix.length)
    const status = registry.readStatus(service, value)
    if (status === undefined) return log.warn('rollout-status-unreadable', { key, value: value.slice(0, LONGEST_ERROR) })
    const known = statuses.get(service)
    if (known !== undefined && known.revision >= revision) return
    if (known !== undefined && isBehind(status, known.status)) {
      statuses.set(service, { ...known, revision, isLost: true })
      log.warn('rollout-stage-lost', { service, version: known.status.version, stage: known.status.stage, found: status.stage, order: known.status.order })
      return
    }
    const isSameStage = known?.status.order === status.order && known.status.stage === status.stage
    statuses.set(service, { status, revision, isLost: false, since: isSameStage ? known.since : clock.now() })
    const ordered = orders.get(service)
    if (ordered !== undefined) orders.set(service, { ...ordered, order: asAnswered(ordered.order) })
    log.info('rollout-stage', { service, version: status.version, stage: status.stage, order: status.order, probedPart: status.probedPart })
    changed(service)
  }

  return {
    orders: () => [...orders.values()].map(({ order }) => order),
    order: (service) => orders.get(service)?.order,
    status: (service) => statuses.get(service),
    statusHeardAt: () => following?.lastContactAt(),
    follower: {
      replace: (entries) => {
        const keys = new Set(entries.map(({ key }) => key))
        for (const { key } of orders.values()) if (!keys.has(key)) removeOrder(key)
        for (const entry of entries) putOrder(entry)
      },
      put: putOrder,
      remove: removeOrder
    }
  }
}

/**
 * The status that answers an order.
 *
 * @example
 * answerTo(records, order)?.status.stage
 */
export function answerTo (records: RolloutRecords, order: RolloutOrder): KnownStatus | undefined {
  const known = records.status(order.service)
  return answers(known?.status, order) ? known : undefined
}
