import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createRequestMemory } from '../../src/caller/request-memory.js'
import type { RequestMemory, RequestShare } from '../../src/caller/request-memory.js'

const CAPACITY = 1_000_000

describe('the memory of requests', () => {
  let now = 0
  const clock = { now: () => now }

  function openAll (memory: RequestMemory, count: number, bytes: number): { readonly share: RequestShare, readonly holds: boolean, readonly yielded: () => boolean }[] {
    return Array.from({ length: count }, () => {
      const share = memory.open()
      let hasYielded = false
      share.onYield(() => { hasYielded = true })
      return { share, holds: share.hold(bytes), yielded: () => hasYielded }
    })
  }

  // Guards against many requests of a permitted size that together take more than the process has.
  it('has room for all together up to its capacity, and for a small part of each beyond it', () => {
    const memory = createRequestMemory(CAPACITY, clock)
    assert.deepEqual(openAll(memory, 6, 200_000).map(({ holds }) => holds), [true, true, true, true, true, false])
    assert.equal(memory.bytes(), CAPACITY)
    assert.ok(openAll(memory, 10, 16_384).every(({ holds }) => holds))
    assert.equal(memory.counts().refused, 1)
  })

  // Guards against a request of the largest size that is never served, since it is larger than the capacity.
  it('has room for one that is alone, whatever its size', () => {
    assert.ok(createRequestMemory(CAPACITY, clock).open().hold(10 * CAPACITY))
  })

  // Guards against callers that hold all memory by requests whose end never comes.
  it('takes it from requests that have stood still, longest first, and from no others', () => {
    const memory = createRequestMemory(CAPACITY, clock)
    const [first, second, whole] = openAll(memory, 3, 300_000)
    whole!.share.settle()
    now += 2_000
    second!.share.arrived(20_000)
    const [needed] = openAll(memory, 1, 300_000)
    assert.deepEqual([needed!.holds, first!.yielded(), second!.yielded(), whole!.yielded()], [true, true, false, false])
    const [late] = openAll(memory, 1, 300_000)
    assert.equal(late!.holds, false, 'the others go on, or have come whole')
    assert.equal(memory.counts().yielded, 1)
  })

  // Guards against taking it from a request that has just come, on a connection that was opened long before.
  it('counts standing still from the first byte', () => {
    const memory = createRequestMemory(CAPACITY, clock)
    const share = memory.open()
    now += 5_000
    let hasYielded = false
    share.onYield(() => { hasYielded = true })
    share.hold(CAPACITY)
    const [other] = openAll(memory, 1, CAPACITY)
    assert.deepEqual([other!.holds, hasYielded], [false, false])
  })

  it('gets back what is released, once', () => {
    const memory = createRequestMemory(CAPACITY, clock)
    const [one] = openAll(memory, 1, 500_000)
    one!.share.hold(200_000)
    assert.equal(memory.bytes(), 200_000)
    one!.share.release()
    one!.share.release()
    assert.equal(memory.bytes(), 0)
  })
})
