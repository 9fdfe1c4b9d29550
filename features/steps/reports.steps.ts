/** Steps for scenarios in which nodes report their counts, end or return, and planners fold the reports of ended nodes. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { MINUTE } from '../../src/clock.js'
import { ABSENT, prefixEnd } from '../../src/protocols/key-value.js'
import type { SwapAllResult, SwapResult, TransactionalKeyValue } from '../../src/protocols/key-value.js'
import { createEpochTracker } from '../../src/protocols/epochs.js'
import { ServingError } from '../../src/verdict.js'
import { createKeyValueStore } from '../../stand-ins/key-value-store.js'
import type { KeyValueStore } from '../../stand-ins/key-value-store.js'
import { assertSumsAgree, createCountingNode, createReportFolder, createFrozenClock, reportOf, SERVED } from '../../test/report/fleet.js'
import type { CountingNode, FrozenClock } from '../../test/report/fleet.js'
import type { DeploymentWorld } from './world.js'

/** Longer than the longest pause between writes that a node announces in its report. */
const LONG_SILENCE = 20 * MINUTE

interface ReportWorld extends DeploymentWorld {
  clock: FrozenClock
  store: KeyValueStore
  nodes: CountingNode[]
  requests: number
  down: boolean
}

interface Faults {
  readonly losesReplies?: boolean
  /** Delays each call until the promise resolves. */
  readonly turn?: () => Promise<void>
}

function createKeyValueClient (world: ReportWorld, faults: Faults = {}): TransactionalKeyValue {
  async function call<T> (operation: () => T, write = false): Promise<T> {
    await faults.turn?.()
    if (world.down) throw new ServingError('the service is down', { code: 'connection-lost', verdict: 'not-run' })
    const result = operation()
    if (write && faults.losesReplies === true) throw new ServingError('reply lost', { code: 'timeout', verdict: 'may-have-run' })
    return result
  }
  const { store } = world
  const unused = (): never => { throw new TypeError('reports do not use this operation') }
  return {
    epochs: createEpochTracker(),
    get: (key) => call(() => store.get(key)),
    list: (prefix) => call(() => store.list(prefix, prefixEnd(prefix))),
    put: unused,
    compareAndSwap: (key, revision, value) => call<SwapResult>(() => store.compareAndSwap(key, revision, value), true),
    compareAndSwapAll: (swaps) => call<SwapAllResult>(() => store.compareAndSwapAll(swaps), true),
    compareAndDelete: (key, revision) => call<SwapResult>(() => store.compareAndDelete(key, revision), true),
    grantLease: unused,
    keepAlive: unused,
    revokeLease: unused,
    watch: unused
  }
}

function answerRequests (world: ReportWorld, node: CountingNode, requests: number): void {
  for (let index = 0; index < requests; index += 1) {
    world.requests += 1
    node.end(node.accept(world.requests), SERVED)
  }
}

/** Folds twice, with enough time between for every live node to write. A node is folded once it has not written between two folds. */
async function foldTwice (world: ReportWorld, fold: () => Promise<unknown>): Promise<void> {
  await fold()
  await world.clock.advance(LONG_SILENCE)
  for (const node of world.nodes.filter((one) => one.live)) await node.reporter.write()
  await fold()
}

Given('{int} nodes that count and report', function (this: ReportWorld, count: number) {
  this.clock = createFrozenClock()
  this.store = createKeyValueStore(this.clock)
  this.requests = 0
  this.down = false
  this.nodes = Array.from({ length: count }, (_, index) => createCountingNode(`entry-${index + 1}`, createKeyValueClient(this), this.clock))
  for (const node of this.nodes) this.store.compareAndSwap(`hornbeamgap/nodes/${node.incarnation}`, ABSENT, JSON.stringify({ incarnation: node.incarnation }))
})

Given('each node has answered {int} requests and reported', async function (this: ReportWorld, requests: number) {
  for (const node of this.nodes) {
    answerRequests(this, node, requests)
    await node.reporter.write()
  }
})

When(/^node (\d+) (?:dies|is cut off) and its lease lapses$/, function (this: ReportWorld, number: string) {
  const node = this.nodes[Number(number) - 1]!
  node.live = false
  const key = `hornbeamgap/nodes/${node.incarnation}`
  this.store.compareAndDelete(key, this.store.get(key)!.revision)
})

When('a planner folds the reports of nodes that are gone', async function (this: ReportWorld) {
  await foldTwice(this, createReportFolder(createKeyValueClient(this), this.clock))
})

When('two planners fold at once, call by call in turn', async function (this: ReportWorld) {
  const yieldTurn = (): Promise<void> => new Promise((resolve) => setImmediate(resolve))
  const folders = [1, 2].map(() => createReportFolder(createKeyValueClient(this, { turn: yieldTurn }), this.clock))
  await foldTwice(this, () => Promise.all(folders.map((fold) => fold())))
})

When('a planner folds and no reply to its writes arrives', async function (this: ReportWorld) {
  const fold = createReportFolder(createKeyValueClient(this, { losesReplies: true }), this.clock)
  await foldTwice(this, () => fold().catch(() => {}))
  for (let pass = 0; pass < 5; pass += 1) await fold().catch(() => {})
})

When('another planner takes over', async function (this: ReportWorld) {
  await foldTwice(this, createReportFolder(createKeyValueClient(this), this.clock))
})

When('node {int} comes back, having answered {int} more requests', async function (this: ReportWorld, number: number, requests: number) {
  const node = this.nodes[number - 1]!
  node.live = true
  answerRequests(this, node, requests)
  await node.reporter.write()
  await node.reporter.write()
})

When('the key-value service is down for {int} minutes while each node answers {int} more', async function (this: ReportWorld, minutes: number, requests: number) {
  this.down = true
  for (let minute = 0; minute < minutes; minute += 1) {
    await this.clock.advance(MINUTE)
    for (const node of this.nodes) await node.reporter.write().catch(() => {})
  }
  for (const node of this.nodes) answerRequests(this, node, requests)
  for (const { key, revision } of this.store.list('hornbeamgap/nodes/', 'hornbeamgap/nodes0').entries) this.store.compareAndDelete(key, revision)
  this.down = false
})

Then('the report tells of {int} answers', function (this: ReportWorld, answers: number) {
  const report = reportOf(this.store, this.clock)
  assert.equal(report.total.sums.served, answers)
  assert.equal(report.total.sums.asked, answers)
  assertSumsAgree(report)
})

Then('it names the gap of node {int}', function (this: ReportWorld, number: number) {
  const { gaps, statements } = reportOf(this.store, this.clock)
  assert.deepEqual(gaps.map((gap) => gap.instance), [`entry-${number}`])
  assert.match(statements.join('\n'), new RegExp(`GAP: node entry-${number} .* is unknown and in none of these figures`))
})

Then('it names no gap', function (this: ReportWorld) {
  assert.deepEqual(reportOf(this.store, this.clock).gaps, [])
})
