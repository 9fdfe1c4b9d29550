/** Processor time of the dispatch queue for each request, with free upstreams and with many waiting requests. */
import type { Milliseconds } from '../src/clock.js'
import { createDispatchQueue, createQueueSpace } from '../src/dispatch-queue/index.js'
import type { DispatchQueue, Offer, QueuedRequest } from '../src/dispatch-queue/index.js'
import type { OrganisationName } from '../src/identifiers.js'
import { createRandom } from '../src/random.js'
import type { Bench, Table } from './table.js'

const REQUESTS = 50_000
const WARMUP = 5_000
const DECISIONS = 5_000
const ORGANISATIONS = 16

/** Time between two arrivals or decisions. */
const PAUSE: Milliseconds = 10

const WAITING = [10, 100, 1_000]

/** Processor time of one event, in microseconds. */
export const bench: Bench = {
  name: 'dispatch-queue',
  description: 'Processor time of the dispatch queue of a gateway node',
  run: ({ seed }) => [tableOf(seed)]
}

function tableOf (seed: number): Table {
  const rows: (string | number)[][] = [['arrival, upstreams free', 0, measureFree(seed)]]
  for (const waiting of WAITING) {
    const { queue, now } = fill(seed, waiting)
    rows.push(['arrival and departure of a caller', waiting, measure(DECISIONS, (index) => {
      const request = createRequest(index, now, () => 700)
      queue.arrived(request, now)
      queue.left(request, now)
    })])
    rows.push(['decision without effect', waiting, measure(DECISIONS, () => { queue.advance(now) })])
  }
  return {
    title: 'Processor time of one event, microseconds',
    columns: ['event', 'waiting', 'mean'],
    rows,
    note: 'Without the choice of an upstream, which a decision makes for at most four blocked requests.'
  }
}

function createRequest (index: number, now: Milliseconds, waiting: () => Milliseconds): QueuedRequest<Offer> {
  return {
    rank: index % 3,
    organisation: `o${index % ORGANISATIONS}` as OrganisationName,
    arrival: now,
    target: 800,
    limit: now + 1_000_000,
    deadline: now + 1_000_000,
    base: 30,
    bytes: 1_000,
    answering: false,
    restricted: false,
    choose: () => ({ waiting: waiting(), reading: 20 }),
    withheld: () => 0
  }
}

function createQueue (seed: number): DispatchQueue<Offer> {
  return createDispatchQueue<Offer>({ random: createRandom(seed), space: createQueueSpace(), upstreams: () => 12 })
}

function measureFree (seed: number): number {
  const queue = createQueue(seed)
  const arrive = (index: number): void => { queue.arrived(createRequest(index, index * PAUSE, () => 0), index * PAUSE) }
  return measure(REQUESTS, arrive)
}

/** A queue in which nothing can be dispatched yet. */
function fill (seed: number, waiting: number): { readonly queue: DispatchQueue<Offer>, readonly now: Milliseconds } {
  const queue = createQueue(seed)
  for (let index = 0; index < waiting; index += 1) queue.arrived(createRequest(index, index / waiting, () => 760), index / waiting)
  return { queue, now: 1 }
}

function measure (count: number, run: (index: number) => void): number {
  for (let index = 0; index < WARMUP; index += 1) run(index)
  const before = process.cpuUsage()
  for (let index = WARMUP; index < WARMUP + count; index += 1) run(index)
  const { user, system } = process.cpuUsage(before)
  return Math.round((user + system) / count * 100) / 100
}
