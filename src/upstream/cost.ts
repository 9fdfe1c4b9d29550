/**
 * What it costs to run an attempt at an upstream: the time it waits there, and the time by which it
 * holds up what runs there already, in milliseconds.
 */
import type { Milliseconds } from '../clock.js'
import type { Demand, UpstreamState } from './fleet-types.js'
import type { UpstreamHealth } from './outliers.js'

/** What the cost depends on. */
export interface CostInput {
  readonly state: UpstreamState
  readonly demand: Demand
  readonly computedTokens: number
  readonly prefillTime: Milliseconds
  /** Time per token; of a plain service, time of an answer. */
  readonly tokenTime: Milliseconds
  /** Requests of all nodes at the upstream, as believed and as drawn. */
  readonly requests: number
  readonly drawnRequests: number
  /** Mean time that a place is taken by one answer. */
  readonly holdTime: Milliseconds
  /** Time per token relative to the other upstreams. */
  readonly slowness: number
  readonly health: UpstreamHealth
  /** An upstream of the same failure domain died lately. */
  readonly domainFailed: boolean
}

/** Share of the time per token that grows with the number of answers decoded together. */
const BATCH_SHARE = 0.05

/** Share of a prefill by which it holds up each answer that is being decoded. */
const PREFILL_INTERFERENCE = 1

/** Reports are late: an urgent request keeps this many places away from a full upstream. */
const URGENT_MARGIN = 2

/** Waiting counts this much more for a request that cannot wait. */
const URGENT_FACTOR = 4

/** An upstream with a sign of failure is chosen only when the others are this much worse. */
const SUSPECT_COST: Milliseconds = 20_000

/** A failure domain that lost an upstream lately may be on its way out as a whole. */
const DOMAIN_COST: Milliseconds = 5_000

/** A role that does not fit makes that part of the work this much dearer. */
const WRONG_ROLE = 4

/**
 * @returns comparable between the upstreams of one service; smaller is better
 * @example
 * const cost = costOf(input)
 */
export function costOf (input: CostInput): Milliseconds {
  if (input.health === 'probe') return 0
  const time = input.state.view.protocol === 'plain' ? plainTime(input) : engineTime(input)
  return time * input.slowness + penalties(input)
}

function plainTime (input: CostInput): Milliseconds {
  return (input.drawnRequests + 1) * input.tokenTime
}

function engineTime (input: CostInput): Milliseconds {
  const { state, demand, tokenTime } = input
  const role = state.report?.role ?? 'mixed'
  const slots = state.load.slots()
  const prefill = input.prefillTime * (role === 'decode' ? WRONG_ROLE : 1)
  const token = tokenTime * (role === 'prefill' ? WRONG_ROLE : 1)
  const crowd = Math.max(0, input.drawnRequests + 1 + (demand.urgent ? URGENT_MARGIN : 0) - slots)
  const waiting = crowd * input.holdTime / slots * (demand.urgent ? URGENT_FACTOR : 1)
  const pending = state.load.pendingTokens() * prefill
  const computing = input.computedTokens * prefill * (1 + PREFILL_INTERFERENCE * input.requests)
  const decoding = 2 * BATCH_SHARE * token / slots * input.requests * demand.generatedTokens
  return waiting + pending + computing + decoding
}

function penalties (input: CostInput): Milliseconds {
  const suspect = input.health === 'suspect' ? SUSPECT_COST : 0
  return suspect + (input.domainFailed ? DOMAIN_COST : 0)
}
