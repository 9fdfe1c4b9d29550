/** Writes and added latency of bare idempotency keys, against ids with a home, which need neither. */
import { createClaimStore, writePause } from '../src/entry/claim-store.js'
import type { ClaimStore } from '../src/entry/claim-store.js'
import type { Milliseconds } from '../src/clock.js'
import { failureDomainSchema, incarnationSchema, requestIdFor } from '../src/identifiers.js'
import type { RequestId } from '../src/identifiers.js'
import { createRandom } from '../src/random.js'
import { claimWriter, createHomeTable, shardOf } from '../src/request/index.js'
import { createFaultSwitch } from '../stand-ins/faults.js'
import { createDirectKeyValue } from '../stand-ins/key-value-direct.js'
import { createKeyValueStore } from '../stand-ins/key-value-store.js'
import { createVirtualClock } from './agreement/virtual-clock.js'
import type { Bench, Table } from './table.js'

/** How claims reach the key-value service. */
type Path = 'a write each' | 'grouped' | 'grouped, one writer a shard'

interface Run {
  readonly path: Path
  readonly nodes: number
  /** Bare keys a second over all nodes. */
  readonly rate: number
  /** Round trip of the key-value service. */
  readonly latency: Milliseconds
  readonly seed: number
}

const DURATION: Milliseconds = 10_000
const PATHS: readonly Path[] = ['a write each', 'grouped', 'grouped, one writer a shard']

/** Way to the writer of a shard and back, another failure domain away. */
const PEER_ROUND_TRIP: Milliseconds = 3

/** Idempotency keys against ids with a home, by arrival rate and latency of the service. */
export const bench: Bench = {
  name: 'claims',
  description: 'Key-value writes and added latency of bare idempotency keys',
  run: async ({ seed }) => [await claims(seed), homes(seed), sizes(seed)]
}

async function claims (seed: number): Promise<Table> {
  const rows: (string | number)[][] = []
  for (const [nodes, rate, latency] of [[8, 10, 3], [8, 100, 3], [8, 100, 30], [8, 1_000, 3], [8, 1_000, 30], [370, 300, 3]] as const) {
    for (const path of PATHS) rows.push([path, nodes, rate, latency, ...await measure({ path, nodes, rate, latency, seed })])
  }
  return {
    title: 'Bare idempotency keys: claims in the key-value service',
    columns: ['path', 'nodes', 'keys/s', 'service ms', 'writes per 1,000', 'reads per 1,000', 'writes/s', 'added ms p50', 'added ms p99', 'refused'],
    rows,
    note: '10 s of virtual time, Poisson arrivals, 16 shards. Grouped writers keep their share of 200 writes/s.'
  }
}

async function measure ({ path, nodes, rate, latency, seed }: Run): Promise<number[]> {
  const clock = createVirtualClock()
  const random = createRandom(seed)
  const faultSwitch = createFaultSwitch(clock, random)
  faultSwitch.faults.latency = latency
  const keyValue = createDirectKeyValue(createKeyValueStore(clock), faultSwitch, clock)
  const owner = new AbortController()
  const members = Array.from({ length: nodes }, (_, index) => memberOf(index))
  const shards = path === 'a write each' ? rate * DURATION / 1_000 : undefined
  const pause = path === 'a write each' ? () => 0 : () => writePause(path === 'grouped' ? nodes : Math.min(nodes, 16))
  const keepers = new Map<string, ClaimStore>(members.map(({ incarnation }) =>
    [incarnation, createClaimStore({ keyValue, clock, signal: owner.signal, pause, ...(shards === undefined ? {} : { shards }) })]))
  const waits: Milliseconds[] = []
  let sent = 0
  let refused = 0

  async function claim (): Promise<void> {
    const arrival = random.pick(members)
    const key = `key-${sent}`
    sent += 1
    const start = clock.now()
    const writer = path === 'grouped, one writer a shard' ? claimWriter(shardOf(key), members) : arrival.incarnation
    if (writer !== arrival.incarnation) await clock.sleep(PEER_ROUND_TRIP)
    await keepers.get(writer as string)!.claim({ key, id: idOf(sent), fingerprint: 'f' })
    waits.push(clock.now() - start)
  }

  for (let next = 0; next < DURATION; next += -Math.log(1 - random.fraction()) * 1_000 / rate) {
    await clock.advance(next - clock.now())
    claim().catch(() => { refused += 1 })
    await clock.advance(0)
  }
  await clock.advance(10_000)
  owner.abort()
  waits.sort((left, right) => left - right)
  const { writes, reads } = keyValue.calls
  return [Math.round(writes * 1_000 / sent), Math.round(reads * 1_000 / sent), Math.round(writes / (DURATION / 1_000)), quantile(waits, 0.5), quantile(waits, 0.99), refused]
}

function homes (seed: number): Table {
  const own = incarnationSchema.parse('entry-1-x')
  const home = createHomeTable({ own, seed })
  const count = 100_000
  const start = performance.now()
  for (let number = 0; number < count; number += 1) {
    const id = idOf(number)
    home.submit({ id, organisation: 'tejo' as never, fingerprint: 'f' }, number)
    home.end(id, { outcome: { kind: 'served', finish: 'stop', late: false }, verdict: 'ran' }, number)
  }
  const microseconds = (performance.now() - start) * 1_000 / count
  return {
    title: 'Ids with a home',
    columns: ['writes per 1,000', 'added ms', 'processor microseconds a request'],
    rows: [[0, 0, Math.round(microseconds * 10) / 10]],
    note: 'Submission and end in the home table, 100,000 ids, all but 20,000 forgotten into the filter.'
  }
}

/** What one write of a shard costs the processor as the shard grows. */
function sizes (seed: number): Table {
  const random = createRandom(seed)
  const rows = [100, 1_000, 5_000].map((count) => {
    const claims = Array.from({ length: count }, (_, number) => ({ key: `${random.integer(2 ** 30)}`.padStart(32, '0'), id: idOf(number), fingerprint: 'f'.repeat(64) }))
    const start = performance.now()
    const value = JSON.stringify({ claims })
    JSON.parse(value)
    return [count, value.length, Math.round((performance.now() - start) * 100) / 100]
  })
  return { title: 'Size of a shard', columns: ['claims', 'bytes', 'write and read ms'], rows }
}

function memberOf (index: number) {
  return { incarnation: incarnationSchema.parse(`entry-${index}-x`), failureDomain: failureDomainSchema.parse(`zone-${index % 3}`), leaving: false }
}

function idOf (number: number): RequestId {
  return requestIdFor(incarnationSchema.parse('entry-1-x'), `request-${String(number).padStart(16, '0')}`)
}

function quantile (sorted: readonly Milliseconds[], share: number): Milliseconds {
  return Math.round((sorted[Math.floor(sorted.length * share)] ?? 0) * 10) / 10
}
