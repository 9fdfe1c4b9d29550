/** What the targets of a reclaim can still take while a plan is being made. */
import type { Milliseconds } from '../../clock.js'
import type { FailureDomain, UpstreamName } from '../../identifiers.js'
import { score } from '../../membership/index.js'
import type { OpenStream, ReclaimSituation, ReclaimTarget } from './types.js'

/** A place for a stream's cache. */
export interface ImportSlot {
  readonly target: UpstreamName
  readonly startAfter: Milliseconds
  readonly endAfter: Milliseconds
}

/** Targets with what this plan has put on them so far. */
export interface TargetLedger {
  /** Place and time for an export that ends soonest, in time for the class's target if possible. */
  importSlot (stream: OpenStream, tokens: number, from: Milliseconds, until: Milliseconds): ImportSlot | undefined
  takeImport (slot: ImportSlot, stream: OpenStream, tokens: number): void
  /** Target for a recomputation, and the time from which it can begin; takes it. */
  takeResume (stream: OpenStream): { target: UpstreamName, backlog: Milliseconds, prefill: Milliseconds } | undefined
}

/** Share of a failure domain's upstreams that leave at once from which it counts as reclaimed whole. */
const WAVE_SHARE = 0.5

/**
 * At this many recomputed tokens per 1,000 generated ones a recomputed token weighs as much as the
 * time it takes to compute; a smaller target weighs it more.
 */
const NEUTRAL_RECOMPUTED = 20

interface Room {
  readonly target: ReclaimTarget
  /** Order of preference of this leaving upstream among equal targets. */
  readonly rank: number
  /** Whether exports of this upstream may go there. */
  readonly allotted: boolean
  readonly importRate: number
  readonly freeCache: number
  cache: number
  places: number
  importFreeAt: Milliseconds
  prefillBacklog: Milliseconds
}

/**
 * Failure domains of which at least half of the upstreams, and more than one, leave: a wave. What
 * still looks live there is likely to follow, so it is no target.
 *
 * @example
 * domainsInWave(views) // ['zone-b']
 */
export function domainsInWave (members: readonly { readonly failureDomain: FailureDomain, readonly leaving: boolean }[]): readonly FailureDomain[] {
  const counts = new Map<FailureDomain, { all: number, leaving: number }>()
  for (const member of members) {
    const count = counts.get(member.failureDomain) ?? { all: 0, leaving: 0 }
    count.all += 1
    count.leaving += Number(member.leaving)
    counts.set(member.failureDomain, count)
  }
  return [...counts].filter(([, count]) => count.leaving > 1 && count.leaving >= count.all * WAVE_SHARE).map(([domain]) => domain).sort()
}

/**
 * Weight of a recomputed token against the time to compute it, from the deployment's target.
 *
 * @example
 * recomputationWeight(10) // 2: the target allows half of the neutral number
 */
export function recomputationWeight (recomputedPerThousandTokens: number): number {
  return NEUTRAL_RECOMPUTED / recomputedPerThousandTokens
}

/**
 * Targets that survive, with the part of each that this upstream may use. When several upstreams
 * leave at once, each plans without asking the others: all sort the same lists and take targets in
 * turn, so that no target is promised twice. With more leaving than targets, they share one evenly.
 *
 * @example
 * const ledger = createTargetLedger(situation)
 */
export function createTargetLedger (situation: ReclaimSituation): TargetLedger {
  const rooms = allot(situation)
  const weight = recomputationWeight(situation.recomputedPerThousandTokens)

  function importSlot (stream: OpenStream, tokens: number, from: Milliseconds, until: Milliseconds): ImportSlot | undefined {
    let best: { slot: ImportSlot, costs: readonly number[] } | undefined
    for (const room of rooms) {
      if (!room.allotted || room.places < 1 || room.cache < tokens + stream.remainingTokens) continue
      const slot = slotAt(room, tokens, from, situation)
      if (slot.endAfter > until) continue
      const late = slot.endAfter + stream.remainingTokens * room.target.tokenTime > stream.slack
      const costs = [Number(late), slot.endAfter, 1 - room.cache / room.freeCache, room.rank]
      if (best === undefined || isLess(costs, best.costs)) best = { slot, costs }
    }
    return best?.slot
  }

  function takeImport (slot: ImportSlot, stream: OpenStream, tokens: number): void {
    const room = rooms.find((candidate) => candidate.target.upstream === slot.target)
    if (room === undefined) return
    room.importFreeAt = slot.endAfter
    occupy(room, tokens + stream.remainingTokens)
  }

  function takeResume (stream: OpenStream): { target: UpstreamName, backlog: Milliseconds, prefill: Milliseconds } | undefined {
    let best: { room: Room, prefill: Milliseconds, costs: readonly number[] } | undefined
    const length = stream.promptTokens + stream.generatedTokens
    for (const room of rooms) {
      if (room.cache < length + stream.remainingTokens) continue
      const missing = Math.max(0, length - hitAt(stream, room.target.upstream))
      const prefill = missing / room.target.prefillRate
      const ready = room.prefillBacklog + prefill
      const late = ready + stream.remainingTokens * room.target.tokenTime > stream.slack
      const costs = [Number(late), Number(room.places < 1), ready + weight * prefill, room.rank]
      if (best === undefined || isLess(costs, best.costs)) best = { room, prefill, costs }
    }
    if (best === undefined) return undefined
    const { room, prefill } = best
    const backlog = room.prefillBacklog
    room.prefillBacklog += prefill
    occupy(room, length + stream.remainingTokens)
    return { target: room.target.upstream, backlog, prefill }
  }

  return { importSlot, takeImport, takeResume }
}

/**
 * Tokens of a stream's prompt that are cached at an upstream besides the leaving one.
 *
 * @example
 * hitAt(stream, target.upstream)
 */
export function hitAt (stream: OpenStream, upstream: UpstreamName): number {
  return stream.prefixHits.find((hit) => hit.upstream === upstream)?.tokens ?? 0
}

function slotAt (room: Room, tokens: number, from: Milliseconds, situation: ReclaimSituation): ImportSlot {
  const startAfter = Math.max(from, room.importFreeAt)
  const duration = situation.link.setup + tokens / Math.min(situation.link.rate, room.importRate)
  return { target: room.target.upstream, startAfter, endAfter: startAfter + duration }
}

function occupy (room: Room, tokens: number): void {
  room.cache -= tokens
  room.places -= 1
}

function allot (situation: ReclaimSituation): Room[] {
  const leaving = [...new Set([...situation.leaving, situation.upstream])].sort()
  const leavingSet = new Set(leaving)
  const domains = new Set(situation.leavingDomains)
  const staying = situation.targets
    .filter((target) => !target.leaving && !leavingSet.has(target.upstream) && !domains.has(target.failureDomain))
    .sort((left, right) => (left.upstream < right.upstream ? -1 : 1))
  const turn = leaving.indexOf(situation.upstream)
  return staying.map((target, index) => toRoom(situation, target, shareOf(index, turn, staying.length, leaving.length), leaving.length))
}

/** Part of a target that the leaving upstream whose turn it is may fill; 0: it is another's. */
function shareOf (index: number, turn: number, targets: number, leaving: number): number {
  if (leaving <= targets) return index % leaving === turn ? 1 : 0
  if (turn % targets !== index) return 0
  const users = Math.floor((leaving - 1 - index) / targets) + 1
  return 1 / users
}

function toRoom (situation: ReclaimSituation, target: ReclaimTarget, share: number, leaving: number): Room {
  const part = share > 0 ? share : 1 / leaving
  const freeCache = target.freeCacheTokens * part
  return {
    target,
    rank: score(situation.upstream, target.upstream),
    allotted: share > 0,
    importRate: target.importRate * part,
    freeCache,
    cache: freeCache,
    places: Math.floor(target.freePlaces * part),
    importFreeAt: 0,
    prefillBacklog: 0
  }
}

function isLess (left: readonly number[], right: readonly number[]): boolean {
  for (let index = 0; index < left.length; index += 1) {
    const difference = (left[index] ?? 0) - (right[index] ?? 0)
    if (difference !== 0) return difference < 0
  }
  return false
}
