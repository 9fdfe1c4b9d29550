/** A node among others, against the direct key-value stand-in. */
import assert from 'node:assert/strict'
import { it } from 'node:test'
import { SECOND } from '../../src/clock.js'
import { joinFleet } from '../../src/gateway/fleet.js'
import type { LocalReport } from '../../src/gateway/fleet.js'
import { createStoreUpdateExchange } from '../../src/gateway/store-updates.js'
import { createVersionWatch } from '../../src/gateway/version-watch.js'
import { createRandom } from '../../src/random.js'
import { createFaultSwitch } from '../../stand-ins/faults.js'
import { createDirectKeyValue } from '../../stand-ins/key-value-direct.js'
import { createKeyValueStore } from '../../stand-ins/key-value-store.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'

// Guards against a node that tells the others nothing more until it is started again, after its own report failed to be made once.
it('a node goes on exchanging states after an exchange that threw', async () => {
  const clock = createManualClock()
  const random = createRandom(1)
  const shutdown = new AbortController()
  const errors: string[] = []
  const log = { info: () => {}, warn: () => {}, error: (event: string) => { errors.push(event) } }
  const store = createDirectKeyValue(createKeyValueStore(clock), createFaultSwitch(clock, random), clock)
  let reports = 0
  const report = (): LocalReport => {
    reports += 1
    if (reports <= 5) throw new Error('no report')
    return { ready: true, configuration: 0, demand: {}, granted: {}, inFlight: {}, holdTime: {}, delays: {}, work: {}, speeds: {}, crashes: {}, crashCauses: {}, rollouts: {}, limits: {}, departures: [], usage: {} }
  }
  const fleet = await joinFleet({
    context: { store, clock, random, log, signal: shutdown.signal, storeUpdates: createStoreUpdateExchange(clock) },
    self: { name: 'a', incarnation: 'a-1', failureDomain: 'x', front: '127.0.0.1:1', processor: 1 },
    streamOrigins: { firstStart: true, versions: createVersionWatch({ clock, present: () => [], maxAge: SECOND }), storeWriteRate: 400, onRecorded: () => {} },
    listen: async () => '127.0.0.1:2',
    configuration: { table: () => undefined, text: () => undefined, offer: () => {}, subscription: { lastContactAt: () => undefined } },
    maxAddresses: 1,
    isReady: () => true,
    report,
    heard: () => {},
    reading: () => {},
    onRecordsLoaded: () => {},
    onOtherEntry: () => {},
    onOtherKeyDeleted: () => {}
  })
  await clock.advance(10 * SECOND)
  assert.ok(reports > 10, `${reports} reports in 10 s`)
  assert.deepEqual(errors, ['exchange-failed-unexpectedly'])
  shutdown.abort()
  await fleet.close()
})
