/**
 * The upstreams of one service as seen by one node: load, speed, expected cache content and health of each, and the
 * choice of an upstream for an attempt.
 */
import type { Milliseconds } from '../clock.js'
import type { FailureDomain, UpstreamName } from '../identifiers.js'
import type { Random } from '../random.js'
import { createConcurrencyWindow } from './concurrency-window.js'
import { attemptCost } from './cost.js'
import { createEngineEstimate, createPlainEstimate } from './estimate.js'
import type { EngineEstimate, PlainEstimate } from './estimate.js'
import type { AttemptDemand, Placement, ServiceFleet, UpstreamState } from './fleet-types.js'
import { createUpstreamLoad } from './load.js'
import type { CapacityLimits } from './load.js'
import { createOutlierDetector } from './outliers.js'
import type { HealthState } from './outliers.js'
import { createConcurrencyLimit } from './decode-concurrency.js'
import { createPrefixIndex } from './prefix-index.js'
import type { UpstreamView, Usage } from './types.js'

/** Factor by which a node may exceed its current share of requests when it claims free slots. */
const SHARE_GROWTH_FACTOR = 1.25

/** Below this number of reported requests, shares are not significant. */
const MIN_REQUESTS_FOR_SHARE = 8

/**
 * Smoothing factor of the share of prompt tokens served from the cache. The share is computed from reported tokens,
 * which include the tokens that templates add to every prompt, so that these do not count as mispredictions.
 */
const HIT_SHARE_SMOOTHING = 0.05

/** Initial estimate of the time for which one answer occupies a slot. */
const INITIAL_HOLD_TIME: Milliseconds = 5_000

/** Smoothing factor of the time for which one answer occupies a slot. */
const HOLD_TIME_SMOOTHING = 0.02

/** Maximum duration of an answer that is recorded, as a multiple of the mean. Longer answers are outliers. */
const MAX_HOLD_FACTOR = 5

/** Time for which the failure domain of a failed upstream is avoided. */
const DOMAIN_FAILURE_PERIOD: Milliseconds = 10_000

/**
 * Creates the state of the upstreams of one service.
 *
 * @param random seeded random numbers, which make nodes with the same reports choose different upstreams
 * @example
 * const fleet = createServiceFleet(createRandom(1))
 * const placement = fleet.choose(demand, 0, now)
 */
export function createServiceFleet (random: Random): ServiceFleet {
  const states = new Map<UpstreamName, UpstreamState>()
  const engines = new Map<string, EngineEstimate>()
  const plain: PlainEstimate = createPlainEstimate()
  const outliers = createOutlierDetector()
  const concurrencyLimit = createConcurrencyLimit()
  const domainFailures = new Map<FailureDomain, Milliseconds>()
  let live: UpstreamState[] = []
  /** Upstream that gets no other new attempts until an isolated attempt can run there. */
  let isolationCandidate: UpstreamState | undefined
  /** Number of upstreams that list a model in their load report. Leaving upstreams are not counted. */
  let upstreamsListingModels = 0
  let sharingNodes = 1
  let ownRequests = 0
  let reportedRequests = 0
  let hitShare = 0
  let holdTime: Milliseconds = INITIAL_HOLD_TIME

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
    const minShare = 1 / sharingNodes
    if (reportedRequests < MIN_REQUESTS_FOR_SHARE) return minShare
    return Math.min(1, Math.max(minShare, SHARE_GROWTH_FACTOR * ownRequests / reportedRequests))
  }

  /**
   * Failure guarded against: a new engine is listed while it still loads its weights, and requests sent to it wait
   * for up to a minute. Engines report the models that they have loaded. An engine that reports none is considered
   * loading if other engines of the service report some.
   */
  function isLoading (state: UpstreamState): boolean {
    return upstreamsListingModels > 0 && state.report !== undefined && state.report.models.length === 0
  }

  function countUpstreamsListingModels (): void {
    upstreamsListingModels = live.filter((state) => (state.report?.models.length ?? 0) > 0).length
  }

  function admits (state: UpstreamState, demand: AttemptDemand, limits: CapacityLimits, now: Milliseconds): boolean {
    if (isLoading(state)) return false
    if (state.reserved || (state === isolationCandidate && !demand.apart)) return false
    if (demand.excluded.includes(state.view.name)) return false
    if (demand.apart) return state.load.ownRequests() === 0
    if (isPlain()) return state.load.ownRequests() < state.window.size()
    return state.load.hasCapacity(limits, demand.urgent, now)
  }

  function usableHealth (state: UpstreamState, mayProbe: boolean, now: Milliseconds): HealthState | undefined {
    const health = outliers.health(state.view.name, now)
    if (health === 'ejected') return undefined
    return health === 'probe' && !mayProbe ? undefined : health
  }

  function createPlacement (state: UpstreamState, demand: AttemptDemand, hint: number): Placement {
    const blocks = demand.blocks.length
    const cachedBlocks = blocks === 0 ? 0 : state.prefixes.expected(demand.blocks, hint)
    const cachedTokens = blocks === 0 ? 0 : demand.promptTokens * cachedBlocks / blocks * state.prefixes.confidence()
    return { upstream: state.view.name, expectedBlocks: cachedBlocks, computedTokens: Math.max(1, demand.promptTokens - cachedTokens) }
  }

  function domainFailed (domain: FailureDomain, now: Milliseconds): boolean {
    const at = domainFailures.get(domain)
    return at !== undefined && now - at < DOMAIN_FAILURE_PERIOD
  }

  /**
   * Failure guarded against: of two engines, one has crashed while running a request that is now suspected of
   * crashing engines, and the other one may only be probed after an ejection. By default only new idempotent requests
   * probe. If none arrives, the suspected request, which has been accepted, would wait forever. An accepted request
   * cannot be refused any more, so it probes when no other upstream has capacity.
   */
  function choose (demand: AttemptDemand, spare: number, now: Milliseconds): Placement | undefined {
    const placement = chooseAmong(demand, spare, demand.probe, now)
    return placement === undefined && demand.accepted ? chooseAmong(demand, spare, true, now) : placement
  }

  function chooseAmong (demand: AttemptDemand, spare: number, mayProbe: boolean, now: Milliseconds): Placement | undefined {
    const isAdapterLoaded = demand.adapter !== undefined && live.some((state) => hasAdapter(state, demand.adapter))
    const meanOfOthers = Math.max(0, reportedRequests - ownRequests) / Math.max(1, live.length)
    const limits = { share: 1 / sharingNodes, spare, maxRunning: concurrencyLimit.limit() }
    let hint = 0
    let best: Placement | undefined
    let minCost = Number.POSITIVE_INFINITY
    for (const state of live) {
      if (isAdapterLoaded && !hasAdapter(state, demand.adapter)) continue
      if (!admits(state, demand, limits, now)) continue
      const health = usableHealth(state, mayProbe, now)
      if (health === undefined) continue
      const placement = createPlacement(state, demand, hint)
      hint = placement.expectedBlocks
      const sampledRequests = state.load.sampledTotal(now, random, meanOfOthers, holdTime)
      const estimate = estimateOf(state.view)
      const cost = attemptCost({
        state,
        demand,
        computedTokens: placement.computedTokens,
        prefillTime: estimate.prefillTime(),
        tokenTime: isPlain() ? plain.median() : estimate.tokenTime(),
        requests: sampledRequests,
        sampledRequests,
        holdTime,
        slowness: outliers.slowness(state.view.name),
        health,
        domainFailed: domainFailures.size > 0 && domainFailed(state.view.failureDomain, now)
      })
      if (cost >= minCost) continue
      minCost = cost
      best = placement
    }
    return best
  }

  /**
   * Failure guarded against: under load no upstream is ever idle, so an attempt that must be isolated would wait
   * forever. Therefore one upstream at a time gets no new attempts until it is idle.
   */
  function selectIsolationCandidate (demand: AttemptDemand): void {
    if (isolationCandidate !== undefined) return
    const candidates = live.filter((state) => !state.reserved && !demand.excluded.includes(state.view.name))
    const minRequests = Math.min(...candidates.map((state) => state.load.ownRequests()))
    isolationCandidate = candidates.find((state) => state.load.ownRequests() === minRequests)
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
      if (isolationCandidate !== undefined && !live.includes(isolationCandidate)) isolationCandidate = undefined
      countUpstreamsListingModels()
      outliers.retainOnly(live.map((state) => state.view.name))
      reportedRequests = live.reduce((sum, state) => sum + state.load.reportedTotal(), 0)
    },
    setSharingNodes: (count) => { sharingNodes = Math.max(1, count) },
    reported: (report, now) => {
      const state = states.get(report.upstream)
      if (state === undefined) return
      const before = state.load.reportedTotal()
      const listedBefore = state.report?.models.length ?? 0
      state.report = report
      if (listedBefore !== report.models.length) countUpstreamsListingModels()
      state.load.reported(report, share(), concurrencyLimit.limit(), now, random)
      if (!state.view.leaving) reportedRequests += state.load.reportedTotal() - before
    },
    cacheChanged: (upstream, stored, evicted, gap) => states.get(upstream)?.prefixes.changed(stored, evicted, gap),
    choose: (demand, spare, now) => {
      const placement = choose(demand, spare, now)
      if (placement === undefined && demand.apart) selectIsolationCandidate(demand)
      return placement
    },
    sent: (placement, demand, now) => {
      const state = states.get(placement.upstream)
      if (state === undefined) return
      ownRequests += 1
      state.load.sent(placement.computedTokens, now)
      state.prefixes.sent(demand.blocks)
      outliers.sent(placement.upstream)
      if (!demand.apart) return
      state.reserved = true
      isolationCandidate = undefined
    },
    firstToken: (placement) => {
      states.get(placement.upstream)?.load.firstToken(placement.computedTokens)
      outliers.progressed(placement.upstream)
    },
    released: (placement, demand, firstTokenCame, now) => {
      ownRequests = Math.max(0, ownRequests - 1)
      const state = states.get(placement.upstream)
      if (state === undefined) return
      state.load.ended(placement.computedTokens, firstTokenCame, now)
      if (demand.apart) state.reserved = false
    },
    answerObserved: (placement, demand, usage, firstToken, whole, now) => {
      const state = states.get(placement.upstream)
      outliers.progressed(placement.upstream)
      if (state === undefined) return
      if (state.view.protocol === 'plain') {
        plain.observe(whole)
        state.window.observe(whole, demand.wholeAnswerTarget, state.load.ownRequests())
        outliers.tokenTimeObserved(placement.upstream, whole / plain.median(), now)
      } else observeEngine(state, placement, demand, usage, firstToken, whole, now)
    },
    failed: (placement, upstreamDied, now) => {
      outliers.failureObserved(placement.upstream, now)
      const state = states.get(placement.upstream)
      state?.window.failed()
      if (state !== undefined && upstreamDied) domainFailures.set(state.view.failureDomain, now)
    },
    stalled: (upstream, now) => outliers.failureObserved(upstream, now),
    withdrawn: (upstream) => outliers.withdrawn(upstream),
    cancelIsolation: () => { isolationCandidate = undefined },
    tokenTimeObserved: (inTarget, quantile) => concurrencyLimit.answerObserved(inTarget, quantile, reportedRequests / Math.max(1, live.length)),
    expect: (demand) => {
      if (isPlain()) return { firstToken: plain.highQuantile(), whole: plain.highQuantile() }
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

  function observeEngine (state: UpstreamState, placement: Placement, demand: AttemptDemand, usage: Usage, firstToken: Milliseconds, whole: Milliseconds, now: Milliseconds): void {
    const estimate = estimateOf(state.view)
    const computedTokens = Math.max(1, usage.prompt_tokens - usage.cached_tokens)
    estimate.observe({ firstToken, whole, computedTokens, generatedTokens: usage.completion_tokens })
    hitShare += HIT_SHARE_SMOOTHING * (usage.cached_tokens / Math.max(1, usage.prompt_tokens) - hitShare)
    const blockTokens = demand.promptTokens / Math.max(1, demand.blocks.length)
    state.prefixes.answered(placement.expectedBlocks, usage.cached_tokens / blockTokens)
    if (usage.completion_tokens < 2) return
    const perToken = (whole - firstToken) / (usage.completion_tokens - 1)
    outliers.tokenTimeObserved(state.view.name, perToken / estimate.tokenTime(), now)
    holdTime += HOLD_TIME_SMOOTHING * (Math.min(whole, MAX_HOLD_FACTOR * holdTime) - holdTime)
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
