import assert from 'node:assert/strict'
import { describe, it, mock } from 'node:test'
import fc from 'fast-check'
import { createEventSplitter } from '../../src/gateway/event-stream.js'

/** Complete events at the start of a text with one character per byte, by the definition of the format: a blank line ends an event. */
function completeEvents (text: string): { complete: string, count: number, lastId: string | undefined } {
  const ends = [...text.matchAll(/(?<=\n)\r?\n/g)].map((match) => match.index + match[0].length)
  const complete = text.slice(0, ends.at(-1) ?? 0)
  const lastId = [...complete.matchAll(/(?:^|\n)id: ?([^\r\n]*)/g)].at(-1)?.[1]
  return { complete, count: ends.length, lastId: lastId === undefined ? undefined : Buffer.from(lastId, 'latin1').toString('utf8') }
}

const pieces = fc.array(fc.constantFrom('\n', '\n', '\r\n', '\n\n', '\r\n\r\n', '\r', 'id:', 'id: 7', 'id: é', ' id:', 'data: x', 'x', '€'), { maxLength: 30 })
const sizes = fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1, maxLength: 10 })

describe('the splitter of an event stream', () => {
  // Guards against a caller that reads a truncated event joined to a complete one, and against a stream that is resumed
  // after the wrong event: the chunks of a connection end anywhere, also within a character or a blank line.
  it('passes on complete events unchanged, counts them and finds the last id, wherever the chunks end', () => {
    fc.assert(fc.property(pieces, sizes, (texts, chunkSizes) => {
      const bytes = Buffer.from(texts.join(''))
      const splitter = createEventSplitter()
      let pending = ''
      for (let start = 0, index = 0; start < bytes.length; index += 1) {
        const chunk = bytes.subarray(start, start + chunkSizes[index % chunkSizes.length]!)
        start += chunk.length
        pending += chunk.toString('latin1')
        const { complete, count, lastId } = completeEvents(pending)
        const events = splitter.push(chunk)
        assert.deepEqual({ complete: events.bytes.toString('latin1'), count: events.count, lastId: events.lastId }, { complete, count, lastId })
        pending = pending.slice(complete.length)
        assert.equal(splitter.pendingBytes(), pending.length)
      }
    }), { seed: 1, numRuns: 5_000 })
  })

  // Guards against an upstream that takes the processor time of all other requests with one event: it comes in many small pieces.
  it('reads each byte of an event that comes in many pieces a few times at most', () => {
    const splitter = createEventSplitter()
    const piece = Buffer.from('x'.repeat(100))
    let decoded = 0
    const decode = piece.toString.bind(piece)
    piece.toString = (...parameters) => {
      decoded += piece.length
      return decode(...parameters)
    }
    const concatenated = mock.method(Buffer, 'concat')
    try {
      for (let index = 0; index < 5_000; index += 1) splitter.push(piece)
      const { bytes, count } = splitter.push(Buffer.from('\n\n'))
      assert.deepEqual({ bytes: bytes.length, count, decoded }, { bytes: 500_002, count: 1, decoded: 500_000 })
      assert.equal(concatenated.mock.callCount(), 1)
    } finally {
      concatenated.mock.restore()
    }
  })
})
