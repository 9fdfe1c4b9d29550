/** Follows the operator's roll-out orders and the roll-out statuses that the system writes in answer to them. */
import type { Milliseconds } from '../clock.js'
import { DEFAULT_EPOCH } from '../protocols/epochs.js'
import { ABSENT } from '../protocols/key-value.js'
import { epochOf } from '../revision.js'
import { isAnswerTo, isSuperseded, withKnownRevision } from '../rollout/index.js'
import type { RolloutOrder, RolloutStatus } from '../rollout/index.js'
import type { KeyValueEntry } from '../protocols/key-value.js'
import { followPrefix, boundedDelaySettings } from './follow.js'
import type { StoreContext, PrefixHandler, PrefixSubscription } from './follow.js'
import type { RolloutRegistry } from './ports.js'
import { createUnusableEntries } from './unusable-entries.js'

/** A roll-out status as this node knows it. */
export interface KnownStatus {
  readonly status: RolloutStatus
  /** Revision of the service's status in the store, which may be an earlier status. */
  readonly revision: number
  /** The store was restored from a backup without this status, so that it has to be written again. */
  readonly isLost: boolean
  /** Time at which this node first saw this stage. */
  readonly since: Milliseconds
}

/** Roll-out orders and statuses by service. */
export interface RolloutRecords {
  orders (): readonly RolloutOrder[]
  order (service: string): RolloutOrder | undefined
  status (service: string): KnownStatus | undefined
  /** Revision of what the store has in place of a service's status, also where it can't be read; {@link ABSENT} where it has nothing. */
  statusRevision (service: string): number
  /** Time at which the statuses were last received; undefined before the first time. */
  statusReceivedAt (): Milliseconds | undefined
  /** Receives the entries that the operator writes beside the configuration. */
  readonly handler: PrefixHandler
}

/** Maximum number of characters of an error or a stored value in a log line. */
const MAX_LOGGED_LENGTH = 200

/**
 * Follows orders, and statuses from the first order on. Without an order no status matters, and each start of a node would
 * have to read them.
 *
 * @param maxDelay time within which a change of an order or a status must be known
 * @param changed called with the service whose order or status has changed
 * @example
 * const records = watchRolloutRecords(context, platform.registry.rollouts, 2 * SECOND, rollouts.changed)
 */
export function watchRolloutRecords (context: StoreContext, registry: RolloutRegistry, maxDelay: Milliseconds, changed: (service: string) => void): RolloutRecords {
  const { store, clock, log } = context
  const orders = new Map<string, { readonly key: string, readonly order: RolloutOrder }>()
  const statuses = new Map<string, KnownStatus>()
  /** Revisions of statuses that can't be read, by service. */
  const unreadableStatuses = new Map<string, number>()
  const unusable = createUnusableEntries()
  let following: PrefixSubscription | undefined

  function putOrder ({ key, value, revision }: KeyValueEntry): void {
    const read = registry.readOrder(key, value, revision)
    if (read === undefined) return
    if (read instanceof Error) {
      const error = read.message.slice(0, MAX_LOGGED_LENGTH)
      if (unusable.note(key, error)) log.warn('rollout-order-unreadable', { key, error })
      return
    }
    unusable.forget(key)
    const known = orders.get(read.service)?.order
    const order = withAnsweredRevision(withKnownRevision(read, known))
    if (known?.revision === order.revision) return
    orders.set(order.service, { key, order })
    following ??= followStatuses()
    log.info('rollout-ordered', { service: order.service, version: order.version, duration: order.duration, order: order.revision })
    changed(order.service)
  }

  /** An order that was rewritten after a restore keeps the revision that the known status answers. */
  function withAnsweredRevision (order: RolloutOrder): RolloutOrder {
    const status = statuses.get(order.service)?.status
    return withKnownRevision(order, status && { version: status.version, revision: status.order })
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
        markLost(new Set(entries.map(({ key }) => key)))
        for (const entry of entries) putStatus(entry)
      },
      put: putStatus,
      remove: (key) => log.warn('rollout-status-removed', { key })
    }, boundedDelaySettings(maxDelay, 0))
  }

  /** Marks statuses that a restore of the store has removed. Within one epoch statuses are never removed. */
  function markLost (present: ReadonlySet<string>): void {
    for (const [service, known] of statuses) {
      const isPast = epochOf(known.revision) < (store.epochs.current() ?? DEFAULT_EPOCH)
      if (isPast && !present.has(registry.statusKey(service))) statuses.set(service, { ...known, revision: ABSENT, isLost: true })
    }
  }

  function putStatus ({ key, value, revision }: KeyValueEntry): void {
    const service = key.slice(registry.statusPrefix.length)
    const status = registry.readStatus(service, value)
    if (status === undefined) return rejectStatus(service, { key, value, revision })
    unusable.forget(key)
    unreadableStatuses.delete(service)
    const known = statuses.get(service)
    if (known !== undefined && known.revision >= revision) return
    if (known !== undefined && isSuperseded(status, known.status)) {
      statuses.set(service, { ...known, revision, isLost: true })
      log.warn('rollout-stage-lost', { service, version: known.status.version, stage: known.status.stage, found: status.stage, order: known.status.order })
      return
    }
    const isSameStage = known?.status.order === status.order && known.status.stage === status.stage
    statuses.set(service, { status, revision, isLost: false, since: isSameStage ? known.since : clock.now() })
    const ordered = orders.get(service)
    if (ordered !== undefined) orders.set(service, { ...ordered, order: withAnsweredRevision(ordered.order) })
    log.info('rollout-stage', { service, version: status.version, stage: status.stage, order: status.order, probedPart: status.probedPart })
    changed(service)
  }

  /**
   * Failure guarded against: another writer spoils a status, which is then never written again, since a write expects the revision of the
   * status that was read last, or none.
   */
  function rejectStatus (service: string, { key, value, revision }: KeyValueEntry): void {
    const logged = value.slice(0, MAX_LOGGED_LENGTH)
    if (unusable.note(key, logged)) log.warn('rollout-status-unreadable', { key, value: logged })
    const known = statuses.get(service)
    if (known === undefined) unreadableStatuses.set(service, revision)
    else if (revision > known.revision) statuses.set(service, { ...known, revision, isLost: true })
  }

  return {
    orders: () => [...orders.values()].map(({ order }) => order),
    order: (service) => orders.get(service)?.order,
    status: (service) => statuses.get(service),
    statusRevision: (service) => statuses.get(service)?.revision ?? unreadableStatuses.get(service) ?? ABSENT,
    statusReceivedAt: () => following?.lastContactAt(),
    handler: {
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
 * The status that answers an order, or undefined if the known status answers another one.
 *
 * @example
 * statusFor(records, order)?.status.stage
 */
export function statusFor (records: RolloutRecords, order: RolloutOrder): KnownStatus | undefined {
  const known = records.status(order.service)
  return isAnswerTo(known?.status, order) ? known : undefined
}
