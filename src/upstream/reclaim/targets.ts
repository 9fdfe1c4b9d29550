/** Remaining capacity of the targets of a reclaim while a plan is being made. */
import type { Milliseconds } from '../../clock.js'
import type { FailureDomain, UpstreamName } from '../../identifiers.js'
import { score } from '../../membership/index.js'
import type { OpenStream, ReclaimSituation, ReclaimTarget } from './types.js'

/** Place and time for the import of a stream's cache. */
export interface ImportSlot {
  readonly target: UpstreamName
  readonly startAfter: Milliseconds
  readonly endAfter: Milliseconds
}

/** Remaining capacity of the targets, with the streams that the plan has assigned to them so far. */
export interface TargetLedger {
  /**
   * Finds the import that ends earliest, preferring targets that meet the class's target for the whole answer.
   *
   * @returns undefined if no target has capacity for the import before `until`
   */
  findImportSlot (stream: OpenStream, tokens: number, from: Milliseconds, until: Milliseconds): ImportSlot | undefined
  /** Reserves the capacity for an import. */
  reserveImport (slot: ImportSlot, stream: OpenStream, tokens: number): void
  /**
   * Reserves capacity for a recomputation.
   *
   * @returns the target, the prefill time already planned there, and the prefill time of this stream; undefined if no
   *   target has capacity
   */
  reserveResume (stream: OpenStream): { target: UpstreamName, backlog: Milliseconds, prefill: Milliseconds } | undefined
}

/** Share of a failure domain's upstreams that must be leaving for the whole domain to count as reclaimed. */
const RECLAIMED_DOMAIN_SHARE = 0.5

/**
 * Number of recomputed tokens per 1,000 generated tokens at which a recomputed token weighs as much as the time to
 * compute it. With a lower target, recomputed tokens weigh more.
 */
const NEUTRAL_RECOMPUTED_TOKENS = 20

/** Remaining capacity of one target. */
interface TargetState {
  readonly target: ReclaimTarget
  /** Preference of the leaving upstream among otherwise equal targets. */
  readonly rank: number
  /** Whether the leaving upstream may export to the target. */
  readonly exportsAllowed: boolean
  readonly importRate: number
  readonly initialCacheTokens: number
  freeCacheTokens: number
  freeSlots: number
  importFreeAt: Milliseconds
  prefillBacklog: Milliseconds
}

/**
 * Failure domains of which at least half of the upstreams, and more than one, are leaving. The remaining upstreams of
 * such a domain are likely to leave too, so they are not used as targets.
 *
 * @example
 * reclaimedDomains(views) // ['zone-b']
 */
export function reclaimedDomains (members: readonly { readonly failureDomain: FailureDomain, readonly leaving: boolean }[]): readonly FailureDomain[] {
  const counts = new Map<FailureDomain, { all: number, leaving: number }>()
  for (const member of members) {
    const count = counts.get(member.failureDomain) ?? { all: 0, leaving: 0 }
    count.all += 1
    count.leaving += Number(member.leaving)
    counts.set(member.failureDomain, count)
  }
  return [...counts].filter(([, count]) => count.leaving > 1 && count.leaving >= count.all * RECLAIMED_DOMAIN_SHARE).map(([domain]) => domain).sort()
}

/**
 * Weight of a recomputed token relative to the time to compute it. 1 is neutral.
 *
 * @example
 * recomputationWeight(10) // 2: the target allows half of the neutral number
 */
export function recomputationWeight (recomputedPerThousandTokens: number): number {
  return NEUTRAL_RECOMPUTED_TOKENS / recomputedPerThousandTokens
}

/**
 * Creates the capacity of the targets that are not leaving, reduced to the share that this upstream may use. When
 * several upstreams leave at once, each one plans without communication with the others. All sort the same lists and
 * take the targets in turn, so that no capacity is used twice. If there are more leaving upstreams than targets, they
 * share each target evenly.
 *
 * @example
 * const ledger = createTargetLedger(situation)
 */
export function createTargetLedger (situation: ReclaimSituation): TargetLedger {
  const states = createTargetStates(situation)
  const weight = recomputationWeight(situation.recomputedPerThousandTokens)

  function findImportSlot (stream: OpenStream, tokens: number, from: Milliseconds, until: Milliseconds): ImportSlot | undefined {
    let best: { slot: ImportSlot, costs: readonly number[] } | undefined
    for (const state of states) {
      if (!state.exportsAllowed || state.freeSlots < 1 || state.freeCacheTokens < tokens + stream.remainingTokens) continue
      const slot = slotAt(state, tokens, from, situation)
      if (slot.endAfter > until) continue
      const late = slot.endAfter + stream.remainingTokens * state.target.tokenTime > stream.slack
      const costs = [Number(late), slot.endAfter, 1 - state.freeCacheTokens / state.initialCacheTokens, state.rank]
      if (best === undefined || isLess(costs, best.costs)) best = { slot, costs }
    }
    return best?.slot
  }

  function reserveImport (slot: ImportSlot, stream: OpenStream, tokens: number): void {
    const state = states.find((candidate) => candidate.target.upstream === slot.target)
    if (state === undefined) return
    state.importFreeAt = slot.endAfter
    reserve(state, tokens + stream.remainingTokens)
  }

  function reserveResume (stream: OpenStream): { target: UpstreamName, backlog: Milliseconds, prefill: Milliseconds } | undefined {
    let best: { state: TargetState, prefill: Milliseconds, costs: readonly number[] } | undefined
    const length = stream.promptTokens + stream.generatedTokens
    for (const state of states) {
      if (state.freeCacheTokens < length + stream.remainingTokens) continue
      const computedTokens = Math.max(0, length - cachedPrefixTokens(stream, state.target.upstream))
      const prefill = computedTokens / state.target.prefillRate
      const ready = state.prefillBacklog + prefill
      const late = ready + stream.remainingTokens * state.target.tokenTime > stream.slack
      const costs = [Number(late), Number(state.freeSlots < 1), ready + weight * prefill, state.rank]
      if (best === undefined || isLess(costs, best.costs)) best = { state, prefill, costs }
    }
    if (best === undefined) return undefined
    const { state, prefill } = best
    const backlog = state.prefillBacklog
    state.prefillBacklog += prefill
    reserve(state, length + stream.remainingTokens)
    return { target: state.target.upstream, backlog, prefill }
  }

  return { findImportSlot, reserveImport, reserveResume }
}

/**
 * Number of tokens of a stream's prompt that are cached at another upstream.
 *
 * @example
 * cachedPrefixTokens(stream, target.upstream)
 */
export function cachedPrefixTokens (stream: OpenStream, upstream: UpstreamName): number {
  return stream.prefixHits.find((hit) => hit.upstream === upstream)?.tokens ?? 0
}

function slotAt (state: TargetState, tokens: number, from: Milliseconds, situation: ReclaimSituation): ImportSlot {
  const startAfter = Math.max(from, state.importFreeAt)
  const duration = situation.link.setup + tokens / Math.min(situation.link.rate, state.importRate)
  return { target: state.target.upstream, startAfter, endAfter: startAfter + duration }
}

function reserve (state: TargetState, tokens: number): void {
  state.freeCacheTokens -= tokens
  state.freeSlots -= 1
}

function createTargetStates (situation: ReclaimSituation): TargetState[] {
  const leaving = [...new Set([...situation.leaving, situation.upstream])].sort()
  const leavingSet = new Set(leaving)
  const domains = new Set(situation.leavingDomains)
  const staying = situation.targets
    .filter((target) => !target.leaving && !leavingSet.has(target.upstream) && !domains.has(target.failureDomain))
    .sort((left, right) => (left.upstream < right.upstream ? -1 : 1))
  const position = leaving.indexOf(situation.upstream)
  return staying.map((target, index) => toTargetState(situation, target, shareOf(index, position, staying.length, leaving.length), leaving.length))
}

/**
 * Share of a target that the leaving upstream may use for imports. 0 means that the target belongs to another leaving
 * upstream.
 */
function shareOf (index: number, position: number, targets: number, leaving: number): number {
  if (leaving <= targets) return index % leaving === position ? 1 : 0
  if (position % targets !== index) return 0
  const users = Math.floor((leaving - 1 - index) / targets) + 1
  return 1 / users
}

function toTargetState (situation: ReclaimSituation, target: ReclaimTarget, share: number, leaving: number): TargetState {
  const fraction = share > 0 ? share : 1 / leaving
  const initialCacheTokens = target.freeCacheTokens * fraction
  return {
    target,
    rank: score(situation.upstream, target.upstream),
    exportsAllowed: share > 0,
    importRate: target.importRate * fraction,
    initialCacheTokens,
    freeCacheTokens: initialCacheTokens,
    freeSlots: Math.floor(target.freeSlots * fraction),
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
