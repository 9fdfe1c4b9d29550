/**
 * Orders to engines: a desired state with a generation and the lease's fencing number.
 *
 * An engine that checks fencing refuses an order that is older than its last one. One that does not
 * check obeys whatever arrives last, also an order that a paused planner sent long ago. Nothing that
 * a planner does can stop such an order, so its harm is bounded: a new holder waits out the time in
 * which its predecessor's orders can still arrive, then compares what the engine reports with what is
 * wanted, and goes on comparing. An order is sent only where the two differ.
 */
import type { Milliseconds } from '../clock.js'
import { MINUTE, SECOND } from '../clock.js'
import type { ServiceName, UpstreamName } from '../identifiers.js'
import type { LoadReport } from '../upstream/index.js'
import type { ServiceOrder } from './desired-state.js'

/** What is known of one engine. */
export interface EngineState {
  readonly upstream: UpstreamName
  readonly service: ServiceName
  readonly report: LoadReport
  /** Monotonic time at which the reported figures held: their arrival less their age. */
  readonly reportedAt: Milliseconds
  /** Whether it refuses orders with an old fencing number. */
  readonly checksFencing: boolean
}

/** The last order sent to an engine by this process. */
export interface SentOrder {
  readonly generation: number
  readonly fencing: number
  /** Monotonic time of sending. */
  readonly at: Milliseconds
}

/** How an engine stands to its service's order. */
export type Compliance =
  /** It reports what is wanted. */
  | { kind: 'settled' }
  /** It has the order and is still loading. */
  | { kind: 'loading' }
  /** It must be ordered; `loads` tells whether it will fetch weights. */
  | { kind: 'differs', loads: boolean }
  /** Too early to tell: an order of a predecessor, or this process's own, may still be under way. */
  | { kind: 'wait' }

/** What the comparison is made with. */
export interface ComparisonOptions {
  readonly now: Milliseconds
  /** Fencing number of the lease that is held. */
  readonly fencing: number
  /** Monotonic time since when the lease is held. */
  readonly heldSince: Milliseconds
  /** Last order that this process sent to the engine. */
  readonly sent: SentOrder | undefined
}

/**
 * Time within which a predecessor's order arrives, counted from the change of holder: the bound on
 * one call, and what its clock may lag. A planner paused for longer than this is covered by the
 * comparison, which then costs an engine that does not check fencing one load.
 */
export const PREDECESSOR_BOUND: Milliseconds = 5 * SECOND

/** An order is repeated when the reports do not show it after this time. */
const REPEAT: Milliseconds = 10 * SECOND

/** An engine that has not loaded what it was ordered after this time is ordered again. */
const LOAD_PATIENCE: Milliseconds = 15 * MINUTE

/**
 * Compares an engine's report with its service's order.
 *
 * @example
 * if (compare(engine, order, options).kind === 'differs') await send(orderFor(order, lease.fencing))
 */
export function compare (engine: EngineState, order: ServiceOrder, options: ComparisonOptions): Compliance {
  const { now, sent } = options
  const own = sent !== undefined && sent.generation === order.generation && sent.fencing === options.fencing ? sent : undefined
  if (isSettled(engine.report, order)) return { kind: 'settled' }
  if (mayHideAnOrder(engine, options)) return { kind: 'wait' }
  // The report may be older than the order that this process sent last.
  if (own !== undefined && engine.reportedAt < own.at && now - own.at < REPEAT) return { kind: 'wait' }
  if (engine.report.generation === order.generation && isOnTheWay(engine.report, order) && !hasWaited(own, options)) return { kind: 'loading' }
  if (own !== undefined && now - own.at < REPEAT && engine.report.generation === order.generation) return { kind: 'wait' }
  return { kind: 'differs', loads: !engine.report.models.includes(order.model) }
}

/**
 * Whether an engine serves what its service's order wants.
 *
 * @example
 * const serving = engines.filter((engine) => isSettled(engine.report, order))
 */
export function isSettled (report: LoadReport, order: ServiceOrder): boolean {
  return report.generation === order.generation &&
    report.role === order.role &&
    report.models.includes(order.model) &&
    order.adapters.every((adapter) => report.adapters.includes(adapter))
}

/**
 * Highest generation that engines report. A desired state below it would never be obeyed by engines
 * that keep to the highest generation, so the next one must start above it. This happens after the
 * key-value service has lost its contents.
 *
 * @example
 * const generation = Math.max(state.generation, highestReported(engines)) + 1
 */
export function highestReported (engines: readonly EngineState[]): number {
  return engines.reduce((highest, engine) => Math.max(highest, engine.report.generation), 0)
}

/**
 * Failure guarded against: a predecessor was paused just before it sent an order; the new holder
 * orders something else, the engine loads it, then the late order arrives and the engine loads the
 * old model again. The wait lets the late order arrive first, and only a report from after the wait
 * is believed. Engines that check fencing refuse the late order, so they are not waited for.
 */
function mayHideAnOrder (engine: EngineState, options: ComparisonOptions): boolean {
  if (engine.checksFencing) return false
  return engine.reportedAt < options.heldSince + PREDECESSOR_BOUND
}

function isOnTheWay (report: LoadReport, order: ServiceOrder): boolean {
  return !report.models.includes(order.model) || order.adapters.some((adapter) => !report.adapters.includes(adapter))
}

function hasWaited (own: SentOrder | undefined, options: ComparisonOptions): boolean {
  return options.now - (own?.at ?? options.heldSince) >= LOAD_PATIENCE
}
