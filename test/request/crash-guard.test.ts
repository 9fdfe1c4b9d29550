import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { failureDomainSchema, incarnationSchema, upstreamNameSchema } from '../../src/identifiers.js'
import type { Incarnation, UpstreamName } from '../../src/identifiers.js'
import { createCrashGuard, createIsolation, fingerprintOwner, isolationSubject, MOST_CRASHES, MOST_LATE_CRASHES, permitName } from '../../src/request/index.js'
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

interface Sent {
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
const LONGEST_DRAIN = 20_000

/** A few nodes and upstreams whose messages arrive in any order, late and twice. */
function createFleet (nodeCount: number, culprits: ReadonlySet<string>, late = false) {
  const nodes: Node[] = Array.from({ length: nodeCount }, (_, index) => ({
    incarnation: incarnationSchema.parse(`entry-${index}-x`),
    failureDomain: failureDomainSchema.parse('zone-a'),
    leaving: false,
    guard: createCrashGuard(),
    isolation: createIsolation(),
    group: 0,
    alive: true
  }))
  const sent: Sent[] = []
  const inFlight = new Map<UpstreamName, Set<Sent>>(UPSTREAMS.map((name) => [name, new Set()]))
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

  function ask (request: Sent): void {
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

  function decided (request: Sent, decision: PermitDecision): void {
    switch (decision.kind) {
      case 'quarantined': request.state = 'refused'; return
      case 'wait': request.state = 'waiting'; return
      case 'granted':
        request.apart = decision.apart
        request.suspectedFor = decision.suspectedFor
        request.state = 'isolating'
    }
  }

  /** As the scheduler does: a suspect shares no upstream with another request of its own node. */
  function place (request: Sent, choice: number): void {
    const allowed = UPSTREAMS.filter((name) => [...inFlight.get(name)!].every((other) => other.home !== request.home || (!request.apart && !other.apart)))
    const upstream = allowed[choice % allowed.length]
    if (upstream === undefined) return
    if (!request.apart) return start(request, upstream)
    const owner = ownerFor(request.home, isolationSubject(upstream))
    if (owner.isolation.enter(upstream, permitName(request.id, request.attempt), request.home.incarnation)) start(request, upstream)
  }

  function start (request: Sent, upstream: UpstreamName): void {
    request.state = 'running'
    request.progressed = false
    request.upstream = upstream
    inFlight.get(upstream)!.add(request)
  }

  function act (upstream: UpstreamName, choice: number): void {
    const running = [...inFlight.get(upstream)!]
    if (running.length === 0) return
    if (choice % 3 === 0) {
      for (const request of running) request.progressed ||= late || !culprits.has(request.body)
      return
    }
    const culpritsHere = new Set(running.map((request) => request.body).filter((body) => culprits.has(body)))
    if (culpritsHere.size === 0) return end(running[choice % running.length]!, 'answered')
    for (const body of culpritsHere) crashes.set(body, (crashes.get(body) ?? 0) + 1)
    for (const request of running) end(request, 'crashed')
  }

  function end (request: Sent, how: 'answered' | 'crashed'): void {
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
        other.isolation.holderGone(node.incarnation)
        other.guard.holderGone(node.incarnation)
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
      const request: Sent = { id: `${node.incarnation}.${sent.length}`, body, home: node, attempt: 1, state: 'asking', upstream: undefined, apart: false, suspectedFor: [], progressed: false }
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
  for (let turn = 0; turn < LONGEST_DRAIN && !fleet.settled(); turn += 1) {
    if (fleet.pending() > 0) fleet.deliver(0, false)
    fleet.progress(turn)
    fleet.act(UPSTREAMS[turn % UPSTREAMS.length]!, turn)
  }
  assert.ok(fleet.settled(), JSON.stringify(fleet.sent.map(({ body, state }) => [body, state])))
}

function assertBound (fleet: Fleet, bound: number): void {
  for (const [body, count] of fleet.crashes) assert.ok(count <= bound, `${count} upstreams crashed for ${body}`)
}

// A plan's odd adapter crashes every engine that runs it. The caller sends it again and again, at once and
// through several nodes, under new ids, while news between the nodes is late. Two engines may crash; the
// technicians whose questions were on them get their answers.
test('a crashing request costs two upstreams however it is re-sent, and its neighbours finish', () => {
  let steps = 0
  fc.assert(fc.property(fc.array(stepArbitrary, { minLength: 20, maxLength: 200, size: 'max' }), (script) => {
    const fleet = createFleet(4, new Set(['culprit']))
    for (const { action, choice } of script) {
      step(fleet, action, choice, ['culprit', 'culprit', 'question-1', 'question-2', 'question-3', 'question-4'])
      assertBound(fleet, MOST_CRASHES)
      steps += 1
    }
    drain(fleet)
    assertBound(fleet, MOST_CRASHES)
    for (const { body, state } of fleet.sent) assert.equal(state, body === 'culprit' ? 'refused' : 'answered', body)
  }), { seed: 1, numRuns: 2_000 })
  console.log(`# suspicion: 2000 interleavings, ${steps} steps`)
})

// The same with a body that crashes engines only after it has given words: those who ran beside it look
// just like it, so it takes a third engine to tell.
test('a request that crashes upstreams after its first token costs three, and its neighbours finish', () => {
  fc.assert(fc.property(fc.array(stepArbitrary, { minLength: 20, maxLength: 200, size: 'max' }), (script) => {
    const fleet = createFleet(4, new Set(['culprit']), true)
    for (const { action, choice } of script) {
      step(fleet, action, choice, ['culprit', 'culprit', 'question-1', 'question-2', 'question-3', 'question-4'])
      assertBound(fleet, MOST_LATE_CRASHES)
    }
    drain(fleet)
    assertBound(fleet, MOST_LATE_CRASHES)
  }), { seed: 4, numRuns: 1_000 })
})

// As above, with two such bodies and with homes that die while their requests are in flight, so that nobody
// reports the crash. Each such death may cost one engine more, and the death of the body's owner two.
test('the bound grows by one with each home that dies and by two with the owner', () => {
  fc.assert(fc.property(fc.array(stepArbitrary, { minLength: 20, maxLength: 200, size: 'max' }), fc.array(fc.nat(199), { maxLength: 3 }), (script, deaths) => {
    const fleet = createFleet(5, new Set(['culprit', 'accomplice']))
    const bounds = new Map([['culprit', MOST_CRASHES], ['accomplice', MOST_CRASHES]])
    script.forEach(({ action, choice }, index) => {
      const victim = fleet.nodes[choice % fleet.nodes.length]!
      if (deaths.includes(index) && victim.alive && fleet.nodes.filter((node) => node.alive).length > 1) {
        for (const [body, bound] of bounds) {
          const inFlight = fleet.sent.filter((request) => request.home === victim && request.body === body && request.state !== 'refused')
          const owned = fleet.ownerFor(victim, body) === victim
          bounds.set(body, bound + (owned ? MOST_CRASHES : 0) + Math.min(1, inFlight.length))
        }
        fleet.kill(victim)
      }
      step(fleet, action, choice, ['culprit', 'accomplice', 'question-1', 'question-2'])
      for (const [body, bound] of bounds) assert.ok((fleet.crashes.get(body) ?? 0) <= bound, body)
    })
  }), { seed: 2, numRuns: 2_000 })
})

// The zones lose each other for an hour, and the caller reaches all of them. Each part of the fleet can only
// count for itself.
test('in a partition the bound holds for each part of the fleet', () => {
  fc.assert(fc.property(fc.array(stepArbitrary, { minLength: 20, maxLength: 200, size: 'max' }), fc.integer({ min: 2, max: 3 }), (script, groups) => {
    const fleet = createFleet(6, new Set(['culprit']))
    fleet.nodes.forEach((node, index) => { node.group = index % groups })
    for (const { action, choice } of script) {
      step(fleet, action, choice, ['culprit', 'culprit', 'question-1'])
      assertBound(fleet, MOST_CRASHES * groups)
    }
  }), { seed: 3, numRuns: 500 })
})

test('a leaving owner passes its permits on, and a late request for an ended permit grants nothing', () => {
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

test('records are bounded, culprits are kept longest and released after their time', () => {
  const guard = createCrashGuard({ mostRecords: 100, quarantine: 1_000 })
  guard.observe([{ fingerprint: 'culprit', crashes: ['a#1', 'a#2'], cleared: [], quarantined: true }], 0)
  for (let number = 0; number < 1_000; number += 1) guard.observe([{ fingerprint: `body-${number}`, crashes: [`${number}#1`], cleared: [], quarantined: false }], 0)
  assert.ok(guard.size() <= 100)
  assert.equal(guard.isQuarantined('culprit', 999), true)
  assert.equal(guard.isQuarantined('culprit', 1_000), false)
})

// The path between two nodes is lost just when a permit ends, so its owner never hears of it. The same
// question asked again must not wait for ever, and its answer must clear it.
test('a permit that nobody ends holds others up for a limited time', () => {
  const guard = createCrashGuard({ permitTime: 1_000 })
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
