/** Loads of weights after a reclaim wave: all at once, first come first served, and by need. */
import { orderLoads } from '../src/capacity/index.js'
import type { PendingLoad, ServiceSupply } from '../src/capacity/index.js'
import { SECOND } from '../src/clock.js'
import { serviceNameSchema, upstreamNameSchema } from '../src/identifiers.js'
import { createRandom } from '../src/random.js'
import type { Random } from '../src/random.js'
import type { Bench, Table } from './table.js'

/** Engines that must load after a wave. */
interface Scenario {
  readonly name: string
  /** Bytes a millisecond that the store sends, and that one engine receives at most. */
  readonly storeRate: number
  readonly receiverRate: number
  readonly services: readonly { readonly name: string, readonly engines: number, readonly lost: number, readonly bytes: number }[]
}

/** What came of one order. */
interface LoadOutcome {
  /** Mean and longest time until an engine serves, in seconds. */
  readonly mean: number
  readonly last: number
  /** Work missing, in seconds of one service's whole need. */
  readonly missing: number
  /** Time until every service serves its need, worst service first. */
  readonly worstService: number
}

const GIGABYTE = 1_000_000_000
const CAPACITY = 600

/** Share of a service's engines that carries its need; the rest is spare for a lost zone. */
const NEED_SHARE = 0.8

const SCENARIOS: readonly Scenario[] = [
  { name: 'Calcária, one zone lost', storeRate: GIGABYTE / SECOND, receiverRate: GIGABYTE / SECOND, services: [{ name: 'servicing-assistant', engines: 13, lost: 5, bytes: 14 * GIGABYTE }] },
  { name: 'Tsubame, one zone lost', storeRate: GIGABYTE / SECOND, receiverRate: GIGABYTE / SECOND, services: [{ name: 'timetable-drafting', engines: 6, lost: 2, bytes: 26 * GIGABYTE }] },
  {
    name: 'target size, one domain of five lost',
    storeRate: 100 * GIGABYTE / SECOND,
    receiverRate: 4 * GIGABYTE / SECOND,
    services: [
      { name: 'plans', engines: 260, lost: 60, bytes: 140 * GIGABYTE },
      { name: 'questions', engines: 180, lost: 40, bytes: 28 * GIGABYTE },
      { name: 'notices', engines: 100, lost: 60, bytes: 28 * GIGABYTE },
      { name: 'drafts', engines: 60, lost: 20, bytes: 80 * GIGABYTE }
    ]
  }
]

/** Time until services have capacity again, by order of loads. */
export const bench: Bench = {
  name: 'weight-loads',
  description: 'Order of weight loads under the store\'s rate after a reclaim wave',
  run: ({ seed }) => SCENARIOS.map((scenario) => compare(scenario, seed))
}

function compare (scenario: Scenario, seed: number): Table {
  const pending = shuffled(pendingOf(scenario), createRandom(seed))
  const supplies = suppliesOf(scenario)
  const atOnce = Math.ceil(scenario.storeRate / scenario.receiverRate)
  const rows: [string, LoadOutcome][] = [
    ['all at once, shared fairly', play(scenario, pending, pending.length)],
    ['whole, first come first served', play(scenario, pending, atOnce)],
    ['whole, by need', play(scenario, orderLoads(pending, supplies), atOnce)]
  ]
  return {
    title: `${scenario.name}: ${pending.length} loads`,
    columns: ['order', 'mean s', 'last s', 'need missing s', 'worst service s'],
    rows: rows.map(([name, outcome]) => [name, ...[outcome.mean, outcome.last, outcome.missing, outcome.worstService].map((value) => value.toFixed(1))]),
    note: 'Need missing: the services\' unserved shares of their needs, summed over time. Worst service: when the last service carries its need again.'
  }
}

/** Transfers share the store's rate fairly, each at most at its receiver's; `atOnce` are open at a time. */
function play (scenario: Scenario, order: readonly PendingLoad[], atOnce: number): LoadOutcome {
  const left = new Map(order.map((load) => [load, load.bytes]))
  const waiting = [...order]
  const open = waiting.splice(0, atOnce)
  const supplies = new Map(suppliesOf(scenario).map((one) => [one.service, { ...one }]))
  let time = 0
  let sum = 0
  let missing = 0
  let worstService = 0
  while (open.length > 0) {
    const rate = Math.min(scenario.receiverRate, scenario.storeRate / open.length)
    const duration = Math.min(...open.map((load) => left.get(load) as number)) / rate
    for (const one of supplies.values()) missing += Math.max(0, 1 - one.supply / one.need) * duration
    time += duration
    for (const load of [...open]) {
      const rest = (left.get(load) as number) - rate * duration
      left.set(load, rest)
      if (rest > 1) continue
      sum += time
      open.splice(open.indexOf(load), 1, ...waiting.splice(0, 1))
      const one = supplies.get(load.service)
      if (one === undefined) continue
      if (one.supply < one.need) worstService = time
      supplies.set(load.service, { ...one, supply: one.supply + load.capacity })
    }
  }
  return { mean: sum / order.length / SECOND, last: time / SECOND, missing: missing / SECOND, worstService: worstService / SECOND }
}

function pendingOf (scenario: Scenario): PendingLoad[] {
  return scenario.services.flatMap(({ name, lost, bytes }) => Array.from({ length: lost }, (_, index) =>
    ({ upstream: upstreamNameSchema.parse(`${name}-${index}`), service: serviceNameSchema.parse(name), bytes, capacity: CAPACITY })))
}

function suppliesOf (scenario: Scenario): ServiceSupply[] {
  return scenario.services.map(({ name, engines, lost }) =>
    ({ service: serviceNameSchema.parse(name), need: engines * CAPACITY * NEED_SHARE, supply: (engines - lost) * CAPACITY }))
}

function shuffled<T> (items: readonly T[], random: Random): T[] {
  const rest = [...items]
  return items.map(() => rest.splice(random.integer(rest.length), 1)[0] as T)
}
