import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { AcceptedRequest } from '../../src/gateway/acceptance.js'
import type { GatewayContext } from '../../src/gateway/context.js'
import { findResumedOrigin, needsOriginRecord } from '../../src/gateway/stream-resumption.js'
import { createRandom } from '../../src/random.js'
import type { StreamOrigin } from '../../src/stream-origins/index.js'
import { ServingError } from '../../src/verdict.js'

const { signal } = new AbortController()
const DRAIN = 2_000

interface Knowledge {
  readonly recorded?: StreamOrigin
  readonly onlyVersion?: string
  readonly viewAge?: number
}

function createContext ({ recorded, onlyVersion, viewAge = 0 }: Knowledge): GatewayContext {
  const context = {
    random: createRandom(1),
    settings: { bounds: { upstreamDrain: DRAIN } },
    streamOrigins: { find: async () => recorded },
    onlyVersion: (_service: string, maxAge: number) => viewAge <= maxAge ? onlyVersion : undefined,
    ledOnlyTo: () => true,
    versionFacts: () => ({ watchedFor: undefined, versions: '' }),
    metrics: { count: () => {} },
    log: { info: () => {} },
    freshness: () => ({ nodes: 1 })
  }
  return context as unknown as GatewayContext
}

function resumed (...services: string[]): AcceptedRequest {
  const route = { kind: 'stream', resumable: true, destinations: services.map((service) => ({ service, weight: 1 })) }
  return { head: { id: 'r', lastEvent: '3', resumes: 'first' }, route } as unknown as AcceptedRequest
}

async function isRefused (context: GatewayContext, accepted: AcceptedRequest): Promise<void> {
  await assert.rejects(findResumedOrigin(context, accepted, signal), (error) => error instanceof ServingError && error.verdict === 'not-run' && error.retryAfter !== undefined)
}

describe('a resumed stream', () => {
  // Guards against streams of two services: the configuration splits the route, and the other service continues the stream.
  it('stays at its service on a split route', async () => {
    const recorded = { service: 'right', version: 'v1' }
    assert.deepEqual(await findResumedOrigin(createContext({ recorded }), resumed('left', 'right'), signal), recorded)
  })

  it('is refused where its route leads to another service by now', async () => {
    await isRefused(createContext({ recorded: { service: 'before', version: 'v1' }, onlyVersion: 'v1' }), resumed('now'))
  })

  it('goes by its record rather than by the only version that is known', async () => {
    const recorded = { service: 'plans', version: 'v2' }
    assert.deepEqual(await findResumedOrigin(createContext({ recorded, onlyVersion: 'v1' }), resumed('plans'), signal), recorded)
  })

  it('is refused without a record if its route has two services, or its service may have had several versions', async () => {
    await isRefused(createContext({ onlyVersion: 'v1' }), resumed('left', 'right'))
    await isRefused(createContext({}), resumed('plans'))
  })

  // Guards against a gap between views of different ages: one node records nothing, and the other infers nothing.
  it('is inferred by a view twice as old as the oldest with which none is recorded, and by no older one', async () => {
    const context = (viewAge: number): GatewayContext => createContext({ onlyVersion: 'v1', viewAge })
    assert.equal(needsOriginRecord(context(DRAIN), resumed('plans')), false)
    assert.equal(needsOriginRecord(context(DRAIN + 1), resumed('plans')), true)
    assert.deepEqual(await findResumedOrigin(context(2 * DRAIN), resumed('plans'), signal), { service: 'plans', version: 'v1' })
    await isRefused(context(2 * DRAIN + 1), resumed('plans'))
  })
})
