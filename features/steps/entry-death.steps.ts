/** Steps for scenarios in which entry nodes or engines end while callers are receiving answers. */
import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { createClient } from '../../src/client/index.js'
import type { ChatAnswer } from '../../src/client/index.js'
import { createSystemClock, SECOND } from '../../src/clock.js'
import type { EntryNode } from '../../src/entry/node.js'
import { createRandom } from '../../src/random.js'
import { startDeployment } from '../../stand-ins/deployment.js'
import { answerWords } from '../../stand-ins/engine.js'
import type { DeploymentWorld } from './world.js'

const clock = createSystemClock()
const TOKEN_TIME_MS = 20
const FIRST_TOKENS = 5
const NOTICE = 3 * SECOND
const SEED = 1

interface Plan {
  readonly messages: { role: 'user', content: string }[]
  readonly offsets: number[]
  answer: Promise<ChatAnswer>
}

interface EntryDeathWorld extends DeploymentWorld {
  plans: Plan[]
  tokens: number
}

Given('{int} entry nodes, {int} engines and {int} plans of {int} tokens over all nodes', async function (this: EntryDeathWorld, entries: number, engines: number, plans: number, tokens: number) {
  await startNodes(this, entries, engines)
  await requestPlans(this, plans, tokens)
})

Given('{int} entry nodes, {int} engines and {int} plans of {int} tokens whose connections go silent after {int} tokens', async function (this: EntryDeathWorld, entries: number, engines: number, plans: number, tokens: number, silentAfter: number) {
  await startNodes(this, entries, engines)
  for (const engine of this.deployment!.engines) engine.faults.silentAfter = silentAfter
  await requestPlans(this, plans, tokens)
})

// Failure guarded against: a caller receives text of another caller's plan within its own. The engine mixes
// events of other streams into a connection, repeats tokens and sends them in swapped order.
Given('{int} entry nodes, {int} engines that mix up what they send, and {int} plans of {int} tokens', async function (this: EntryDeathWorld, entries: number, engines: number, plans: number, tokens: number) {
  await startNodes(this, entries, engines)
  for (const engine of this.deployment!.engines) Object.assign(engine.faults, { duplicates: true, outOfOrder: true, foreignEvents: true })
  await requestPlans(this, plans, tokens)
})

// Failure guarded against: an answer has a gap because its node is reclaimed and ends before the hand-over is
// complete. The caller must receive the rest without a gap, or the whole answer from another node.
When('the node with most plans is reclaimed and dies after its first message of the hand-over', async function (this: EntryDeathWorld) {
  const node = busiestNode(this)
  onHandOver(this, node, () => { node.kill().catch(() => {}) })
  await node.stop(clock.now() + NOTICE).catch(() => {})
})

When('the node with most plans is reclaimed and the node that took its requests dies', async function (this: EntryDeathWorld) {
  const node = busiestNode(this)
  onHandOver(this, node, (successor) => { setTimeout(() => { successor.kill().catch(() => {}) }, SECOND / 4) })
  await node.stop(clock.now() + NOTICE)
})

When('the failure domain with most plans is reclaimed with both its nodes at once', async function (this: EntryDeathWorld) {
  const domain = busiestNode(this).parts.settings.failure_domain
  const leaving = this.deployment!.entries.filter((entry) => entry.parts.settings.failure_domain === domain)
  assert.equal(leaving.length, 2)
  await Promise.all(leaving.map((entry) => entry.stop(clock.now() + NOTICE)))
})

When('the node with most plans dies without notice', async function (this: EntryDeathWorld) {
  await busiestNode(this).kill()
})

// Failure guarded against: after one crash of an engine each of its plans is suspected of having caused the
// crash, and waits for an engine without other requests.
When('the engine with most plans dies without notice', async function (this: EntryDeathWorld) {
  const [engine] = [...this.deployment!.engines].sort((left, right) => right.open() - left.open())
  await engine!.kill()
})

Then('every plan is whole at its own caller', async function (this: EntryDeathWorld) {
  for (const { messages, answer } of this.plans) assert.equal((await answer).text, answerWords(messages, this.tokens).join(''))
})

Then('no offset came twice and none is missing', function (this: EntryDeathWorld) {
  for (const { offsets } of this.plans) assert.deepEqual(offsets, Array.from({ length: this.tokens }, (_, index) => index))
})

Then('no engine was asked to begin an answer twice', function (this: EntryDeathWorld) {
  const started = this.deployment!.engines.reduce((sum, engine) => sum + engine.started.length, 0)
  assert.equal(started, this.plans.length)
})

async function startNodes (world: EntryDeathWorld, entries: number, engines: number): Promise<void> {
  world.deployment = await startDeployment({ clock, seed: 1, entries, engines, logLevel: 'silent', engineShape: { token_ms: TOKEN_TIME_MS, batch_cost: 0 } })
  while (world.deployment.entries.some((entry) => entry.parts.membership.count() < entries)) await clock.sleep(20)
}

/** Requests the plans from nodes chosen with a fixed seed, and waits for the first tokens of each. */
async function requestPlans (world: EntryDeathWorld, count: number, tokens: number): Promise<void> {
  const { addresses, key } = world.deployment!
  world.tokens = tokens
  world.client = createClient({ addresses, key, random: createRandom(SEED) })
  world.plans = Array.from({ length: count }, (_, number) => requestPlan(world, `Closure plan ${number}`))
  while (world.plans.some((plan) => plan.offsets.length < FIRST_TOKENS)) await clock.sleep(5)
}

function requestPlan (world: EntryDeathWorld, content: string): Plan {
  const messages = [{ role: 'user' as const, content }]
  const offsets: number[] = []
  const answer = world.client!.chat({ class: 'service-plan', messages, maxTokens: world.tokens, onToken: (_text, offset) => { offsets.push(offset) } })
  answer.catch(() => {})
  return { messages, offsets, answer }
}

function busiestNode (world: EntryDeathWorld): EntryNode {
  const [busiest] = [...world.deployment!.entries].sort((left, right) => right.parts.executions.open().length - left.parts.executions.open().length)
  assert.ok(busiest!.parts.executions.open().length > 0)
  return busiest!
}

/** Calls the listener once, when the first request has been handed over to another node. */
function onHandOver (world: EntryDeathWorld, leaving: EntryNode, listener: (successor: EntryNode) => void): void {
  let called = false
  for (const entry of world.deployment!.entries.filter((other) => other !== leaving)) {
    const executions = entry.parts.executions as { takeOver: typeof entry.parts.executions.takeOver }
    const takeOver = executions.takeOver
    executions.takeOver = (...parameters) => {
      const execution = takeOver(...parameters)
      if (!called) setImmediate(() => listener(entry))
      called = true
      return execution
    }
  }
}
