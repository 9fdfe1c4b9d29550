/**
 * Plans for the streams that are open at a leaving upstream. Each stream finishes in time, moves with its cache, or
 * is recomputed on another upstream. All exports share the instance's one link and deadline.
 */
import type { Milliseconds } from '../../clock.js'
import { orderExports } from './export-order.js'
import type { ExportOrder } from './export-order.js'
import { createTargetLedger, cachedPrefixTokens, recomputationWeight } from './targets.js'
import type { ImportSlot, TargetLedger } from './targets.js'
import type { ExportCandidate, OpenStream, ReclaimSituation, StreamPlan } from './types.js'

/**
 * Share of the notice period that is left unused, because the instance may end earlier and transfers may take longer
 * than expected.
 */
const MARGIN_SHARE = 0.05

/** Minimum and maximum time that is left unused. */
const MIN_MARGIN: Milliseconds = 100
const MAX_MARGIN: Milliseconds = 250

/** A stream counts as finishing in time only if this multiple of its estimated time is available. */
const FINISH_TIME_FACTOR = 1.2

/**
 * A finishing stream that needs more than this share of the available time is uncertain to finish. It is exported if
 * the link has time left.
 */
const UNCERTAIN_TIME_SHARE = 0.2

/** Export orders that are tried. The plan that avoids most recomputation is used, and the first one on a tie. */
const TRIED_ORDERS: readonly ExportOrder[] = ['saved-per-second', 'largest-first', 'smallest-first']

/** An export with its time on the link and its place on a target. */
interface ScheduledExport {
  readonly stream: OpenStream
  readonly slot: ImportSlot
  readonly savedTokens: number
  readonly required: boolean
}

/**
 * Plans all streams of one leaving upstream, each exactly once. The result does not depend on the order of the
 * streams or of the targets. No export ends after the deadline, and none goes to a leaving upstream or failure
 * domain.
 *
 * @returns plans, with the exports in the order in which they are to run
 * @example
 * for (const plan of planReclaim(situation, clock.now())) execute(plan)
 */
export function planReclaim (situation: ReclaimSituation, now: Milliseconds): readonly StreamPlan[] {
  return planWithOrders(situation, now, TRIED_ORDERS)
}

/**
 * {@link planReclaim} with the given export orders, for comparisons.
 *
 * @example
 * planWithOrders(situation, now, ['first-in-first-out'])
 */
export function planWithOrders (situation: ReclaimSituation, now: Milliseconds, orders: readonly ExportOrder[]): readonly StreamPlan[] {
  const available = usableTime(situation.deadline - now)
  const streams = [...situation.streams].sort((left, right) => (left.id < right.id ? -1 : 1))
  const finishing = streams.filter((stream) => finishesWithin(stream, available))
  const others = streams.filter((stream) => !finishesWithin(stream, available))
  const { scheduled, ledger } = bestSchedule(situation, others, available, orders)
  const uncertain = scheduleUncertain(finishing, ledger, { from: scheduled.at(-1)?.slot.endAfter ?? situation.link.busyFor, until: available })
  const exported = new Set([...scheduled, ...uncertain].map(({ stream }) => stream.id))
  const remaining = others.filter((stream) => !exported.has(stream.id))
  return [
    ...finishing.filter((stream) => !exported.has(stream.id)).map((stream): StreamPlan => ({ kind: 'finish', id: stream.id })),
    ...scheduled.map((entry) => toExport(entry, entry.required ? 'stay' : 'resume')),
    ...uncertain.map((entry) => toExport(entry, 'finish')),
    ...planWithoutExport(situation, remaining, ledger, available)
  ]
}

/**
 * Time of a notice period that plans may use, in milliseconds.
 *
 * @example
 * usableTime(10 * SECOND) // 9,750 ms
 */
export function usableTime (notice: Milliseconds): Milliseconds {
  return Math.max(0, notice - Math.min(MAX_MARGIN, Math.max(MIN_MARGIN, notice * MARGIN_SHARE)))
}

function finishesWithin (stream: OpenStream, available: Milliseconds): boolean {
  return stream.remainingTokens * stream.tokenTime * FINISH_TIME_FACTOR <= available
}

function bestSchedule (situation: ReclaimSituation, streams: readonly OpenStream[], available: Milliseconds, orders: readonly ExportOrder[]): { scheduled: readonly ScheduledExport[], ledger: TargetLedger } {
  const candidates = streams.filter((stream) => stream.cachedTokens > 0 || !stream.idempotent).map((stream) => toCandidate(stream, situation))
  const byId = new Map(streams.map((stream) => [stream.id, stream]))
  let best: { scheduled: readonly ScheduledExport[], ledger: TargetLedger, benefit: number } | undefined
  for (const order of orders) {
    const ledger = createTargetLedger(situation)
    const scheduled = schedule(orderExports(candidates, order), byId, ledger, { from: situation.link.busyFor, until: available })
    const benefit = scheduled.reduce((sum, entry) => sum + entry.savedTokens + (entry.required ? REQUIRED_EXPORT_BENEFIT : 0), 0)
    if (best === undefined || benefit > best.benefit) best = { scheduled, ledger, benefit }
  }
  return best ?? { scheduled: [], ledger: createTargetLedger(situation) }
}

/** Benefit of a required export, in tokens. It is higher than the sum of all tokens that other exports can save. */
const REQUIRED_EXPORT_BENEFIT = 1e9

function schedule (ordered: readonly ExportCandidate[], streams: ReadonlyMap<string, OpenStream>, ledger: TargetLedger, link: { from: Milliseconds, until: Milliseconds }): readonly ScheduledExport[] {
  const worthwhile = ordered.filter((candidate) => candidate.savedTokens > 0 || candidate.required)
  return assignSlots(worthwhile.map(({ id, savedTokens, required }) => ({ stream: streams.get(id) as OpenStream, savedTokens, required })), ledger, link)
}

/**
 * Assigns time on the link and a place on a target to the exports, in the given order. Exports that do not fit are
 * left out.
 */
function assignSlots (ordered: readonly Omit<ScheduledExport, 'slot'>[], ledger: TargetLedger, link: { from: Milliseconds, until: Milliseconds }): readonly ScheduledExport[] {
  const scheduled: ScheduledExport[] = []
  let linkFreeAt = link.from
  for (const entry of ordered) {
    const tokens = entry.stream.cachedTokens + Math.min(entry.stream.remainingTokens, linkFreeAt / entry.stream.tokenTime)
    const slot = ledger.findImportSlot(entry.stream, tokens, linkFreeAt, link.until)
    if (slot === undefined) continue
    ledger.reserveImport(slot, entry.stream, tokens)
    linkFreeAt = slot.endAfter
    scheduled.push({ ...entry, slot })
  }
  return scheduled
}

/**
 * Estimates may be wrong, so streams that are expected to finish in time are exported after all others, the most
 * uncertain first.
 */
function scheduleUncertain (finishing: readonly OpenStream[], ledger: TargetLedger, link: { from: Milliseconds, until: Milliseconds }): readonly ScheduledExport[] {
  const timeNeeded = (stream: OpenStream): Milliseconds => stream.remainingTokens * stream.tokenTime
  const uncertain = finishing.filter((stream) => stream.cachedTokens > 0 && timeNeeded(stream) > UNCERTAIN_TIME_SHARE * link.until)
  uncertain.sort((left, right) => timeNeeded(right) - timeNeeded(left) || (left.id < right.id ? -1 : 1))
  return assignSlots(uncertain.map((stream) => ({ stream, savedTokens: 0, required: false })), ledger, link)
}

function toCandidate (stream: OpenStream, situation: ReclaimSituation): ExportCandidate {
  const maxCachedTokens = situation.targets.reduce((max, target) => Math.max(max, target.leaving ? 0 : cachedPrefixTokens(stream, target.upstream)), 0)
  return {
    id: stream.id,
    tokens: stream.cachedTokens,
    savedTokens: Math.max(0, stream.cachedTokens - maxCachedTokens),
    duration: situation.link.setup + stream.cachedTokens / situation.link.rate,
    required: !stream.idempotent,
    slack: stream.slack
  }
}

/**
 * Plans for streams without an export. They are recomputed on another upstream, lowest slack first, or stay where
 * they are.
 */
function planWithoutExport (situation: ReclaimSituation, streams: readonly OpenStream[], ledger: TargetLedger, available: Milliseconds): StreamPlan[] {
  const bySlack = [...streams].sort((left, right) => left.slack - right.slack || (left.id < right.id ? -1 : 1))
  return bySlack.map((stream) => (stream.idempotent ? planResume(situation, stream, ledger, available) : { kind: 'stay', id: stream.id }))
}

/**
 * If recomputed tokens weigh more than machine time, a stream moves immediately, because every token that the leaving
 * upstream still generates has to be recomputed. If machine time weighs more, the streams run on and move one after
 * the other just before the deadline.
 */
function planResume (situation: ReclaimSituation, stream: OpenStream, ledger: TargetLedger, available: Milliseconds): StreamPlan {
  const reservation = ledger.reserveResume(stream)
  const isImmediate = recomputationWeight(situation.recomputedPerThousandTokens) >= 1 || stream.cachedTokens === 0
  const latestStart = Math.max(0, available - (reservation === undefined ? 0 : reservation.backlog + reservation.prefill))
  return {
    kind: 'resume',
    id: stream.id,
    ...(reservation === undefined ? {} : { target: reservation.target }),
    startAfter: isImmediate ? 0 : latestStart
  }
}

function toExport ({ stream, slot }: ScheduledExport, otherwise: 'finish' | 'resume' | 'stay'): StreamPlan {
  return { kind: 'export', id: stream.id, target: slot.target, startAfter: slot.startAfter, endAfter: slot.endAfter, otherwise }
}
