/**
 * State of the cloud's stand-in: offers with limited room, instances by name, reclaim waves. No
 * network; the HTTP face and the in-process face both drive it.
 */
import { reclaimNoticeSchema } from '../src/capacity/index.js'
import type { CloudInstance, Offer, ReclaimNotice, StartAnswer, StartOrder } from '../src/capacity/index.js'
import type { Clock, Milliseconds } from '../src/clock.js'
import type { FailureDomain, InstanceName } from '../src/identifiers.js'
import type { NoticePage } from '../src/protocols/cloud.js'

/** The cloud's operations; all are immediate. */
export interface CloudState {
  offers (): readonly Offer[]
  /** Replaces what is sold; prices may change at any time. */
  setOffers (offers: readonly Offer[]): void
  /** Instances that an offer has room for; undefined lifts the limit, 0 refuses every start. */
  limit (offer: Pick<Offer, 'failureDomain' | 'machineClass' | 'market'>, room: number | undefined): void
  start (order: StartOrder): StartAnswer
  release (name: InstanceName): void
  list (group: string): readonly CloudInstance[]
  /** Gives notice to instances; they end after it. */
  reclaim (names: readonly InstanceName[], notice: Milliseconds): void
  /** Gives notice to the reclaimable instances of a failure domain. */
  reclaimDomain (failureDomain: FailureDomain, notice: Milliseconds): void
  notices (after: number): NoticePage
  /** Start orders that made a new instance; a test counts what was bought. */
  bought (): readonly StartOrder[]
  /** Applies what time has brought: instances that became live or ended. */
  settle (): void
}

/** What the owner of the state does when an instance begins or ends. */
export interface CloudEvents {
  started? (instance: CloudInstance): void
  ended? (instance: CloudInstance): void
}

interface Machine {
  readonly order: StartOrder
  readonly liveAt: Milliseconds
  endsAt: Milliseconds
  announced: boolean
}

interface StoredNotice {
  readonly sequence: number
  readonly order: StartOrder
  readonly endsAt: Milliseconds
}

/**
 * @param options.startTime time from a start order until the instance is live, in milliseconds
 * @example
 * const cloud = createCloudState({ clock, offers, startTime: 0 })
 */
export function createCloudState (options: { clock: Clock, offers: readonly Offer[], startTime: Milliseconds, events?: CloudEvents }): CloudState {
  const { clock, events } = options
  const machines = new Map<InstanceName, Machine>()
  const ended = new Set<InstanceName>()
  const rooms = new Map<string, number>()
  const notices: StoredNotice[] = []
  const bought: StartOrder[] = []
  let offers = options.offers

  function settle (): void {
    const now = clock.now()
    for (const machine of machines.values()) {
      if (!machine.announced && machine.liveAt <= now) {
        machine.announced = true
        events?.started?.(toInstance(machine, now))
      }
      if (machine.endsAt <= now) end(machine)
    }
  }

  function end (machine: Machine): void {
    machines.delete(machine.order.name)
    ended.add(machine.order.name)
    if (machine.announced) events?.ended?.(toInstance(machine, clock.now()))
  }

  function refusal (order: StartOrder): string | undefined {
    const key = keyOf(order)
    if (!offers.some((offer) => keyOf(offer) === key)) return 'no such offer'
    const room = rooms.get(key)
    const used = [...machines.values()].filter((machine) => keyOf(machine.order) === key).length
    return room !== undefined && used >= room ? 'insufficient capacity' : undefined
  }

  function reclaim (names: readonly InstanceName[], notice: Milliseconds): void {
    const endsAt = clock.now() + notice
    for (const name of names) {
      const machine = machines.get(name)
      if (machine === undefined) continue
      machine.endsAt = Math.min(machine.endsAt, endsAt)
      notices.push({ sequence: notices.length + 1, order: machine.order, endsAt: machine.endsAt })
    }
    settle()
  }

  return {
    settle,
    reclaim,
    offers: () => offers,
    setOffers: (changed) => { offers = changed },
    limit: (offer, room) => {
      if (room === undefined) rooms.delete(keyOf(offer))
      else rooms.set(keyOf(offer), room)
    },
    start: (order) => {
      settle()
      if (ended.has(order.name)) return { kind: 'ended' }
      const known = machines.get(order.name)
      if (known !== undefined) return { kind: 'started', instance: toInstance(known, clock.now()) }
      const reason = refusal(order)
      if (reason !== undefined) return { kind: 'refused', reason }
      const machine = { order, liveAt: clock.now() + options.startTime, endsAt: Infinity, announced: false }
      machines.set(order.name, machine)
      bought.push(order)
      settle()
      return { kind: 'started', instance: toInstance(machine, clock.now()) }
    },
    release: (name) => {
      settle()
      ended.add(name)
      const machine = machines.get(name)
      if (machine !== undefined) end(machine)
    },
    list: (group) => {
      settle()
      const own = [...machines.values()].filter((machine) => machine.order.group === group)
      return own.map((machine) => toInstance(machine, clock.now()))
    },
    reclaimDomain: (failureDomain, notice) => {
      const taken = [...machines.values()].filter(({ order }) => order.failureDomain === failureDomain && order.market === 'reclaimable')
      reclaim(taken.map((machine) => machine.order.name), notice)
    },
    notices: (after) => {
      settle()
      const page = notices.slice(Math.max(0, after))
      return { notices: page.map((notice) => toNotice(notice, clock.now())), next: notices.length }
    },
    bought: () => bought
  }
}

function keyOf (offer: Pick<Offer, 'failureDomain' | 'machineClass' | 'market'>): string {
  return `${offer.failureDomain}/${offer.machineClass}/${offer.market}`
}

function toInstance (machine: Machine, now: Milliseconds): CloudInstance {
  if (machine.endsAt !== Infinity) return { ...machine.order, state: 'reclaiming' }
  return { ...machine.order, state: machine.liveAt <= now ? 'live' : 'starting' }
}

function toNotice (notice: StoredNotice, now: Milliseconds): ReclaimNotice {
  return reclaimNoticeSchema.parse({
    sequence: notice.sequence,
    instance: notice.order.name,
    failureDomain: notice.order.failureDomain,
    remainingMs: Math.max(0, notice.endsAt - now)
  })
}
