/** What one entry node adds to a small request, against direct calls to the same stand-ins in one run. */
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import { createConnections } from '../src/protocols/http.js'
import type { Connections } from '../src/protocols/http.js'
import { createSystemClock } from '../src/clock.js'
import type { Clock, Milliseconds } from '../src/clock.js'
import { startDeployment } from '../stand-ins/deployment.js'
import type { Deployment } from '../stand-ins/deployment.js'
import type { Bench, Table } from './table.js'

const RATE = 200
const BLOCK: Milliseconds = 2_000
const ROUNDS = 5
const TOKENS = 4
const MICROSECONDS = 1_000
const CONNECTIONS = 64

let calls = 0

/** One way to make the same call. */
interface Way {
  readonly name: 'direct' | 'through an entry'
  readonly address: string
  readonly path: (index: number) => string
  readonly method: 'GET' | 'POST'
  readonly headers: Readonly<Record<string, string>>
  /** Different for each call: equal bodies would meet the same permit. */
  readonly body: (index: number) => string | null
}

/** One kind of call, made both ways. */
interface Scenario {
  readonly name: string
  readonly ways: (deployment: Deployment) => readonly [Way, Way]
}

interface Measured {
  readonly latency: Histogram
  /** Processor time of the whole process, generator and stand-ins included, in microseconds. */
  processor: number
  failed: number
}

/** Added latency and processor time of an entry. */
export const bench: Bench = {
  name: 'entry-overhead',
  description: 'Latency and processor time that an entry adds, at 200 requests/s',
  run: async ({ seed }) => [await measure(seed, 1), await measure(seed, 3)]
}

const scenarios: readonly Scenario[] = [
  {
    name: 'roster lookup',
    ways: (deployment) => {
      const path = (index: number): string => `/roster/depot-${index}`
      const call = { method: 'GET' as const, body: () => null }
      return [
        { ...call, name: 'direct', address: deployment.plainServices[0]!.address, path, headers: {} },
        { ...call, name: 'through an entry', address: deployment.addresses[0]!, path: (index) => `/v1/services/roster-lookup${path(index)}`, headers: authorization(deployment) }
      ]
    }
  },
  {
    name: 'booking',
    ways: (deployment) => {
      const call = { method: 'POST' as const, body: (index: number) => JSON.stringify({ reference: `visit-${index}`, day: 'Tuesday' }) }
      const headers = { 'content-type': 'application/json' }
      return [
        { ...call, name: 'direct', address: deployment.plainServices[0]!.address, path: () => '/bookings', headers },
        { ...call, name: 'through an entry', address: deployment.addresses[0]!, path: () => '/v1/services/booking/bookings', headers: { ...headers, ...authorization(deployment) } }
      ]
    }
  },
  {
    name: `answer of ${TOKENS} tokens, streamed`,
    ways: (deployment) => {
      const call = { method: 'POST' as const, path: () => '/v1/chat/completions' }
      const headers = { 'content-type': 'application/json' }
      const body = (index: number) => ({ messages: [{ role: 'user', content: `Which resin for ${index} degrees of hardness?` }], max_tokens: TOKENS, stream: true })
      return [
        { ...call, name: 'direct', address: deployment.engines[0]!.address, headers, body: (index) => JSON.stringify({ ...body(index), model: 'assistant-7b', priority: 0 }) },
        { ...call, name: 'through an entry', address: deployment.addresses[0]!, headers: { ...headers, ...authorization(deployment) }, body: (index) => JSON.stringify({ ...body(index), model: 'short-question' }) }
      ]
    }
  }
]

async function measure (seed: number, entries: number): Promise<Table> {
  const clock = createSystemClock()
  const deployment = await startDeployment({ clock, seed, entries, engines: 1, plainServices: 1, logLevel: 'silent', engineShape: { token_ms: 1, prefill_tokens_per_ms: 1_000 } })
  const connections = createConnections(CONNECTIONS)
  try {
    while (deployment.entries.some((entry) => entry.parts.membership.count() < entries)) await clock.sleep(50)
    const rows: (string | number)[][] = []
    for (const scenario of scenarios) rows.push(await compare(clock, connections, scenario, deployment))
    return {
      title: entries === 1 ? 'One entry node alone' : `One of ${entries} entry nodes: permits are asked of their owners`,
      columns: ['call', 'direct p50 ms', 'direct p99 ms', 'through p50 ms', 'through p99 ms', 'added p50 ms', 'added p99 ms', 'processor ms a request', 'requests/s a core', 'failed'],
      rows,
      note: `${RATE} requests/s, ${ROUNDS} blocks of ${BLOCK / 1_000} s each way in turn, all in one process with the generator and the stand-ins. Processor time is the difference between both ways.`
    }
  } finally {
    await connections.destroy()
    await deployment.kill()
  }
}

async function compare (clock: Clock, connections: Connections, scenario: Scenario, deployment: Deployment): Promise<(string | number)[]> {
  const ways = scenario.ways(deployment)
  const [direct, through] = [createMeasured(), createMeasured()]
  for (const way of ways) await block(clock, connections, way, createMeasured())
  for (let round = 0; round < ROUNDS; round += 1) {
    await block(clock, connections, ways[0], direct)
    await block(clock, connections, ways[1], through)
  }
  const requests = through.latency.totalCount
  const processor = (through.processor - direct.processor) / requests / MICROSECONDS
  const at = (measured: Measured, quantile: number): number => measured.latency.getValueAtPercentile(quantile) / MICROSECONDS
  return [
    scenario.name,
    rounded(at(direct, 50)), rounded(at(direct, 99)), rounded(at(through, 50)), rounded(at(through, 99)),
    rounded(at(through, 50) - at(direct, 50)), rounded(at(through, 99) - at(direct, 99)),
    rounded(processor), Math.round(1_000 / processor), direct.failed + through.failed
  ]
}

/** Sends at a fixed pace whatever the answers do, so that a slow answer is not waited for unseen. */
async function block (clock: Clock, connections: Connections, way: Way, into: Measured): Promise<void> {
  const before = process.cpuUsage()
  const start = clock.now()
  const sent: Promise<void>[] = []
  for (let index = 0; index < RATE * BLOCK / 1_000; index += 1) {
    const due = start + index * 1_000 / RATE
    if (due > clock.now()) await clock.sleep(due - clock.now())
    sent.push(callOnce(clock, connections, way, into))
  }
  await Promise.all(sent)
  const used = process.cpuUsage(before)
  into.processor += used.user + used.system
}

async function callOnce (clock: Clock, connections: Connections, way: Way, into: Measured): Promise<void> {
  calls += 1
  const index = calls
  const start = clock.now()
  try {
    const response = await connections.request({ origin: `http://${way.address}`, path: way.path(index), method: way.method, headers: way.headers, body: way.body(index) })
    await response.body.dump({ limit: Infinity })
    if (response.statusCode !== 200) into.failed += 1
  } catch {
    into.failed += 1
  }
  into.latency.recordValue(Math.round((clock.now() - start) * MICROSECONDS))
}

function createMeasured (): Measured {
  return { latency: build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 }), processor: 0, failed: 0 }
}

function authorization (deployment: Deployment): Record<string, string> {
  return { authorization: `Bearer ${deployment.key}` }
}

function rounded (value: number): number {
  return Math.round(value * 100) / 100
}
