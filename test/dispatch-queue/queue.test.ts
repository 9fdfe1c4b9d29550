/** Decisions of the dispatch queue in single situations. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createDispatchQueue, createQueueSpace } from '../../src/dispatch-queue/index.js'
import type { Offer } from '../../src/dispatch-queue/index.js'
import type { OrganisationName } from '../../src/identifiers.js'
import { createRandom } from '../../src/random.js'
import { createSimulation } from './simulation.js'
import type { SimulatedEffect, SimulatedRequest } from './simulation.js'

const kinds = (effects: readonly SimulatedEffect[]): string[] => effects.map((effect) => effect.kind === 'dispatch' ? 'dispatch' : effect.cause)
const dispatched = (effects: readonly SimulatedEffect[]): SimulatedRequest[] => effects.filter(({ kind }) => kind === 'dispatch').map(({ request }) => request)

describe('a request that arrives', () => {
  // Failure guarded against: the queue delays requests although upstreams are free.
  it('is dispatched at once to an idle upstream, and nothing is due afterwards', () => {
    const simulation = createSimulation(2)
    assert.deepEqual(kinds(simulation.arrive(simulation.create())), ['dispatch'])
    assert.equal(simulation.queue.wakeAt(), undefined)
  })

  it('is dispatched at once behind a queue that still lets it be in time', () => {
    const simulation = createSimulation(1)
    simulation.setWaiting(0, 700)
    assert.deepEqual(kinds(simulation.arrive(simulation.create())), ['dispatch'])
  })

  // Failure guarded against: a request is held until its limit although it was known from the start that it cannot be
  // served.
  it('is refused at once if no first answer can arrive before its limit, and told when the queue is shorter', () => {
    const simulation = createSimulation(1)
    simulation.setWaiting(0, 3_000)
    const [effect] = simulation.arrive(simulation.create({ time: 2_000, deadline: 30_000 }))
    assert.ok(effect?.kind === 'refuse' && effect.cause === 'overloaded')
    assert.ok(effect.retryAfter >= 3_000 && effect.retryAfter <= 4_500, `${effect.retryAfter} ms`)
  })

  // Failure guarded against: the speed of engines is estimated ten times too low, each long prompt appears to need more
  // than its whole time, and no sample corrects the estimate because all of them are refused.
  it('is dispatched to an idle upstream even if its own prefill is predicted to take longer than it has', () => {
    const simulation = createSimulation(1)
    assert.deepEqual(kinds(simulation.arrive(simulation.create({ reading: 9_000 }))), ['dispatch'])
  })

  // Failure guarded against: a stream of which the caller has received a part waits at the node for a shorter queue while
  // the caller waits for the next event.
  it('is dispatched at once if part of its answer has been delivered', () => {
    const simulation = createSimulation(1)
    simulation.setWaiting(0, 5_000)
    assert.deepEqual(kinds(simulation.arrive(simulation.create({ answering: true }))), ['dispatch'])
  })
})

describe('a less urgent request', () => {
  // Failure guarded against: long requests with seconds of time fill the queues inside the upstreams, and urgent ones that
  // arrive later can only be late.
  it('waits at the node while the queue inside the upstream would make recent urgent requests late', () => {
    const simulation = createSimulation(1)
    simulation.arrive(simulation.create({ target: 800 }))
    simulation.setWaiting(0, 500)
    const long = simulation.create({ rank: 1, target: 5_000, time: 10_000 })
    assert.deepEqual(simulation.arrive(long), [])
    assert.deepEqual(simulation.pass(390), [])
    assert.deepEqual(dispatched(simulation.pass(20)), [long], 'an eighth of the urgent target is left')
  })

  it('is dispatched behind a long queue if no urgent requests have arrived lately', () => {
    const simulation = createSimulation(1)
    simulation.arrive(simulation.create({ target: 800 }))
    simulation.pass(11_000)
    simulation.setWaiting(0, 4_000)
    assert.deepEqual(kinds(simulation.arrive(simulation.create({ rank: 1, target: 5_000, time: 10_000 }))), ['dispatch'])
  })

  // Failure guarded against: an urgent request waits for the upstream that has its prompt cached, and less urgent ones are
  // dispatched to the others meanwhile, so that all queues are long when it goes elsewhere.
  it('does not overtake an urgent request that waits for another upstream', () => {
    const simulation = createSimulation(2)
    simulation.setWaiting(0, 385)
    simulation.setWaiting(1, 90)
    assert.deepEqual(simulation.arrive(simulation.create({ reading: 400, home: 0 })), [])
    assert.deepEqual(simulation.arrive(simulation.create({ rank: 1, target: 5_000, time: 10_000 })), [])
  })

  // Failure guarded against: a steady excess of urgent requests keeps the others waiting until their limit.
  it('is dispatched in the end although the queues inside the upstreams never become short', () => {
    const simulation = createSimulation(1)
    const long = simulation.create({ rank: 1, target: 4_000, time: 20_000 })
    simulation.setWaiting(0, 700)
    simulation.arrive(simulation.create({ target: 800 }))
    simulation.arrive(long)
    while (simulation.now() < 3_000 && simulation.waiting.has(long)) {
      simulation.setWaiting(0, 700)
      simulation.pass(20)
    }
    assert.equal(simulation.effects.get(long)?.[0]?.kind, 'dispatch')
    assert.ok(simulation.now() >= 2_000 && simulation.now() <= 2_300, 'after half of its target')
  })
})

describe('waiting requests', () => {
  it('are ordered by the time at which they have to start, so that a large prompt precedes a small one', () => {
    const simulation = createSimulation(1)
    simulation.setWaiting(0, undefined)
    const [small, large] = [simulation.create({ reading: 10 }), simulation.create({ reading: 400 })]
    simulation.setWaiting(0, 790)
    simulation.arrive(small)
    simulation.arrive(large)
    simulation.setWaiting(0, 0)
    assert.deepEqual(dispatched(simulation.advance()), [large, small])
  })

  // Failure guarded against: a request whose target has passed accepts only a short queue inside the upstream, and newer
  // requests that accept a longer one keep it from ever being short.
  it('that are late are not overtaken by a request that arrived more than their target after them', () => {
    const simulation = createSimulation(1)
    const late = Array.from({ length: 3 }, () => simulation.create({ target: 300, time: 10_000 }))
    simulation.setWaiting(0, 5_000)
    for (const request of late) simulation.arrive(request)
    simulation.pass(380)
    simulation.setWaiting(0, 200)
    const newer = simulation.create({ target: 300 })
    assert.deepEqual(simulation.arrive(newer), [])
    simulation.setWaiting(0, 0)
    assert.deepEqual(dispatched(simulation.advance()), [...late.slice(1), newer])
  })

  // Failure guarded against: the time at which a request should be considered again passes while others before it are
  // blocked, and the node decides again and again until they are not.
  it('that are not reached by a decision cause no further ones', () => {
    const simulation = createSimulation(2)
    simulation.setWaiting(0, 500)
    simulation.setWaiting(1, 230)
    for (let count = 0; count < 4; count += 1) simulation.arrive(simulation.create({ home: 0, reading: 620 }))
    simulation.arrive(simulation.create({ reading: 600 }))
    simulation.pass(200)
    assert.equal(simulation.waiting.size, 5)
    assert.ok(simulation.decisions() <= 3, `${simulation.decisions()} decisions`)
  })

  // Failure guarded against: one organisation fills the queue, and the requests of all others wait behind its own.
  it('of an organisation with little recent work precede those of one with much', () => {
    const simulation = createSimulation(1)
    simulation.setWaiting(0, 790)
    const heavy = Array.from({ length: 10 }, () => simulation.create({ organisation: 'heavy' }))
    for (const request of heavy) simulation.arrive(request)
    simulation.pass(20)
    const light = simulation.create({ organisation: 'light' })
    simulation.arrive(light)
    simulation.setWaiting(0, 0)
    const order = dispatched(simulation.advance())
    assert.ok(order.indexOf(light) < 5, `${order.indexOf(light)} before it`)
  })

  // Failure guarded against: a request that was dispatched, and not run, goes to the end of the queue and becomes late.
  it('of which one was tried already keep the order of their arrival', () => {
    const simulation = createSimulation(2)
    const retried = simulation.create({ tried: [1] })
    simulation.pass(50)
    simulation.setWaiting(0, 790)
    simulation.setWaiting(1, 790)
    const newer = simulation.create()
    simulation.arrive(newer)
    simulation.arrive(retried)
    simulation.setWaiting(0, 0)
    assert.deepEqual(dispatched(simulation.advance()), [retried, newer])
  })

  // Failure guarded against: the first request of the queue has tried all upstreams but a paused one, and all others wait
  // behind it although upstreams are free for them.
  it('are not held up by one that may use fewer upstreams', () => {
    const simulation = createSimulation(2)
    simulation.setWaiting(0, 2_000)
    const retried = simulation.create({ tried: [1] })
    assert.deepEqual(simulation.arrive(retried), [])
    simulation.pass(5)
    const other = simulation.create({ rank: 1 })
    assert.deepEqual(dispatched(simulation.arrive(other)), [other])
  })

  // Failure guarded against: a burst becomes overdue all at once and is dispatched into queues that were kept short.
  it('that are overdue are dispatched one after the other', () => {
    const simulation = createSimulation(1)
    simulation.arrive(simulation.create({ target: 800 }))
    simulation.setWaiting(0, 3_000)
    for (let count = 0; count < 10; count += 1) simulation.arrive(simulation.create({ rank: 1, target: 1_000, time: 20_000, reading: 5 }))
    assert.equal(dispatched(simulation.pass(490)).length, 0)
    assert.equal(dispatched(simulation.pass(520)).length, 2)
  })

  // Failure guarded against: a request of a caller that has left is dispatched, or keeps a place that another one needs.
  it('free their place when their caller leaves', () => {
    const simulation = createSimulation(1, { requests: 1, bytes: 1_000 })
    simulation.setWaiting(0, 790)
    const [first, second, third] = [simulation.create(), simulation.create(), simulation.create()]
    assert.deepEqual(simulation.arrive(first!), [])
    assert.deepEqual(kinds(simulation.arrive(second!)), ['full'], 'the last in the order is refused')
    simulation.leave(first!)
    assert.deepEqual(simulation.arrive(third!), [])
    simulation.setWaiting(0, 0)
    assert.deepEqual(dispatched(simulation.advance()), [third])
  })

  // Failure guarded against: a burst of less urgent requests fills the memory, and urgent ones are refused.
  it('give way to a more urgent request when there is no room', () => {
    const simulation = createSimulation(1, { requests: 1, bytes: 1_000 })
    simulation.setWaiting(0, 790)
    const [long, urgent] = [simulation.create({ rank: 1 }), simulation.create()]
    simulation.arrive(long)
    const [effect] = simulation.arrive(urgent)
    assert.ok(effect?.kind === 'refuse' && effect.request === long)
  })
})

describe('a request for which no upstream is available', () => {
  it('waits for an eighth of its target and is refused', () => {
    const simulation = createSimulation(1)
    simulation.setWaiting(0, undefined)
    assert.deepEqual(simulation.arrive(simulation.create()), [])
    assert.deepEqual(simulation.pass(99), [])
    assert.deepEqual(kinds(simulation.pass(2)), ['no-upstream'])
  })

  it('waits for at least 50 ms', () => {
    const simulation = createSimulation(1)
    simulation.setWaiting(0, undefined)
    simulation.arrive(simulation.create({ target: 80 }))
    assert.deepEqual(simulation.pass(49), [])
    assert.deepEqual(kinds(simulation.pass(2)), ['no-upstream'])
  })

  // Failure guarded against: a request waits although all upstreams have asked for a pause that outlasts its wait.
  it('is refused at once if the upstreams accept requests only later', () => {
    const simulation = createSimulation(1)
    simulation.setWaiting(0, undefined)
    const [effect] = simulation.arrive(simulation.create({ withheld: 400 }))
    assert.ok(effect?.kind === 'refuse' && effect.cause === 'no-upstream')
    assert.ok(effect.retryAfter >= 400)
  })

  it('is dispatched once an upstream accepts requests again', () => {
    const simulation = createSimulation(1)
    simulation.setWaiting(0, undefined)
    const request = simulation.create({ withheld: 60 })
    simulation.arrive(request)
    simulation.setWaiting(0, 0)
    assert.deepEqual(dispatched(simulation.pass(60)), [request])
  })

  // Failure guarded against: a request that has waited for a busy upstream is refused as soon as this upstream ends, without
  // the time for a replacement that a new request has.
  it('waits for an eighth of its target from the time at which the last upstream ended', () => {
    const simulation = createSimulation(1)
    simulation.setWaiting(0, 790)
    simulation.arrive(simulation.create())
    simulation.pass(150)
    simulation.setWaiting(0, undefined)
    assert.deepEqual(simulation.advance(), [])
    assert.deepEqual(simulation.pass(99), [])
    assert.deepEqual(kinds(simulation.pass(2)), ['no-upstream'])
  })
})

describe('a request without an upstream behind more urgent ones', () => {
  const waitingRequest = { organisation: 'o' as OrganisationName, arrival: 0, limit: 20_000, deadline: 20_000, base: 50, bytes: 10, answering: false, withheld: () => 0 }

  // Failure guarded against: requests for busy upstreams may not be overtaken, and one that has tried all upstreams behind them
  // is refused after seconds in place of an eighth of its target.
  it('is refused in its time', () => {
    const queue = createDispatchQueue<Offer>({ random: createRandom(1), space: createQueueSpace(), upstreams: () => 4 })
    for (let count = 0; count < 6; count += 1) queue.arrived({ ...waitingRequest, rank: 0, target: 8_000, restricted: false, choose: () => ({ waiting: 9_000, reading: 100 }) }, 0)
    const last = { ...waitingRequest, rank: 3, target: 800, restricted: true, choose: () => undefined }
    queue.arrived(last, 0)
    for (let now = queue.wakeAt()!; now <= 110; now = queue.wakeAt()!) {
      const refused = queue.advance(now).find(({ request }) => request === last)
      if (refused !== undefined) return assert.ok(refused.kind === 'refuse' && refused.cause === 'no-upstream')
    }
    assert.fail('it still waits after 110 ms')
  })
})
