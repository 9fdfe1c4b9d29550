/**
 * Evidence on a tried version and on the serving versions: counts of failures and of answer times, by route.
 *
 * A node gets a few requests per second, and the tried version gets a few per cent of them, so only the sums over all nodes
 * are significant. Times are kept as a histogram, because histograms can be added exactly and in any order.
 */
import * as z from 'zod'
import { mergeByName } from '../named-values.js'
import type { Milliseconds } from '../clock.js'

/**
 * Number of answers by step of their time relative to the expected time, with {@link STEPS_PER_DOUBLING} steps per
 * doubling.
 */
const timesSchema = z.record(z.string(), z.number().int().nonnegative())

const sideSchema = z.object({ failures: z.number().int().nonnegative(), times: timesSchema })

/** Answers of one side on one route. */
export type SideEvidence = z.infer<typeof sideSchema>

const routeSchema = z.object({ serving: sideSchema, tried: sideSchema })

/** Answers of both sides on one route. */
export type RouteEvidence = z.infer<typeof routeSchema>

/** Evidence of one or more nodes since an order. */
export const versionEvidenceSchema = z.object({
  /** Revision of the order. */
  order: z.number(),
  /** Number of attempts at upstreams of any version. */
  sent: z.number().int().nonnegative(),
  /** Number of attempts at upstreams of the tried version. */
  exposed: z.number().int().nonnegative(),
  /** Number of nodes that know of the cutover and start no requests at other versions. */
  followers: z.number().int().nonnegative(),
  routes: z.record(z.string(), routeSchema)
})
export type VersionEvidence = z.infer<typeof versionEvidenceSchema>

/** Side of the comparison. */
export type Side = 'serving' | 'tried'

/** Steps per doubling of a time. Neighbouring steps differ by a factor of 1.4. */
export const STEPS_PER_DOUBLING = 2

/** Slowest step, about an hour where a millisecond was expected. */
const MAX_STEP = 44

/** Fastest step, a thousandth of the expected time. */
const MIN_STEP = -20

/**
 * Computes the histogram step of an answer time.
 *
 * @param took time of the answer
 * @param expected time expected from the work of the request; 1 where it is unknown
 * @example
 * timeStepOf(120, 60) // 2: twice as long
 */
export function timeStepOf (took: Milliseconds, expected: Milliseconds): number {
  const step = Math.round(STEPS_PER_DOUBLING * Math.log2(Math.max(took, 1) / Math.max(expected, 1)))
  return Math.min(MAX_STEP, Math.max(MIN_STEP, step))
}

/** Lists the steps that occur, with the number of answers of each. */
export function countsByStep (side: SideEvidence): [step: number, count: number][] {
  return Object.entries(side.times).map(([step, count]) => [Number(step), count])
}

/** Counts all answers of a side, failures included. */
export function answerCount (side: SideEvidence): number {
  return Object.values(side.times).reduce((sum, count) => sum + count, side.failures)
}

/** Creates evidence without answers for an order, given by its revision. */
export function emptyEvidence (order: number): VersionEvidence {
  return { order, sent: 0, exposed: 0, followers: 0, routes: {} }
}

/** Creates evidence of a route without answers. */
export function emptyRouteEvidence (): RouteEvidence {
  return { serving: { failures: 0, times: {} }, tried: { failures: 0, times: {} } }
}

/**
 * Sums the evidence of several nodes by service. Where the nodes have evidence on different orders, only the latest order
 * counts.
 *
 * @example
 * mergeEvidence([own, ...others])['plans']?.exposed
 */
export function mergeEvidence (reports: readonly Readonly<Record<string, VersionEvidence>>[]): Record<string, VersionEvidence> {
  return mergeByName(reports, mergeVersionEvidence)
}

/** The result shares no objects with the arguments, because a node goes on counting in its own evidence. */
function mergeVersionEvidence (known: VersionEvidence | undefined, right: VersionEvidence): VersionEvidence {
  const left = known === undefined || known.order < right.order ? emptyEvidence(right.order) : known
  if (left.order > right.order) return left
  const routes = new Map(Object.entries(left.routes))
  for (const [name, route] of Object.entries(right.routes)) {
    const { serving, tried } = routes.get(name) ?? emptyRouteEvidence()
    routes.set(name, { serving: mergeSides(serving, route.serving), tried: mergeSides(tried, route.tried) })
  }
  return {
    order: left.order,
    sent: left.sent + right.sent,
    exposed: left.exposed + right.exposed,
    followers: left.followers + right.followers,
    routes: Object.fromEntries(routes)
  }
}

function mergeSides (left: SideEvidence, right: SideEvidence): SideEvidence {
  const times = { ...left.times }
  for (const [step, count] of Object.entries(right.times)) times[step] = (times[step] ?? 0) + count
  return { failures: left.failures + right.failures, times }
}
