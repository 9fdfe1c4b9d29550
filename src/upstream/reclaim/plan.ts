/**
 * What becomes of each stream that is open at a leaving upstream: finish in time, move with its
 * cache, or be computed again elsewhere. All exports share the instance's one link and deadline.
 */
import type { Milliseconds } from '../../clock.js'
import { orderExports } from './export-order.js'
import type { ExportOrder } from './export-order.js'
import { createTargetLedger, hitAt, recomputationWeight } from './targets.js'
import type { ImportSlot, TargetLedger } from './targets.js'
import type { ExportCandidate, OpenStream, ReclaimSituation, StreamPlan } from './types.js'

/** Part of the notice left unused: the instance may end sooner and transfers take longer than expected. */
const MARGIN_SHARE = 0.05

/** Least and most time left unused, in milliseconds. */
const LEAST_MARGIN: Milliseconds = 100
const MOST_MARGIN: Milliseconds = 250

/** An answer counts on finishing in time only with this much more time than it is estimated to need. */
const FINISH_CAUTION = 1.2

/**
 * An answer that is expected to need more than this share of the time left may well not end in it; it
 * is exported when the link has time to spare.
 */
const DOUBTFUL_SHARE = 0.2

/** Orders that are tried; the plan that avoids most recomputation is taken, the first one on a tie. */
const TRIED_ORDERS: readonly ExportOrder[] = ['saved-per-second', 'largest-first', 'smallest-first']

interface Scheduled {
  readonly stream: OpenStream
  readonly slot: ImportSlot
  readonly saved: number
  readonly required: boolean
}

/**
 * Plans for all streams of one leaving upstream, each exactly once. The result depends neither on
 * the order of the streams nor on that of the targets. No export ends after the deadline, and none
 * goes to an upstream or a failure domain that leaves.
 *
 * @returns plans; exports in the order to run them
 * @example
 * for (const plan of planReclaim(situation, clock.now())) carryOut(plan)
 */
export function planReclaim (situation: ReclaimSituation, now: Milliseconds): readonly StreamPlan[] {
  return planWithOrders(situation, now, TRIED_ORDERS)
}

/**
 * {@link planReclaim} with chosen export orders, for comparisons.
 *
 * @example
 * planWithOrders(situation, now, ['first-in-first-out'])
 */
export function planWithOrders (situation: ReclaimSituation, now: Milliseconds, orders: readonly ExportOrder[]): readonly StreamPlan[] {
  const available = timeToUse(situation.deadline - now)
  const streams = [...situation.streams].sort((left, right) => (left.id < right.id ? -1 : 1))
  const finishing = streams.filter((stream) => finishesWithin(stream, available))
  const others = streams.filter((stream) => !finishesWithin(stream, available))
  const { scheduled, ledger } = bestSchedule(situation, others, available, orders)
  const doubtful = scheduleDoubtful(finishing, ledger, { from: scheduled.at(-1)?.slot.endAfter ?? situation.link.busyFor, until: available })
  const exported = new Set([...scheduled, ...doubtful].map(({ stream }) => stream.id))
  const left = others.filter((stream) => !exported.has(stream.id))
  return [
    ...finishing.filter((stream) => !exported.has(stream.id)).map((stream): StreamPlan => ({ kind: 'finish', id: stream.id })),
    ...scheduled.map((one) => toExport(one, one.required ? 'stay' : 'resume')),
    ...doubtful.map((one) => toExport(one, 'finish')),
    ...planRest(situation, left, ledger, available)
  ]
}

/**
 * Time of a notice that plans may fill.
 *
 * @example
 * timeToUse(10 * SECOND) // 9,750 ms
 */
export function timeToUse (notice: Milliseconds): Milliseconds {
  return Math.max(0, notice - Math.min(MOST_MARGIN, Math.max(LEAST_MARGIN, notice * MARGIN_SHARE)))
}

function finishesWithin (stream: OpenStream, available: Milliseconds): boolean {
  return stream.remainingTokens * stream.tokenTime * FINISH_CAUTION <= available
}

function bestSchedule (situation: ReclaimSituation, streams: readonly OpenStream[], available: Milliseconds, orders: readonly ExportOrder[]): { scheduled: readonly Scheduled[], ledger: TargetLedger } {
  const candidates = streams.filter((stream) => stream.cachedTokens > 0 || !stream.idempotent).map((stream) => toCandidate(stream, situation))
  const byId = new Map(streams.map((stream) => [stream.id, stream]))
  let best: { scheduled: readonly Scheduled[], ledger: TargetLedger, worth: number } | undefined
  for (const order of orders) {
    const ledger = createTargetLedger(situation)
    const scheduled = schedule(orderExports(candidates, order), byId, ledger, { from: situation.link.busyFor, until: available })
    const worth = scheduled.reduce((sum, one) => sum + one.saved + (one.required ? REQUIRED_WORTH : 0), 0)
    if (best === undefined || worth > best.worth) best = { scheduled, ledger, worth }
  }
  return best ?? { scheduled: [], ledger: createTargetLedger(situation) }
}

/** Worth of a stream that nothing but an export can save, in tokens: above any real saving. */
const REQUIRED_WORTH = 1e9

function schedule (ordered: readonly ExportCandidate[], streams: ReadonlyMap<string, OpenStream>, ledger: TargetLedger, link: { from: Milliseconds, until: Milliseconds }): readonly Scheduled[] {
  const worthwhile = ordered.filter((candidate) => candidate.saved > 0 || candidate.required)
  return place(worthwhile.map(({ id, saved, required }) => ({ stream: streams.get(id) as OpenStream, saved, required })), ledger, link)
}

/** Gives each export its time on the link and its place at a target, in order; what does not fit is left out. */
function place (ordered: readonly Omit<Scheduled, 'slot'>[], ledger: TargetLedger, link: { from: Milliseconds, until: Milliseconds }): readonly Scheduled[] {
  const scheduled: Scheduled[] = []
  let linkFreeAt = link.from
  for (const one of ordered) {
    const tokens = one.stream.cachedTokens + Math.min(one.stream.remainingTokens, linkFreeAt / one.stream.tokenTime)
    const slot = ledger.importSlot(one.stream, tokens, linkFreeAt, link.until)
    if (slot === undefined) continue
    ledger.takeImport(slot, one.stream, tokens)
    linkFreeAt = slot.endAfter
    scheduled.push({ ...one, slot })
  }
  return scheduled
}

/** Estimates err: what was taken to end in time is exported after all else, the most doubtful first. */
function scheduleDoubtful (finishing: readonly OpenStream[], ledger: TargetLedger, link: { from: Milliseconds, until: Milliseconds }): readonly Scheduled[] {
  const need = (stream: OpenStream): Milliseconds => stream.remainingTokens * stream.tokenTime
  const doubtful = finishing.filter((stream) => stream.cachedTokens > 0 && need(stream) > DOUBTFUL_SHARE * link.until)
  doubtful.sort((left, right) => need(right) - need(left) || (left.id < right.id ? -1 : 1))
  return place(doubtful.map((stream) => ({ stream, saved: 0, required: false })), ledger, link)
}

function toCandidate (stream: OpenStream, situation: ReclaimSituation): ExportCandidate {
  const hit = situation.targets.reduce((most, target) => Math.max(most, target.leaving ? 0 : hitAt(stream, target.upstream)), 0)
  return {
    id: stream.id,
    tokens: stream.cachedTokens,
    saved: Math.max(0, stream.cachedTokens - hit),
    duration: situation.link.setup + stream.cachedTokens / situation.link.rate,
    required: !stream.idempotent,
    slack: stream.slack
  }
}

/** Streams without an export: computed again elsewhere, least slack first, or left where they are. */
function planRest (situation: ReclaimSituation, streams: readonly OpenStream[], ledger: TargetLedger, available: Milliseconds): StreamPlan[] {
  const urgent = [...streams].sort((left, right) => left.slack - right.slack || (left.id < right.id ? -1 : 1))
  return urgent.map((stream) => (stream.idempotent ? planResume(situation, stream, ledger, available) : { kind: 'stay', id: stream.id }))
}

/**
 * Where recomputed tokens weigh more than machine time, a stream moves at once: every token that
 * the leaving upstream still adds has to be computed again. Where machine time weighs more, it runs
 * on there and moves one after the other just before the deadline.
 */
function planResume (situation: ReclaimSituation, stream: OpenStream, ledger: TargetLedger, available: Milliseconds): StreamPlan {
  const taken = ledger.takeResume(stream)
  const early = recomputationWeight(situation.recomputedPerThousandTokens) >= 1 || stream.cachedTokens === 0
  const latest = Math.max(0, available - (taken === undefined ? 0 : taken.backlog + taken.prefill))
  return {
    kind: 'resume',
    id: stream.id,
    ...(taken === undefined ? {} : { target: taken.target }),
    startAfter: early ? 0 : latest
  }
}

function toExport ({ stream, slot }: Scheduled, otherwise: 'finish' | 'resume' | 'stay'): StreamPlan {
  return { kind: 'export', id: stream.id, target: slot.target, startAfter: slot.startAfter, endAfter: slot.endAfter, otherwise }
}
