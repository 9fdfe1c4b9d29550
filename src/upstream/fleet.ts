/**
 * The upstreams of one service as one node sees them: load, speed, expected cache and health of each,
 * and the choice of one for an attempt.
 */
import type { Milliseconds } from '../clock.js'
import type { FailureDomain, UpstreamName } from '../identifiers.js'
import type { Random } from '../random.js'
import { createConcurrencyWindow } from './concurrency-window.js'
import { costOf } from './cost.js'
import { createEngineEstimate, createPlainEstimate } from './estimate.js'
import type { EngineEstimate, PlainEstimate } from './estimate.js'
import type { Demand, Placement, ServiceFleet, UpstreamState } from './fleet-types.js'
import { createUpstreamLoad } from './load.js'
import type { RoomLimits } from './load.js'
import { createOutlierDetector } from './outliers.js'
import type { UpstreamHealth } from './outliers.js'
import { createPace } from './pace.js'
import { createPrefixIndex } from './prefix-index.js'
import type { UpstreamView, Usage } from './types.js'

/** How much more than its present share of requests a node may claim of what is free. */
const SHARE_MARGIN = 1.25

/** Below this many requests in all, shares say nothing. */
const FEW_REQUESTS = 8

/** Tokens that are added to every prompt by templates do not count as a mistaken expectation. */
const HIT_STEP = 0.05

/** Time that a place is taken by one answer, before any was seen. */
const PRIOR_HOLD: Milliseconds = 5_000
const HOLD_STEP = 0.02

/** Longer than this many times the mean counts as an outlier. */
const LONGEST_HOLD = 5

/** After a failed upstream its failure domain is chosen last for a while. */
const DOMAIN_MEMORY: Milliseconds = 10_000

/**
 * @param random seeded; breaks the symmetry between nodes that see the same reports
 * @example
 * const fleet = createServiceFleet(createRandom(1))
 * const placement = fleet.choose(demand, 0, now)
 */
export function createServiceFleet (random: Random): ServiceFleet {
  const states = new Map<UpstreamName, UpstreamState>()
  const engines = new Map<string, EngineEstimate>()
  const plain: PlainEstimate = createPlainEstimate()
  const outliers = createOutlierDetector()
  const pace = createPace()
  const domainFailures = new Map<FailureDomain, Milliseconds>()
  let live: UpstreamState[] = []
  /** Takes nothing new, so that an attempt can soon run there apart. */
  let emptying: UpstreamState | undefined
  /** Live upstreams that list a model. */
  let listing = 0
  let nodes = 1
  let ownTotal = 0
  let reportedTotal = 0
  let hitShare = 0
  let holdTime: Milliseconds = PRIOR_HOLD

  function estimateOf (view: UpstreamView | undefined): EngineEstimate {
    const key = view?.machineClass ?? ''
    const known = engines.get(key)
    if (known !== undefined) return known
    const created = createEngineEstimate()
    engines.set(key, created)
    return created
  }

  function isPlain (): boolean {
    return live[0]?.view.protocol === 'plain'
  }

  function share (): number {
    const least = 1 / nodes
    if (reportedTotal < FEW_REQUESTS) return least
    return Math.min(1, Math.max(least, SHARE_MARGIN * ownTotal / reportedTotal))
  }

  /**
   * Failure guarded against: a new engine is listed and takes requests while its weights still load,
   * and they stand there for a minute. Engines list their models; one that lists none while others of
   * the service do is still loading.
   */
  function isLoading (state: UpstreamState): boolean {
    return listing > 0 && state.report !== undefined && state.report.models.length === 0
  }

  function countListing (): void {
    listing = live.filter((state) => (state.report?.models.length ?? 0) > 0).length
  }

  function admits (state: UpstreamState, demand: Demand, limits: RoomLimits, now: Milliseconds): boolean {
    if (isLoading(state)) return false
    if (state.reserved || (state === emptying && !demand.apart)) return false
    if (demand.excluded.includes(state.view.name)) return false
    if (demand.apart) return state.load.own() === 0
    if (isPlain()) return state.load.own() < state.window.size()
    return state.load.hasRoom(limits, demand.urgent, now)
  }

  function healthAllows (state: UpstreamState, probing: boolean, now: Milliseconds): UpstreamHealth | undefined {
    const health = outliers.health(state.view.name, now)
    if (health === 'ejected') return undefined
    return health === 'probe' && !probing ? undefined : health
  }

  function place (state: UpstreamState, demand: Demand, guess: number): Placement {
    const blocks = demand.blocks.length
    const present = blocks === 0 ? 0 : state.prefixes.expected(demand.blocks, guess)
    const saved = blocks === 0 ? 0 : demand.promptTokens * present / blocks * state.prefixes.trust()
    return { upstream: state.view.name, expectedBlocks: present, computedTokens: Math.max(1, demand.promptTokens - saved) }
  }

  function domainFailed (domain: FailureDomain, now: Milliseconds): boolean {
    const at = domainFailures.get(domain)
    return at !== undefined && now - at < DOMAIN_MEMORY
  }

  /**
   * Failure guarded against: of two engines one has crashed under a suspect and the other comes back from
   * an ejection. Only new idempotent work probes, and where none arrives the accepted suspect waits for
   * good. What may not be refused any more probes when nothing else has room.
   */
  function choose (demand: Demand, spare: number, now: Milliseconds): Placement | undefined {
    const placement = chooseAmong(demand, spare, demand.probe, now)
    return placement === undefined && demand.accepted ? chooseAmong(demand, spare, true, now) : placement
  }

  function chooseAmong (demand: Demand, spare: number, probing: boolean, now: Milliseconds): Placement | undefined {
    const loaded = demand.adapter !== undefined && live.some((state) => hasAdapter(state, demand.adapter))
    const mean = Math.max(0, reportedTotal - ownTotal) / Math.max(1, live.length)
    const limits = { share: 1 / nodes, spare, cap: pace.cap() }
    let guess = 0
    let best: Placement | undefined
    let least = Number.POSITIVE_INFINITY
    for (const state of live) {
      if (loaded && !hasAdapter(state, demand.adapter)) continue
      if (!admits(state, demand, limits, now)) continue
      const health = healthAllows(state, probing, now)
      if (health === undefined) continue
      const placement = place(state, demand, guess)
      guess = placement.expectedBlocks
      const drawn = state.load.sampledTotal(now, random, mean, holdTime)
      const estimate = estimateOf(state.view)
      const cost = costOf({
        state,
        demand,
        computedTokens: placement.computedTokens,
        prefillTime: estimate.prefillTime(),
        tokenTime: isPlain() ? plain.median() : estimate.tokenTime(),
        requests: drawn,
        drawnRequests: drawn,
        holdTime,
        slowness: outliers.slowness(state.view.name),
        health,
        domainFailed: domainFailures.size > 0 && domainFailed(state.view.failureDomain, now)
      })
      if (cost >= least) continue
      least = cost
      best = placement
    }
    return best
  }

  /**
   * Failure guarded against: under load no upstream is ever idle, and an attempt that must run apart
   * would wait for good. One upstream at a time is left to run empty for it.
   */
  function emptyFor (demand: Demand): void {
    if (emptying !== undefined) return
    const candidates = live.filter((state) => !state.reserved && !demand.excluded.includes(state.view.name))
    const least = Math.min(...candidates.map((state) => state.load.own()))
    emptying = candidates.find((state) => state.load.own() === least)
  }

  return {
    update: (views, now) => {
      const present = new Set(views.map((view) => view.name))
      for (const name of states.keys()) if (!present.has(name)) states.delete(name)
      for (const view of views) {
        const known = states.get(view.name)
        if (known !== undefined) known.view = view
        else states.set(view.name, createState(view, now))
      }
      live = [...states.values()].filter((state) => !state.view.leaving)
      if (emptying !== undefined && !live.includes(emptying)) emptying = undefined
      countListing()
      outliers.keep(live.map((state) => state.view.name))
      reportedTotal = live.reduce((sum, state) => sum + state.load.reportedTotal(), 0)
    },
    shared: (count) => { nodes = Math.max(1, count) },
    reported: (report, now) => {
      const state = states.get(report.upstream)
      if (state === undefined) return
      const before = state.load.reportedTotal()
      const listedBefore = state.report?.models.length ?? 0
      state.report = report
      if (listedBefore !== report.models.length) countListing()
      state.load.reported(report, share(), pace.cap(), now, random)
      if (!state.view.leaving) reportedTotal += state.load.reportedTotal() - before
    },
    cacheChanged: (upstream, stored, evicted, gap) => states.get(upstream)?.prefixes.changed(stored, evicted, gap),
    choose: (demand, spare, now) => {
      const placement = choose(demand, spare, now)
      if (placement === undefined && demand.apart) emptyFor(demand)
      return placement
    },
    sent: (placement, demand, now) => {
      const state = states.get(placement.upstream)
      if (state === undefined) return
      ownTotal += 1
      state.load.sent(placement.computedTokens, now)
      state.prefixes.sent(demand.blocks)
      outliers.sent(placement.upstream)
      if (!demand.apart) return
      state.reserved = true
      emptying = undefined
    },
    firstToken: (placement) => {
      states.get(placement.upstream)?.load.firstToken(placement.computedTokens)
      outliers.progressed(placement.upstream)
    },
    released: (placement, demand, firstTokenCame, now) => {
      ownTotal = Math.max(0, ownTotal - 1)
      const state = states.get(placement.upstream)
      if (state === undefined) return
      state.load.ended(placement.computedTokens, firstTokenCame, now)
      if (demand.apart) state.reserved = false
    },
    observed: (placement, demand, usage, firstToken, whole, now) => {
      const state = states.get(placement.upstream)
      outliers.progressed(placement.upstream)
      if (state === undefined) return
      if (state.view.protocol === 'plain') {
        plain.observe(whole)
        state.window.observe(whole, demand.wholeTarget, state.load.own())
        outliers.measured(placement.upstream, whole / plain.median(), now)
      } else observeEngine(state, placement, demand, usage, firstToken, whole, now)
    },
    failed: (placement, upstreamDied, now) => {
      outliers.struck(placement.upstream, now)
      const state = states.get(placement.upstream)
      state?.window.failed()
      if (state !== undefined && upstreamDied) domainFailures.set(state.view.failureDomain, now)
    },
    struck: (upstream, now) => outliers.struck(upstream, now),
    withdrawn: (upstream) => outliers.withdrawn(upstream),
    stopEmptying: () => { emptying = undefined },
    paced: (inTarget, quantile) => pace.observed(inTarget, quantile, reportedTotal / Math.max(1, live.length)),
    expect: (demand) => {
      if (isPlain()) return { firstToken: plain.high(), whole: plain.high() }
      return estimateOf(live[0]?.view).expect(demand.promptTokens * (1 - hitShare), demand.generatedTokens)
    },
    work: (demand) => {
      const state = live[0]
      if (state === undefined) return 1
      if (isPlain()) return plain.median() / state.window.size()
      const estimate = estimateOf(state.view)
      return demand.promptTokens * (1 - hitShare) * estimate.prefillTime() + demand.generatedTokens * estimate.tokenTime() / state.load.slots()
    },
    slots: () => live[0]?.load.slots() ?? 1,
    size: () => live.length,
    share,
    health: (upstream, now) => outliers.health(upstream, now)
  }

  function observeEngine (state: UpstreamState, placement: Placement, demand: Demand, usage: Usage, firstToken: Milliseconds, whole: Milliseconds, now: Milliseconds): void {
    const estimate = estimateOf(state.view)
    const computed = Math.max(1, usage.prompt_tokens - usage.cached_tokens)
    estimate.observe({ firstToken, whole, computedTokens: computed, generatedTokens: usage.completion_tokens })
    hitShare += HIT_STEP * (usage.cached_tokens / Math.max(1, usage.prompt_tokens) - hitShare)
    const blockTokens = demand.promptTokens / Math.max(1, demand.blocks.length)
    state.prefixes.answered(placement.expectedBlocks, usage.cached_tokens / blockTokens)
    if (usage.completion_tokens < 2) return
    const perToken = (whole - firstToken) / (usage.completion_tokens - 1)
    outliers.measured(state.view.name, perToken / estimate.tokenTime(), now)
    holdTime += HOLD_STEP * (Math.min(whole, LONGEST_HOLD * holdTime) - holdTime)
  }
}

function createState (view: UpstreamView, now: Milliseconds): UpstreamState {
  return {
    view,
    load: createUpstreamLoad(now),
    prefixes: createPrefixIndex(),
    window: createConcurrencyWindow(),
    report: undefined,
    reserved: false
  }
}

function hasAdapter (state: UpstreamState, adapter: string | undefined): boolean {
  return adapter !== undefined && state.report !== undefined && state.report.adapters.includes(adapter)
}
