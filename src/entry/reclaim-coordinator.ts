/**
 * Plans the streams of a leaving upstream for all nodes that have streams there. Exports from one upstream share one
 * link, so a single node decides on their order. The nodes choose the coordinating node by its rank in their membership
 * view. The state here is kept in memory only and may be lost at any time.
 */
import { createTimeoutSignal } from '../timeout-signal.js'
import type { Clock, Milliseconds } from '../clock.js'
import { every, SECOND } from '../clock.js'
import type { Configuration } from '../configuration/index.js'
import type { RequestId, UpstreamName } from '../identifiers.js'
import { score } from '../membership/index.js'
import type { PlanRequest, ReclaimHandlers, ExportEndMessage, ExportRequestMessage } from '../peer/reclaim.js'
import { createEngine } from '../protocols/engine.js'
import type { Connections } from '../protocols/http.js'
import type { LoadReport, UpstreamView } from '../upstream/index.js'
import { createLinkEstimate, createExportQueue, reclaimedDomains, planReclaim } from '../upstream/reclaim/index.js'
import type { ExportLink, ExportQueue, ReclaimSituation, ReclaimTarget, StreamPlan, ExportDecision } from '../upstream/reclaim/index.js'
import type { UpstreamDirectory } from './upstream-directory.js'

/** Planning by one node, for its own streams and those of other nodes. */
export type ReclaimCoordinator = Pick<ReclaimHandlers, 'plan' | 'turn' | 'turnEnded'>

/** Options of {@link createReclaimCoordinator}. */
export interface CoordinatorOptions {
  readonly directory: UpstreamDirectory
  readonly connections: Connections
  readonly configuration: () => Configuration | undefined
  readonly clock: Clock
  readonly signal: AbortSignal
}

/** Time for which plan requests of other nodes are collected before all of them are planned together. */
const BATCH_WINDOW: Milliseconds = 100

/** Timeout for the load report of a target. An upstream that does not answer in time is not used as a target. */
const LOAD_TIMEOUT: Milliseconds = 250

/** Interval at which export queues are checked for overdue exports. */
const TICK_PERIOD: Milliseconds = 100

/** Maximum number of upstreams whose load is requested. */
const MAX_TARGETS = 24

/**
 * Assumed number of requests that an engine decodes concurrently, and of tokens that its cache holds. Load reports
 * state only the used share of the cache.
 */
const ENGINE_SLOTS = 16
const ENGINE_CACHE_TOKENS = 262_144

/** Assumed fraction of the used cache that can be evicted because no running request needs it. */
const EVICTABLE_FRACTION = 0.5

/** Assumed prefill rate of an engine in tokens per millisecond, and its assumed time per generated token. */
const PREFILL_RATE = 10
const TOKEN_TIME: Milliseconds = 30

/**
 * Weight of recomputed tokens while there is no configuration. With this value they weigh as much as the time that
 * their recomputation takes.
 */
const DEFAULT_RECOMPUTED_PER_THOUSAND_TOKENS = 20

/** Plan request that has not been answered yet. */
interface PendingPlanRequest {
  readonly request: PlanRequest
  readonly deadline: Milliseconds
  readonly answer: (plans: readonly StreamPlan[]) => void
}

/** State of one leaving upstream. */
interface ReclaimState {
  /** Plan requests for the next batch. */
  waiting: PendingPlanRequest[]
  /** Planned end of each export. */
  readonly exportEnds: Map<RequestId, Milliseconds>
  readonly exportQueue: ExportQueue
  /** Callbacks of the exports that wait for a decision. */
  readonly pendingExports: Map<RequestId, (go: boolean) => void>
  /** Latest known deadline of the upstream. */
  until: Milliseconds
}

/**
 * Creates a coordinator. Its periodic checks run until `signal` is aborted.
 *
 * @example
 * const coordinator = createReclaimCoordinator({ directory, connections, configuration, clock, signal })
 * const { plans } = await coordinator.plan(request)
 */
export function createReclaimCoordinator (options: CoordinatorOptions): ReclaimCoordinator {
  const { directory, clock, signal } = options
  const states = new Map<UpstreamName, ReclaimState>()
  const estimate = createLinkEstimate()

  function plan (request: PlanRequest): Promise<{ plans: readonly StreamPlan[] }> {
    const deadline = clock.now() + request.remainingMs
    const state = stateOf(request.upstream, deadline)
    return new Promise((resolve) => {
      state.waiting.push({ request, deadline, answer: (plans) => resolve({ plans }) })
      if (state.waiting.length === 1) planBatch(request.upstream, state).catch(() => {})
    })
  }

  function stateOf (upstream: UpstreamName, deadline: Milliseconds): ReclaimState {
    const known = states.get(upstream)
    if (known !== undefined) {
      known.until = deadline
      known.exportQueue.until(deadline)
      return known
    }
    const state: ReclaimState = { waiting: [], exportEnds: new Map(), exportQueue: createExportQueue(estimate, deadline), pendingExports: new Map(), until: deadline }
    states.set(upstream, state)
    return state
  }

  function turn (request: ExportRequestMessage): Promise<{ go: boolean }> {
    const state = stateOf(request.upstream, clock.now() + request.remainingMs)
    return new Promise((resolve) => {
      state.pendingExports.set(request.id, (go) => resolve({ go }))
      applyDecisions(state, state.exportQueue.enqueue(request, clock.now()))
    })
  }

  function turnEnded (end: ExportEndMessage): void {
    const state = states.get(end.upstream)
    if (state !== undefined) applyDecisions(state, state.exportQueue.ended(end.id, end.moved, clock.now()))
  }

  function applyDecisions (state: ReclaimState, decisions: readonly ExportDecision[]): void {
    for (const { id, kind } of decisions) {
      state.pendingExports.get(id)?.(kind === 'go')
      state.pendingExports.delete(id)
    }
  }

  /**
   * Failure guarded against: a node dies during its export and never reports the end, so that the exports of other
   * nodes wait for the link. The queue starts the next export once the running one is overdue.
   */
  function tick (): void {
    for (const state of states.values()) applyDecisions(state, state.exportQueue.tick(clock.now()))
    removeExpired()
  }

  function removeExpired (): void {
    for (const [upstream, state] of states) {
      if (state.until < clock.now() - SECOND && state.waiting.length === 0) states.delete(upstream)
    }
  }

  async function planBatch (upstream: UpstreamName, state: ReclaimState): Promise<void> {
    const [targets] = await Promise.all([findTargets(upstream), clock.sleep(BATCH_WINDOW, signal).catch(() => {})])
    const batch = state.waiting
    state.waiting = []
    const now = clock.now()
    const plans = planReclaim(buildSituation(upstream, batch, state, targets, now), now)
    for (const streamPlan of plans) {
      if (streamPlan.kind === 'export') state.exportEnds.set(streamPlan.id, now + streamPlan.endAfter)
      else state.exportEnds.delete(streamPlan.id)
    }
    for (const { request, answer } of batch) {
      const ownStreams = new Set(request.streams.map((stream) => stream.id))
      answer(plans.filter((streamPlan) => ownStreams.has(streamPlan.id)))
    }
  }

  function buildSituation (upstream: UpstreamName, batch: readonly PendingPlanRequest[], state: ReclaimState, targets: readonly ReclaimTarget[], now: Milliseconds): ReclaimSituation {
    const views = directory.views()
    const leavingView = views.find((view) => view.name === upstream)
    const streams = new Map(batch.flatMap(({ request }) => request.streams.map((stream) => [stream.id, stream] as const)))
    return {
      upstream,
      failureDomain: leavingView?.failureDomain ?? ('' as UpstreamView['failureDomain']),
      deadline: Math.min(...batch.map((pending) => pending.deadline)),
      link: buildLink(state, new Set(streams.keys()), now),
      streams: [...streams.values()],
      targets,
      leaving: views.filter((view) => view.leaving && view.service === leavingView?.service && view.protocol === 'model').map((view) => view.name),
      leavingDomains: reclaimedDomains(views.filter((view) => view.protocol === 'model')),
      recomputedPerThousandTokens: options.configuration()?.deployment.target.recomputed_per_thousand_tokens ?? DEFAULT_RECOMPUTED_PER_THOUSAND_TOKENS
    }
  }

  function buildLink (state: ReclaimState, planned: ReadonlySet<RequestId>, now: Milliseconds): ExportLink {
    const otherEnds = [...state.exportEnds].filter(([id]) => !planned.has(id)).map(([, end]) => end)
    return { ...estimate.link(), busyFor: Math.max(0, ...otherEnds.map((end) => end - now)) }
  }

  async function findTargets (upstream: UpstreamName): Promise<readonly ReclaimTarget[]> {
    const views = directory.views()
    const service = views.find((view) => view.name === upstream)?.service
    const candidateViews = views.filter((view) => view.service === service && view.protocol === 'model' && !view.leaving && view.name !== upstream)
    candidateViews.sort((left, right) => score(upstream, right.name) - score(upstream, left.name))
    const targets = await Promise.all(candidateViews.slice(0, MAX_TARGETS).map(fetchTarget))
    return targets.flatMap((target) => target ?? [])
  }

  async function fetchTarget (view: UpstreamView): Promise<ReclaimTarget | undefined> {
    try {
      const timeoutSignal = createTimeoutSignal(LOAD_TIMEOUT, signal)
      return toTarget(view, await createEngine(options.connections, view.address).load(timeoutSignal))
    } catch {
      return undefined
    }
  }

  every(clock, TICK_PERIOD, signal, tick, () => {}).catch(() => {})

  return { plan, turn, turnEnded }
}

function toTarget (view: UpstreamView, report: LoadReport): ReclaimTarget {
  return {
    upstream: view.name,
    failureDomain: view.failureDomain,
    leaving: view.leaving || report.leaving,
    freeCacheTokens: ENGINE_CACHE_TOKENS * (1 - report.cacheUsed * (1 - EVICTABLE_FRACTION)),
    freeSlots: Math.max(0, ENGINE_SLOTS - report.running - report.waiting),
    prefillRate: PREFILL_RATE,
    tokenTime: TOKEN_TIME,
    importRate: Number.POSITIVE_INFINITY
  }
}
