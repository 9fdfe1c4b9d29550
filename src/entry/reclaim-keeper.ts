/**
 * Carries out the plan for the streams that this node has open at a leaving upstream: exports one
 * after the other, recomputation elsewhere, and a last look before the deadline.
 */
import { createTimeoutSignal } from '../bound-signal.js'
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
import type { NoticeKeeper } from './notice-keeper.js'
import type { ReclaimCoordinator } from './reclaim-coordinator.js'
import type { OpenStream as EntryStream, Streams } from './streams.js'

/** Options of {@link startReclaimKeeper}. */
export interface ReclaimOptions {
  readonly notices: NoticeKeeper
  readonly coordinator: ReclaimCoordinator
  readonly streams: Streams
  /** An execution that has not ended. */
  readonly openOf: (id: RequestId) => Execution | undefined
  readonly own: () => NodeRecord
  /** Nodes that can be asked to plan: neither leaving nor down. */
  readonly nodes: () => readonly NodeRecord[]
  readonly peers: Peers
  readonly configuration: () => Configuration | undefined
  readonly clock: Clock
  readonly log: Log
  readonly signal: AbortSignal
}

/** One reclaim being carried out. */
interface Reclaim {
  readonly view: UpstreamView
  readonly deadline: Milliseconds
  /** Streams that have a plan. */
  readonly planned: Set<RequestId>
  readonly signal: AbortSignal
}

/** Bound on the wait for another node's plan. */
const PLAN_TIMEOUT: Milliseconds = 600

/** Nodes that are asked before a node plans for itself. */
const MOST_ASKED = 2

/** Streams that appear after the notice are looked for this often. */
const SWEEP_PERIOD: Milliseconds = 100

/** Estimated time for a token of a stream that has none yet. */
const TOKEN_TIME: Milliseconds = 30

/**
 * @example
 * startReclaimKeeper({ notices, coordinator, streams, openOf, own, nodes, peers, configuration, clock, log, signal })
 */
export function startReclaimKeeper (options: ReclaimOptions): void {
  const running = new Map<UpstreamName, AbortController>()

  options.notices.events.on('leaving', ({ view, deadline }) => {
    if (view.protocol !== 'model') return
    running.get(view.name)?.abort()
    const controller = new AbortController()
    running.set(view.name, controller)
    const signal = AbortSignal.any([options.signal, controller.signal])
    carryOut(options, { view, deadline, planned: new Set(), signal })
      .catch((error) => { if (!signal.aborted) options.log.warn('reclaim-failed', { upstream: view.name, error: String(error) }) })
      .finally(() => { if (running.get(view.name) === controller) running.delete(view.name) })
  })
}

async function carryOut (options: ReclaimOptions, reclaim: Reclaim): Promise<void> {
  const { clock, streams } = options
  const { view, planned, signal } = reclaim
  const last = clock.now() + usableTime(reclaim.deadline - clock.now())
  while (!signal.aborted && clock.now() < last) {
    const fresh = streams.openAt(view.name).filter((stream) => stream.kind === 'model' && !planned.has(stream.id))
    if (fresh.length > 0) await planAndRun(options, reclaim, fresh)
    await clock.sleep(Math.min(SWEEP_PERIOD, Math.max(0, last - clock.now())), signal).catch(() => {})
  }
  if (!signal.aborted) leaveNow(options, reclaim)
}

/**
 * Failure guarded against: an answer that was expected to end in time has not. Waiting for its
 * connection to break would cost the time until the break is noticed.
 */
function leaveNow (options: ReclaimOptions, reclaim: Reclaim): void {
  for (const stream of options.streams.openAt(reclaim.view.name)) {
    if (stream.kind === 'model' && stream.idempotent) options.streams.recompute(stream.id)
  }
}

async function planAndRun (options: ReclaimOptions, reclaim: Reclaim, fresh: readonly EntryStream[]): Promise<void> {
  const { clock, log } = options
  for (const stream of fresh) reclaim.planned.add(stream.id)
  const request: PlanRequest = {
    from: options.own().incarnation,
    upstream: reclaim.view.name,
    remainingMs: Math.max(0, reclaim.deadline - clock.now()),
    streams: fresh.flatMap((stream) => describe(options, stream) ?? [])
  }
  const { plans, coordinator } = await askForPlan(options, request)
  log.info('reclaim-planned', { upstream: reclaim.view.name, remaining: Math.round(request.remainingMs), ...countKinds(plans) })
  for (const plan of plans) {
    if (plan.kind === 'export') runExport(options, reclaim, coordinator, plan).catch(() => {})
    if (plan.kind === 'resume') runResume(options, reclaim, plan).catch(() => {})
  }
}

/** Who plans, and grants turns on the link: another node or this one. */
interface Planned {
  readonly plans: readonly StreamPlan[]
  readonly coordinator: Pick<ReclaimCoordinator, 'turn' | 'turnEnded'>
}

/**
 * The node that ranks first for the upstream plans for all. Failure guarded against: it is dead,
 * paused or leaving itself; its answer does not come, the next one is asked, and in the end each
 * node plans for its own streams, which costs at most a link shared by several exports.
 */
async function askForPlan (options: ReclaimOptions, request: PlanRequest): Promise<Planned> {
  const own = options.own()
  const ranked = rank(`reclaim/${request.upstream}`, options.nodes()).slice(0, MOST_ASKED)
  for (const node of ranked) {
    if (node.incarnation === own.incarnation) break
    try {
      const signal = createTimeoutSignal(PLAN_TIMEOUT, options.signal)
      const { plans } = await options.peers.at(node.peerAddress).reclaim.plan.mutate(request, { signal })
      return { plans, coordinator: coordinatorAt(options, node) }
    } catch (error) {
      options.log.warn('reclaim-plan-not-had', { from: node.incarnation, error: String(error) })
    }
  }
  return { plans: (await options.coordinator.plan(request)).plans, coordinator: options.coordinator }
}

/** Another node's turns. When it goes away, the export's own node grants them. */
function coordinatorAt (options: ReclaimOptions, node: NodeRecord): Pick<ReclaimCoordinator, 'turn' | 'turnEnded'> {
  const peer = options.peers.at(node.peerAddress).reclaim
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
 * Failure guarded against: the export is refused, its reply is lost or the target dies midway. The
 * stream may be held by neither end, so it is computed again; one that must not be is planned anew.
 */
async function runExport (options: ReclaimOptions, reclaim: Reclaim, coordinator: Planned['coordinator'], plan: Extract<StreamPlan, { kind: 'export' }>): Promise<void> {
  const { clock, streams } = options
  const { upstream, stream } = { upstream: reclaim.view.name, stream: openOn(options, reclaim, plan.id) }
  if (stream === undefined) return
  const tokens = stream.promptTokens + stream.offset
  const remainingMs = Math.max(0, reclaim.deadline - clock.now())
  const { go } = await coordinator.turn({ upstream, id: plan.id, tokens, rank: plan.startAfter, required: !stream.idempotent, remainingMs })
  if (reclaim.signal.aborted) return coordinator.turnEnded({ upstream, id: plan.id, moved: false })
  if (!go) return plan.otherwise === 'finish' ? undefined : giveUp(options, reclaim, stream)
  const bound = createTimeoutSignal(Math.max(1, Math.ceil(reclaim.deadline - clock.now())), reclaim.signal)
  let moved = false
  try {
    moved = await streams.moveTo(plan.id, plan.target, bound)
  } catch (error) {
    options.log.warn('export-failed', { request: plan.id, to: plan.target, error: String(error) })
    if (!reclaim.signal.aborted) giveUp(options, reclaim, stream)
  } finally {
    coordinator.turnEnded({ upstream, id: plan.id, moved })
  }
}

function giveUp (options: ReclaimOptions, reclaim: Reclaim, stream: EntryStream): void {
  if (!stream.idempotent) reclaim.planned.delete(stream.id)
  else if (openOn(options, reclaim, stream.id) !== undefined) options.streams.recompute(stream.id)
}

function openOn (options: ReclaimOptions, reclaim: Reclaim, id: RequestId): EntryStream | undefined {
  return options.streams.openAt(reclaim.view.name).find((stream) => stream.id === id)
}

async function runResume (options: ReclaimOptions, reclaim: Reclaim, plan: Extract<StreamPlan, { kind: 'resume' }>): Promise<void> {
  await options.clock.sleep(plan.startAfter, reclaim.signal)
  if (openOn(options, reclaim, plan.id) !== undefined) options.streams.recompute(plan.id)
}

/** A stream as the plan sees it; the answer's length is taken as the longest that was asked for. */
function describe (options: ReclaimOptions, stream: EntryStream): OpenStream | undefined {
  const execution = options.openOf(stream.id)
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
    tokenTime: tokenTimeOf(execution, stream, now),
    slack: execution.arrivedAt + (target?.whole_answer_ms ?? SECOND) - now,
    prefixHits: []
  }
}

function tokenTimeOf (execution: Execution, stream: EntryStream, now: Milliseconds): Milliseconds {
  if (execution.firstTokenAt === undefined || stream.offset < 2) return TOKEN_TIME
  return Math.max(1, (now - execution.firstTokenAt) / (stream.offset - 1))
}

function countKinds (plans: readonly StreamPlan[]): Record<string, number> {
  const counts: Record<string, number> = { finish: 0, export: 0, resume: 0, stay: 0 }
  for (const plan of plans) counts[plan.kind] = (counts[plan.kind] ?? 0) + 1
  return counts
}
