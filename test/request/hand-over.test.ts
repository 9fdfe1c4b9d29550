/** Decisions of a hand-over. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { chatBodySchema, decideContinuation, decideHandOver, splitIntoMessages } from '../../src/request/index.js'
import { upstreamNameSchema } from '../../src/identifiers.js'

const position = { upstream: upstreamNameSchema.parse('engine-1'), handle: 'stream-1', offset: 99 }
const work = { kind: 'model' as const, body: chatBodySchema.parse({ model: 'plan', messages: [{ role: 'user', content: 'a' }] }) }
const call = { kind: 'plain' as const, call: { method: 'POST' as const, path: '/book', headers: [], body: '' } }

// Guards against a request that runs twice. A node is reclaimed while a non-idempotent request is at an upstream. The
// successor receives the request with all that is known about it and must not run it again.
test('a receiver never runs a non-idempotent request that may have run', () => {
  fc.assert(fc.property(fc.boolean(), fc.boolean(), fc.boolean(), fc.array(fc.string()), fc.constantFrom(work, call), (idempotent, dispatched, known, tokens, work) => {
    const continuation = decideContinuation({ request: { idempotent, work }, dispatched, tokens, position: known ? position : undefined })
    const runs = continuation.kind === 'run' || continuation.kind === 'restart' || (continuation.kind === 'attach' && continuation.otherwise === 'restart')
    if (dispatched && !idempotent) assert.equal(runs, false)
    if (!dispatched) assert.equal(continuation.kind, 'run')
    if ('offset' in continuation) assert.equal(continuation.offset, tokens.length)
    if (dispatched && !idempotent && !known) assert.equal(decideHandOver({ request: { idempotent, work }, dispatched, handle: undefined }), 'wait')
  }), { seed: 1, numRuns: 500 })
})

// Guards against a message that is larger than the successor accepts, with which all of its requests would be lost. A
// reclaimed node has many open requests with long prompts.
test('messages stay within their limits and contain all items', () => {
  fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 150 })), (sizes) => {
    const messages = splitIntoMessages(sizes, (size) => size, { bytes: 100, items: 5 })
    assert.deepEqual(messages.flat(), sizes)
    for (const message of messages) {
      assert.ok(message.length === 1 || (message.length <= 5 && message.reduce((sum, size) => sum + size, 0) <= 100))
    }
  }), { seed: 1, numRuns: 500 })
})
