/** Steps for scenarios with a request that crashes every engine that runs it. */
import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { createClient, ServingError } from '../../src/client/index.js'
import type { ChatAnswer } from '../../src/client/index.js'
import { createSystemClock, SECOND } from '../../src/clock.js'
import { createRandom } from '../../src/random.js'
import { startDeployment } from '../../stand-ins/deployment.js'
import { answerWords, CRASH_MARK, serveEngine } from '../../stand-ins/engine.js'
import type { EngineStandIn } from '../../stand-ins/engine.js'
import type { DeploymentWorld } from './world.js'

const clock = createSystemClock()
const QUESTION_TOKENS = 60
const FIRST_TOKENS = 3

interface Question {
  readonly messages: { role: 'user', content: string }[]
  readonly answer: Promise<ChatAnswer>
  tokens: number
}

interface CrashWorld extends DeploymentWorld {
  questions: Question[]
  failures: ServingError[]
  /** Engines that had died before the last requests were sent. */
  deadBefore: number
  /** Address of the node that started last. */
  newAddress: string
  /** Engines started in place of crashed ones. */
  restartedEngines: EngineStandIn[]
  /** Set at the clean-up: engines that end afterwards are not restarted. */
  ended: boolean
}

Given('{int} entry nodes and {int} engines for a crashing request', async function (this: CrashWorld, entries: number, engines: number) {
  this.deployment = await startDeployment({ clock, seed: 1, entries, engines, logLevel: 'silent', engineShape: { token_ms: 30 } })
  this.client = createClient({ addresses: this.deployment.addresses, key: this.deployment.key })
  this.failures = []
  this.restartedEngines = []
  while (this.deployment.entries.some((entry) => entry.parts.membership.count() < entries)) await clock.sleep(20)
})

Given('{int} technicians wait for answers', async function (this: CrashWorld, count: number) {
  this.questions = Array.from({ length: count }, (_, index) => askQuestion(this, `Which valve fits house ${index}?`))
  while (this.questions.some((question) => question.tokens < FIRST_TOKENS)) await clock.sleep(5)
})

// The platform restarts a crashed engine before the nodes notice the crash. The new engine accepts connections
// and has none of the earlier streams.
Given('a crashed engine is started again at its address at once', function (this: CrashWorld) {
  for (const engine of this.deployment!.engines) restartAfterDeath(this, engine)
})

// Failure guarded against: one request takes down all engines and the answers of other callers. The request
// crashes each engine that runs it, and its caller sends it again through any node under a new id each time.
When('the crashing request is sent {int} times in a row through every node under new ids', async function (this: CrashWorld, times: number) {
  for (let round = 0; round < times; round += 1) {
    for (const address of this.deployment!.addresses) await sendCrashing(this, address)
  }
})

When('the crashing request is sent {int} times at once through every node under new ids', async function (this: CrashWorld, times: number) {
  const addresses = this.deployment!.addresses.flatMap((address) => Array.from({ length: times }, () => address))
  await Promise.all(addresses.map((address) => sendCrashing(this, address)))
})

// Failure guarded against: blame by the whole request. Each of them is new, and each may crash as many engines.
When('{int} requests with a message that crashes engines are sent through every node, no two alike', function (this: CrashWorld, count: number) {
  return sendDifferent(this, this.deployment!.addresses, count)
})

When('another node starts', async function (this: CrashWorld) {
  this.newAddress = (await this.deployment!.addEntry()).address
})

When('{int} seconds later {int} more of them are sent through every node', async function (this: CrashWorld, seconds: number, count: number) {
  await sendLater(this, seconds, this.deployment!.addresses, count)
})

When('{int} seconds later {int} more of them are sent through the new node', async function (this: CrashWorld, seconds: number, count: number) {
  await sendLater(this, seconds, [this.newAddress], count)
})

Then('at most {int} more engines have died', function (this: CrashWorld, maxDead: number) {
  assert.ok(this.deadBefore > 0, 'the first requests crashed no engine')
  const deadSince = countDead(this) - this.deadBefore
  assert.ok(deadSince <= maxDead, `${deadSince} more engines died`)
})

Then('at most {int} engines have died', function (this: CrashWorld, maxDead: number) {
  const deadCount = countDead(this)
  assert.ok(deadCount > 0, 'the request crashed no engine')
  assert.ok(deadCount <= maxDead, `${deadCount} engines died`)
})

Then('the last send of the crashing request was refused for good', function (this: CrashWorld) {
  assert.equal(this.failures.at(-1)?.code, 'quarantined')
})

Then('every technician has a whole answer', async function (this: CrashWorld) {
  for (const { messages, answer } of this.questions) assert.equal((await answer).text, answerWords(messages, QUESTION_TOKENS).join(''))
})

function countDead ({ deployment, restartedEngines }: CrashWorld): number {
  return [...deployment!.engines, ...restartedEngines].filter((engine) => !engine.alive()).length
}

function restartAfterDeath (world: CrashWorld, engine: EngineStandIn): void {
  engine.onDeath(() => {
    if (world.ended || world.deployment!.entries.every((entry) => entry.parts.signal.aborted)) return
    const port = Number(engine.address.split(':')[1])
    restartEngine(world, engine, port).catch(() => {})
  })
}

/** Starts an engine on the port of the crashed one. Retries, because the port is released shortly after the crash. */
async function restartEngine (world: CrashWorld, engine: EngineStandIn, port: number): Promise<void> {
  for (;;) {
    try {
      const restarted = await serveEngine({ port, upstream: engine.upstream, clock, random: createRandom(1), shape: { tokenTime: 30 } })
      world.restartedEngines.push(restarted)
      restartAfterDeath(world, restarted)
      return
    } catch {
      await clock.sleep(2)
    }
  }
}

After(async function (this: CrashWorld) {
  this.ended = true
  for (const engine of this.restartedEngines ?? []) await engine.kill()
})

function askQuestion (world: CrashWorld, content: string): Question {
  const messages = [{ role: 'user' as const, content }]
  const question = { messages, tokens: 0, answer: world.client!.chat({ class: 'short-question', messages, maxTokens: QUESTION_TOKENS, onToken: () => { question.tokens += 1 } }) }
  question.answer.catch(() => {})
  return question
}

/** Sends crashing requests once all nodes have heard of the earlier ones. */
async function sendLater (world: CrashWorld, seconds: number, addresses: readonly string[], count: number): Promise<void> {
  await clock.sleep(seconds * SECOND)
  world.deadBefore = countDead(world)
  await sendDifferent(world, addresses, count)
}

/** Sends crashing requests through these nodes in turn, each with a last message of its own. */
async function sendDifferent (world: CrashWorld, addresses: readonly string[], count: number): Promise<void> {
  for (let index = 0; index < count; index += 1) {
    for (const address of addresses) await sendCrashing(world, address, `Question ${world.failures.length} at ${address}`)
  }
}

/**
 * Sends a crashing request once without the client module, so that each send has a new id.
 *
 * @param ownText last message, which distinguishes it from others
 */
async function sendCrashing (world: CrashWorld, address: string, ownText?: string): Promise<void> {
  const messages = [CRASH_MARK, ...(ownText === undefined ? [] : [ownText])].map((content) => ({ role: 'user', content }))
  const response = await fetch(`http://${address}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${world.deployment!.key}`, 'content-type': 'application/json' },
    body: JSON.stringify({ model: 'service-plan', messages, max_tokens: 20 })
  })
  const body = await response.json() as { error?: { message: string, type: never, verdict: never } }
  assert.ok(body.error !== undefined, 'the crashing request was answered')
  world.failures.push(new ServingError(body.error.message, { code: body.error.type, verdict: body.error.verdict }))
}
