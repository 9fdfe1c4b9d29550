/** Backpressure from a caller that does not read its answer. */
import assert from 'node:assert/strict'
import type { ServerResponse } from 'node:http'
import { Writable } from 'node:stream'
import { test } from 'node:test'
import { streamAnswer } from '../../src/caller/delivery.js'
import { createSystemClock } from '../../src/clock.js'
import { classNameSchema, organisationNameSchema, requestIdFor } from '../../src/identifiers.js'
import { localSource } from '../../src/entry/answer-source.js'
import { startDeployment } from '../../stand-ins/deployment.js'
import type { Deployment } from '../../stand-ins/deployment.js'

const clock = createSystemClock()
const TOKENS = 5_000

/** Maximum number of tokens that the node reads ahead, including the buffers of its connection to the engine. */
const MAX_AHEAD = 1_100

/** A response whose connection accepts no data. */
class StalledResponse extends Writable {
  headersSent = false

  constructor () {
    super({ highWaterMark: 1_024 })
  }

  override _write (): void {}

  writeHead (): void {
    this.headersSent = true
  }

  flushHeaders (): void {}
}

test('a caller that stops reading does not exhaust the memory of the node', async () => {
  // Failure guarded against: a caller requests a long answer and stops reading without closing the connection. The
  // engine generates the whole answer and the node buffers it. The node must stop reading from the engine at a limited
  // number of unread tokens, and must not write to the connection beyond its high-water mark.
  const deployment = await startDeployment({ clock, seed: 5, entries: 1, engines: 1, logLevel: 'silent', engineShape: { token_ms: 0.01, prefill_tokens_per_ms: 1_000 } })
  const response = new StalledResponse()
  try {
    const execution = submit(deployment)
    const delivered = streamAnswer(localSource(execution, clock), 0, response as unknown as ServerResponse)
    let before = -1
    while (execution.answer.offset() === 0 || execution.answer.offset() !== before) {
      before = execution.answer.offset()
      await clock.sleep(300)
    }
    assert.ok(before < MAX_AHEAD, `${before} tokens are buffered for a caller that does not read`)
    assert.ok(response.writableLength < 8_192, `${response.writableLength} bytes are buffered in the connection`)
    response.destroy()
    await delivered
  } finally {
    await deployment.kill()
  }
})

function submit (deployment: Deployment) {
  const node = deployment.entries[0]!
  const requestClass = classNameSchema.parse('service-plan')
  const located = node.parts.executions.submit({
    id: requestIdFor(node.incarnation, 'a-caller-that-stalls'),
    organisation: organisationNameSchema.parse('tejo'),
    class: requestClass,
    idempotent: true,
    fingerprint: 'stalled',
    work: { kind: 'model', body: { model: requestClass, messages: [{ role: 'user', content: 'All of it' }], stream: true, max_tokens: TOKENS } }
  })
  if (located.kind !== 'here') throw new Error('the request runs elsewhere')
  return located.execution
}
