/** Builds records of upstreams and routes for tests. */
import { incarnationOf } from '../../src/placement/index.js'
import type { UpstreamRecord } from '../../src/placement/index.js'
import type { Route } from '../../src/routing/index.js'

/** A ready upstream without a registered start time, with the given fields replaced. */
export function upstreamRecord (id: string, more: Partial<UpstreamRecord> = {}): UpstreamRecord {
  return { id, incarnation: incarnationOf(id, undefined), service: 's', version: 'v1', address: '127.0.0.1:1', failureDomain: 'a', slots: 64, leaving: false, leavesIn: undefined, reclaimable: false, ...more }
}

/** A route to one service, with the given fields replaced. */
export function routeTo (service: string, more: Partial<Route> = {}): Route {
  return { name: 'r', host: 'api.example', prefix: '/', kind: 'once', resumable: false, timeLimit: 1_000, target: 200, maxPause: 800, maxAttempts: 1, priority: 0, anonymous: false, destinations: [{ service, weight: 1 }], ...more }
}
