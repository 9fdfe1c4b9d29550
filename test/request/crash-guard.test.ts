/** Limits on the number of upstreams that crash for one fingerprint. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { failureDomainSchema, incarnationSchema, upstreamNameSchema } from '../../src/identifiers.js'
import type { Incarnation, UpstreamName } from '../../src/identifiers.js'
import { createCrashGuard, createIsolation, fingerprintOwner, isolationSubject, MAX_CRASHES_BEFORE_FIRST_TOKEN, MAX_TOTAL_CRASHES, permitName } from '../../src/request/index.js'
import type { CrashGuard, Evidence, Isolation, PermitDecision } from '../../src/request/index.js'

interface Node {
  readonly incarnation: Incarnation
  readonly failureDomain: ReturnType<typeof failureDomainSchema.parse>
  readonly leaving: boolean
  readonly guard: CrashGuard
  readonly isolation: Isolation
  group: number
  alive: boolean
}

interface SentRequest {
  readonly id: string
  readonly body: string
  readonly home: Node
  attempt: number
  state: 'asking' | 'waiting' | 'isolating' | 'running' | 'answered' | 'refused'
  upstream: UpstreamName | undefined
  apart: boolean
  suspectedFor: readonly string[]
  progressed: boolean
}

const UPSTREAMS = Array.from({ length: 5 }, (_, index) => upstreamNameSchema.parse(`engine-${index}`))
const MAX_DRAIN_STEPS = 20_000

/**
 * Nodes and upstreams with a simulated network that delivers messages late, twice and out of order.
 *
 * @param late whether the crashing requests produce tokens before they crash an upstream
 */
function createFleet (nodeCount: number, crashingBodies: ReadonlySet<string>, late = false) {
  const nodes: Node[] = Array.from({ length: nodeCount }, (_, index) => ({
    incarnation: incarnationSchema.parse(`entry-${index}-x`),
    failureDomain: failureDomainSchema.parse('zone-a'),
    leaving: false,
    guard: createCrashGuard(),
    isolation: createIsolation(),
    group: 0,
    alive: true
  }))
  const sent: SentRequest[] = []
  const inFlight = new Map<UpstreamName, Set<SentRequest>>(UPSTREAMS.map((name) => [name, new Set()]))
  const crashes = new Map<string, number>()
  let messages: { from: Node, to: Node, run: () => void }[] = []

  const ownerFor = (node: Node, subject: string): Node =>
    fingerprintOwner(subject, nodes.filter((other) => other.alive && other.group === node.group)) as Node

  function post (from: Node, to: Node, run: () => void): void {
    messages.push({ from, to, run })
  }

  function spread (from: Node, evidence: readonly Evidence[]): void {
    for (const node of nodes) post(from, node, () => node.guard.observe(evidence, 0))
  }

  function ask (request: SentRequest): void {
    const { home, body } = request
    if (home.guard.isQuarantined(body, 0)) {
      request.state = 'refused'
      return
    }
    request.state = 'asking'
    const { attempt } = request
    const owner = ownerFor(home, body)
    const wanted = { permit: permitName(request.id, attempt), holder: home.incarnation, evidence: home.guard.evidence(body) }
    post(home, owner, () => {
      const decision = owner.guard.acquire(wanted, 0)
      post(owner, home, () => { if (request.state === 'asking' && request.attempt === attempt) decided(request, decision) })
    })
  }

  function decided (request: SentRequest, decision: PermitDecision): void {
    switch (decision.kind) {
      case 'quarantined': request.state = 'refused'; return
      case 'wait': request.state = 'waiting'; return
      case 'granted':
        request.apart = decision.apart
        request.suspectedFor = decision.suspectedFor
        request.state = 'isolating'
    }
  }

  /** Like the scheduler, lets a suspect share no upstream with other requests of its node. */
  function place (request: SentRequest, choice: number): void {
    const allowed = UPSTREAMS.filter((name) => [...inFlight.get(name)!].every((other) => other.home !== request.home || (!request.apart && !other.apart)))
    const upstream = allowed[choice % allowed.length]
    if (upstream === undefined) return
    if (!request.apart) return start(request, upstream)
    const owner = ownerFor(request.home, isolationSubject(upstream))
    if (owner.isolation.enter(upstream, permitName(request.id, request.attempt), request.home.incarnation)) start(request, upstream)
  }

  function start (request: SentRequest, upstream: UpstreamName): void {
    request.state = 'running'
    request.progressed = false
    request.upstream = upstream
    inFlight.get(upstream)!.add(request)
  }

  function act (upstream: UpstreamName, choice: number): void {
    const running = [...inFlight.get(upstream)!]
    if (running.length === 0) return
    if (choice % 3 === 0) {
      for (const request of running) request.progressed ||= late || !crashingBodies.has(request.body)
      return
    }
    const crashingHere = new Set(running.map((request) => request.body).filter((body) => crashingBodies.has(body)))
    if (crashingHere.size === 0) return end(running[choice % running.length]!, 'answered')
    for (const body of crashingHere) crashes.set(body, (crashes.get(body) ?? 0) + 1)
    for (const request of running) end(request, 'crashed')
  }

  function end (request: SentRequest, how: 'answered' | 'crashed'): void {
    const { home, body, upstream, suspectedFor, progressed } = request
    inFlight.get(upstream!)!.delete(request)
    if (!home.alive) return
    const permit = permitName(request.id, request.attempt)
    const owner = ownerFor(home, body)
    const isolationOwner = ownerFor(home, isolationSubject(upstream!))
    post(home, owner, () => {
      const evidence = owner.guard.release({ permit, fingerprint: body, how, suspectedFor: [...suspectedFor], progressed }, 0)
      if (evidence !== undefined) spread(owner, [evidence])
    })
    post(home, isolationOwner, () => isolationOwner.isolation.leave(upstream!, permit))
    if (how === 'answered') {
      request.state = 'answered'
      return
    }
    request.attempt += 1
    ask(request)
  }

  function deliver (index: number, again: boolean): void {
    const message = messages[index % messages.length]
    if (message === undefined) return
    if (!again) messages = messages.filter((other) => other !== message)
    if (message.to.alive && message.from.group === message.to.group) message.run()
  }

  function kill (node: Node): void {
    if (!node.alive || nodes.filter((other) => other.alive).length <= 1) return
    node.alive = false
    for (const other of nodes) {
      post(other, other, () => {
        other.isolation.releaseHolder(node.incarnation)
        other.guard.releaseHolder(node.incarnation)
      })
    }
  }

  function progress (choice: number): void {
    const open = sent.filter((request) => request.home.alive && (request.state === 'waiting' || request.state === 'isolating'))
    const request = open[choice % open.length]
    if (request?.state === 'waiting') ask(request)
    else if (request?.state === 'isolating') place(request, choice)
  }

  return {
    nodes,
    sent,
    crashes,
    act,
    progress,
    kill,
    deliver,
    ownerFor,
    send: (body: string, node: Node) => {
      if (!node.alive) return
      const request: SentRequest = { id: `${node.incarnation}.${sent.length}`, body, home: node, attempt: 1, state: 'asking', upstream: undefined, apart: false, suspectedFor: [], progressed: false }
      sent.push(request)
      ask(request)
    },
    settled: () => sent.every((request) => !request.home.alive || request.state === 'answered' || request.state === 'refused'),
    pending: () => messages.length
  }
}

type Fleet = ReturnType<typeof createFleet>

/** One step of an interleaving, decoded from two numbers. */
const stepArbitrary = fc.record({ action: fc.nat(99), choice: fc.nat(997) })

function step (fleet: Fleet, action: number, choice: number, bodies: readonly string[]): void {
  if (action < 12) fleet.send(bodies[choice % bodies.length]!, fleet.nodes[(choice >> 3) % fleet.nodes.length]!)
  else if (action < 55) fleet.deliver(choice, false)
  else if (action < 60) fleet.deliver(choice, true)
  else if (action < 80) fleet.progress(choice)
  else fleet.act(UPSTREAMS[choice % UPSTREAMS.length]!, choice >> 3)
}

function drain (fleet: Fleet): void {
  for (let turn = 0; turn < MAX_DRAIN_STEPS && !fleet.settled(); turn += 1) {
    if (fleet.pending() > 0) fleet.deliver(0, false)
    fleet.progress(turn)
    fleet.act(UPSTREAMS[turn % UPSTREAMS.length]!, turn)
  }
  assert.ok(fleet.settled(), JSON.stringify(fleet.sent.map(({ body, state }) => [body, state])))
}

function assertBound (fleet: Fleet, bound: number): void {
  for (const [body, count] of fleet.crashes) assert.ok(count <= bound, `${count} upstreams crashed for ${body}`)
}

// Guards against a request that crashes every engine that runs it. It is sent repeatedly, concurrently, through
// several nodes and under new ids, while messages between the nodes are delayed. At most two engines may crash, and
// the requests that ran beside it must be answered.
test('a crashing request crashes at most two upstreams however often it is sent, and the requests beside it finish', () => {
  let steps = 0
  fc.assert(fc.property(fc.array(stepArbitrary, { minLength: 20, maxLength: 200, size: 'max' }), (script) => {
    const fleet = createFleet(4, new Set(['culprit']))
    for (const { action, choice } of script) {
      step(fleet, action, choice, ['culprit', 'culprit', 'question-1', 'question-2', 'question-3', 'question-4'])
      assertBound(fleet, MAX_CRASHES_BEFORE_FIRST_TOKEN)
      steps += 1
    }
    drain(fleet)
    assertBound(fleet, MAX_CRASHES_BEFORE_FIRST_TOKEN)
    for (const { body, state } of fleet.sent) assert.equal(state, body === 'culprit' ? 'refused' : 'answered', body)
  }), { seed: 1, numRuns: 2_000 })
  console.log(`# suspicion: 2000 interleavings, ${steps} steps`)
})

// As above, for a request that crashes engines only after it has produced tokens. The requests beside it have the
// same signs at a crash, so a third crash is needed to identify it.
test('a request that crashes upstreams after its first token crashes at most three, and the requests beside it finish', () => {
  fc.assert(fc.property(fc.array(stepArbitrary, { minLength: 20, maxLength: 200, size: 'max' }), (script) => {
    const fleet = createFleet(4, new Set(['culprit']), true)
    for (const { action, choice } of script) {
      step(fleet, action, choice, ['culprit', 'culprit', 'question-1', 'question-2', 'question-3', 'question-4'])
      assertBound(fleet, MAX_TOTAL_CRASHES)
    }
    drain(fleet)
    assertBound(fleet, MAX_TOTAL_CRASHES)
  }), { seed: 4, numRuns: 1_000 })
})

// As above, with two crashing requests, and with homes that die while their requests are in flight, so that the crash
// is not reported. Each death of a home may crash one more engine, and the death of the fingerprint's owner two more.
test('the limit grows by one with the death of a home and by two with the death of the owner', () => {
  fc.assert(fc.property(fc.array(stepArbitrary, { minLength: 20, maxLength: 200, size: 'max' }), fc.array(fc.nat(199), { maxLength: 3 }), (script, deaths) => {
    const fleet = createFleet(5, new Set(['culprit', 'accomplice']))
    const bounds = new Map([['culprit', MAX_CRASHES_BEFORE_FIRST_TOKEN], ['accomplice', MAX_CRASHES_BEFORE_FIRST_TOKEN]])
    script.forEach(({ action, choice }, index) => {
      const victim = fleet.nodes[choice % fleet.nodes.length]!
      if (deaths.includes(index) && victim.alive && fleet.nodes.filter((node) => node.alive).length > 1) {
        for (const [body, bound] of bounds) {
          const inFlight = fleet.sent.filter((request) => request.home === victim && request.body === body && request.state !== 'refused')
          const owned = fleet.ownerFor(victim, body) === victim
          bounds.set(body, bound + (owned ? MAX_CRASHES_BEFORE_FIRST_TOKEN : 0) + Math.min(1, inFlight.length))
        }
        fleet.kill(victim)
      }
      step(fleet, action, choice, ['culprit', 'accomplice', 'question-1', 'question-2'])
      for (const [body, bound] of bounds) assert.ok((fleet.crashes.get(body) ?? 0) <= bound, body)
    })
  }), { seed: 2, numRuns: 2_000 })
})

// Guards against more crashes than expected in a network partition while the caller reaches all parts of the fleet.
// Each part can only count its own crashes.
test('in a network partition the limit holds for each part of the fleet', () => {
  fc.assert(fc.property(fc.array(stepArbitrary, { minLength: 20, maxLength: 200, size: 'max' }), fc.integer({ min: 2, max: 3 }), (script, groups) => {
    const fleet = createFleet(6, new Set(['culprit']))
    fleet.nodes.forEach((node, index) => { node.group = index % groups })
    for (const { action, choice } of script) {
      step(fleet, action, choice, ['culprit', 'culprit', 'question-1'])
      assertBound(fleet, MAX_CRASHES_BEFORE_FIRST_TOKEN * groups)
    }
  }), { seed: 3, numRuns: 500 })
})

test('a leaving owner hands over its permits, and a delayed request for an ended permit is not granted', () => {
  const [first, second] = [createCrashGuard(), createCrashGuard()]
  const holder = incarnationSchema.parse('entry-1-x')
  const wanted = { permit: 'a#1', holder, evidence: first.evidence('body') }
  assert.equal(first.acquire(wanted, 0).kind, 'granted')
  second.adopt(first.permits())
  assert.equal(second.acquire({ ...wanted, permit: 'b#1' }, 0).kind, 'wait')
  second.release({ permit: 'a#1', fingerprint: 'body', how: 'withdrawn' }, 0)
  assert.equal(second.acquire(wanted, 0).kind, 'wait')
  assert.equal(second.acquire({ ...wanted, permit: 'b#1' }, 0).kind, 'granted')
})

test('the number of records is limited, and quarantined ones are evicted last and expire', () => {
  const guard = createCrashGuard({ maxRecords: 100, quarantineDuration: 1_000 })
  guard.observe([{ fingerprint: 'culprit', crashes: ['a#1', 'a#2'], cleared: [], quarantined: true }], 0)
  for (let number = 0; number < 1_000; number += 1) guard.observe([{ fingerprint: `body-${number}`, crashes: [`${number}#1`], cleared: [], quarantined: false }], 0)
  assert.ok(guard.size() <= 100)
  assert.equal(guard.isQuarantined('culprit', 999), true)
  assert.equal(guard.isQuarantined('culprit', 1_000), false)
})

// Guards against requests that wait forever for a permit whose end was not reported, because the connection between
// two nodes was lost when it ended. The permit must expire, and the next answer must clear the fingerprint.
test('a permit whose end is not reported blocks other dispatches for a limited time', () => {
  const guard = createCrashGuard({ permitTimeout: 1_000 })
  const holder = incarnationSchema.parse('entry-1-x')
  const ask = (permit: string, now: number) => guard.acquire({ permit, holder, evidence: guard.evidence('body') }, now)
  assert.equal(ask('a#1', 0).kind, 'granted')
  assert.equal(ask('b#1', 5_000).kind, 'wait')
  const decision = ask('b#1', 6_000)
  assert.deepEqual(decision, { kind: 'granted', apart: true, suspectedFor: ['a#1'] })
  guard.release({ permit: 'b#1', fingerprint: 'body', how: 'answered', suspectedFor: ['a#1'] }, 6_100)
  assert.deepEqual(ask('c#1', 7_000), { kind: 'granted', apart: false, suspectedFor: [] })
  guard.release({ permit: 'a#1', fingerprint: 'body', how: 'answered' }, 8_000)
  assert.equal(ask('d#1', 8_000).kind, 'granted')
})
