/** A caller that does not read. */
import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { test } from 'node:test'
import { createSystemClock } from '../../src/clock.js'
import { startDeployment } from '../../stand-ins/deployment.js'

const clock = createSystemClock()
const TOKENS = 60_000

/** Tokens that may lie between engine and caller: the node's own read-ahead and both ends' socket buffers. */
const MOST_AHEAD = 40_000

test('a caller that reads nothing does not fill the node\'s memory', async () => {
  // A caller asks for a long answer and stops reading, without closing. The engine would generate all of
  // it and the node keep it. The node stops reading from the engine once it is a bounded number of
  // tokens ahead, and goes on when the caller does.
  const deployment = await startDeployment({ clock, seed: 5, entries: 1, engines: 1, logLevel: 'silent', engineShape: { token_ms: 0.01, prefill_tokens_per_ms: 1_000 } })
  try {
    const execution = await askWithoutReading(deployment.addresses[0]!, deployment.key, () => deployment.entries[0]!.parts.executions.open()[0])
    let before = -1
    while (execution.answer.offset() !== before) {
      before = execution.answer.offset()
      await clock.sleep(400)
    }
    assert.ok(before > 0 && before < MOST_AHEAD, `${before} tokens are kept for a caller that reads nothing`)
  } finally {
    await deployment.kill()
  }
})

async function askWithoutReading<T> (address: string, key: string, find: () => T | undefined): Promise<T> {
  const [host, port] = address.split(':')
  const body = JSON.stringify({ model: 'service-plan', messages: [{ role: 'user', content: 'All of it' }], max_tokens: TOKENS, stream: true })
  const socket = connect({ host: host as string, port: Number(port) })
  socket.on('error', () => {})
  socket.pause()
  socket.write(`POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${key}\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body}`)
  for (;;) {
    const found = find()
    if (found !== undefined) return found
    await clock.sleep(5)
  }
}
