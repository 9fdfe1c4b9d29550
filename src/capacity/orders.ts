/**
 * Orders to engines: a desired state with a generation and the fencing number of the lease.
 *
 * An engine that checks fencing refuses orders that are older than its last one. An engine that does not check
 * follows whichever order arrives last, even one that a paused planner sent long ago. No planner can prevent such an
 * order from arriving, so its effect is limited instead: a new lease holder waits until orders of its predecessor
 * have had time to arrive, then keeps comparing each engine's reports with the desired state. An order is sent only
 * if the two differ.
 */
import type { Milliseconds } from '../clock.js'
import { MINUTE, SECOND } from '../clock.js'
import type { ServiceName, UpstreamName } from '../identifiers.js'
import type { LoadReport } from '../upstream/index.js'
import type { ServiceOrder } from './desired-state.js'

/** State of one engine as known to the planner. */
export interface EngineState {
  readonly upstream: UpstreamName
  readonly service: ServiceName
  readonly report: LoadReport
  /** Monotonic time at which the reported state was valid: time of arrival minus the age of the report. */
  readonly reportedAt: Milliseconds
  /** Whether the engine refuses orders with an outdated fencing number. */
  readonly checksFencing: boolean
}

/** The last order sent to an engine by this process. */
export interface SentOrder {
  readonly generation: number
  readonly fencing: number
  /** Monotonic time at which the order was sent. */
  readonly at: Milliseconds
}

/** Result of comparing an engine's report with its service's order. */
export type Compliance =
  /** The engine reports the wanted state. */
  | { kind: 'settled' }
  /** The engine has received the order and is still loading. */
  | { kind: 'loading' }
  /** The engine must be sent the order. `loads` tells whether it will load weights. */
  | { kind: 'differs', loads: boolean }
  /** Undecided: an order of a predecessor or of this process may still be in transit. */
  | { kind: 'wait' }

/** Parameters of the comparison. */
export interface ComplianceOptions {
  readonly now: Milliseconds
  /** Fencing number of the held lease. */
  readonly fencing: number
  /** Monotonic time since which the lease has been held. */
  readonly heldSince: Milliseconds
  /** Last order that this process sent to the engine. */
  readonly sent: SentOrder | undefined
}

/**
 * Time after a change of lease holder within which the predecessor's orders arrive: the limit on one call plus the
 * tolerated lag of its clock. If a planner was paused for longer than this, the repeated comparison corrects the
 * effect. An engine that does not check fencing then loads weights once more.
 */
export const PREDECESSOR_ORDER_DELAY: Milliseconds = 5 * SECOND

/** Time after which an order is repeated if no report shows it. */
const REPEAT_INTERVAL: Milliseconds = 10 * SECOND

/** Time after which an engine that has not loaded the ordered model is ordered again. */
const LOAD_TIMEOUT: Milliseconds = 15 * MINUTE

/**
 * Compares an engine's report with its service's order.
 *
 * @example
 * if (checkCompliance(engine, order, options).kind === 'differs') await send(orderFor(order, lease.fencing))
 */
export function checkCompliance (engine: EngineState, order: ServiceOrder, options: ComplianceOptions): Compliance {
  const { now, sent } = options
  const ownOrder = sent !== undefined && sent.generation === order.generation && sent.fencing === options.fencing ? sent : undefined
  if (matchesOrder(engine.report, order)) return { kind: 'settled' }
  if (mayPrecedeLateOrder(engine, options)) return { kind: 'wait' }
  // The report may be older than the last order of this process.
  if (ownOrder !== undefined && engine.reportedAt < ownOrder.at && now - ownOrder.at < REPEAT_INTERVAL) return { kind: 'wait' }
  if (engine.report.generation === order.generation && isLoading(engine.report, order) && !hasLoadTimedOut(ownOrder, options)) return { kind: 'loading' }
  if (ownOrder !== undefined && now - ownOrder.at < REPEAT_INTERVAL && engine.report.generation === order.generation) return { kind: 'wait' }
  return { kind: 'differs', loads: !engine.report.models.includes(order.model) }
}

/**
 * Whether an engine serves what its service's order wants.
 *
 * @example
 * const serving = engines.filter((engine) => matchesOrder(engine.report, order))
 */
export function matchesOrder (report: LoadReport, order: ServiceOrder): boolean {
  return report.generation === order.generation &&
    report.role === order.role &&
    report.models.includes(order.model) &&
    order.adapters.every((adapter) => report.adapters.includes(adapter))
}

/**
 * Highest generation reported by engines. Engines that keep to the highest generation they received ignore a desired
 * state below it, so the next state must exceed it. The stored generation falls behind when the key-value service has
 * lost its contents.
 *
 * @example
 * const generation = Math.max(state.generation, highestReported(engines)) + 1
 */
export function highestReported (engines: readonly EngineState[]): number {
  return engines.reduce((highest, engine) => Math.max(highest, engine.report.generation), 0)
}

/**
 * Failure guarded against: a predecessor is paused just before it sends an order. The new holder orders a different
 * model, the engine loads it, then the late order arrives and the engine loads the old model again. The wait lets the
 * late order arrive first, and only reports from after the wait are used. Engines that check fencing refuse the late
 * order and need no wait.
 */
function mayPrecedeLateOrder (engine: EngineState, options: ComplianceOptions): boolean {
  if (engine.checksFencing) return false
  return engine.reportedAt < options.heldSince + PREDECESSOR_ORDER_DELAY
}

function isLoading (report: LoadReport, order: ServiceOrder): boolean {
  return !report.models.includes(order.model) || order.adapters.some((adapter) => !report.adapters.includes(adapter))
}

function hasLoadTimedOut (ownOrder: SentOrder | undefined, options: ComplianceOptions): boolean {
  return options.now - (ownOrder?.at ?? options.heldSince) >= LOAD_TIMEOUT
}
