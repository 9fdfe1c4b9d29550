/** Home tables, hand-overs and retries of several nodes in random interleavings of faults. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { classNameSchema, homeOf, incarnationSchema, organisationNameSchema, requestIdFor, upstreamNameSchema } from '../../src/identifiers.js'
import type { Incarnation, RequestId } from '../../src/identifiers.js'
import { createRandom } from '../../src/random.js'
import { createLedger } from '../../src/report/index.js'
import type { CountingLedger } from '../../src/report/index.js'
import { chatBodySchema, createHomeTable, createRetryPolicy, decideContinuation, decideHandOver } from '../../src/request/index.js'
import type { HandedOverRequest, HomeRecord, HomeTable, Outcome, RetryPolicy } from '../../src/request/index.js'
import type { Verdict } from '../../src/verdict.js'

const NODES = 3
const IDS = 6
const MAX_HOPS = 4
const TOKENS = 4
const organisation = organisationNameSchema.parse('tejo')
const requestClass = classNameSchema.parse('booking')
const upstream = upstreamNameSchema.parse('engine-1')
const work = { kind: 'model' as const, body: chatBodySchema.parse({ model: 'booking', messages: [{ role: 'user', content: 'Tuesday?' }] }) }

interface Run {
  readonly id: RequestId
  tokens: string[]
  dispatched: boolean
  accepted: boolean
  /** Identifier of the current stream. Each generation has a new one, and its tokens contain it. */
  handle: string | undefined
  handleKnown: boolean
  attempt: number
}

interface Node {
  readonly incarnation: Incarnation
  readonly table: HomeTable
  readonly ledger: CountingLedger
  readonly retries: RetryPolicy
  readonly runs: Map<RequestId, Run>
  /** Runs that were handed over. The node still tries to continue them, and the home table must prevent it. */
  readonly handedOver: Map<RequestId, Run>
  alive: boolean
  paused: boolean
  leaving: boolean
}

interface HandedOverRun extends HandedOverRequest {
  readonly id: RequestId
  readonly accepted: boolean
  readonly handle: string | undefined
}

type Message =
  | { kind: 'send', to: Incarnation, id: RequestId, hops: number }
  | { kind: 'hand-over', from: Incarnation, to: Incarnation, records: readonly HomeRecord[], items: readonly HandedOverRun[] }

const isIdempotent = (id: RequestId): boolean => id.endsWith('i')
const keyOf = (id: RequestId) => ({ id, organisation, class: requestClass })

/** Nodes that use the real decisions, with a simulated network and simulated upstreams. */
function createFleet () {
  const nodes: Node[] = Array.from({ length: NODES }, (_, index) => {
    const incarnation = incarnationSchema.parse(`entry-${index}-x`)
    const table = createHomeTable({ own: incarnation, seed: index, answerRetention: 50, outcomeRetention: 200, maxEnded: 2, forgottenFilterBits: 2 ** 16 })
    return { incarnation, table, ledger: createLedger({ wall: () => 0 }), retries: createRetryPolicy(), runs: new Map(), handedOver: new Map(), alive: true, paused: false, leaving: false }
  })
  const ids = Array.from({ length: IDS }, (_, index) => requestIdFor(nodes[index % NODES]!.incarnation, `request-number-${index}-${index < NODES ? 'n' : 'i'}`))
  const random = createRandom(1)
  const executed = new Map<RequestId, number>()
  const reportedVerdicts = new Map<RequestId, Set<Verdict>>()
  /** The longest answer that any caller has read. */
  const read = new Map<RequestId, readonly string[]>()
  const totals = { accepted: 0, ended: 0, handedOver: 0, takenOver: 0 }
  let messages: Message[] = []
  let now = 0

  const nodeOf = (incarnation: Incarnation): Node => nodes.find((node) => node.incarnation === incarnation) as Node

  function report (id: RequestId, verdict: Verdict): void {
    reportedVerdicts.set(id, (reportedVerdicts.get(id) ?? new Set()).add(verdict))
  }

  function arrive (node: Node, id: RequestId, hops: number): void {
    const decision = node.table.submit({ id, organisation, fingerprint: 'f' }, now)
    switch (decision.kind) {
      case 'run':
        node.runs.set(id, { id, tokens: [], dispatched: false, accepted: false, handle: undefined, handleKnown: false, attempt: 0 })
        return
      case 'attach': return
      case 'ended': return report(id, decision.ended.verdict)
      case 'stopping': return report(id, 'not-run')
      case 'forgotten': return report(id, 'may-have-run')
      case 'ask-home':
        if (hops >= MAX_HOPS || !nodeOf(decision.incarnation).alive) return report(id, 'may-have-run')
        messages.push({ kind: 'send', to: decision.incarnation, id, hops: hops + 1 })
        return
      case 'conflict':
      case 'not-visible': assert.fail(decision.kind)
    }
  }

  function end (node: Node, run: Run, outcome: Outcome, verdict: Verdict): void {
    node.table.end(run.id, { outcome, verdict }, now)
    node.runs.delete(run.id)
    if (outcome.kind !== 'served') report(run.id, verdict)
    if (!run.accepted) return
    totals.ended += 1
    node.ledger.ended(keyOf(run.id), outcome, { acceptedAt: 0 }, { generatedTokens: 0, recomputedTokens: 0 })
  }

  function execute (run: Run): void {
    executed.set(run.id, (executed.get(run.id) ?? 0) + 1)
    run.attempt += 1
    run.dispatched = true
    run.handle = `stream-${run.id}-${executed.get(run.id)}`
    run.handleKnown = false
  }

  function takeOver (node: Node, handed: HandedOverRun): void {
    const run: Run = { id: handed.id, tokens: [...handed.tokens], dispatched: handed.dispatched, accepted: handed.accepted, handle: handed.handle, handleKnown: handed.handle !== undefined, attempt: 0 }
    node.runs.set(run.id, run)
    if (run.accepted) {
      totals.takenOver += 1
      node.ledger.takenOver(keyOf(run.id), 0)
    }
    const continuation = decideContinuation(handed)
    switch (continuation.kind) {
      case 'run': return
      case 'attach':
        assert.equal(continuation.offset, run.tokens.length)
        return
      case 'restart':
        if (node.table.mayDispatch(run.id)) execute(run)
        return
      case 'give-up': end(node, run, { kind: 'unknown' }, 'may-have-run')
    }
  }

  function deliver (message: Message): boolean {
    const node = nodeOf(message.to)
    if (node.paused) return false
    if (!node.alive) return true
    if (message.kind === 'send') {
      arrive(node, message.id, message.hops)
    } else if (!node.leaving) {
      const fresh = new Set(node.table.takeOver(message.from, message.records, now))
      for (const handed of message.items) if (fresh.has(handed.id)) takeOver(node, handed)
    }
    return true
  }

  function handOver (node: Node, successor: Node, everything: boolean, records: readonly HomeRecord[]): void {
    const movable = records.filter((record) => {
      const run = node.runs.get(record.id) ?? node.handedOver.get(record.id)
      return run === undefined || everything || decideHandOver({ request: { idempotent: isIdempotent(run.id), work }, dispatched: run.dispatched, handle: run.handleKnown ? run.handle : undefined }) === 'move'
    })
    const assigned = new Set(node.table.assign(movable.map((record) => record.id), successor.incarnation))
    const sent = movable.filter((record) => assigned.has(record.id))
    const items = sent.flatMap((record) => {
      const run = node.runs.get(record.id) ?? node.handedOver.get(record.id)
      if (run === undefined) return []
      node.handedOver.set(run.id, run)
      if (node.runs.delete(run.id) && run.accepted) {
        totals.handedOver += 1
        node.ledger.handedOver(keyOf(run.id))
      }
      const handle = run.handleKnown ? run.handle : undefined
      return [{ id: run.id, request: { idempotent: isIdempotent(run.id), work }, dispatched: run.dispatched, accepted: run.accepted, tokens: [...run.tokens], handle, position: handle === undefined ? undefined : { upstream, handle, offset: run.tokens.length } }]
    })
    messages.push({ kind: 'hand-over', from: node.incarnation, to: successor.incarnation, records: sent, items })
  }

  const handOverRecords = new Map<Node, readonly HomeRecord[]>()

  return {
    send: (idIndex: number, nodeIndex: number) => {
      const node = nodes[nodeIndex]!
      if (node.alive && !node.paused) arrive(node, ids[idIndex]!, 0)
    },
    deliver: (choice: number) => {
      const message = messages[choice % messages.length]
      if (message !== undefined && deliver(message)) messages = messages.filter((other) => other !== message)
    },
    duplicate: (choice: number) => {
      const message = messages[choice % messages.length]
      if (message !== undefined) messages.push({ ...message })
    },
    lose: (choice: number) => {
      const message = messages[choice % messages.length]
      messages = messages.filter((other) => other !== message)
      if (message?.kind === 'send') report(message.id, 'may-have-run')
    },
    work: (nodeIndex: number, choice: number, action: 'go-on' | 'refuse' | 'fail' | 'not-run' | 'tell-handle') => {
      const node = nodes[nodeIndex]!
      const runs = [...node.runs.values(), ...node.handedOver.values()]
      const run = runs[choice % Math.max(1, runs.length)]
      if (run === undefined || !node.alive || node.paused) return
      if (!node.runs.has(run.id)) {
        if (!run.dispatched && node.table.mayDispatch(run.id)) execute(run)
        return
      }
      if (!run.dispatched) {
        if (action === 'refuse' && !run.accepted) return end(node, run, { kind: 'refused', code: 'overloaded' }, 'not-run')
        if (action === 'not-run' || !node.table.mayDispatch(run.id)) return
        if (!run.accepted) {
          run.accepted = true
          totals.accepted += 1
          node.ledger.accepted(keyOf(run.id))
        }
        return execute(run)
      }
      if (action === 'tell-handle') {
        run.handleKnown = true
      } else if (action === 'fail') {
        const failed = { class: requestClass, idempotent: isIdempotent(run.id), attempt: run.attempt, verdict: 'may-have-run' as const, code: 'connection-lost' as const, cause: 'failure' as const }
        const retried = node.retries.afterFailure(failed, random).kind === 'retry'
        if (retried && node.table.mayDispatch(run.id)) execute(run)
        else end(node, run, isIdempotent(run.id) ? { kind: 'lost', verdict: 'may-have-run' } : { kind: 'unknown' }, 'may-have-run')
      } else if (run.tokens.length < TOKENS) {
        run.tokens.push(`${run.handle}@${run.tokens.length}`)
      } else {
        end(node, run, { kind: 'served', finish: 'stop', late: false }, 'ran')
      }
    },
    read: (nodeIndex: number) => {
      for (const run of nodes[nodeIndex]!.runs.values()) {
        const before = read.get(run.id) ?? []
        const shared = Math.min(before.length, run.tokens.length)
        assert.deepEqual(run.tokens.slice(0, shared), before.slice(0, shared), `two different answers to ${run.id}`)
        if (run.tokens.length > before.length) read.set(run.id, [...run.tokens])
      }
    },
    reclaim: (nodeIndex: number, choice: number, everything: boolean) => {
      const node = nodes[nodeIndex]!
      if (!node.alive || node.paused) return
      node.leaving = true
      if (!handOverRecords.has(node)) handOverRecords.set(node, node.table.beginHandOver()!)
      const successors = nodes.filter((other) => other !== node && other.alive && !other.leaving)
      const successor = successors[choice % Math.max(1, successors.length)]
      if (successor !== undefined) handOver(node, successor, everything, handOverRecords.get(node)!)
    },
    crash: (nodeIndex: number) => {
      if (nodes.filter((node) => node.alive).length > 1) nodes[nodeIndex]!.alive = false
    },
    pause: (nodeIndex: number, paused: boolean) => { nodes[nodeIndex]!.paused = paused },
    wait: (duration: number) => {
      now += duration
      for (const node of nodes) if (node.alive && !node.paused) node.table.expire(now)
    },
    assertInvariants: () => {
      for (const id of ids) {
        const count = executed.get(id) ?? 0
        if (!isIdempotent(id)) assert.ok(count <= 1, `${id} ran ${count} times`)
        if (reportedVerdicts.get(id)?.has('not-run') === true) assert.equal(count, 0, `${id} was reported not-run but ran`)
      }
      for (const node of nodes) {
        assert.equal(node.ledger.usage().unmatchedEvents, 0)
        for (const run of node.runs.values()) for (const token of run.tokens) assert.ok(token.startsWith(`stream-${run.id}-`), 'the answer contains tokens of another request')
      }
      const open = nodes.reduce((sum, node) => sum + node.ledger.usage().open, 0)
      assert.equal(totals.accepted, totals.ended + open + totals.handedOver - totals.takenOver)
      assert.ok(totals.takenOver <= totals.handedOver)
    },
    homes: () => ids.map(homeOf)
  }
}

type Fleet = ReturnType<typeof createFleet>

class NamedCommand implements fc.Command<object, Fleet> {
  constructor (readonly name: string, readonly act: (fleet: Fleet) => void) {}
  check (): boolean { return true }
  run (_model: object, fleet: Fleet): void {
    this.act(fleet)
    fleet.assertInvariants()
    steps += 1
  }

  toString (): string { return this.name }
}

let steps = 0
const node = fc.nat(NODES - 1)
const choice = fc.nat(20)
const send = fc.tuple(fc.nat(IDS - 1), node).map(([id, at]) => new NamedCommand(`send ${id} at ${at}`, (fleet) => fleet.send(id, at)))
const deliver = choice.map((which) => new NamedCommand(`deliver ${which}`, (fleet) => fleet.deliver(which)))
const duplicate = choice.map((which) => new NamedCommand(`duplicate ${which}`, (fleet) => fleet.duplicate(which)))
const lose = choice.map((which) => new NamedCommand(`lose ${which}`, (fleet) => fleet.lose(which)))
const action = fc.constantFrom('go-on' as const, 'go-on' as const, 'go-on' as const, 'tell-handle' as const, 'refuse' as const, 'fail' as const, 'not-run' as const)
const workOn = fc.tuple(node, choice, action).map(([at, which, what]) => new NamedCommand(`${what} ${which} at ${at}`, (fleet) => fleet.work(at, which, what)))
const readAt = node.map((at) => new NamedCommand(`read at ${at}`, (fleet) => fleet.read(at)))
const reclaim = fc.tuple(node, choice, fc.boolean()).map(([at, which, all]) => new NamedCommand(`reclaim ${at} to ${which} all ${all}`, (fleet) => fleet.reclaim(at, which, all)))
const crash = node.map((at) => new NamedCommand(`crash ${at}`, (fleet) => fleet.crash(at)))
const pause = fc.tuple(node, fc.boolean()).map(([at, paused]) => new NamedCommand(`pause ${at} ${paused}`, (fleet) => fleet.pause(at, paused)))
const wait = fc.constantFrom(10, 60, 300).map((duration) => new NamedCommand(`wait ${duration}`, (fleet) => fleet.wait(duration)))

// Guards against a booking that runs twice, a wrong `not-run`, an answer with another request's tokens, and a request
// that no report counts. Requests are sent through several nodes, nodes are paused, reclaimed or die, messages
// between nodes are lost, duplicated or delayed, and callers repeat requests after they were forgotten.
test('in any interleaving requests run at most once, refusals are correct, answers are consistent and totals are complete', () => {
  const commands = fc.commands([send, send, deliver, deliver, duplicate, lose, workOn, workOn, workOn, readAt, reclaim, crash, pause, wait], { maxCommands: 120, size: 'max' })
  let runs = 0
  fc.assert(fc.property(commands, (script) => {
    runs += 1
    fc.modelRun(() => ({ model: {}, real: createFleet() }), script)
  }), { seed: 1, numRuns: 6_000 })
  console.log(`# at most once: ${runs} interleavings, ${steps} steps`)
})
