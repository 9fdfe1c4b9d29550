/**
 * One scheduling decision at a time under load: several nodes with a scheduler each, callers, and
 * queueing fakes of the upstreams, in virtual time and from one seed.
 */
import type { Scheduler, SchedulerEffect, SchedulerEvent } from '../../src/admission/index.js'
import type { Milliseconds } from '../../src/clock.js'
import { SECOND } from '../../src/clock.js'
import { addressSchema, failureDomainSchema, requestIdSchema, upstreamNameSchema } from '../../src/identifiers.js'
import type { RequestId, UpstreamName } from '../../src/identifiers.js'
import { createRandom } from '../../src/random.js'
import type { Random } from '../../src/random.js'
import type { UpstreamView } from '../../src/upstream/index.js'
import type { Verdict } from '../../src/verdict.js'
import { createFakeEngine } from './engine.js'
import type { FakeEngine } from './engine.js'
import { createEventQueue } from './event-queue.js'
import type { EventQueue } from './event-queue.js'
import type { MeasuredRequest, Measures, RequestEnd } from './measures.js'
import { BLOCK_TOKENS, configurationOf, isPlain, PLAIN_WORKERS, services } from './mixes.js'
import type { Mix } from './mixes.js'
import { createFakePlainService } from './plain-service.js'
import type { FakePlainService } from './plain-service.js'
import { startArrivals } from './workload.js'
import type { CallerRequest, DemandFactor } from './workload.js'

/** What is simulated. */
export interface SimulationOptions {
  readonly seed: number
  readonly mix: Mix
  readonly createPolicy: (random: Random, node: string) => Scheduler
  readonly factor: DemandFactor
  /** Requests sent before this are not measured. */
  readonly warmup?: Milliseconds
  readonly duration?: Milliseconds
  readonly nodes?: number
  /** Nodes that one organisation's callers use. */
  readonly nodesPerOrganisation?: number
  readonly reportPeriod?: Milliseconds
  /** Callers send a refused request again, this often at most; `hasty` ones do not wait as told. */
  readonly resends?: { readonly most: number, readonly hasty: boolean }
  /** Nodes are told of this many nodes instead of the true number. */
  readonly toldNodes?: number
  readonly prefixes?: boolean
  readonly faults?: (control: SimulationControl) => void
}

/** Faults that a simulation may switch on. */
export interface SimulationControl {
  readonly events: EventQueue
  /** Ends an upstream at once; the instance list shows it `listLag` later. */
  kill (index: number, listLag: Milliseconds): void
  /** The notice reaches all nodes at once; the upstream ends after `notice`. */
  reclaim (index: number, notice: Milliseconds): void
  slow (index: number, factor: number): void
  slowPlain (index: number, factor: number): void
  /** A new engine: it is listed now and serves after `loading`. */
  start (loading: Milliseconds): void
  domainOf (index: number): number
}

interface Upstream {
  view: UpstreamView
  readonly engine: FakeEngine | undefined
  readonly plain: FakePlainService | undefined
  shown: { running: number, waiting: number }
  shownAt: Milliseconds
}

interface Node {
  readonly scheduler: Scheduler
  readonly sends: Map<RequestId, Send>
}

interface Send {
  readonly id: RequestId
  readonly request: CallerRequest
  readonly node: Node
  readonly sentAt: Milliseconds
  readonly sends: number
  attempt: number
  tokensSoFar: number
  excluded: UpstreamName[]
  firstTokenAt: Milliseconds | undefined
  cancel: (() => number) | undefined
  over: boolean
}

const DOMAINS = 3
const NETWORK: Milliseconds = 1
const TICK: Milliseconds = 100
const CACHE_PERIOD: Milliseconds = SECOND

/** Share of the cache events that are lost on the way. */
const CACHE_LOSS = 0.05

/** Engines refresh the load that they show this often. */
const LOAD_LAG: Milliseconds = 400

const MOST_ATTEMPTS = 4
const HASTY_PAUSE: Milliseconds = 500

/** Callers give up after this many times the target of the whole answer. */
const CALLER_PATIENCE = 2

/**
 * Runs one simulation. Equal options give equal results.
 *
 * @example
 * const measures = simulate({ seed: 1, mix: calcaria, createPolicy: (random) => createScheduler({ random }), factor: () => 1 })
 */
export function simulate (options: SimulationOptions): Measures {
  const { mix, nodes: nodeCount = 8, nodesPerOrganisation = 3, warmup = 30 * SECOND, duration = 90 * SECOND } = options
  const random = createRandom(options.seed)
  const events = createEventQueue()
  const upstreams: Upstream[] = []
  const measured: MeasuredRequest[] = []
  const longestTarget = Math.max(...mix.classes.map((classMix) => classMix.target.whole_answer_ms))
  let sequence = 0
  let recomputedTokens = 0
  let promptTokens = 0

  for (let index = 0; index < mix.engines; index += 1) addEngine()
  for (let index = 0; index < mix.plainServers; index += 1) addPlain(index)
  const nodes = Array.from({ length: nodeCount }, (_, index) => createNode(index))
  for (const node of nodes) {
    tell(node, { kind: 'configured', configuration: configurationOf(mix) })
    tell(node, { kind: 'nodes', count: options.toldNodes ?? nodeCount })
  }
  showUpstreams()

  function createNode (index: number): Node {
    return { scheduler: options.createPolicy(createRandom(random.integer(0x40000000)), `entry-${index}`), sends: new Map() }
  }

  function addEngine (): number {
    const index = upstreams.length
    const engine = createFakeEngine(events, mix.shape)
    upstreams.push({ view: viewOf(`engine-${index}`, index, 'model'), engine, plain: undefined, shown: { running: 0, waiting: 0 }, shownAt: 0 })
    return index
  }

  function addPlain (index: number): void {
    const plain = createFakePlainService(events, PLAIN_WORKERS)
    upstreams.push({ view: viewOf(`plain-${index}`, index, 'plain'), engine: undefined, plain, shown: { running: 0, waiting: 0 }, shownAt: 0 })
  }

  function tell (node: Node, event: SchedulerEvent): void {
    for (const effect of node.scheduler.handle(event, events.now())) carryOut(node, effect)
  }

  function showUpstreams (): void {
    for (const node of nodes) tell(node, { kind: 'upstreams', upstreams: upstreams.map(({ view }) => view) })
  }

  function send (request: CallerRequest, sends: number): void {
    const node = nodeFor(request)
    const id = requestIdSchema.parse(`home.${String(sequence++).padStart(16, '0')}`)
    const created: Send = { id, request, node, sentAt: events.now(), sends, attempt: 0, tokensSoFar: 0, excluded: [], firstTokenAt: undefined, cancel: undefined, over: false }
    node.sends.set(id, created)
    events.after(request.classMix.target.whole_answer_ms * CALLER_PATIENCE, () => giveUp(created))
    arrive(created)
  }

  function nodeFor (request: CallerRequest): Node {
    const organisation = mix.organisations.findIndex(({ name }) => name === request.organisation)
    const nth = random.integer(Math.min(nodesPerOrganisation, nodeCount))
    return nodes[(organisation * nodesPerOrganisation + nth) % nodeCount] as Node
  }

  function arrive (created: Send): void {
    const { request } = created
    created.attempt += 1
    const tokens = request.blocks.length * BLOCK_TOKENS
    tell(created.node, {
      kind: 'arrived',
      attempt: {
        id: created.id,
        organisation: request.organisation,
        class: request.classMix.name,
        attempt: created.attempt,
        arrivedAt: created.sentAt,
        promptTokens: tokens,
        maxTokens: request.classMix.maxTokens,
        tokensSoFar: created.tokensSoFar,
        prefixBlocks: options.prefixes === false ? [] : request.blocks,
        adapter: undefined,
        excluded: created.excluded,
        apart: false,
        accepted: created.tokensSoFar > 0
      }
    })
  }

  function carryOut (node: Node, effect: SchedulerEffect): void {
    const created = node.sends.get(effect.id)
    if (created === undefined) throw new Error(`effect for unknown ${effect.id}`)
    switch (effect.kind) {
      case 'dispatch':
        events.after(NETWORK, () => run(created, effect.upstream, effect.priority))
        break
      case 'refuse':
        refused(created, effect.retryAfter)
        break
    }
  }

  function run (created: Send, name: UpstreamName, priority: number): void {
    if (created.over) return
    const upstream = upstreams.find(({ view }) => view.name === name) as Upstream
    const { request } = created
    if (upstream.plain !== undefined) {
      const cancel = upstream.plain.start({ time: request.plainTime, onWhole: () => whole(created, 0), onBroken: () => broken(created, name, 0) })
      created.cancel = () => { cancel(); return 0 }
      return
    }
    const tokens = request.blocks.length * BLOCK_TOKENS + created.tokensSoFar
    promptTokens += tokens
    created.cancel = (upstream.engine as FakeEngine).start({
      priority,
      promptTokens: tokens,
      generatedTokens: Math.max(1, request.generatedTokens - created.tokensSoFar),
      blocks: request.blocks,
      blockTokens: BLOCK_TOKENS,
      onFirstToken: () => firstToken(created),
      onWhole: (cached) => whole(created, cached),
      onBroken: (generated) => broken(created, name, generated)
    })
  }

  function firstToken (created: Send): void {
    created.firstTokenAt ??= events.now()
    tell(created.node, { kind: 'first-token', id: created.id })
  }

  function whole (created: Send, cachedTokens: number): void {
    const { request } = created
    finish(created, isInTarget(created) ? 'in-target' : 'late')
    const usage = { prompt_tokens: request.blocks.length * BLOCK_TOKENS + created.tokensSoFar, completion_tokens: request.generatedTokens - created.tokensSoFar, cached_tokens: cachedTokens }
    tell(created.node, { kind: 'ended', id: created.id, result: { kind: 'whole', usage } })
  }

  function isInTarget (created: Send): boolean {
    const { target } = created.request.classMix
    const first = (created.firstTokenAt ?? events.now()) - created.sentAt
    const all = events.now() - created.sentAt
    const between = (all - first) / Math.max(1, created.request.generatedTokens - 1)
    return all <= target.whole_answer_ms && first <= (target.first_token_ms ?? Infinity) && between <= (target.between_tokens_ms ?? Infinity)
  }

  function broken (created: Send, name: UpstreamName, generated: number): void {
    if (created.over) return
    const verdict: Verdict = 'may-have-run'
    created.tokensSoFar += generated
    created.excluded = [...created.excluded, name]
    tell(created.node, { kind: 'ended', id: created.id, result: { kind: 'failed', verdict, upstreamDied: true } })
    if (!created.request.classMix.idempotent || created.attempt >= MOST_ATTEMPTS) return finish(created, 'lost')
    recomputedTokens += created.request.blocks.length * BLOCK_TOKENS + created.tokensSoFar
    arrive(created)
  }

  function refused (created: Send, retryAfter: Milliseconds): void {
    const { resends } = options
    if (resends === undefined || created.sends > resends.most) return finish(created, 'refused')
    created.over = true
    created.node.sends.delete(created.id)
    events.after(resends.hasty ? HASTY_PAUSE : retryAfter, () => send(created.request, created.sends + 1))
  }

  function giveUp (created: Send): void {
    if (created.over) return
    created.cancel?.()
    finish(created, 'gave-up')
    tell(created.node, { kind: 'ended', id: created.id, result: { kind: 'withdrawn' } })
  }

  function finish (created: Send, end: RequestEnd): void {
    created.over = true
    created.node.sends.delete(created.id)
    const { firstSentAt } = created.request
    if (firstSentAt < warmup || firstSentAt >= warmup + duration) return
    const firstTokenTime = created.firstTokenAt === undefined ? undefined : created.firstTokenAt - created.sentAt
    measured.push({ request: created.request, end, firstToken: firstTokenTime, whole: events.now() - created.sentAt })
  }

  function report (node: Node, upstream: Upstream): void {
    const { view, shown, shownAt, engine } = upstream
    if (engine === undefined) return
    const figures = { cacheUsed: 0, leaving: false, models: [], adapters: [], role: 'mixed' as const, generation: 0 }
    tell(node, { kind: 'load', report: { upstream: view.name, ...shown, ageMs: events.now() - shownAt, ...figures } })
  }

  function refreshShown (): void {
    for (const upstream of upstreams) {
      if (upstream.engine === undefined) continue
      upstream.shown = upstream.engine.load()
      upstream.shownAt = events.now()
    }
  }

  function publishCache (): void {
    for (const { view, engine } of upstreams) {
      if (engine === undefined) continue
      const changes = engine.takeCacheChanges()
      for (const node of nodes) {
        const lost = random.fraction() < CACHE_LOSS
        tell(node, { kind: 'cache', upstream: view.name, stored: lost ? [] : changes.stored, evicted: lost ? [] : changes.evicted, gap: lost })
      }
    }
  }

  const reportPeriod = options.reportPeriod ?? 500
  events.every(0, LOAD_LAG, refreshShown)
  events.every(CACHE_PERIOD, CACHE_PERIOD, publishCache)
  for (const node of nodes) {
    events.every(random.integer(TICK), TICK, () => tell(node, { kind: 'tick' }))
    events.every(random.integer(reportPeriod), reportPeriod, () => { for (const upstream of upstreams) report(node, upstream) })
  }
  startArrivals({ events, mix, random, factor: options.factor, onRequest: (request) => send(request, 1) })

  options.faults?.({
    events,
    kill: (index, listLag) => {
      const upstream = upstreams[index] as Upstream
      upstream.engine?.kill()
      upstream.plain?.kill()
      events.after(listLag, () => leave(upstream))
    },
    reclaim: (index, notice) => {
      const upstream = upstreams[index] as Upstream
      leave(upstream)
      events.after(notice, () => upstream.engine?.kill())
    },
    slow: (index, factor) => upstreams[index]?.engine?.slow(factor),
    slowPlain: (index, factor) => upstreams[mix.engines + index]?.plain?.slow(factor),
    start: (loading) => {
      const engine = upstreams[addEngine()]?.engine
      engine?.slow(Infinity)
      events.after(loading, () => engine?.slow(1))
      showUpstreams()
    },
    domainOf: (index) => index % DOMAINS
  })

  function leave (upstream: Upstream): void {
    upstream.view = { ...upstream.view, leaving: true }
    showUpstreams()
  }

  events.runUntil(warmup + duration + longestTarget * CALLER_PATIENCE)
  const computedTokens = upstreams.reduce((sum, { engine }) => sum + (engine?.computedTokens() ?? 0), 0)
  return { requests: measured, seconds: duration / SECOND, promptTokens, computedTokens, recomputedTokens }
}

function viewOf (name: string, index: number, protocol: 'model' | 'plain'): UpstreamView {
  return {
    name: upstreamNameSchema.parse(name),
    service: protocol === 'model' ? services.model : services.plain,
    failureDomain: failureDomainSchema.parse(`domain-${index % DOMAINS}`),
    machineClass: 'one',
    address: addressSchema.parse('127.0.0.1:1'),
    protocol,
    leaving: false,
    inFlight: 0
  }
}

/** Whether a class of the mix is served by engines. */
export { isPlain }
