import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { GatewayContext } from '../../src/gateway/context.js'
import type { ProxiedRequest } from '../../src/gateway/proxied-request.js'
import { tryChooseUpstream } from '../../src/gateway/upstream-choice.js'
import { createEngineSpeeds } from '../../src/placement/index.js'
import type { UpstreamRecord } from '../../src/placement/index.js'
import { createRandom } from '../../src/random.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'
import { routeTo, upstreamRecord } from '../placement/records.js'

const SERVICE = 'plans'
const PRESENT = ['v1', 'v2'].map((version) => upstreamRecord(version, { service: SERVICE, version }))

/** Versions of the upstreams among which a stream is placed. */
function versionsAdmitted (recorded: readonly string[], resumable: boolean, version?: string): string[] {
  let admitted: readonly UpstreamRecord[] = []
  const context = {
    clock: createManualClock(),
    settings: { name: 'node-1', failureDomain: 'a' },
    random: createRandom(1),
    speeds: createEngineSpeeds(),
    upstreams: {
      candidates: (_service: string, _tried: unknown, _now: number, admit: (present: readonly UpstreamRecord[]) => readonly UpstreamRecord[]) => {
        admitted = admit(PRESENT)
        return []
      },
      slotTimes: { of: () => 0 }
    },
    routeTable: () => undefined,
    rollouts: { side: () => 'serving', admit: (_service: string, _side: unknown, present: readonly UpstreamRecord[]) => present, roleOf: () => 'serving' },
    streamOrigins: { mayBegin: (_service: string, name: string) => recorded.includes(name) }
  }
  const accepted = { head: { parts: [], tokens: undefined }, route: routeTo(SERVICE, { kind: 'stream', resumable }) }
  const proxied = { accepted, service: SERVICE, tried: new Set(), progress: { lastId: undefined, events: 0, version }, side: undefined }
  tryChooseUpstream(context as unknown as GatewayContext, proxied as unknown as ProxiedRequest)
  return admitted.map((upstream) => upstream.version)
}

describe('the choice of an upstream for a resumable stream', () => {
  // Guards against streams at a version that nobody knows of once all nodes are killed: another one is taken for the only one.
  it('goes to a version that the store knows of, as long as there is one', () => {
    assert.deepEqual(versionsAdmitted(['v1'], true), ['v1'])
    assert.deepEqual(versionsAdmitted(['v1', 'v2'], true), ['v1', 'v2'])
  })

  it('goes to any version where the store knows of none, and where it takes no writes', () => {
    assert.deepEqual(versionsAdmitted([], true), ['v1', 'v2'])
  })

  it('stays at its version, known or not', () => {
    assert.deepEqual(versionsAdmitted(['v1'], true, 'v2'), ['v2'])
  })

  it('is free where the stream can\'t be resumed', () => {
    assert.deepEqual(versionsAdmitted(['v1'], false), ['v1', 'v2'])
  })
})
