/**
 * Plans for a leaving upstream on behalf of all nodes that have streams there: its exports share one
 * link, so one node orders them. Which one follows from the membership view; what it knows is soft.
 */
import { createTimeoutSignal } from '../bound-signal.js'
import type { Clock, Milliseconds } from '../clock.js'
import { every, SECOND } from '../clock.js'
import type { Configuration } from '../configuration/index.js'
import type { RequestId, UpstreamName } from '../identifiers.js'
import { score } from '../membership/index.js'
import type { PlanRequest, ReclaimHandlers, TurnEnd, TurnRequest } from '../peer/reclaim.js'
import { createEngine } from '../protocols/engine.js'
import type { Connections } from '../protocols/http.js'
import type { LoadReport, UpstreamView } from '../upstream/index.js'
import { createLinkEstimate, createExportQueue, reclaimedDomains, planReclaim } from '../upstream/reclaim/index.js'
import type { ExportLink, ExportQueue, ReclaimSituation, ReclaimTarget, StreamPlan, ExportDecision } from '../upstream/reclaim/index.js'
import type { UpstreamDirectory } from './upstream-directory.js'

/** Plans of one node for itself and others. */
export type ReclaimCoordinator = Pick<ReclaimHandlers, 'plan' | 'turn' | 'turnEnded'>

/** Options of {@link createReclaimCoordinator}. */
export interface CoordinatorOptions {
  readonly directory: UpstreamDirectory
  readonly connections: Connections
  readonly configuration: () => Configuration | undefined
  readonly clock: Clock
  readonly signal: AbortSignal
}

/** Time that requests of other nodes are waited for before the link is planned. */
const GATHERING: Milliseconds = 100

/** Bound on asking a target for its load; one that does not answer is no target. */
const LOAD_TIMEOUT: Milliseconds = 250

const TICK_PERIOD: Milliseconds = 100

/** Targets that are asked for their load. */
const MOST_TARGETS = 24

/** Answers that an engine decodes at a time, and tokens its cache holds: reports tell shares only. */
const ENGINE_PLACES = 16
const ENGINE_CACHE_TOKENS = 262_144

/** Share of the used cache that holds prefixes no running answer needs. */
const EVICTABLE = 0.5

/** Tokens of prompt an engine computes per millisecond, and its time for a token, before any is known. */
const PREFILL_RATE = 10
const TOKEN_TIME: Milliseconds = 30

/** Without a configuration recomputed tokens weigh as much as the time they take. */
const DEFAULT_RECOMPUTED = 20

interface Asked {
  readonly request: PlanRequest
  readonly deadline: Milliseconds
  readonly answer: (plans: readonly StreamPlan[]) => void
}

interface Gathering {
  waiting: Asked[]
  /** End of each export that was planned, by request. */
  readonly exports: Map<RequestId, Milliseconds>
  readonly turns: ExportQueue
  /** Exports that wait for their turn. */
  readonly asking: Map<RequestId, (go: boolean) => void>
  until: Milliseconds
}

/**
 * @example
 * const coordinator = createReclaimCoordinator({ directory, connections, configuration, clock, signal })
 * const { plans } = await coordinator.plan(request)
 */
export function createReclaimCoordinator (options: CoordinatorOptions): ReclaimCoordinator {
  const { directory, clock, signal } = options
  const gatherings = new Map<UpstreamName, Gathering>()
  const estimate = createLinkEstimate()

  function plan (request: PlanRequest): Promise<{ plans: readonly StreamPlan[] }> {
    const deadline = clock.now() + request.remainingMs
    const gathering = gatheringOf(request.upstream, deadline)
    return new Promise((resolve) => {
      gathering.waiting.push({ request, deadline, answer: (plans) => resolve({ plans }) })
      if (gathering.waiting.length === 1) planSoon(request.upstream, gathering).catch(() => {})
    })
  }

  function gatheringOf (upstream: UpstreamName, deadline: Milliseconds): Gathering {
    const known = gatherings.get(upstream)
    if (known !== undefined) {
      known.until = deadline
      known.turns.until(deadline)
      return known
    }
    const gathering: Gathering = { waiting: [], exports: new Map(), turns: createExportQueue(estimate, deadline), asking: new Map(), until: deadline }
    gatherings.set(upstream, gathering)
    return gathering
  }

  function turn (request: TurnRequest): Promise<{ go: boolean }> {
    const gathering = gatheringOf(request.upstream, clock.now() + request.remainingMs)
    return new Promise((resolve) => {
      gathering.asking.set(request.id, (go) => resolve({ go }))
      answerTurns(gathering, gathering.turns.enqueue(request, clock.now()))
    })
  }

  function turnEnded (end: TurnEnd): void {
    const gathering = gatherings.get(end.upstream)
    if (gathering !== undefined) answerTurns(gathering, gathering.turns.ended(end.id, end.moved, clock.now()))
  }

  function answerTurns (gathering: Gathering, decisions: readonly ExportDecision[]): void {
    for (const { id, kind } of decisions) {
      gathering.asking.get(id)?.(kind === 'go')
      gathering.asking.delete(id)
    }
  }

  /** A node that died during its turn must not keep the link from the others. */
  function tick (): void {
    for (const gathering of gatherings.values()) answerTurns(gathering, gathering.turns.tick(clock.now()))
    forgetOld()
  }

  function forgetOld (): void {
    for (const [upstream, gathering] of gatherings) {
      if (gathering.until < clock.now() - SECOND && gathering.waiting.length === 0) gatherings.delete(upstream)
    }
  }

  async function planSoon (upstream: UpstreamName, gathering: Gathering): Promise<void> {
    const [targets] = await Promise.all([targetsOf(upstream), clock.sleep(GATHERING, signal).catch(() => {})])
    const asked = gathering.waiting
    gathering.waiting = []
    const now = clock.now()
    const plans = planReclaim(situationOf(upstream, asked, gathering, targets, now), now)
    for (const one of plans) {
      if (one.kind === 'export') gathering.exports.set(one.id, now + one.endAfter)
      else gathering.exports.delete(one.id)
    }
    for (const { request, answer } of asked) {
      const own = new Set(request.streams.map((stream) => stream.id))
      answer(plans.filter((one) => own.has(one.id)))
    }
  }

  function situationOf (upstream: UpstreamName, asked: readonly Asked[], gathering: Gathering, targets: readonly ReclaimTarget[], now: Milliseconds): ReclaimSituation {
    const views = directory.views()
    const own = views.find((view) => view.name === upstream)
    const streams = new Map(asked.flatMap(({ request }) => request.streams.map((stream) => [stream.id, stream] as const)))
    return {
      upstream,
      failureDomain: own?.failureDomain ?? ('' as UpstreamView['failureDomain']),
      deadline: Math.min(...asked.map((one) => one.deadline)),
      link: linkOf(gathering, new Set(streams.keys()), now),
      streams: [...streams.values()],
      targets,
      leaving: views.filter((view) => view.leaving && view.service === own?.service && view.protocol === 'model').map((view) => view.name),
      leavingDomains: reclaimedDomains(views.filter((view) => view.protocol === 'model')),
      recomputedPerThousandTokens: options.configuration()?.deployment.target.recomputed_per_thousand_tokens ?? DEFAULT_RECOMPUTED
    }
  }

  function linkOf (gathering: Gathering, planned: ReadonlySet<RequestId>, now: Milliseconds): ExportLink {
    const ends = [...gathering.exports].filter(([id]) => !planned.has(id)).map(([, end]) => end)
    return { ...estimate.link(), busyFor: Math.max(0, ...ends.map((end) => end - now)) }
  }

  async function targetsOf (upstream: UpstreamName): Promise<readonly ReclaimTarget[]> {
    const views = directory.views()
    const service = views.find((view) => view.name === upstream)?.service
    const staying = views.filter((view) => view.service === service && view.protocol === 'model' && !view.leaving && view.name !== upstream)
    staying.sort((left, right) => score(upstream, right.name) - score(upstream, left.name))
    const asked = await Promise.all(staying.slice(0, MOST_TARGETS).map(askLoad))
    return asked.flatMap((target) => target ?? [])
  }

  async function askLoad (view: UpstreamView): Promise<ReclaimTarget | undefined> {
    try {
      const bound = createTimeoutSignal(LOAD_TIMEOUT, signal)
      return toTarget(view, await createEngine(options.connections, view.address).load(bound))
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
    freeCacheTokens: ENGINE_CACHE_TOKENS * (1 - report.cacheUsed * (1 - EVICTABLE)),
    freeSlots: Math.max(0, ENGINE_PLACES - report.running - report.waiting),
    prefillRate: PREFILL_RATE,
    tokenTime: TOKEN_TIME,
    importRate: Number.POSITIVE_INFINITY
  }
}
