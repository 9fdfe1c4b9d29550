/** Tests that the engine stand-in behaves and fails as real engines do. Tests of failures depend on it. */
import assert from 'node:assert/strict'
import { afterEach, beforeEach, test } from 'node:test'
import { createSystemClock } from '../../src/clock.js'
import { upstreamNameSchema } from '../../src/identifiers.js'
import { createEngine } from '../../src/protocols/engine.js'
import type { EngineCall, EngineStream } from '../../src/protocols/engine.js'
import { createConnections } from '../../src/protocols/http.js'
import type { Connections } from '../../src/protocols/http.js'
import { createRandom } from '../../src/random.js'
import { answerWords, CRASH_MARK, serveEngine } from '../../stand-ins/engine.js'
import type { EngineOptions, EngineStandIn } from '../../stand-ins/engine.js'

const clock = createSystemClock()
const PROMPT = 'Hardness log of the boiler house, 28 degrees in March. '.repeat(20)
const messages = [{ role: 'user' as const, content: PROMPT }]

let connections: Connections
let engines: EngineStandIn[] = []

beforeEach(() => { connections = createConnections(16) })

afterEach(async () => {
  await connections.destroy()
  await Promise.all(engines.map((engine) => engine.kill()))
  engines = []
})

async function startEngine (options: Partial<EngineOptions> = {}): Promise<EngineStandIn> {
  const shape = { tokenTime: 1, ...options.shape }
  const engine = await serveEngine({ port: 0, upstream: upstreamNameSchema.parse(`engine-${engines.length}`), clock, random: createRandom(1), ...options, shape })
  engines.push(engine)
  return engine
}

function createCall (maxTokens: number, extra: Partial<EngineCall> = {}, content = PROMPT): EngineCall {
  const body = { model: 'plan' as never, messages: [{ role: 'user' as const, content }], stream: true, max_tokens: maxTokens }
  return { body, model: 'assistant-7b', priority: 0, signal: AbortSignal.timeout(10_000), ...extra }
}

async function readText (stream: EngineStream, maxEvents = Infinity): Promise<string> {
  const texts: string[] = []
  for await (const event of stream.events) {
    if (event.kind === 'token') texts.push(event.text)
    if (texts.length >= maxEvents) break
  }
  return texts.join('')
}

test('a continuation returns the same answer from its offset on and recomputes the prompt and the earlier answer', async () => {
  const [first, second] = [await startEngine(), await startEngine()]
  const words = answerWords(messages, 12)
  await readText(await createEngine(connections, first.address).start(createCall(12)), 5)
  const continuation = { offset: 5, text: words.slice(0, 5).join('') }
  const rest = await readText(await createEngine(connections, second.address).start(createCall(12, { continuation })))
  assert.equal(rest, words.slice(5).join(''))
  assert.equal(second.tokens.recomputed, Math.ceil(PROMPT.length / 4) + 5)
})

test('an exported answer continues at the target under the new handle without recomputed tokens', async () => {
  const [source, target] = [await startEngine({ shape: { tokenTime: 5 } }), await startEngine()]
  const words = answerWords(messages, 40)
  const engine = createEngine(connections, source.address)
  const stream = await engine.start(createCall(40))
  await readText(stream, 3)
  const moved = await engine.exportCache(stream.handle, target.address, AbortSignal.timeout(5_000))
  const resumed = await createEngine(connections, target.address).resume(moved.handle, 3, AbortSignal.timeout(5_000))
  assert.equal(await readText(resumed), words.slice(3).join(''))
  assert.equal(target.tokens.recomputed, 0)
  assert.equal(source.open(), 0)
})

test('after a refused export the answer continues at its engine', async () => {
  const [source, target] = [await startEngine({ shape: { tokenTime: 3 } }), await startEngine()]
  const engine = createEngine(connections, source.address)
  const stream = await engine.start(createCall(30))
  await readText(stream, 2)
  target.faults.refuse = true
  await assert.rejects(engine.exportCache(stream.handle, target.address, AbortSignal.timeout(5_000)))
  const resumed = await engine.resume(stream.handle, 0, AbortSignal.timeout(5_000))
  assert.equal(await readText(resumed), answerWords(messages, 30).join(''))
  assert.equal(source.computed(), Math.ceil(PROMPT.length / 4))
})

test('an answer whose connection has gone silent can be resumed by several connections at once', async () => {
  const engine = await startEngine()
  engine.faults.silentAfter = 4
  const client = createEngine(connections, engine.address)
  const stream = await client.start(createCall(20))
  await readText(stream, 4)
  const followers = [4, 4, 10].map((offset) => client.resume(stream.handle, offset, AbortSignal.timeout(5_000)))
  const rests = await Promise.all(followers.map(async (follower) => readText(await follower)))
  const words = answerWords(messages, 20)
  assert.deepEqual(rests, [words.slice(4).join(''), words.slice(4).join(''), words.slice(10).join('')])
})

test('a prompt with the crash mark crashes its engine and breaks all other answers there', async () => {
  const engine = await startEngine()
  const client = createEngine(connections, engine.address)
  const stream = await client.start(createCall(5_000))
  const otherAnswer = assert.rejects(readText(stream), { verdict: 'may-have-run' })
  const crashingAnswer = client.start(createCall(5, {}, CRASH_MARK)).then((crashing) => readText(crashing))
  await Promise.all([otherAnswer, assert.rejects(crashingAnswer, { verdict: 'may-have-run' })])
  await assert.rejects(client.load(), { verdict: 'not-run' })
})

test('the batch is bounded and the smallest priority value is admitted next', async () => {
  const engine = await startEngine({ shape: { tokenTime: 1, batch: 1 } })
  const client = createEngine(connections, engine.address)
  const completed: string[] = []
  const sendPrompt = async (name: string, priority: number): Promise<void> => {
    await readText(await client.start(createCall(30, { priority }, name)))
    completed.push(name)
  }
  const first = sendPrompt('first', 0)
  while (engine.open() === 0) await clock.sleep(1)
  const later = [sendPrompt('relaxed', 9)]
  while (engine.open() < 2) await clock.sleep(1)
  later.push(sendPrompt('urgent', 1))
  await Promise.all([first, ...later])
  assert.deepEqual(completed, ['first', 'urgent', 'relaxed'])
})

test('a cached prefix is not recomputed until its eviction, and the feed reports stores and evictions', async () => {
  const engine = await startEngine({ shape: { cacheTokens: 320 } })
  const client = createEngine(connections, engine.address)
  await readText(await client.start(createCall(1)))
  await readText(await client.start(createCall(1)))
  assert.equal(engine.tokens.cached, 256)
  await readText(await client.start(createCall(1, {}, 'roster '.repeat(200))))
  const { events, next } = await client.cacheEvents(0)
  assert.deepEqual(events.map((event) => event.kind), ['stored', 'stored', 'evicted'])
  assert.equal(next, 3)
})

test('an order with an older fencing number is refused only if fencing is checked', async () => {
  const order = { generation: 1, model: 'assistant-7b', version: '1', adapters: [], role: 'mixed' as const }
  for (const checkFencing of [true, false]) {
    const engine = await startEngine({ checkFencing, models: [], shape: { loadTime: 1 } })
    const client = createEngine(connections, engine.address)
    await assert.rejects(client.start(createCall(1)), { verdict: 'not-run' })
    assert.equal(await client.order({ ...order, fencing: 7 }), true)
    assert.equal(await client.order({ ...order, fencing: 6, generation: 2 }), !checkFencing)
    while (engine.models().length === 0) await clock.sleep(1)
    assert.equal(await readText(await client.start(createCall(2))), answerWords(messages, 2).join(''))
  }
})
