/** Time of one decision of the planner, and the size of its values, up to the target size. */
import { emptyDesiredState, emptyLearned, observeDemand, offerSchema, plan, withCapacity, withDemand } from '../src/capacity/index.js'
import type { CloudInstance, DesiredState, Learned } from '../src/capacity/index.js'
import { MINUTE, SECOND } from '../src/clock.js'
import { configurationSchema } from '../src/configuration/index.js'
import { createRandom } from '../src/random.js'
import type { Bench, BenchOptions, Table } from './table.js'

/** A deployment to decide for. */
interface Size {
  readonly name: string
  readonly servers: number
  readonly domains: number
  readonly services: number
  /** Target of the cost of 1,000 answers; a low one brings the two targets into conflict. */
  readonly cost: number
}

const SIZES: readonly Size[] = [
  { name: 'Tsubame', servers: 9, domains: 3, services: 2, cost: 10 },
  { name: 'Calcária', servers: 16, domains: 3, services: 2, cost: 10 },
  { name: 'a quarter of the target', servers: 150, domains: 5, services: 4, cost: 10 },
  { name: 'target', servers: 600, domains: 5, services: 4, cost: 10 },
  { name: 'target, targets in conflict', servers: 600, domains: 5, services: 4, cost: 0.01 }
]

const CLASSES = [{ name: 'small', work: 600, price: 2 }, { name: 'medium', work: 1_200, price: 3.7 }, { name: 'large', work: 2_400, price: 7.6 }]
const RUNS = 40
const LARGEST_VALUE = 1_048_576

/** Time of the planner's decision and size of its values, by size of deployment. */
export const bench: Bench = {
  name: 'planner-size',
  description: 'Decision time of the planner and size of its values in the key-value service',
  run: (options) => [measure(options)]
}

function measure (options: BenchOptions): Table {
  return {
    title: `One decision, ${RUNS} runs each`,
    columns: ['deployment', 'servers', 'first ms', 'median ms', 'longest ms', 'after a domain\'s loss ms', 'desired bytes', 'learned bytes', 'share of the largest value'],
    rows: SIZES.map((size) => rowOf(size, options.seed)),
    note: 'First: from nothing to a whole fleet. Median and longest: the fleet runs, and demand and prices have moved. At a look every 10 s, 10 ms are 0.1% of a core.'
  }
}

function rowOf (size: Size, seed: number): (string | number)[] {
  const random = createRandom(seed)
  const domains = Array.from({ length: size.domains }, (_, index) => `zone-${index}`)
  const services = Array.from({ length: size.services }, (_, index) => `service-${index}`)
  const configuration = configurationSchema.parse({
    deployment: { name: size.name, target: { cost_per_thousand_answers: size.cost, recomputed_per_thousand_tokens: 1 } },
    services: services.map((name) => ({ kind: 'model', name, model: `${name}-model` })),
    organisations: [{ name: 'one', key_sha256: ['0'.repeat(64)] }],
    classes: services.map((name) => ({ name: `${name}-class`, service: name, idempotent: true, target: { first_token_ms: 560, between_tokens_ms: 34, whole_answer_ms: 30_000, quantile: 0.95, reliability: 0.999 } }))
  })
  const discounts = domains.map(() => 0.3 + 0.3 * random.fraction())
  const offers = () => domains.flatMap((failureDomain, index) => CLASSES.flatMap((one) => [
    offerSchema.parse({ failureDomain, machineClass: one.name, market: 'reclaimable', pricePerHour: one.price * (discounts[index] ?? 1) * (0.95 + 0.1 * random.fraction()) }),
    offerSchema.parse({ failureDomain, machineClass: one.name, market: 'on-demand', pricePerHour: one.price })
  ]))
  let now = 1_000_000
  let learned: Learned = emptyLearned(now)
  for (const service of configuration.services) {
    for (const one of CLASSES) learned = withCapacity(learned, service.name, one.name, { highest: one.work * (size.domains - 1) / size.domains, weight: 0, running: 0, interval: 0, runningSquared: 0, product: 0 })
  }
  const work = size.servers * 1_200 * (size.domains - 1) / size.domains / size.services
  const see = () => {
    for (const service of configuration.services) {
      const demand = learned.demands.find((one) => one.service === service.name)?.demand
      const workPerSecond = work * (0.97 + 0.06 * random.fraction())
      learned = withDemand(learned, service.name, { ...observeDemand(demand, { at: now, requestsPerSecond: workPerSecond / 400, workPerSecond }), since: 0 })
    }
  }
  const decide = (state: DesiredState, instances: readonly CloudInstance[]) => {
    see()
    const serving = new Set(instances.map((instance) => instance.name))
    const sold = offers()
    const began = performance.now()
    const decision = plan({ configuration, state, learned, offersFor: () => sold, fleet: { instances, serving, idle: new Set(), released: new Set() }, now, fencing: 1, reportedGeneration: 0 })
    now += 10 * SECOND
    return { state: decision.state, took: performance.now() - began }
  }

  const first = decide(emptyDesiredState(), [])
  let state = first.state
  const times: number[] = []
  for (let run = 0; run < RUNS; run += 1) {
    const next = decide(state, running(state))
    state = next.state
    times.push(next.took)
  }
  now += 20 * MINUTE
  const lost = decide(state, running(state).map((instance) => (instance.failureDomain === 'zone-0' ? { ...instance, state: 'reclaiming' } : instance)))
  times.sort((left, right) => left - right)
  const desired = JSON.stringify(lost.state).length
  const count = state.slots.filter((slot) => slot.state === 'wanted').length
  return [size.name, count, first.took.toFixed(1), (times[RUNS / 2] ?? 0).toFixed(1), (times.at(-1) ?? 0).toFixed(1), lost.took.toFixed(1), desired, JSON.stringify(learned).length, `${(100 * desired / LARGEST_VALUE).toFixed(1)}%`]
}

function running (state: DesiredState): CloudInstance[] {
  return state.slots.filter((slot) => slot.state !== 'released').map((slot) => ({ name: slot.name, group: 'bench', service: slot.service, ...slot.offer, state: 'live' }))
}
