/** Resumable streams whose nodes are killed, and which their callers take up again, for a test and a measurement. */
import { request } from 'undici'
import { HEADER } from '../../platform/names.js'
import type { Clock, Milliseconds } from '../../src/clock.js'
import { CHECKPOINT_PREFIX } from '../../src/gateway/origin-checkpoints.js'
import { ABSENT, prefixEnd } from '../../src/protocols/key-value.js'
import { createMachineDeployment } from './deployment.js'
import type { MachineDeployment } from './deployment.js'
import type { NodeThreads } from './node-threads.js'
import { serveUpstream } from './upstream.js'
import type { UpstreamStandIn } from './upstream.js'

/** Upstreams of each version. */
export const UPSTREAMS_PER_VERSION = 2

const HOST = 'api.example'
const EVENTS = 120
const EVENT_PAUSE: Milliseconds = 25

/** Time for which streams have run when {@link ResumedStreams.begin} returns. */
const RUN_TIME: Milliseconds = 1_000

/** Pause between two tries of a caller whose stream was refused, and the number of tries. */
const RETRY_PAUSE: Milliseconds = 100
const TRIES = 4

const POLL_INTERVAL: Milliseconds = 25
const SUCCESS = 200

/** A stream that has begun, and whose connection may end with its node. */
export interface BegunStream {
  readonly id: string
  readonly version: string
  /** Resolves with the id of the last event that its caller received, once the connection has ended. */
  readonly lastEvent: Promise<number>
}

/** What became of a stream that its caller took up. */
export interface ResumptionOutcome {
  readonly begunAt: string
  /** Version that answered; undefined if the stream was refused at each try. */
  readonly wentOnAt: string | undefined
  /** Whether its caller has received all events, each once and in order. */
  readonly isWhole: boolean
}

/** A deployment with one route for resumable streams. */
export interface ResumedStreams {
  readonly deployment: MachineDeployment
  /** Starts upstreams of a version, for `service` if it is named. */
  addVersion (version: string, service?: string): Promise<void>
  /** Removes the records of a version's upstreams. */
  removeVersion (version: string): void
  /** Writes a configuration whose route leads to these services, in equal parts. @returns its version */
  routeTo (...services: readonly string[]): number
  /** Keys of the checkpoints of stream origins in the store. */
  checkpoints (): string[]
  /** Removes checkpoints, as the ends of their leases do. */
  removeCheckpoints (keys: readonly string[]): void
  /** Starts nodes on one thread, and waits until they serve unless `isWaiting` is false. */
  startNodes (names: readonly string[], isWaiting?: boolean): Promise<NodeThreads>
  /** Waits until each node has written the event for all upstreams of a version. */
  untilNodesKnow (nodes: readonly string[], event: 'upstream-new' | 'upstream-gone', version: string): Promise<void>
  /** Waits until a configuration is in force at each node. */
  untilInForce (nodes: readonly string[], version: number): Promise<void>
  /** Waits until each node sends requests to upstreams of a version. */
  untilServed (nodes: NodeThreads, version: string): Promise<void>
  /** Begins streams, and waits until the first events of all have come and {@link RUN_TIME} has passed. */
  begin (nodes: NodeThreads, count: number): Promise<BegunStream[]>
  /** Takes streams up at one node each, and returns as {@link ResumedStreams.begin} does. */
  continue (nodes: NodeThreads, begun: readonly BegunStream[]): Promise<BegunStream[]>
  /** Takes streams up, each at one node after the other until one lets it go on. */
  takeUp (nodes: NodeThreads, begun: readonly BegunStream[]): Promise<ResumptionOutcome[]>
  close (): Promise<void>
}

/** Service of the upstreams for which none is named. */
export const DEFAULT_SERVICE = 'model'

function configurationFor (version: number, services: readonly string[]): object {
  return {
    version,
    routes: [{ name: 'question', host: HOST, prefix: '/question/', kind: 'streaming', resumable: true, timeoutMs: 20_000, targetLatencyMs: 800, trafficSplit: services.map((service) => ({ service, weight: 1 })), maxAttempts: 4 }],
    services: [...new Set([DEFAULT_SERVICE, ...services])].map((name) => ({ name, maxConns: 500, engine: { slots: 64, moves: false } }))
  }
}

function eventsIn (text: string): number[] {
  return [...text.matchAll(/^id: (\d+)$/gm)].map(([, event]) => Number(event))
}

function versionOf (upstream: string): string {
  return upstream.slice(0, upstream.indexOf('-'))
}

/**
 * Creates a deployment without upstreams and nodes.
 *
 * @example
 * const streams = await createResumedStreams(clock)
 * await streams.addVersion('v1')
 * const nodes = await streams.startNodes(['node-1'])
 */
export async function createResumedStreams (clock: Clock): Promise<ResumedStreams> {
  const deployment = await createMachineDeployment(clock)
  const { store } = deployment.store
  const upstreams: UpstreamStandIn[] = []
  let configurationVersion = 0
  let lastId = 0

  function routeTo (...services: readonly string[]): number {
    configurationVersion += 1
    deployment.configure(configurationFor(configurationVersion, services))
    return configurationVersion
  }

  function nextId (): string {
    lastId += 1
    return `r${lastId}`
  }

  function ask (nodes: NodeThreads, node: number, id: string, resumed: Record<string, string> = {}): ReturnType<typeof request> {
    const { front } = nodes.addresses[node % nodes.addresses.length]!
    return request(`http://${front}/question/x`, { method: 'POST', body: `question ${id}`, headers: { host: HOST, [HEADER.requestId]: id, [HEADER.deadline]: '15000', [HEADER.tokenUsage]: '100,10', ...resumed } })
  }

  /** Asks for a stream and leaves it. */
  async function probe (nodes: NodeThreads, node: number): Promise<{ readonly status: number, readonly version: string }> {
    const { statusCode, headers, body } = await ask(nodes, node, nextId())
    body.on('error', () => {}).destroy()
    return { status: statusCode, version: versionOf(String(headers['x-hornbeamgap-server-stamp'])) }
  }

  async function readRest (chunks: AsyncIterator<unknown>, onChunk: (chunk: string) => void): Promise<void> {
    try {
      for (let next = await chunks.next(); next.done !== true; next = await chunks.next()) onChunk(String(next.value))
    } catch {
      // The node was killed.
    }
  }

  /** @param before the stream that its caller takes up */
  async function beginOne (nodes: NodeThreads, node: number, before?: BegunStream): Promise<BegunStream> {
    const id = nextId()
    const { headers, body } = await ask(nodes, node, id, before && await resumption(before))
    const chunks = body[Symbol.asyncIterator]()
    let text = String((await chunks.next()).value)
    const lastEvent = readRest(chunks, (chunk) => { text += chunk }).then(() => eventsIn(text).at(-1)!)
    return { id: before?.id ?? id, version: versionOf(String(headers['x-hornbeamgap-server-stamp'])), lastEvent }
  }

  /** A connection that ends without an answer, as of a node that has no time for it, is a try that failed. */
  async function readAnswer (nodes: NodeThreads, node: number, resumed: Record<string, string>): Promise<{ readonly status: number, readonly version: string, readonly text: string }> {
    try {
      const { statusCode, headers, body } = await ask(nodes, node, nextId(), resumed)
      return { status: statusCode, version: versionOf(String(headers['x-hornbeamgap-server-stamp'])), text: await body.text() }
    } catch {
      return { status: 0, version: '', text: '' }
    }
  }

  async function resumption ({ id, lastEvent }: BegunStream): Promise<Record<string, string>> {
    return { [HEADER.lastEventId]: String(await lastEvent), [HEADER.resumes]: id }
  }

  async function takeUpOne (nodes: NodeThreads, node: number, begun: BegunStream): Promise<ResumptionOutcome> {
    const lastEvent = await begun.lastEvent
    for (let round = 0; round < TRIES; round += 1) {
      const { status, version, text } = await readAnswer(nodes, node + round, await resumption(begun))
      if (status === SUCCESS) {
        const rest = Array.from({ length: EVENTS - lastEvent }, (_, index) => lastEvent + 1 + index)
        return { begunAt: begun.version, wentOnAt: version, isWhole: eventsIn(text).join() === rest.join() }
      }
      await clock.sleep(RETRY_PAUSE)
    }
    return { begunAt: begun.version, wentOnAt: undefined, isWhole: false }
  }

  routeTo(DEFAULT_SERVICE)
  return {
    deployment,
    routeTo,
    addVersion: async (version, service = DEFAULT_SERVICE) => {
      for (let index = 0; index < UPSTREAMS_PER_VERSION; index += 1) {
        const upstream = await serveUpstream({ id: `${version}-${index}`, clock, events: EVENTS, pause: EVENT_PAUSE })
        upstreams.push(upstream)
        deployment.register(upstream, { service, slots: 64, version })
      }
    },
    removeVersion: (version) => {
      for (const upstream of upstreams.filter(({ id }) => versionOf(id) === version)) deployment.unregister(upstream)
    },
    checkpoints: () => store.list(CHECKPOINT_PREFIX, prefixEnd(CHECKPOINT_PREFIX)).entries.map(({ key }) => key),
    removeCheckpoints: (keys) => { for (const key of keys) store.compareAndDelete(key, store.get(key)?.revision ?? ABSENT) },
    startNodes: async (names, isWaiting = true) => {
      const nodes = await deployment.startNodesInThreads(names, names.length)
      for (const node of isWaiting ? names.keys() : []) while ((await probe(nodes, node)).status !== SUCCESS) await clock.sleep(POLL_INTERVAL)
      return nodes
    },
    untilNodesKnow: async (names, event, version) => {
      const linesOf = (name: string): number => deployment.lines.filter((line) => line.process === name && line.event === event && versionOf(String(line.upstream)) === version).length
      while (names.some((name) => linesOf(name) < UPSTREAMS_PER_VERSION)) await clock.sleep(POLL_INTERVAL)
    },
    untilInForce: async (names, version) => {
      const isInForce = (name: string): boolean => deployment.lines.some((line) => line.process === name && line.event === 'configuration-in-force' && line.version === version)
      while (!names.every(isInForce)) await clock.sleep(POLL_INTERVAL)
    },
    untilServed: async (nodes, version) => {
      for (const node of nodes.addresses.keys()) while ((await probe(nodes, node)).version !== version) await clock.sleep(POLL_INTERVAL)
    },
    begin: async (nodes, count) => {
      const begun = await Promise.all(Array.from({ length: count }, (_, index) => beginOne(nodes, index)))
      await clock.sleep(RUN_TIME)
      return begun
    },
    continue: async (nodes, begun) => {
      const continued = await Promise.all(begun.map((stream, index) => beginOne(nodes, index, stream)))
      await clock.sleep(RUN_TIME)
      return continued
    },
    takeUp: (nodes, begun) => Promise.all(begun.map((stream, index) => takeUpOne(nodes, index, stream))),
    close: async () => {
      await deployment.close()
      await Promise.all(upstreams.map((upstream) => upstream.close()))
    }
  }
}
