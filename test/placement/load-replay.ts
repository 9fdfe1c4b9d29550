/**
 * Replays a load in simulated time: many nodes that place requests with reports of 0.4 to 2 s of age, and engines with slots
 * and serial prefill. The nodes run the gateway's view and choice; nothing else of the gateway takes part.
 */
import type { Milliseconds } from '../../src/clock.js'
import { SECOND } from '../../src/clock.js'
import { createUpstreamView } from '../../src/gateway/upstream-view.js'
import type { UpstreamView } from '../../src/gateway/upstream-view.js'
import { ASSUMED_SPEED, chooseUpstream, ENGINE_COSTS, prefillTime } from '../../src/placement/index.js'
import type { Choice, PlacementRequest, UpstreamIncarnation, UpstreamRecord } from '../../src/placement/index.js'
import { createRandom } from '../../src/random.js'
import type { Random } from '../../src/random.js'
import { upstreamRecord } from './records.js'

/** Kind of requests: sizes in tokens, times in milliseconds, rate in requests per second of all nodes. */
export interface ReplayedClass {
  readonly name: string
  readonly rate: number
  readonly sharedTokens: number
  readonly ownTokens: number
  readonly subjects: number
  readonly target: Milliseconds
  /** Time from the first token to the end. */
  readonly run: Milliseconds
}

/** A deployment and its load. */
export interface Replay {
  readonly nodes: number
  readonly engines: number
  readonly slots: number
  readonly classes: readonly ReplayedClass[]
  readonly length: Milliseconds
  readonly seed: number
  /** Factor of the usual rate at a time. */
  readonly demand: (now: Milliseconds) => number
  /** Factor by which an engine is slower at a time. */
  readonly slowness?: (engine: number, now: Milliseconds) => number
}

/** A request that was placed. */
export interface PlacedRequest {
  readonly class: string
  readonly at: Milliseconds
  readonly engine: number
  /** Requests in flight at the engine, this one not included. */
  readonly inFlight: number
  /** Expected wait. */
  readonly waiting: Milliseconds
  /** Time to the first token; undefined if it came after the end of the replay. */
  firstAfter: Milliseconds | undefined
  readonly target: Milliseconds
}

interface ReplayResult {
  readonly requests: readonly PlacedRequest[]
  /** Requests in flight by engine, every 100 ms. */
  readonly samples: readonly { readonly at: Milliseconds, readonly inFlight: readonly number[] }[]
}

/** The shared part of a prompt stays in an engine's cache for this time after its last use. */
const CACHE_TIME: Milliseconds = 10 * SECOND

const REPORT_PERIOD: Milliseconds = 400
const MIN_REPORT_DELAY: Milliseconds = 400
const MAX_REPORT_DELAY: Milliseconds = 1_600
const SAMPLE_PERIOD: Milliseconds = 100

interface Queue {
  at (time: Milliseconds, action: (now: Milliseconds) => void): void
  run (until: Milliseconds): void
}

/** Actions in the order of their times; those of equal times in the order of their creation. */
function createQueue (): Queue {
  const buckets = new Map<number, { readonly time: Milliseconds, readonly action: (now: Milliseconds) => void }[]>()
  let current = 0
  return {
    at: (time, action) => {
      const key = Math.max(current, Math.floor(time))
      const bucket = buckets.get(key) ?? []
      bucket.push({ time, action })
      buckets.set(key, bucket)
    },
    run: (until) => {
      for (; current < until; current += 1) {
        const bucket = buckets.get(current) ?? []
        for (let index = 0; index < bucket.length; index += 1) bucket[index]!.action(Math.max(current, bucket[index]!.time))
        buckets.delete(current)
      }
    }
  }
}

interface ReplayedEngine {
  readonly record: UpstreamRecord
  /** Runs a request. `answered` is called at its first token and `ended` at its end. */
  begin (choice: PlacementRequest, run: Milliseconds, now: Milliseconds, answered: (now: Milliseconds) => void, ended: (now: Milliseconds) => void): void
  inFlight (): number
}

function createEngine (index: number, slots: number, queue: Queue, slowness: (now: Milliseconds) => number): ReplayedEngine {
  const cached = new Map<string, Milliseconds>()
  const waiting: (() => void)[] = []
  let running = 0
  let prefillEnd = 0

  return {
    record: upstreamRecord(`i-${index}`, { slots }),
    inFlight: () => running + waiting.length,
    begin: (request, run, now, answered, ended) => {
      const start = (startedAt: Milliseconds): void => {
        running += 1
        const shared = request.parts[0]!
        const isCached = (cached.get(shared.id) ?? -Infinity) > startedAt - CACHE_TIME
        cached.set(shared.id, startedAt)
        const prefill = isCached ? prefillTime(request.promptTokens - shared.tokens, shared.tokens, ASSUMED_SPEED) : prefillTime(request.promptTokens, 0, ASSUMED_SPEED)
        prefillEnd = Math.max(startedAt, prefillEnd) + prefill * slowness(startedAt)
        queue.at(prefillEnd + ASSUMED_SPEED.base * slowness(startedAt), (answeredAt) => {
          answered(answeredAt)
          queue.at(answeredAt + run * slowness(answeredAt), (endedAt) => {
            running -= 1
            ended(endedAt)
            next = endedAt
            waiting.shift()?.()
          })
        })
      }
      let next = now
      if (running < slots) start(now)
      else waiting.push(() => start(next))
    }
  }
}

interface Report extends ReturnType<UpstreamView['told']> {
  readonly at: Milliseconds
}

interface ReplayedNode {
  readonly name: string
  readonly view: UpstreamView
  /** Reports with the times at which they were written, the latest last. */
  readonly reports: Report[]
}

function choose (node: ReplayedNode, request: PlacementRequest, now: Milliseconds, random: Random): Choice {
  const candidates = node.view.candidates('s', new Set(), now)
  return chooseUpstream(request, candidates, { name: node.name, failureDomain: 'a' }, ENGINE_COSTS, { speed: ASSUMED_SPEED, slotTime: node.view.slotTimes.of('s', true) }, random)!
}

/**
 * Replays a load.
 *
 * @example
 * replayLoad({ nodes: 17, engines: 12, slots: 16, classes, length: 20 * SECOND, seed: 1, demand: () => 1 }).requests
 */
export function replayLoad (replay: Replay): ReplayResult {
  const random = createRandom(replay.seed)
  // Numbers of its own, so that replays of different decisions have the same arrivals.
  const tieBreaker = createRandom(replay.seed + 1_000)
  const queue = createQueue()
  const engines = Array.from({ length: replay.engines }, (_, index) => createEngine(index, replay.slots, queue, (now) => replay.slowness?.(index, now) ?? 1))
  const byIncarnation = new Map<UpstreamIncarnation, number>(engines.map(({ record }, index) => [record.incarnation, index]))
  const nodes = Array.from({ length: replay.nodes }, (_, index): ReplayedNode => ({ name: `node-${index}`, view: createUpstreamView(), reports: [] }))
  const requests: PlacedRequest[] = []
  const samples: ReplayResult['samples'][number][] = []

  for (const node of nodes) {
    for (const { record } of engines) node.view.put(record, 1)
    const delays = nodes.map(() => MIN_REPORT_DELAY + (MAX_REPORT_DELAY - MIN_REPORT_DELAY) * random.fraction())
    const exchange = (now: Milliseconds): void => {
      node.reports.push({ at: now, ...node.view.told(now) })
      if (node.reports.length > MAX_REPORT_DELAY / REPORT_PERIOD + 4) node.reports.shift()
      const received = receivedReports(nodes, node, delays, now)
      node.view.observe(new Map([...received].map(([name, { inFlight }]) => [name, inFlight])), now)
      node.view.receiveTimes([...received.values()], now)
      queue.at(now + REPORT_PERIOD * (0.75 + 0.5 * random.fraction()), exchange)
    }
    queue.at(REPORT_PERIOD * random.fraction(), exchange)
  }

  for (const kind of replay.classes) {
    const arrive = (now: Milliseconds): void => {
      place(kind, now)
      queue.at(now + SECOND * -Math.log(1 - random.fraction()) / (kind.rate * replay.demand(now)), arrive)
    }
    queue.at(0, arrive)
  }

  function place (kind: ReplayedClass, now: Milliseconds): void {
    const request = requestOf(kind, random)
    const node = random.pick(nodes)
    const choice = choose(node, request, now, tieBreaker)
    const index = byIncarnation.get(choice.upstream.incarnation)!
    const engine = engines[index]!
    const placed: PlacedRequest = { class: kind.name, at: now, engine: index, inFlight: engine.inFlight(), waiting: choice.waiting, firstAfter: undefined, target: kind.target }
    requests.push(placed)
    const open = node.view.begin(choice, now)
    engine.begin(request, kind.run * (0.5 + random.fraction()), now, (answeredAt) => {
      placed.firstAfter = answeredAt - now
      open.answered(answeredAt)
    }, open.end)
  }

  const sample = (now: Milliseconds): void => {
    samples.push({ at: now, inFlight: engines.map((engine) => engine.inFlight()) })
    queue.at(now + SAMPLE_PERIOD, sample)
  }
  queue.at(0, sample)
  queue.run(replay.length)
  return { requests, samples }
}

function receivedReports (nodes: readonly ReplayedNode[], receiver: ReplayedNode, delays: readonly Milliseconds[], now: Milliseconds): Map<string, Report> {
  const received = new Map<string, Report>()
  nodes.forEach((node, index) => {
    const report = node === receiver ? undefined : node.reports.findLast(({ at }) => at <= now - delays[index]!)
    if (report !== undefined) received.set(node.name, report)
  })
  return received
}

function requestOf (kind: ReplayedClass, random: Random): PlacementRequest {
  // A few subjects get most requests.
  const subject = Math.floor(kind.subjects * random.fraction() ** 2)
  const own = Math.max(20, Math.round(kind.ownTokens * -Math.log(1 - random.fraction())))
  return { service: 's', parts: [{ id: `${kind.name}-${subject}`, tokens: kind.sharedTokens }, { id: 'own', tokens: own }], promptTokens: kind.sharedTokens + own, target: kind.target, lostOnReclaim: false, streams: true }
}

/** Share of the requests of a class that were answered within their targets, among those placed in a period. */
export function shareInTime (requests: readonly PlacedRequest[], name: string, from: Milliseconds, to: Milliseconds): number {
  const counted = requests.filter((request) => request.class === name && request.at >= from && request.at < to)
  return counted.filter(({ firstAfter, target }) => firstAfter !== undefined && firstAfter <= target).length / counted.length
}
