/** The planners' lease as a role: one holder renews, all others look at the key now and then. */
import { setMaxListeners } from 'node:events'
import { MINUTE, SECOND } from '../../src/clock.js'
import { incarnationSchema } from '../../src/identifiers.js'
import { createLeaseManager } from '../../src/protocols/lease-manager.js'
import { createRandom } from '../../src/random.js'
import { createFaultSwitch } from '../../stand-ins/faults.js'
import { createDirectKeyValue } from '../../stand-ins/key-value-direct.js'
import { createKeyValueStore } from '../../stand-ins/key-value-store.js'
import { SIZES } from '../agreement/measure.js'
import { createVirtualClock } from '../agreement/virtual-clock.js'
import type { CapacityLine, CapacityRole } from './role.js'

interface Rates {
  readonly nodes: number
  readonly reads: number
  readonly writes: number
}

export const plannerLease: CapacityRole = {
  name: 'planner lease',
  measure: async (seed) => {
    const rates: Rates[] = []
    for (const nodes of SIZES) rates.push(await measureRates(nodes, seed))
    const line = (quantity: CapacityLine['quantity'], value: (rate: Rates) => number): CapacityLine => ({
      role: 'planner lease',
      quantity,
      module: 'protocols/lease-manager',
      points: rates.map((rate) => ({ nodes: rate.nodes, value: value(rate) }))
    })
    return [
      line('KV reads and waiting watches, 1/s', (rate) => rate.reads),
      line('KV writes, 1/s', (rate) => rate.writes)
    ]
  }
}

async function measureRates (nodes: number, seed: number): Promise<Rates> {
  const clock = createVirtualClock()
  const owner = new AbortController()
  setMaxListeners(0, owner.signal)
  const keyValue = createDirectKeyValue(createKeyValueStore(clock), createFaultSwitch(clock, createRandom(seed)), clock)
  for (let index = 0; index < nodes; index += 1) {
    createLeaseManager({
      keyValue,
      clock,
      random: createRandom(seed * 1_000 + index),
      log: { info: () => {}, warn: () => {}, error: () => {} },
      signal: owner.signal,
      holder: incarnationSchema.parse(`planner-${index}`)
    })
  }
  await clock.advance(MINUTE)
  const before = { ...keyValue.calls }
  await clock.advance(MINUTE)
  owner.abort()
  const seconds = MINUTE / SECOND
  return { nodes, reads: (keyValue.calls.reads - before.reads) / seconds, writes: (keyValue.calls.writes - before.writes) / seconds }
}
