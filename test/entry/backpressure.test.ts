/** A caller that does not read. */
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

/** The node's read-ahead, with what the buffers of its connection to the engine hold. */
const MOST_AHEAD = 1_100

/** A response whose connection takes nothing. */
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

test('a caller that reads nothing does not fill the node\'s memory', async () => {
  // A caller asks for a long answer and stops reading, without closing. The engine would generate all of
  // it and the node keep it. The node stops reading from the engine once it is a bounded number of
  // tokens ahead, and the connection's own buffer is not written past its mark.
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
    assert.ok(before < MOST_AHEAD, `${before} tokens are kept for a caller that reads nothing`)
    assert.ok(response.writableLength < 8_192, `${response.writableLength} bytes wait in the connection's buffer`)
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
