import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createIncomingBody } from '../../src/gateway/upstream-body.js'
import type { IncomingBody } from '../../src/gateway/upstream-body.js'
import { flushPromises } from '../../stand-ins/manual-clock.js'
import { readText } from './read-body.js'

/** A body with the controls that it has used, in order. */
function createBody (): { incoming: IncomingBody, controls: string[] } {
  const controls: string[] = []
  const incoming = createIncomingBody({
    pause: () => { controls.push('pause') },
    resume: () => { controls.push('resume') },
    abort: () => { controls.push('abort') }
  })
  return { incoming, controls }
}

describe('the body of an upstream\'s answer', () => {
  // Guards against a slow caller that fills the memory of the node: its chunks are read from the upstream as fast as they
  // are sent, and wait in the node.
  it('pauses the upstream until the reader has accepted a chunk, and keeps the order', async () => {
    const { incoming, controls } = createBody()
    const received: string[] = []
    let accept = (): void => {}
    const reading = incoming.body.read((chunk) => {
      received.push(String(chunk))
      return new Promise<void>((resolve) => { accept = resolve })
    })
    incoming.push(Buffer.from('a'))
    await flushPromises()
    assert.deepEqual(controls, ['pause'])
    incoming.push(Buffer.from('b'))
    await flushPromises()
    assert.deepEqual(received, ['a'])
    accept()
    await flushPromises()
    assert.deepEqual(received, ['a', 'b'])
    accept()
    incoming.end()
    await flushPromises()
    await reading
  })

  it('pauses the upstream while more bytes are unread than a reader needs', async () => {
    const { incoming, controls } = createBody()
    incoming.push(Buffer.alloc(40_000))
    assert.deepEqual(controls, [])
    incoming.push(Buffer.alloc(40_000))
    assert.deepEqual(controls, ['pause'])
    incoming.end()
    assert.equal((await readText(incoming.body)).length, 80_000)
  })

  // Guards against a truncated answer that looks complete: the connection breaks while the caller is slow.
  it('is rejected when it is cut short, also while the reader has not accepted the latest chunk', async () => {
    const { incoming } = createBody()
    let accept = (): void => {}
    const reading = incoming.body.read(() => new Promise<void>((resolve) => { accept = resolve }))
    incoming.push(Buffer.from('a'))
    await flushPromises()
    incoming.fail(new Error('closed'))
    accept()
    await assert.rejects(reading, /closed/)
    const { incoming: early } = createBody()
    early.push(Buffer.from('a'))
    early.fail(new Error('closed'))
    await assert.rejects(readText(early.body), /closed/)
  })

  // Guards against an upstream that runs on for nobody: the reader has given up, and the connection stays open.
  it('closes the connection when the reader fails', async () => {
    const { incoming, controls } = createBody()
    const reading = incoming.body.read(() => { throw new RangeError('too long') })
    incoming.push(Buffer.from('a'))
    await assert.rejects(reading, /too long/)
    assert.deepEqual(controls, ['abort'])
  })

  // Guards against controls of an earlier answer that pause or resume the next exchange on the same connection.
  it('controls the connection no more after the end of the answer', async () => {
    const { incoming, controls } = createBody()
    let accept = (): void => {}
    const reading = incoming.body.read(() => new Promise<void>((resolve) => { accept = resolve }))
    incoming.push(Buffer.from('a'))
    incoming.end()
    await flushPromises()
    accept()
    await reading
    assert.deepEqual(controls, [])
  })

  it('passes on chunks that arrive together as one', async () => {
    const { incoming } = createBody()
    const received: string[] = []
    const reading = incoming.body.read((chunk) => { received.push(String(chunk)) })
    for (const text of ['a', 'b', 'c']) incoming.push(Buffer.from(text))
    incoming.end()
    await reading
    assert.deepEqual(received, ['abc'])
  })
})
