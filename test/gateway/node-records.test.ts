/** The record of a node in the store, against the direct key-value stand-in. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { SECOND } from '../../src/clock.js'
import { startNodeRegistration } from '../../src/gateway/node-records.js'
import type { KeyValue } from '../../src/protocols/key-value.js'
import { createRandom } from '../../src/random.js'
import { createFaultSwitch } from '../../stand-ins/faults.js'
import { createDirectKeyValue } from '../../stand-ins/key-value-direct.js'
import { createKeyValueStore } from '../../stand-ins/key-value-store.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'

const LOG = { info: () => {}, warn: () => {}, error: () => {} }

describe('a node\'s record', () => {
  // Guards against callers that are directed to a stopped node until its lease expires. A node that stops during its
  // registration finds no lease to revoke, and the store writes the record afterwards.
  it('does not remain after a withdrawal during the registration', async () => {
    const clock = createManualClock()
    const random = createRandom(1)
    const faults = createFaultSwitch(clock, random)
    faults.faults.latency = 100
    const store = createDirectKeyValue(createKeyValueStore(clock), faults, clock)
    const controller = new AbortController()
    const context = { store, clock, random, log: LOG, signal: controller.signal }
    const records = startNodeRegistration(context, { name: 'a', incarnation: 'a-1', failureDomain: 'x', front: '127.0.0.1:1', peer: '127.0.0.1:2', processor: 1 }, { onOtherEntry: () => {}, onOtherKeyDeleted: () => {}, onLoaded: () => {} })
    // The lease is granted after 100 ms, and the record is written after 200 ms.
    await clock.advance(150)
    await records.withdraw()
    await clock.advance(400)
    assert.deepEqual(records.all(), [])
    controller.abort()
  })

  // Guards against the cost of calls during an outage. If each of hundreds of nodes called an unavailable store twice a
  // second, an outage would cause more charged calls than an hour of service.
  it('is retried with growing pauses during an outage of the store, and is written soon after', async () => {
    const clock = createManualClock()
    const random = createRandom(1)
    const direct = createDirectKeyValue(createKeyValueStore(clock), createFaultSwitch(clock, random), clock)
    const controller = new AbortController()
    let isUnavailable = true
    let calls = 0
    const store = {
      ...direct,
      grantLease: async (time: number, signal?: AbortSignal) => {
        calls += 1
        if (isUnavailable) throw new Error('store unavailable')
        return direct.grantLease(time, signal)
      }
    }
    const records = startNodeRegistration({ store, clock, random, log: LOG, signal: controller.signal }, { name: 'a', incarnation: 'a-1', failureDomain: 'x', front: '127.0.0.1:1', peer: '127.0.0.1:2', processor: 1 }, { onOtherEntry: () => {}, onOtherKeyDeleted: () => {}, onLoaded: () => {} })
    await clock.advance(20 * SECOND)
    assert.ok(calls <= 13, `${calls} calls in 20 s`)
    isUnavailable = false
    await clock.advance(2 * SECOND + 500)
    assert.deepEqual(records.all().map(({ name }) => name), ['a'])
    controller.abort()
  })

  // Guards against callers that are directed to an address that nobody can connect to, against a node that is told of by a record under
  // another key, and against as many log lines as reads times odd records.
  it('counts only if it is usable, and an odd one is logged once', async () => {
    const clock = createManualClock()
    const random = createRandom(1)
    const keys = createKeyValueStore(clock)
    const direct = createDirectKeyValue(keys, createFaultSwitch(clock, random), clock)
    const controller = new AbortController()
    const unusable: unknown[] = []
    const log = { info: () => {}, warn: (event: string, fields?: object) => { if (event === 'node-record-unreadable') unusable.push((fields as { key: string }).key) }, error: () => {} }
    let cutWatch = new AbortController()
    const store: KeyValue = {
      ...direct,
      watch: (prefix, revision, signal, idle) => {
        cutWatch = new AbortController()
        return direct.watch(prefix, revision, AbortSignal.any([signal, cutWatch.signal]), idle)
      }
    }
    const write = (name: string, value: object | string): void => { keys.put(`hornbeamgap/fleet/nodes/${name}`, typeof value === 'string' ? value : JSON.stringify(value)) }
    const record = (name: string, more: object = {}): object => ({ name, incarnation: `${name}-1`, failureDomain: 'x', front: '127.0.0.1:1', peer: '127.0.0.1:2', processor: 1, ...more })
    const odd = ['{', '[]', `${'['.repeat(20_000)}${']'.repeat(20_000)}`, record('b'), record('odd-4', { front: '127.0.0.1:65536' }), record('odd-5', { peer: 'nowhere' }), JSON.stringify(record('odd-6')).replace('"processor":1', '"processor":1e999')]
    for (const [index, value] of odd.entries()) write(`odd-${index}`, value)
    write('b', record('b'))
    write('c', record('c'))
    const records = startNodeRegistration({ store, clock, random, log, signal: controller.signal }, { name: 'a', incarnation: 'a-1', failureDomain: 'x', front: '127.0.0.1:1', peer: '127.0.0.1:2', processor: 1 }, { onOtherEntry: () => {}, onOtherKeyDeleted: () => {}, onLoaded: () => {} })
    const names = (): string[] => records.all().map(({ name }) => name).sort()
    await clock.advance(SECOND)
    assert.deepEqual(names(), ['a', 'b', 'c'])
    write('c', '{')
    write('a', '[]')
    for (let read = 0; read < 3; read += 1) {
      for (const [index, value] of odd.entries()) write(`odd-${index}`, value)
      cutWatch.abort()
      await clock.advance(2 * SECOND)
    }
    assert.deepEqual(names(), ['a', 'b'], 'the node itself writes its record again')
    assert.deepEqual(unusable.sort(), [...odd.keys()].map((index) => `hornbeamgap/fleet/nodes/odd-${index}`).concat('hornbeamgap/fleet/nodes/a', 'hornbeamgap/fleet/nodes/c').sort())
    controller.abort()
  })
})
