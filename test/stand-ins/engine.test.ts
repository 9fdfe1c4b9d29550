/** The engine stand-in does to its users what real engines do, so that tests of failures mean something. */
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

async function serve (options: Partial<EngineOptions> = {}): Promise<EngineStandIn> {
  const shape = { tokenTime: 1, ...options.shape }
  const engine = await serveEngine({ port: 0, upstream: upstreamNameSchema.parse(`engine-${engines.length}`), clock, random: createRandom(1), ...options, shape })
  engines.push(engine)
  return engine
}

function call (maxTokens: number, extra: Partial<EngineCall> = {}, content = PROMPT): EngineCall {
  const body = { model: 'plan' as never, messages: [{ role: 'user' as const, content }], stream: true, max_tokens: maxTokens }
  return { body, model: 'assistant-7b', priority: 0, signal: AbortSignal.timeout(10_000), ...extra }
}

async function text (stream: EngineStream, most = Infinity): Promise<string> {
  const texts: string[] = []
  for await (const event of stream.events) {
    if (event.kind === 'token') texts.push(event.text)
    if (texts.length >= most) break
  }
  return texts.join('')
}

test('a continuation gives the same words from its offset on and computes prompt and answer again', async () => {
  const [first, second] = [await serve(), await serve()]
  const words = answerWords(messages, 12)
  await text(await createEngine(connections, first.address).start(call(12)), 5)
  const continuation = { offset: 5, text: words.slice(0, 5).join('') }
  const rest = await text(await createEngine(connections, second.address).start(call(12, { continuation })))
  assert.equal(rest, words.slice(5).join(''))
  assert.equal(second.tokens.recomputed, Math.ceil(PROMPT.length / 4) + 5)
})

test('an exported answer goes on at the target under the new handle with nothing computed again', async () => {
  const [source, target] = [await serve({ shape: { tokenTime: 5 } }), await serve()]
  const words = answerWords(messages, 40)
  const engine = createEngine(connections, source.address)
  const stream = await engine.start(call(40))
  await text(stream, 3)
  const moved = await engine.exportCache(stream.handle, target.address, AbortSignal.timeout(5_000))
  const resumed = await createEngine(connections, target.address).resume(moved.handle, 3, AbortSignal.timeout(5_000))
  assert.equal(await text(resumed), words.slice(3).join(''))
  assert.equal(target.tokens.recomputed, 0)
  assert.equal(source.open(), 0)
})

test('after a refused export the answer goes on where it was', async () => {
  const [source, target] = [await serve({ shape: { tokenTime: 3 } }), await serve()]
  const engine = createEngine(connections, source.address)
  const stream = await engine.start(call(30))
  await text(stream, 2)
  target.faults.refuse = true
  await assert.rejects(engine.exportCache(stream.handle, target.address, AbortSignal.timeout(5_000)))
  const resumed = await engine.resume(stream.handle, 0, AbortSignal.timeout(5_000))
  assert.equal(await text(resumed), answerWords(messages, 30).join(''))
  assert.equal(source.computed(), Math.ceil(PROMPT.length / 4))
})

test('a connection that goes silent loses nothing: a second one resumes, and several may follow', async () => {
  const engine = await serve()
  engine.faults.silentAfter = 4
  const client = createEngine(connections, engine.address)
  const stream = await client.start(call(20))
  await text(stream, 4)
  const followers = [4, 4, 10].map((offset) => client.resume(stream.handle, offset, AbortSignal.timeout(5_000)))
  const rests = await Promise.all(followers.map(async (follower) => text(await follower)))
  const words = answerWords(messages, 20)
  assert.deepEqual(rests, [words.slice(4).join(''), words.slice(4).join(''), words.slice(10).join('')])
})

test('a marked prompt kills its engine and every answer beside it', async () => {
  const engine = await serve()
  const client = createEngine(connections, engine.address)
  const stream = await client.start(call(5_000))
  const innocent = assert.rejects(text(stream), { verdict: 'may-have-run' })
  const culprit = client.start(call(5, {}, CRASH_MARK)).then((crashing) => text(crashing))
  await Promise.all([innocent, assert.rejects(culprit, { verdict: 'may-have-run' })])
  await assert.rejects(client.load(), { verdict: 'not-run' })
})

test('the batch is bounded and the smallest priority is next', async () => {
  const engine = await serve({ shape: { tokenTime: 1, batch: 1 } })
  const client = createEngine(connections, engine.address)
  const ended: string[] = []
  const ask = async (name: string, priority: number): Promise<void> => {
    await text(await client.start(call(30, { priority }, name)))
    ended.push(name)
  }
  const first = ask('first', 0)
  while (engine.open() === 0) await clock.sleep(1)
  const later = [ask('relaxed', 9)]
  while (engine.open() < 2) await clock.sleep(1)
  later.push(ask('urgent', 1))
  await Promise.all([first, ...later])
  assert.deepEqual(ended, ['first', 'urgent', 'relaxed'])
})

test('a cached prefix is not computed again until memory has evicted it, and the feed tells both', async () => {
  const engine = await serve({ shape: { cacheTokens: 320 } })
  const client = createEngine(connections, engine.address)
  await text(await client.start(call(1)))
  await text(await client.start(call(1)))
  assert.equal(engine.tokens.cached, 256)
  await text(await client.start(call(1, {}, 'roster '.repeat(200))))
  const { events, next } = await client.cacheEvents(0)
  assert.deepEqual(events.map((event) => event.kind), ['stored', 'stored', 'evicted'])
  assert.equal(next, 3)
})

test('orders: an older fencing number is refused only where fencing is checked', async () => {
  const order = { generation: 1, model: 'assistant-7b', version: '1', adapters: [], role: 'mixed' as const }
  for (const checkFencing of [true, false]) {
    const engine = await serve({ checkFencing, models: [], shape: { loadTime: 1 } })
    const client = createEngine(connections, engine.address)
    await assert.rejects(client.start(call(1)), { verdict: 'not-run' })
    assert.equal(await client.order({ ...order, fencing: 7 }), true)
    assert.equal(await client.order({ ...order, fencing: 6, generation: 2 }), !checkFencing)
    while (engine.models().length === 0) await clock.sleep(1)
    assert.equal(await text(await client.start(call(2))), answerWords(messages, 2).join(''))
  }
})
