/** Carries a policy out against what really happens: true rates, lengths and deadlines. */
import type { Milliseconds } from '../src/clock.js'
import type { RequestId, UpstreamName } from '../src/identifiers.js'
import { createLinkEstimate, createExportQueue, planReclaim } from '../src/upstream/reclaim/index.js'
import type { ReclaimSituation, ExportDecision } from '../src/upstream/reclaim/index.js'
import { BELIEVED_RATE, PREFILL_RATE } from './reclaim-mix.js'
import type { EngineState, HiddenStream } from './reclaim-mix.js'

/** What is done with the streams of a leaving engine. */
export type Policy = 'always recompute' | 'recompute at the end' | 'fair sharing' | 'first in first out' | 'plan' | 'plan without turns' | 'each node for itself'

/** A reclaim as it really goes. */
export interface ReclaimCase {
  readonly leaving: readonly EngineState[]
  readonly staying: readonly EngineState[]
  readonly situations: ReadonlyMap<UpstreamName, ReclaimSituation>
  /** When the engines really end. */
  readonly endsAt: Milliseconds
  /** Tokens that the links really carry per millisecond. */
  readonly rate: number
  readonly batch: number
}

/** What a reclaim cost. */
export interface ReclaimResult {
  readonly recomputed: number
  readonly late: number
  readonly streams: number
}

const STEP: Milliseconds = 20

/** Entry nodes that have streams at each engine. */
const NODES = 8

/** Time of an export's calls. */
const SETUP: Milliseconds = 30

/** An answer beyond an engine's places waits about this long for one. */
const PLACE_WAIT: Milliseconds = 4_000

interface Running {
  readonly hidden: HiddenStream
  generated: number
  state: 'open' | 'exporting' | 'away' | 'done'
  target: UpstreamName | undefined
  left: number
  recomputeAt: Milliseconds | undefined
  /** Left alone when its export does not fit. */
  mayFinish: boolean
}

interface Host {
  readonly engine: EngineState
  places: number
  prefillFreeAt: Milliseconds
}

/**
 * @example
 * runReclaim(reclaim, 'plan').recomputed
 */
export function runReclaim (reclaim: ReclaimCase, policy: Policy): ReclaimResult {
  const hosts = new Map<UpstreamName, Host>(reclaim.staying.map((engine) => [engine.name, { engine, places: engine.target.freeSlots, prefillFreeAt: 0 }]))
  const total = { recomputed: 0, late: 0, streams: 0 }
  const engines = reclaim.leaving.map((engine) => createLeaving(reclaim, engine, policy))

  for (let now = 0; now <= reclaim.endsAt; now += STEP) {
    const imports = countImports(engines.flatMap((engine) => engine.streams))
    for (const engine of engines) engine.step(now, imports, hosts, settle)
  }
  for (const engine of engines) {
    for (const stream of engine.streams) {
      if (stream.state === 'open' || stream.state === 'exporting') recompute(stream, reclaim.endsAt)
    }
    total.streams += engine.streams.length
  }
  return total

  function settle (stream: Running, kind: 'moved' | 'recompute', now: Milliseconds): void {
    if (kind === 'recompute') return recompute(stream, now)
    const host = hosts.get(stream.target as UpstreamName) ?? leastLoaded(hosts)
    goOn(stream, host, now)
  }

  function recompute (stream: Running, now: Milliseconds): void {
    const { open } = stream.hidden
    const length = open.promptTokens + open.generatedTokens + Math.floor(stream.generated)
    const missing = (host: Host): number => Math.max(0, length - (open.prefixHits.find((hit) => hit.upstream === host.engine.name)?.tokens ?? 0))
    const ready = (host: Host): number => Math.max(now, host.prefillFreeAt) + missing(host) / PREFILL_RATE + (host.places > 0 ? 0 : PLACE_WAIT)
    const host = [...hosts.values()].reduce((best, candidate) => ready(candidate) < ready(best) ? candidate : best)
    total.recomputed += missing(host)
    host.prefillFreeAt = Math.max(now, host.prefillFreeAt) + missing(host) / PREFILL_RATE
    goOn(stream, host, host.prefillFreeAt)
  }

  function goOn (stream: Running, host: Host, ready: Milliseconds): void {
    const wait = host.places > 0 ? 0 : PLACE_WAIT
    host.places -= 1
    stream.state = 'away'
    const end = ready + wait + (stream.hidden.trueRemaining - stream.generated) * host.engine.target.tokenTime
    if (end > stream.hidden.open.slack) total.late += 1
  }
}

type Settle = (stream: Running, kind: 'moved' | 'recompute', now: Milliseconds) => void

interface LeavingEngine {
  readonly streams: readonly Running[]
  step (now: Milliseconds, imports: ReadonlyMap<UpstreamName, number>, hosts: ReadonlyMap<UpstreamName, Host>, settle: Settle): void
}

function createLeaving (reclaim: ReclaimCase, engine: EngineState, policy: Policy): LeavingEngine {
  const streams = engine.streams.map((hidden): Running => ({ hidden, generated: 0, state: 'open', target: undefined, left: 0, recomputeAt: undefined, mayFinish: false }))
  const byId = new Map<RequestId, Running>(streams.map((stream) => [stream.hidden.open.id, stream]))
  const situation = reclaim.situations.get(engine.name) as ReclaimSituation
  const estimate = createLinkEstimate()
  const turns = createExportQueue(estimate, situation.deadline)
  /** Exports that run one after the other; several queues share the link. */
  const queues: Running[][] = Array.from({ length: NODES }, () => [])
  const current: (Running | undefined)[] = []
  let begun = false

  function begin (now: Milliseconds, hosts: ReadonlyMap<UpstreamName, Host>, settle: Settle): void {
    begun = true
    switch (policy) {
      case 'always recompute':
        for (const stream of streams) settle(stream, 'recompute', now)
        break
      case 'recompute at the end': break
      case 'fair sharing':
        for (const stream of streams) startExport(stream, leastLoaded(hosts).engine.name)
        break
      case 'first in first out':
        queues[0]?.push(...streams)
        break
      case 'plan':
      case 'plan without turns':
        beginPlan(situation, 0, now, settle)
        break
      case 'each node for itself':
        for (let node = 0; node < NODES; node += 1) {
          beginPlan({ ...situation, streams: situation.streams.filter((_, index) => index % NODES === node) }, node, now, settle)
        }
    }
  }

  function beginPlan (known: ReclaimSituation, node: number, now: Milliseconds, settle: Settle): void {
    for (const plan of planReclaim(known, now)) {
      const stream = byId.get(plan.id) as Running
      if (plan.kind === 'resume') stream.recomputeAt = plan.startAfter
      if (plan.kind !== 'export') continue
      stream.target = plan.target
      stream.mayFinish = plan.otherwise === 'finish'
      if (policy !== 'plan') queues[node]?.push(stream)
      else decide(turns.enqueue({ id: plan.id, tokens: stream.hidden.open.cachedTokens, rank: plan.startAfter, required: false }, now), now, settle)
    }
  }

  function decide (decisions: readonly ExportDecision[], now: Milliseconds, settle: Settle): void {
    for (const { id, kind } of decisions) {
      const stream = byId.get(id) as Running
      if (kind === 'go' && stream.state === 'open') startExport(stream, stream.target as UpstreamName)
      else if (kind === 'go') decide(turns.ended(id, false, now), now, settle)
      else if (stream.state === 'open' && !stream.mayFinish) settle(stream, 'recompute', now)
    }
  }

  function startExport (stream: Running, target: UpstreamName): void {
    stream.state = 'exporting'
    stream.target = target
    stream.left = stream.hidden.open.cachedTokens + stream.generated + SETUP * reclaim.rate
  }

  function step (now: Milliseconds, imports: ReadonlyMap<UpstreamName, number>, hosts: ReadonlyMap<UpstreamName, Host>, settle: Settle): void {
    if (!begun) begin(now, hosts, settle)
    for (const [node, queue] of queues.entries()) {
      if (current[node]?.state !== 'exporting') startNext(node, queue, hosts)
    }
    const exporting = streams.filter((stream) => stream.state === 'exporting')
    for (const stream of streams) advance(stream, now, settle)
    for (const stream of exporting) transfer(stream, exporting.length, imports, now, settle)
    if (policy === 'plan') decide(turns.tick(now), now, settle)
  }

  function startNext (node: number, queue: Running[], hosts: ReadonlyMap<UpstreamName, Host>): void {
    const next = queue.shift()
    current[node] = next
    if (next?.state === 'open') startExport(next, next.target ?? leastLoaded(hosts).engine.name)
  }

  function advance (stream: Running, now: Milliseconds, settle: Settle): void {
    if (stream.state !== 'open') return
    if (stream.recomputeAt !== undefined && now >= stream.recomputeAt) return settle(stream, 'recompute', now)
    stream.generated += STEP / stream.hidden.open.tokenTime
    if (stream.generated >= stream.hidden.trueRemaining) stream.state = 'done'
  }

  function transfer (stream: Running, sharing: number, imports: ReadonlyMap<UpstreamName, number>, now: Milliseconds, settle: Settle): void {
    const share = Math.max(sharing, imports.get(stream.target as UpstreamName) ?? 1)
    stream.left -= STEP * reclaim.rate / share
    if (stream.left > 0) return
    settle(stream, 'moved', now + STEP)
    if (policy === 'plan') decide(turns.ended(stream.hidden.open.id, true, now + STEP), now + STEP, settle)
  }

  return { streams, step }
}

function countImports (streams: readonly Running[]): Map<UpstreamName, number> {
  const counts = new Map<UpstreamName, number>()
  for (const stream of streams) {
    if (stream.state === 'exporting' && stream.target !== undefined) counts.set(stream.target, (counts.get(stream.target) ?? 0) + 1)
  }
  return counts
}

function leastLoaded (hosts: ReadonlyMap<UpstreamName, Host>): Host {
  return [...hosts.values()].reduce((best, candidate) => candidate.places > best.places ? candidate : best)
}

/** The link as it is believed to be before anything was seen. */
export const BELIEVED_LINK = { rate: BELIEVED_RATE, setup: SETUP, busyFor: 0 }
