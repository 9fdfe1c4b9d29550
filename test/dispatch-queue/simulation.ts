/** Drives a dispatch queue over upstreams whose queues drain with time, and records what becomes of each request. */
import type { Milliseconds } from '../../src/clock.js'
import { createDispatchQueue, createQueueSpace } from '../../src/dispatch-queue/index.js'
import type { DispatchQueue, Offer, QueuedRequest, QueueEffect, QueueSpaceBounds } from '../../src/dispatch-queue/index.js'
import type { OrganisationName } from '../../src/identifiers.js'
import { createRandom } from '../../src/random.js'

export interface SimulatedChoice extends Offer {
  readonly upstream: number
}

export type SimulatedRequest = QueuedRequest<SimulatedChoice>
export type SimulatedEffect = QueueEffect<SimulatedChoice>

/** Properties of a request, each with a default. */
export interface RequestOptions {
  readonly rank?: number
  readonly organisation?: string
  readonly arrival?: Milliseconds
  readonly target?: Milliseconds
  /** Time from the arrival to the limit. */
  readonly time?: Milliseconds
  readonly deadline?: Milliseconds
  readonly reading?: Milliseconds
  readonly base?: Milliseconds
  readonly bytes?: number
  readonly answering?: boolean
  /** Upstreams that it has tried. */
  readonly tried?: readonly number[]
  readonly withheld?: Milliseconds
  /** Upstream that has a part of its prompt cached. It is preferred to an upstream with a slightly shorter queue. */
  readonly home?: number | undefined
}

export interface Simulation {
  readonly queue: DispatchQueue<SimulatedChoice>
  readonly now: () => Milliseconds
  /** Sets the time that an upstream needs for its queue; undefined if it takes no requests. */
  setWaiting (upstream: number, waiting: Milliseconds | undefined): void
  waitingAt (upstream: number): Milliseconds
  create (options?: RequestOptions): SimulatedRequest
  arrive (request: SimulatedRequest): SimulatedEffect[]
  leave (request: SimulatedRequest): void
  /** Decides again, until nothing more is dispatched. */
  advance (): SimulatedEffect[]
  /** Moves the time on, with all decisions that are due meanwhile. */
  pass (duration: Milliseconds): SimulatedEffect[]
  readonly waiting: Set<SimulatedRequest>
  readonly effects: Map<SimulatedRequest, SimulatedEffect[]>
  /** Number of decisions that were due. */
  decisions (): number
}

/** Called for each effect while the requests that still wait are known. */
export type EffectCheck = (effect: SimulatedEffect, simulation: Simulation) => void

/** Additional wait for which a request goes to its home. */
const HOME_ADVANTAGE: Milliseconds = 300

/** Starts with idle upstreams and an empty queue. */
export function createSimulation (upstreamCount: number, bounds?: QueueSpaceBounds, check: EffectCheck = () => {}): Simulation {
  let time: Milliseconds = 0
  let decisions = 0
  const idleAt: (Milliseconds | undefined)[] = Array.from({ length: upstreamCount }, () => 0)
  const waiting = new Set<SimulatedRequest>()
  const effects = new Map<SimulatedRequest, SimulatedEffect[]>()
  const queue = createDispatchQueue<SimulatedChoice>({ random: createRandom(3), space: createQueueSpace(bounds), upstreams: () => upstreamCount })

  function waitingAt (upstream: number): Milliseconds {
    return Math.max(0, (idleAt[upstream] ?? Infinity) - time)
  }

  function apply (batch: SimulatedEffect[]): SimulatedEffect[] {
    for (const effect of batch) {
      waiting.delete(effect.request)
      effects.set(effect.request, [...effects.get(effect.request) ?? [], effect])
      if (effect.kind === 'dispatch') idleAt[effect.choice.upstream] = time + effect.choice.waiting + effect.choice.reading
    }
    for (const effect of batch) check(effect, simulation)
    return batch
  }

  const simulation: Simulation = {
    queue,
    now: () => time,
    setWaiting: (upstream, duration) => { idleAt[upstream] = duration === undefined ? undefined : time + duration },
    waitingAt,
    create: ({ rank = 0, organisation = 'tejo', arrival = time, target = 800, time: limit = 3_000, deadline = Infinity, reading = 40, base = 20, bytes = 100, answering = false, tried = [], withheld = 0, home } = {}) => ({
      rank,
      organisation: organisation as OrganisationName,
      arrival,
      target,
      limit: arrival + limit,
      deadline: arrival + deadline,
      base,
      bytes,
      answering,
      restricted: tried.length > 0,
      choose: () => {
        const present = idleAt.flatMap((at, upstream) => at === undefined || tried.includes(upstream) ? [] : [{ upstream, waiting: waitingAt(upstream), reading }])
        const cost = ({ upstream, waiting: queued }: SimulatedChoice): number => queued - (upstream === home ? HOME_ADVANTAGE : 0)
        return present.sort((left, right) => cost(left) - cost(right))[0]
      },
      withheld: () => withheld
    }),
    arrive: (request) => {
      waiting.add(request)
      return apply(queue.arrived(request, time))
    },
    leave: (request) => {
      waiting.delete(request)
      queue.left(request, time)
    },
    advance: () => {
      const all: SimulatedEffect[] = []
      for (;;) {
        const batch = apply(queue.advance(time))
        all.push(...batch)
        if (!batch.some(({ kind }) => kind === 'dispatch')) return all
      }
    },
    pass: (duration) => {
      const until = time + duration
      const all: SimulatedEffect[] = []
      for (let due = queue.wakeAt(); due !== undefined && due <= until; due = queue.wakeAt()) {
        time = Math.max(time, due)
        decisions += 1
        all.push(...simulation.advance())
      }
      time = until
      return all
    },
    waiting,
    effects,
    decisions: () => decisions
  }
  return simulation
}
