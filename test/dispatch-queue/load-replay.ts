/**
 * Replays a load on upstreams with few slots behind several nodes, in steps of a millisecond. Each node knows its own
 * requests exactly and those of the other nodes as of their last report. Upstreams begin requests in the order of arrival.
 */
import type { Milliseconds } from '../../src/clock.js'
import { createDispatchQueue, createQueueSpace } from '../../src/dispatch-queue/index.js'
import type { DispatchQueue, Offer, QueuedRequest, QueueEffect } from '../../src/dispatch-queue/index.js'
import type { OrganisationName } from '../../src/identifiers.js'
import { createRandom } from '../../src/random.js'

/** Requests of one kind. */
export interface ReplayedClass {
  readonly rank: number
  readonly target: Milliseconds
  readonly timeLimit: Milliseconds
  /** Time from its beginning at an upstream to the first answer. */
  readonly firstAnswer: Milliseconds
  /** Time for which it holds a slot. */
  readonly hold: Milliseconds
  /** Requests of all nodes per second. */
  readonly rateAt: (now: Milliseconds) => number
}

export interface ReplayOptions {
  readonly classes: readonly ReplayedClass[]
  readonly nodes: number
  readonly slots: number
  /** Number of upstreams that serve. Those beyond it finish what they have begun. */
  readonly upstreamsAt: (now: Milliseconds) => number
  readonly duration: Milliseconds
  readonly withQueue: boolean
  readonly seed: number
}

/** What became of the requests of one class. */
export interface ClassResult {
  requests: number
  inTime: number
  late: number
  refused: number
  /** Answered after its limit, or not at all. */
  lost: number
}

interface ReplayedRequest {
  readonly class: ReplayedClass
  readonly result: ClassResult
  readonly arrival: Milliseconds
  readonly node: ReplayedNode
}

interface ReplayedUpstream {
  readonly queue: ReplayedRequest[]
  readonly running: { readonly request: ReplayedRequest, readonly end: Milliseconds }[]
}

interface ReplayedChoice extends Offer {
  readonly upstream: number
}

interface ReplayedNode {
  readonly queue: DispatchQueue<ReplayedChoice>
  readonly requests: Map<QueuedRequest<ReplayedChoice>, ReplayedRequest>
  /** Own requests in flight, by upstream. */
  readonly own: number[]
  /** Own requests in flight as last reported to the others. */
  reported: number[]
  isWoken: boolean
}

/** Each node reports at this period, at a time of its own. */
const REPORT_PERIOD: Milliseconds = 800

/** Time by which all requests have ended. */
const DRAIN_TIME: Milliseconds = 20_000

/** Replays the load, and returns the results by class, in the order of the classes. */
export function replayLoad (options: ReplayOptions): ClassResult[] {
  const { classes, slots, upstreamsAt, duration, withQueue } = options
  const random = createRandom(options.seed)
  // The same requests arrive whatever the nodes choose.
  const arrivals = createRandom(options.seed + 1_000)
  const results = classes.map((): ClassResult => ({ requests: 0, inTime: 0, late: 0, refused: 0, lost: 0 }))
  const meanHold = classes.reduce((sum, { hold, rateAt }) => sum + hold * rateAt(0), 0) / classes.reduce((sum, { rateAt }) => sum + rateAt(0), 0)
  const upstreams = Array.from({ length: upstreamsAt(0) }, (): ReplayedUpstream => ({ queue: [], running: [] }))
  const nodes = Array.from({ length: options.nodes }, (): ReplayedNode => ({
    queue: createDispatchQueue<ReplayedChoice>({ random, space: createQueueSpace(), upstreams: () => upstreamsAt(now) }),
    requests: new Map(),
    own: upstreams.map(() => 0),
    reported: upstreams.map(() => 0),
    isWoken: false
  }))
  let now: Milliseconds = 0

  function choose (node: ReplayedNode): ReplayedChoice | undefined {
    let best: ReplayedChoice | undefined
    let lowest = Infinity
    for (let upstream = 0; upstream < upstreamsAt(now); upstream += 1) {
      const requests = nodes.reduce((sum, other) => sum + (other === node ? node.own : other.reported)[upstream]!, 0)
      const waiting = Math.max(0, requests - slots + 1) * meanHold / slots
      const cost = waiting + requests + random.fraction()
      if (cost >= lowest) continue
      lowest = cost
      best = { upstream, waiting, reading: 0 }
    }
    return best
  }

  function arrive (node: ReplayedNode, request: ReplayedRequest): void {
    const { class: kind } = request
    request.result.requests += 1
    if (!withQueue) {
      send(node, request, choose(node)!)
      return
    }
    const queued: QueuedRequest<ReplayedChoice> = {
      rank: kind.rank,
      organisation: 'one' as OrganisationName,
      arrival: now,
      target: kind.target,
      limit: now + kind.timeLimit,
      deadline: now + kind.timeLimit,
      base: kind.firstAnswer,
      bytes: 1_000,
      answering: false,
      restricted: false,
      choose: () => choose(node),
      withheld: () => 0
    }
    node.requests.set(queued, request)
    apply(node, node.queue.arrived(queued, now))
  }

  function apply (node: ReplayedNode, effects: readonly QueueEffect<ReplayedChoice>[]): void {
    for (const effect of effects) {
      const request = node.requests.get(effect.request)!
      node.requests.delete(effect.request)
      if (effect.kind === 'dispatch') send(node, request, effect.choice)
      else request.result.refused += 1
    }
  }

  function send (node: ReplayedNode, request: ReplayedRequest, { upstream }: ReplayedChoice): void {
    node.own[upstream]! += 1
    node.isWoken = true
    upstreams[upstream]!.queue.push(request)
  }

  function end (request: ReplayedRequest, upstream: number): void {
    request.node.own[upstream]! -= 1
    request.node.isWoken = true
  }

  function runUpstream ({ queue, running }: ReplayedUpstream, index: number): void {
    for (let slot = running.length - 1; slot >= 0; slot -= 1) {
      const { request, end: endsAt } = running[slot]!
      if (endsAt > now) continue
      running.splice(slot, 1)
      end(request, index)
    }
    while (running.length < slots && queue.length > 0) {
      const request = queue.shift()!
      const answeredAfter = now + request.class.firstAnswer - request.arrival
      if (answeredAfter > request.class.timeLimit) {
        request.result.lost += 1
        end(request, index)
        continue
      }
      request.result[answeredAfter <= request.class.target ? 'inTime' : 'late'] += 1
      running.push({ request, end: now + request.class.hold })
    }
  }

  function decide (node: ReplayedNode, index: number): void {
    if (now % REPORT_PERIOD === Math.round(index * REPORT_PERIOD / nodes.length)) {
      node.reported = [...node.own]
      for (const other of nodes) other.isWoken = true
    }
    while (node.isWoken || (node.queue.wakeAt() ?? Infinity) <= now) {
      node.isWoken = false
      apply(node, node.queue.advance(now))
    }
  }

  for (; now < duration + DRAIN_TIME; now += 1) {
    upstreams.forEach(runUpstream)
    classes.forEach((kind, index) => {
      if (now >= duration || arrivals.fraction() >= kind.rateAt(now) / 1_000) return
      const node = arrivals.pick(nodes)
      arrive(node, { class: kind, result: results[index]!, arrival: now, node })
    })
    nodes.forEach(decide)
  }
  return results
}
