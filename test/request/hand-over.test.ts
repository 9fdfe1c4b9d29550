import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { chatBodySchema, decideContinuation, decideLeaving, divide } from '../../src/request/index.js'
import { upstreamNameSchema } from '../../src/identifiers.js'

const position = { upstream: upstreamNameSchema.parse('engine-1'), handle: 'stream-1', offset: 99 }
const work = { kind: 'model' as const, body: chatBodySchema.parse({ model: 'plan', messages: [{ role: 'user', content: 'a' }] }) }
const call = { kind: 'plain' as const, call: { method: 'POST' as const, path: '/book', headers: [], body: '' } }

// A node is taken back while a bus order is at the coach company. Its successor gets the order with
// everything known about it, and must not place it again.
test('what may have run and is not idempotent is never run by a receiver', () => {
  fc.assert(fc.property(fc.boolean(), fc.boolean(), fc.boolean(), fc.array(fc.string()), fc.constantFrom(work, call), (idempotent, dispatched, known, tokens, work) => {
    const continuation = decideContinuation({ request: { idempotent, work }, dispatched, tokens, position: known ? position : undefined })
    const runs = continuation.kind === 'run' || continuation.kind === 'restart' || (continuation.kind === 'attach' && continuation.otherwise === 'restart')
    if (dispatched && !idempotent) assert.equal(runs, false)
    if (!dispatched) assert.equal(continuation.kind, 'run')
    if ('offset' in continuation) assert.equal(continuation.offset, tokens.length)
    if (dispatched && !idempotent && !known) assert.equal(decideLeaving({ request: { idempotent, work }, dispatched, handle: undefined }), 'wait')
  }), { seed: 1, numRuns: 500 })
})

// Sixty technicians have attached long logs when the node is taken back. One message with all of them is
// larger than the successor reads, and sixty plans would be lost at once.
test('messages keep their bounds and lose nothing', () => {
  fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 150 })), (sizes) => {
    const messages = divide(sizes, (size) => size, { bytes: 100, items: 5 })
    assert.deepEqual(messages.flat(), sizes)
    for (const message of messages) {
      assert.ok(message.length === 1 || (message.length <= 5 && message.reduce((sum, size) => sum + size, 0) <= 100))
    }
  }), { seed: 1, numRuns: 500 })
})
