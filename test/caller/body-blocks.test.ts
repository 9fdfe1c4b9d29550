import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { createBodyBlocks } from '../../src/caller/body-blocks.js'

describe('the blocks of a body', () => {
  // Guards against a body that is changed on its way, and against a count of its memory that is less than it takes.
  it('hold the bytes in order, in whatever pieces they come, and the memory that was told before', () => {
    fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 300_000 }), { maxLength: 12 }), fc.boolean(), (sizes, isAnnounced) => {
      const sent = Buffer.concat(sizes.map((size, index) => Buffer.alloc(size, `piece ${index} `)))
      const blocks = createBodyBlocks(isAnnounced ? sent.length : undefined)
      let start = 0
      for (const size of sizes) {
        const told = blocks.allocatedAfter(size)
        blocks.append(sent.subarray(start, start + size))
        start += size
        assert.ok(told >= start)
        assert.equal(blocks.allocatedAfter(0), told)
      }
      assert.ok(blocks.whole().equals(sent))
    }), { numRuns: 200, seed: 1 })
  })

  // Guards against blocks of a size that nobody has sent.
  it('take at most twice what has come and a first block, whatever was announced', () => {
    const blocks = createBodyBlocks(1_000_000_000)
    for (let index = 0; index < 5_000; index += 1) blocks.append(Buffer.alloc(1_000))
    assert.ok(blocks.allocatedAfter(0) <= 2 * 5_000_000)
    const small = createBodyBlocks(1_000_000_000)
    small.append(Buffer.alloc(1))
    assert.ok(small.allocatedAfter(0) <= 65_536)
  })
})
