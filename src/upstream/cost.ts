/**
 * Cost of running an attempt at an upstream, in milliseconds: the time for which the attempt waits there, plus the
 * time by which it delays the requests that already run there.
 */
import type { Milliseconds } from '../clock.js'
import type { AttemptDemand, UpstreamState } from './fleet-types.js'
import type { HealthState } from './outliers.js'

/** Values that determine the cost of a placement. */
export interface CostInput {
  readonly state: UpstreamState
  readonly demand: AttemptDemand
  /** Prompt tokens expected to be computed. */
  readonly computedTokens: number
  /** Time to compute one prompt token. */
  readonly prefillTime: Milliseconds
  /** Time per generated token. For a plain service, the duration of an answer. */
  readonly tokenTime: Milliseconds
  /** Requests of all nodes at the upstream, used for the delay that the attempt causes to them. */
  readonly requests: number
  /** Requests of all nodes at the upstream, used for the time that the attempt waits. */
  readonly sampledRequests: number
  /** Mean time for which an answer occupies a batch slot. */
  readonly holdTime: Milliseconds
  /** Time per token relative to the other upstreams, at least 1. */
  readonly slowness: number
  readonly health: HealthState
  /** Whether an upstream of the same failure domain failed recently. */
  readonly domainFailed: boolean
}

/** Share of the time per token that grows with the number of answers decoded in one batch. */
const BATCH_SHARE = 0.05

/** Share of a prefill's duration by which it delays each answer that is being decoded. */
const PREFILL_INTERFERENCE_SHARE = 1

/**
 * Slots added to the load of an upstream for urgent requests. Load reports are late, so urgent requests avoid
 * upstreams that are almost full.
 */
const URGENT_SLOT_MARGIN = 2

/** Factor on the queueing time of urgent requests. */
const URGENT_WAIT_FACTOR = 4

/** Cost added to a suspect upstream. It is chosen only if the others are worse by this much. */
const SUSPECT_COST: Milliseconds = 20_000

/**
 * Cost added to upstreams in a failure domain where an upstream failed recently, because the whole domain may be
 * about to fail or to be reclaimed.
 */
const DOMAIN_FAILURE_COST: Milliseconds = 5_000

/**
 * Factor on the prefill time of an engine in the `decode` role, and on the decoding time of an engine in the
 * `prefill` role.
 */
const WRONG_ROLE_FACTOR = 4

/**
 * Expected cost of an attempt at one upstream.
 *
 * An upstream in state `probe` costs 0, so that the probe is made as soon as an attempt may make it.
 *
 * @returns comparable between the upstreams of one service; smaller is better
 * @example
 * const cost = attemptCost(input)
 */
export function attemptCost (input: CostInput): Milliseconds {
  if (input.health === 'probe') return 0
  const time = input.state.view.protocol === 'plain' ? plainTime(input) : engineTime(input)
  return time * input.slowness + penalties(input)
}

function plainTime (input: CostInput): Milliseconds {
  return (input.sampledRequests + 1) * input.tokenTime
}

function engineTime (input: CostInput): Milliseconds {
  const { state, demand, tokenTime } = input
  const role = state.report?.role ?? 'mixed'
  const slots = state.load.slots()
  const prefillTime = input.prefillTime * (role === 'decode' ? WRONG_ROLE_FACTOR : 1)
  const timePerToken = tokenTime * (role === 'prefill' ? WRONG_ROLE_FACTOR : 1)
  const queuedRequests = Math.max(0, input.sampledRequests + 1 + (demand.urgent ? URGENT_SLOT_MARGIN : 0) - slots)
  const queueTime = queuedRequests * input.holdTime / slots * (demand.urgent ? URGENT_WAIT_FACTOR : 1)
  const pendingPrefillTime = state.load.pendingTokens() * prefillTime
  const ownPrefillTime = input.computedTokens * prefillTime * (1 + PREFILL_INTERFERENCE_SHARE * input.requests)
  const decodeTime = 2 * BATCH_SHARE * timePerToken / slots * input.requests * demand.generatedTokens
  return queueTime + pendingPrefillTime + ownPrefillTime + decodeTime
}

function penalties (input: CostInput): Milliseconds {
  const suspect = input.health === 'suspect' ? SUSPECT_COST : 0
  return suspect + (input.domainFailed ? DOMAIN_FAILURE_COST : 0)
}
