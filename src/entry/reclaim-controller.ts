/**
 * Executes the plan for the streams that this node has open at a leaving upstream. Streams are exported one after the
 * other or recomputed on another upstream. Idempotent streams that are still open just before the deadline are
 * recomputed.
 */
import { createTimeoutSignal } from '../timeout-signal.js'
import type { Clock, Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Configuration } from '../configuration/index.js'
import { findClass } from '../configuration/index.js'
import type { RequestId, UpstreamName } from '../identifiers.js'
import type { Log } from '../log.js'
import { rank } from '../membership/index.js'
import type { NodeRecord } from '../membership/index.js'
import type { Peers } from '../peer/client.js'
import type { PlanRequest } from '../peer/reclaim.js'
import type { UpstreamView } from '../upstream/index.js'
import { usableTime } from '../upstream/reclaim/index.js'
import type { OpenStream, StreamPlan } from '../upstream/reclaim/index.js'
import type { Execution } from './execution.js'
import type { NoticeWatcher } from './notice-watcher.js'
import type { ReclaimCoordinator } from './reclaim-coordinator.js'
import type { OpenStream as EntryStream, Streams } from './streams.js'

/** Options of {@link startReclaimController}. */
export interface ReclaimControllerOptions {
  readonly notices: NoticeWatcher
  readonly coordinator: ReclaimCoordinator
  readonly streams: Streams
  /** Returns the execution of the request if it has not ended. */
  readonly findOpenExecution: (id: RequestId) => Execution | undefined
  readonly own: () => NodeRecord
  /** Nodes that can plan. Leaving and unreachable nodes are excluded. */
  readonly nodes: () => readonly NodeRecord[]
  readonly peers: Peers
  readonly configuration: () => Configuration | undefined
  readonly clock: Clock
  readonly log: Log
  readonly signal: AbortSignal
}

/** A reclaim in progress. */
interface Reclaim {
  readonly view: UpstreamView
  readonly deadline: Milliseconds
  /** Streams for which a plan exists or has been requested. */
  readonly planned: Set<RequestId>
  readonly signal: AbortSignal
}

/** Timeout for the plan of another node. */
const PLAN_TIMEOUT: Milliseconds = 600

/** Maximum number of other nodes that are asked for a plan before a node plans its own streams. */
const MAX_PLANNING_NODES = 2

/** Interval of the checks for streams that were opened after the notice. */
const POLL_PERIOD: Milliseconds = 100

/** Time per token that is assumed for a stream that has generated fewer than two tokens. */
const DEFAULT_TOKEN_TIME: Milliseconds = 30

/**
 * Starts handling reclaims of model upstreams, until `signal` is aborted. A new deadline for an upstream replaces the
 * reclaim in progress.
 *
 * @example
 * startReclaimController({ notices, coordinator, streams, findOpenExecution, own, nodes, peers, configuration, clock, log, signal })
 */
export function startReclaimController (options: ReclaimControllerOptions): void {
  const activeReclaims = new Map<UpstreamName, AbortController>()

  options.notices.events.on('leaving', ({ view, deadline }) => {
    if (view.protocol !== 'model') return
    activeReclaims.get(view.name)?.abort()
    const controller = new AbortController()
    activeReclaims.set(view.name, controller)
    const signal = AbortSignal.any([options.signal, controller.signal])
    runReclaim(options, { view, deadline, planned: new Set(), signal })
      .catch((error) => { if (!signal.aborted) options.log.warn('reclaim-failed', { upstream: view.name, error: String(error) }) })
      .finally(() => { if (activeReclaims.get(view.name) === controller) activeReclaims.delete(view.name) })
  })
}

async function runReclaim (options: ReclaimControllerOptions, reclaim: Reclaim): Promise<void> {
  const { clock, streams } = options
  const { view, planned, signal } = reclaim
  const lastMoveAt = clock.now() + usableTime(reclaim.deadline - clock.now())
  while (!signal.aborted && clock.now() < lastMoveAt) {
    const newStreams = streams.openAt(view.name).filter((stream) => stream.kind === 'model' && !planned.has(stream.id))
    if (newStreams.length > 0) await planAndExecute(options, reclaim, newStreams)
    await clock.sleep(Math.min(POLL_PERIOD, Math.max(0, lastMoveAt - clock.now())), signal).catch(() => {})
  }
  if (!signal.aborted) recomputeRemaining(options, reclaim)
}

/**
 * Recomputes the idempotent streams that are still open at the upstream.
 *
 * Failure guarded against: a stream that was expected to finish in time has not finished. If the node waited for its
 * connection to break, the caller would receive no tokens until the break is detected.
 */
function recomputeRemaining (options: ReclaimControllerOptions, reclaim: Reclaim): void {
  for (const stream of options.streams.openAt(reclaim.view.name)) {
    if (stream.kind === 'model' && stream.idempotent) options.streams.recompute(stream.id)
  }
}

async function planAndExecute (options: ReclaimControllerOptions, reclaim: Reclaim, newStreams: readonly EntryStream[]): Promise<void> {
  const { clock, log } = options
  for (const stream of newStreams) reclaim.planned.add(stream.id)
  const request: PlanRequest = {
    from: options.own().incarnation,
    upstream: reclaim.view.name,
    remainingMs: Math.max(0, reclaim.deadline - clock.now()),
    streams: newStreams.flatMap((stream) => describeStream(options, stream) ?? [])
  }
  const { plans, coordinator } = await requestPlan(options, request)
  log.info('reclaim-planned', { upstream: reclaim.view.name, remaining: Math.round(request.remainingMs), ...countByKind(plans) })
  for (const plan of plans) {
    if (plan.kind === 'export') runExport(options, reclaim, coordinator, plan).catch(() => {})
    if (plan.kind === 'resume') runResume(options, reclaim, plan).catch(() => {})
  }
}

/**
 * Plans, with the coordinator that made them and that admits exports to the link. The coordinator may be another node.
 */
interface PlanResult {
  readonly plans: readonly StreamPlan[]
  readonly coordinator: Pick<ReclaimCoordinator, 'turn' | 'turnEnded'>
}

/**
 * Requests a plan from the node that ranks first for the upstream, which plans the streams of all nodes.
 *
 * Failure guarded against: that node is dead, paused or itself leaving, and does not answer. The next node is asked
 * after a timeout. If no other node answers, each node plans its own streams. The only cost is that several exports may
 * then share the link at the same time.
 */
async function requestPlan (options: ReclaimControllerOptions, request: PlanRequest): Promise<PlanResult> {
  const own = options.own()
  const ranked = rank(`reclaim/${request.upstream}`, options.nodes()).slice(0, MAX_PLANNING_NODES)
  for (const node of ranked) {
    if (node.incarnation === own.incarnation) break
    try {
      const signal = createTimeoutSignal(PLAN_TIMEOUT, options.signal)
      const { plans } = await options.peers.separateAt(node.peerAddress).reclaim.plan.mutate(request, { signal })
      return { plans, coordinator: createRemoteCoordinator(options, node) }
    } catch (error) {
      options.log.warn('reclaim-plan-not-had', { from: node.incarnation, error: String(error) })
    }
  }
  return { plans: (await options.coordinator.plan(request)).plans, coordinator: options.coordinator }
}

/**
 * Creates a coordinator that forwards export requests to another node. If that node does not answer, this node decides
 * on its own exports.
 */
function createRemoteCoordinator (options: ReclaimControllerOptions, node: NodeRecord): Pick<ReclaimCoordinator, 'turn' | 'turnEnded'> {
  const peer = options.peers.separateAt(node.peerAddress).reclaim
  return {
    turn: async (request) => {
      try {
        const signal = createTimeoutSignal(Math.ceil(request.remainingMs) + 1, options.signal)
        return await peer.turn.mutate(request, { signal })
      } catch {
        return options.coordinator.turn(request)
      }
    },
    turnEnded: (end) => { peer.turnEnded.mutate(end, { signal: options.signal }).catch(() => options.coordinator.turnEnded(end)) }
  }
}

/**
 * Waits until the link is available, and moves the stream.
 *
 * Failure guarded against: the export is refused, its reply is lost, or the target dies during the transfer. Possibly
 * neither upstream still has the stream, so it is recomputed. A stream that is not idempotent must not be recomputed
 * and is planned again.
 */
async function runExport (options: ReclaimControllerOptions, reclaim: Reclaim, coordinator: PlanResult['coordinator'], plan: Extract<StreamPlan, { kind: 'export' }>): Promise<void> {
  const { clock, streams } = options
  const { upstream, stream } = { upstream: reclaim.view.name, stream: findOpenStream(options, reclaim, plan.id) }
  if (stream === undefined) return
  const tokens = stream.promptTokens + stream.offset
  const remainingMs = Math.max(0, reclaim.deadline - clock.now())
  const { go } = await coordinator.turn({ upstream, id: plan.id, tokens, rank: plan.startAfter, required: !stream.idempotent, remainingMs })
  if (reclaim.signal.aborted) return coordinator.turnEnded({ upstream, id: plan.id, moved: false })
  if (!go) return plan.otherwise === 'finish' ? undefined : recomputeOrReplan(options, reclaim, stream)
  const timeoutSignal = createTimeoutSignal(Math.max(1, Math.ceil(reclaim.deadline - clock.now())), reclaim.signal)
  let moved = false
  try {
    moved = await streams.moveTo(plan.id, plan.target, timeoutSignal)
  } catch (error) {
    options.log.warn('export-failed', { request: plan.id, to: plan.target, error: String(error) })
    if (!reclaim.signal.aborted) recomputeOrReplan(options, reclaim, stream)
  } finally {
    coordinator.turnEnded({ upstream, id: plan.id, moved })
  }
}

/** Recomputes an idempotent stream. Any other stream is planned again at the next check. */
function recomputeOrReplan (options: ReclaimControllerOptions, reclaim: Reclaim, stream: EntryStream): void {
  if (!stream.idempotent) reclaim.planned.delete(stream.id)
  else if (findOpenStream(options, reclaim, stream.id) !== undefined) options.streams.recompute(stream.id)
}

function findOpenStream (options: ReclaimControllerOptions, reclaim: Reclaim, id: RequestId): EntryStream | undefined {
  return options.streams.openAt(reclaim.view.name).find((stream) => stream.id === id)
}

async function runResume (options: ReclaimControllerOptions, reclaim: Reclaim, plan: Extract<StreamPlan, { kind: 'resume' }>): Promise<void> {
  await options.clock.sleep(plan.startAfter, reclaim.signal)
  if (findOpenStream(options, reclaim, plan.id) !== undefined) options.streams.recompute(plan.id)
}

/** Describes a stream for the planner. The final length of its answer is assumed to be the requested maximum. */
function describeStream (options: ReclaimControllerOptions, stream: EntryStream): OpenStream | undefined {
  const execution = options.findOpenExecution(stream.id)
  if (execution === undefined) return undefined
  const now = options.clock.now()
  const configuration = options.configuration()
  const target = configuration && findClass(configuration, execution.request.class)?.target
  return {
    id: stream.id,
    idempotent: stream.idempotent,
    promptTokens: stream.promptTokens,
    generatedTokens: stream.offset,
    remainingTokens: Math.max(0, stream.maxTokens - stream.offset),
    cachedTokens: stream.offset === 0 ? 0 : stream.promptTokens + stream.offset,
    tokenTime: estimateTokenTime(execution, stream, now),
    slack: execution.arrivedAt + (target?.whole_answer_ms ?? SECOND) - now,
    prefixHits: []
  }
}

function estimateTokenTime (execution: Execution, stream: EntryStream, now: Milliseconds): Milliseconds {
  if (execution.firstTokenAt === undefined || stream.offset < 2) return DEFAULT_TOKEN_TIME
  return Math.max(1, (now - execution.firstTokenAt) / (stream.offset - 1))
}

function countByKind (plans: readonly StreamPlan[]): Record<string, number> {
  const counts: Record<string, number> = { finish: 0, export: 0, resume: 0, stay: 0 }
  for (const plan of plans) counts[plan.kind] = (counts[plan.kind] ?? 0) + 1
  return counts
}
