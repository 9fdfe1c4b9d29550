/**
 * Load reports and cache events as a role: what a node reads from the engines of its part, against the
 * engine stand-in. Servers are scaled with the nodes from the target, and a node follows the part that
 * `usedUpstreams` gives it.
 */
import { createSystemClock } from '../../src/clock.js'
import { addressSchema, failureDomainSchema, instanceNameSchema, serviceNameSchema, upstreamNameSchema } from '../../src/identifiers.js'
import { createEngine } from '../../src/protocols/engine.js'
import type { Engine } from '../../src/protocols/engine.js'
import { createRandom } from '../../src/random.js'
import type { Random } from '../../src/random.js'
import { chatBodySchema } from '../../src/request/index.js'
import { usedUpstreams } from '../../src/upstream/index.js'
import type { UpstreamView } from '../../src/upstream/index.js'
import { serveEngine } from '../../stand-ins/engine.js'
import { SIZES } from '../agreement/measure.js'
import { serveCanned } from './canned.js'
import type { CapacityLine, CapacityRole } from './role.js'
import { createCountedConnections, measureCost, OPEN_CONNECTION_PACKET_BYTES } from './sockets.js'
import type { Cost, CountedConnections } from './sockets.js'

const TARGET_NODES = 370
const TARGET_SERVERS = 600
const LEAST_SERVERS = 13
const DOMAINS = 5

/** Reads a second of one engine: load each second, cache events each two. */
const LOADS_PER_SECOND = 1
const CACHE_READS_PER_SECOND = 0.5

/** Requests of one engine between two reads of its cache events: 1,500 a second over 600 servers. */
const REQUESTS_BETWEEN_READS = 5

const READS = 2_000
const CACHE_READS = 60

/** Prompts of 1,000 tokens; 600 of them are one of a few prefixes, 400 are new. */
const PREFIX_CHARACTERS = 2_400
const OWN_CHARACTERS = 1_600
const PREFIXES = 4

/** Small, so that the cache is full after the warm-up and each stored block evicts one. */
const CACHE_TOKENS = 4_096

const FAST_ENGINE = { prefillRate: 100_000, tokenTime: 0.1, cacheTokens: CACHE_TOKENS }

/** Cost of one exchange of each kind; processor time is the reader's. */
export interface FeedCost {
  readonly load: Cost
  readonly emptyCache: Cost
  readonly cache: Cost
}

export const feed: CapacityRole = {
  name: 'load reports and cache events',
  measure: async (seed) => {
    const { load, cache, emptyCache } = await measureFeed(seed)
    return [
      ...linesOf('load reports', LOADS_PER_SECOND, load),
      ...linesOf('cache events', CACHE_READS_PER_SECOND, cache),
      // What is left of it when no request runs: a part of the line before.
      ...linesOf('cache events, none new', CACHE_READS_PER_SECOND, emptyCache).map((line) => ({ ...line, partOfSum: false }))
    ]
  }
}

function linesOf (role: string, readsPerSecond: number, cost: Cost): CapacityLine[] {
  const line = (quantity: CapacityLine['quantity'], valueOfRead: number): CapacityLine => ({
    role,
    quantity,
    module: 'entry/scheduler-feed',
    points: SIZES.map((nodes) => ({ nodes, value: followed(nodes) * readsPerSecond * valueOfRead }))
  })
  return [
    line('messages a node, B/s', cost.bytes + OPEN_CONNECTION_PACKET_BYTES),
    line('processor time a node, us/s', cost.processorMicroseconds)
  ]
}

/**
 * Engines that a node follows, on average over the nodes of a fleet.
 *
 * @example
 * followed(370) // between 16 and 20
 */
export function followed (nodes: number): number {
  const servers = Math.max(LEAST_SERVERS, Math.round(TARGET_SERVERS * nodes / TARGET_NODES))
  const views = Array.from({ length: servers }, (_, index) => viewOf(index))
  const counts = Array.from({ length: nodes }, (_, node) => usedUpstreams(instanceNameSchema.parse(`entry-${node}`), views, nodes).length)
  return counts.reduce((sum, count) => sum + count, 0) / nodes
}

/**
 * Measures the exchanges with one engine on one open connection: bytes against the engine stand-in,
 * processor time of the reader against a server that repeats the stand-in's answers.
 *
 * @example
 * const { load } = await measureFeed(1)
 */
export async function measureFeed (seed: number): Promise<FeedCost> {
  const counted = createCountedConnections(1)
  const work = createCountedConnections(8)
  const random = createRandom(seed)
  const engine = await serveEngine({ port: 0, upstream: upstreamNameSchema.parse('engine-0123-4567'), clock: createSystemClock(), random, shape: FAST_ENGINE, models: ['assistant-70b'] })
  const reader = createEngine(counted.connections, engine.address)
  try {
    const emptyCache = await measureCost(counted, READS, () => reader.cacheEvents(0))
    const cache = await measureCache(counted, reader, createEngine(work.connections, engine.address), random)
    const load = await measureCost(counted, READS, () => reader.load())
    const report = await reader.load()
    return {
      load: { ...load, processorMicroseconds: await measureReader(report, (canned) => canned.load()) },
      emptyCache: { ...emptyCache, processorMicroseconds: await measureReader({ events: [], next: 0 }, (canned) => canned.cacheEvents(0)) },
      cache: { bytes: cache.bytes, processorMicroseconds: await measureReader(cache.answer, (canned) => canned.cacheEvents(0)) }
    }
  } finally {
    await engine.kill()
    await Promise.all([counted.connections.destroy(), work.connections.destroy()])
  }
}

/** Bytes of reads of cache events with requests between them, and an answer of the steady state. */
async function measureCache (counted: CountedConnections, reader: Engine, worker: Engine, random: Random): Promise<{ bytes: number, answer: unknown }> {
  let bytes = 0
  let answer = await reader.cacheEvents(0)
  for (let read = -CACHE_READS; read < CACHE_READS; read += 1) {
    for (let index = 0; index < REQUESTS_BETWEEN_READS; index += 1) await runPrompt(worker, random)
    const before = counted.bytes()
    answer = await reader.cacheEvents(answer.next)
    if (read >= 0) bytes += counted.bytes() - before
  }
  return { bytes: bytes / CACHE_READS, answer }
}

async function measureReader (answer: unknown, read: (engine: Engine) => Promise<unknown>): Promise<number> {
  const counted = createCountedConnections(1)
  const server = await serveCanned(answer)
  try {
    const engine = createEngine(counted.connections, server.address)
    return (await measureCost(counted, READS, () => read(engine))).processorMicroseconds
  } finally {
    await counted.connections.destroy()
    await server.close()
  }
}

async function runPrompt (engine: Engine, random: Random): Promise<void> {
  const prefix = `${random.integer(PREFIXES)} `.repeat(PREFIX_CHARACTERS / 2)
  const own = `${random.integer(1_000_000_000)} `.padEnd(OWN_CHARACTERS, 'x')
  const body = chatBodySchema.parse({ model: 'service-plan', messages: [{ role: 'user', content: prefix + own }], stream: true, max_tokens: 1 })
  const stream = await engine.start({ body, model: 'assistant-70b', priority: 0, signal: new AbortController().signal })
  for await (const event of stream.events) if (event.kind === 'finished') continue
}

function viewOf (index: number): UpstreamView {
  return {
    name: upstreamNameSchema.parse(`engine-${index}`),
    service: serviceNameSchema.parse('assistant'),
    failureDomain: failureDomainSchema.parse(`zone-${index % DOMAINS}`),
    address: addressSchema.parse('127.0.0.1:1'),
    protocol: 'model',
    leaving: false,
    inFlight: 0
  }
}
