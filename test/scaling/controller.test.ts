/** The scaling controller of one node, with reported work and a manual clock. */
import assert from 'node:assert/strict'
import { setMaxListeners } from 'node:events'
import { afterEach, describe, it } from 'node:test'
import { SECOND } from '../../src/clock.js'
import type { Milliseconds } from '../../src/clock.js'
import { EVENTS } from '../../src/events/index.js'
import { startScalingController } from '../../src/gateway/scaling-controller.js'
import type { ScalingControllerOptions } from '../../src/gateway/scaling-controller.js'
import type { ScalingOrder } from '../../src/gateway/ports.js'
import type { UpstreamRecord } from '../../src/placement/index.js'
import { expectedLoad } from '../../src/scaling/index.js'
import type { OfferedWork } from '../../src/scaling/index.js'
import { createManualClock, flushPromises } from '../../stand-ins/manual-clock.js'

const QUOTA = 500_000
const PREFILL_TIME = 16
const EXPECTED = expectedLoad(QUOTA, PREFILL_TIME)
const FACTS = { minUpstreams: 1, maxUpstreams: 60, bootTime: 4 * SECOND, reclaimablePrice: 0.18, prices: {} }

/** Work of all nodes that keeps so many engines busy, by prefill or by slots. */
function workOf (load: number, span: Milliseconds, more: Partial<OfferedWork> = {}): OfferedWork {
  return { requests: 100, reading: load * SECOND, generatedTokens: 10_000, measured: { span, attempts: 0, tokens: 0, held: 0 }, ...more }
}

describe('the scaling controller', () => {
  let shutdown = new AbortController()
  afterEach(() => {
    shutdown.abort()
    shutdown = new AbortController()
  })

  /** A node that starts now. Its fields may be changed while it runs. */
  function startNode () {
    const clock = createManualClock()
    const orders: ScalingOrder[] = []
    const lines: Record<string, unknown>[] = []
    const running: UpstreamRecord[] = []
    const node = {
      clock,
      orders,
      lines,
      running,
      /** Lets the time pass, after the present round of the controller is complete. */
      pass: async (duration: Milliseconds) => {
        await flushPromises()
        await clock.advance(duration)
      },
      holdsDuties: false,
      coverage: 1,
      work: undefined as OfferedWork | undefined,
      /** Latest order for each pool, summed. */
      desired: () => [...new Map(orders.map((order) => [`${order.failureDomain}/${order.reclaimable}`, order.desired])).values()].reduce((sum, count) => sum + count, 0),
      load: () => lines.filter(({ event }) => event === 'upstreams-ordered').at(-1)?.load as number
    }
    const record = (event: string, facts: object = {}): void => { lines.push({ event, ...facts }) }
    // Each sleep of the manual clock adds a listener.
    setMaxListeners(0, shutdown.signal)
    startScalingController({
      context: { clock, log: { info: record, warn: record, error: record }, signal: shutdown.signal },
      failureDomains: ['a', 'b', 'c'],
      table: () => ({ configuration: { services: [{ name: 'plans', scaling: FACTS }], organisations: [{ quota: { unit: 'tokens', rate: QUOTA } }] } }),
      upstreams: { all: () => node.running },
      speeds: { of: () => ({ perThousandTokens: PREFILL_TIME }) },
      carriesTraffic: () => true,
      duty: { proof: () => node.holdsDuties ? { holder: 'n', fencing: 7 } : undefined, recordCall: () => {}, superseded: () => {} },
      calls: { order: async (_: unknown, order: ScalingOrder) => { orders.push(order); return 'accepted' } },
      work: () => node.work === undefined ? {} : { plans: node.work },
      coverage: () => node.coverage
    } as unknown as ScalingControllerOptions)
    return node
  }

  /** Runs engines as ordered, at once. */
  function runOrdered (node: ReturnType<typeof startNode>): void {
    const latest = new Map(node.orders.map((order) => [`${order.failureDomain}/${order.reclaimable}`, order]))
    node.running.splice(0, node.running.length, ...[...latest.values()].flatMap(({ failureDomain, reclaimable, desired }) =>
      Array.from({ length: desired }, () => ({ service: 'plans', failureDomain, reclaimable, leaving: false, slots: 16 }) as unknown as UpstreamRecord)))
  }

  // Failure guarded against: a node that started a few seconds ago takes over the duties in the middle of a day. It orders
  // engines for the load that the quotas let expect, and approaches the load that the other nodes report within 20 s.
  for (const load of [EXPECTED * 2.5, EXPECTED * 0.4]) {
    it(`starts from the load that nodes report if it has just started (${load.toFixed(1)} instead of ${EXPECTED.toFixed(1)} engines expected)`, async () => {
      const node = startNode()
      node.work = workOf(load, 600 * SECOND)
      await node.pass(SECOND)
      node.holdsDuties = true
      await node.pass(SECOND)
      assert.ok(Math.abs(node.load() / load - 1) < 0.01, `${node.load()}`)
    })
  }

  it('starts from the load that nodes report after it has waited for the duties', async () => {
    const node = startNode()
    node.work = workOf(4, 600 * SECOND)
    await node.pass(60 * SECOND)
    node.work = workOf(9, 660 * SECOND)
    await node.pass(40 * SECOND)
    node.holdsDuties = true
    await node.pass(SECOND)
    assert.ok(Math.abs(node.load() / 9 - 1) < 0.05, `${node.load()}`)
  })

  // Failure guarded against: all nodes start at once. The rates that they measure during the first seconds are too low,
  // and the fleet shrinks as the load arrives.
  it('keeps the expected load while all nodes have just started', async () => {
    const node = startNode()
    node.holdsDuties = true
    for (let now = 0; now < 6 * SECOND; now += 400) {
      node.work = workOf(EXPECTED * 0.2, now)
      await node.pass(400)
    }
    assert.ok(node.load() > EXPECTED * 0.75, `${node.load()}`)
  })

  it('starts from the work that it has seen itself if the other nodes report no time of measurement', async () => {
    const node = startNode()
    node.holdsDuties = true
    node.work = workOf(EXPECTED * 2, 0)
    await node.pass(3 * SECOND)
    assert.ok(Math.abs(node.load() / EXPECTED - 1) < 0.01, `${node.load()}`)
    await node.pass(20 * SECOND)
    assert.ok(node.load() > EXPECTED * 1.5, `${node.load()}`)
  })

  // Failure guarded against: the holder is cut off from the other nodes, but not from the store. It sees a seventeenth of
  // the load and shrinks the fleet to it while the others serve on.
  it('keeps what it ordered while it is cut off from most other nodes', async () => {
    const node = startNode()
    node.holdsDuties = true
    node.work = workOf(8, 600 * SECOND)
    for (let round = 0; round < 20; round += 1) {
      await node.pass(SECOND)
      runOrdered(node)
    }
    const before = node.desired()
    node.coverage = 1 / 17
    node.work = workOf(8 / 17, 620 * SECOND)
    await node.pass(60 * SECOND)
    assert.equal(node.desired(), before)
    node.coverage = 1
    node.work = workOf(4, 680 * SECOND)
    await node.pass(60 * SECOND)
    assert.ok(node.desired() < before)
  })

  // Failure guarded against: a fleet grows because streams fill the slots, and the operator looks for long prompts.
  it('names the constraint that an order follows from', async () => {
    for (const [held, constraint] of [[300, 'prefill'], [30_000, 'slots']] as const) {
      const node = startNode()
      node.work = workOf(4, 600 * SECOND, { measured: { span: 600 * SECOND, attempts: 1_700, tokens: 170_000, held: 1_700 * held } })
      await node.pass(SECOND)
      node.holdsDuties = true
      node.running.push({ service: 'plans', failureDomain: 'a', reclaimable: true, leaving: false, slots: 128 } as unknown as UpstreamRecord)
      await node.pass(SECOND)
      assert.deepEqual([...new Set(node.lines.map((line) => line.constraint))], [constraint])
      shutdown.abort()
      shutdown = new AbortController()
    }
  })

  // Failure guarded against: all engines of a service whose streams fill the slots are gone at once. Without their number
  // of slots the streams seem to need no engine, and the fleet is ordered for the prefill alone.
  it('remembers the slots of the upstreams while all are gone', async () => {
    const node = startNode()
    node.holdsDuties = true
    node.work = workOf(1, 600 * SECOND, { measured: { span: 600 * SECOND, attempts: 1_700, tokens: 170_000, held: 1_700 * 500 } })
    for (let round = 0; round < 20; round += 1) {
      await node.pass(SECOND)
      runOrdered(node)
    }
    const before = node.load()
    node.running.length = 0
    await node.pass(30 * SECOND)
    assert.ok(before > 5 && node.load() > before * 0.99, `${node.load()} instead of ${before}`)
  })

  it('writes lines as the catalogue describes them', async () => {
    const node = startNode()
    node.holdsDuties = true
    node.work = workOf(8, 600 * SECOND)
    await node.pass(SECOND)
    assert.ok(node.lines.length > 0)
    for (const { event, ...facts } of node.lines) EVENTS[event as 'upstreams-ordered'].parse(facts)
  })
})
