/** Reading and writing of an answer by several readers and a writer. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createAnswer } from '../../src/request/index.js'

const MANY_WAITS = 1_000

// Guards against a node that stops responding because two readers that wait for the same answer wake each other for
// ever. The test counts the waits and aborts them at a maximum, so that the failure shows as a number and not as a
// hang.
test('readers that wait for one answer do not wake each other', async () => {
  const answer = createAnswer()
  const controller = new AbortController()
  const { signal } = controller
  const listen = signal.addEventListener.bind(signal)
  let waits = 0
  signal.addEventListener = (...parameters: Parameters<typeof listen>) => {
    waits += 1
    if (waits > MANY_WAITS) controller.abort()
    listen(...parameters)
  }
  const readers = [0, 0, 1].map(async (offset) => {
    const texts: string[] = []
    for await (const part of answer.read(offset, signal)) texts.push(part.kind === 'token' ? part.token.text : part.kind)
    return texts
  })
  await new Promise((resolve) => setImmediate(resolve))
  answer.append({ offset: 0, text: 'a' })
  answer.append({ offset: 1, text: 'b' })
  await new Promise((resolve) => setImmediate(resolve))
  answer.close({ kind: 'moved', retryAfter: 0 })
  assert.deepEqual(await Promise.all(readers), [['a', 'b', 'moved'], ['a', 'b', 'moved'], ['b', 'moved']])
  assert.ok(waits < 20, `${waits} waits`)
})

test('a writer that is too far ahead waits until the fastest reader has caught up', async () => {
  const answer = createAnswer()
  const { signal } = new AbortController()
  const parts = answer.read(0, signal)[Symbol.asyncIterator]()
  const first = parts.next()
  for (const offset of [0, 1, 2]) answer.append({ offset, text: 'a' })
  await first
  let room = false
  const waiting = answer.waitForReaders(2, signal).then(() => { room = true })
  await new Promise((resolve) => setImmediate(resolve))
  assert.equal(room, false)
  await parts.next()
  await parts.next()
  parts.next().catch(() => {})
  await waiting
  assert.equal(room, true)
})
