/** The scheduler and the policies that every benchmark of scheduling compares it with. */
import { createScheduler } from '../../src/admission/index.js'
import type { Scheduler } from '../../src/admission/index.js'
import type { Random } from '../../src/random.js'
import { createBaseline } from './baselines.js'
import type { Mix } from './mixes.js'

/** A policy under its name in tables. */
export interface Policy {
  readonly name: string
  create (random: Random): Scheduler
}

/** Nodes of every simulation unless it says otherwise. */
export const NODES = 8

/** Longest wait in the queue of the fixed limit, in milliseconds. */
const FIXED_WAIT = 5_000

/** The scheduler of the system. */
export const own: Policy = { name: 'hornbeamgap', create: (random) => createScheduler({ random }) }

/** Any upstream. As the other baselines below, without admission: first come first served at the engines. */
export const random: Policy = { name: 'random', create: (source) => createBaseline('random', source) }

/** Each upstream in turn. */
export const roundRobin: Policy = { name: 'round robin', create: (source) => createBaseline('round robin', source) }

/** The upstream with the fewest requests of this node in flight. */
export const leastInFlight: Policy = { name: 'least in flight', create: (source) => createBaseline('least in flight', source) }

/** Of two upstreams drawn at random, the one with fewer requests of this node in flight. */
export const twoChoices: Policy = { name: 'two choices', create: (source) => createBaseline('two choices', source) }

/** The upstream that reported the least load. */
export const leastReported: Policy = { name: 'least reported', create: (source) => createBaseline('least reported', source) }

/**
 * Least in flight behind a queue, first come first served, with a limit for each node and engine that
 * somebody has worked out from the engines' places.
 *
 * @example
 * simulate({ ...options, createPolicy: fixedLimit(calcaria).create })
 */
export function fixedLimit (mix: Mix): Policy {
  const limit = { perUpstream: Math.ceil(mix.shape.batch / NODES) + 1, longestWait: FIXED_WAIT }
  return { name: 'fixed limit, FCFS', create: (source) => createBaseline('least in flight', source, limit) }
}
