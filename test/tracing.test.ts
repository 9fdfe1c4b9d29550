/** Trace spans of the hops of a request. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createClient } from '../src/client/index.js'
import { createSystemClock } from '../src/clock.js'
import { createTracing } from '../src/tracing.js'
import { startDeployment } from '../stand-ins/deployment.js'

const clock = createSystemClock()
const TRACE = '0af7651916cd43dd8448eb211c80319c'
const PARENT = 'b7ad6b7169203331'

test('one trace connects the caller with each attempt, including retries and hand-overs', async () => {
  // An operator who looks up a slow request by the trace of the caller must find every hop: both nodes that processed
  // the request, and each upstream that it was dispatched to.
  const deployment = await startDeployment({ clock, seed: 7, entries: 2, engines: 2, logLevel: 'silent' })
  const client = createClient({ addresses: [deployment.addresses[0]!], key: deployment.key })
  try {
    while (deployment.entries.some((entry) => entry.parts.membership.count() < 2)) await clock.sleep(20)
    const tokens: string[] = []
    const answer = client.chat({ class: 'service-plan', messages: [{ role: 'user', content: 'Trace me' }], maxTokens: 300, traceparent: `00-${TRACE}-${PARENT}-01`, onToken: (text) => tokens.push(text) })
    while (tokens.length < 10) await clock.sleep(5)
    const home = deployment.entries.find((entry) => entry.parts.executions.open().length > 0)!
    const execution = home.parts.executions.open()[0]!
    await deployment.engines.find((engine) => engine.upstream === execution.attempt!.upstream)!.kill()
    while (execution.attempt === undefined || execution.attempt.handle === '' || tokens.length < 40) await clock.sleep(5)
    const successor = deployment.entries.find((entry) => entry !== home)!
    await home.stop(clock.now() + 700)
    await answer
    await clock.sleep(50)
    const spans = [home, successor].map((entry) => entry.parts.context.tracing.recent().filter((span) => span.spanContext().traceId === TRACE))
    const names = spans.map((list) => list.map((span) => span.name).sort())
    assert.deepEqual(names, [['attempt', 'attempt', 'request'], ['attempt', 'request']])
    for (const list of spans) {
      const request = list.find((span) => span.name === 'request')!
      assert.equal(request.parentSpanContext?.spanId, PARENT)
      for (const span of list.filter((one) => one.name === 'attempt')) assert.equal(span.parentSpanContext?.spanId, request.spanContext().spanId)
    }
  } finally {
    await client.close()
    await deployment.kill()
  }
})

test('a malformed trace context starts a new trace', async () => {
  const tracing = createTracing('test', undefined)
  for (const malformed of ['', 'rubbish', `00-${'0'.repeat(32)}-${PARENT}-01`, `00-${TRACE}-${'0'.repeat(16)}-01`]) {
    assert.doesNotMatch(tracing.start('hop', malformed, {}).traceparent, new RegExp(TRACE))
  }
  assert.match(tracing.start('hop', `00-${TRACE}-${PARENT}-01`, {}).traceparent, new RegExp(`^00-${TRACE}-[0-9a-f]{16}-01$`))
  await tracing.close()
})
