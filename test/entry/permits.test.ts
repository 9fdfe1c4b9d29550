/** Permits of one node: how those wait who may not run yet. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createPermits } from '../../src/entry/permits.js'
import { addressSchema, failureDomainSchema, incarnationSchema, instanceNameSchema } from '../../src/identifiers.js'
import type { NodeRecord } from '../../src/membership/index.js'
import type { SuspicionClient } from '../../src/peer/suspicion-client.js'
import type { SuspicionMessage } from '../../src/peer/suspicion.js'
import type { Request } from '../../src/request/index.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'

const own = incarnationSchema.parse('entry-1-aaaaaaaaaaaa')

const owner: NodeRecord = {
  instance: instanceNameSchema.parse('entry-2'),
  incarnation: incarnationSchema.parse('entry-2-bbbbbbbbbbbb'),
  failureDomain: failureDomainSchema.parse('zone-b'),
  address: addressSchema.parse('127.0.0.1:1'),
  peerAddress: addressSchema.parse('127.0.0.1:2'),
  leaving: false
}

const request = { id: `${own}.0123456789abcdef`, fingerprint: 'f'.repeat(64) } as unknown as Request

/*
 * The same closure plan is sent twice, under two ids. The second may not run before the first has been
 * answered, half a minute later. Peers see forty questions a second from its home all that time, more than
 * a node has for everything it says. Cause: the permit was asked for again at one short pause.
 */
test('a permit that others hold is asked for again at growing pauses', async () => {
  const clock = createManualClock()
  const asked: SuspicionMessage[] = []
  const client: SuspicionClient = {
    send: async (_address, message) => {
      asked.push(message)
      return { kind: 'decided', decision: asked.length < 90 ? { kind: 'wait' } : { kind: 'granted', apart: false, suspectedFor: [] } }
    }
  } as SuspicionClient
  const permits = createPermits({ own, nodes: () => [owner], client, clock })
  const gone = new AbortController()
  const waiting = assert.rejects(permits.acquire(request, 1, gone.signal), { code: 'cancelled', verdict: 'not-run' })
  await clock.advance(0)
  await clock.advance(30_000)
  assert.ok(asked.length >= 60 && asked.length <= 85, `asked ${asked.length} times in 30 seconds`)
  gone.abort()
  await waiting
})
