/** The rate-limited sink for log lines. */
import assert from 'node:assert/strict'
import { Writable } from 'node:stream'
import { describe, it } from 'node:test'
import { createBoundedLineSink } from '../src/bounded-line-sink.js'
import { createManualClock } from '../stand-ins/manual-clock.js'

const describeLeftOut = (leftOut: Readonly<Record<string, number>>): string => JSON.stringify({ event: 'lines-left-out', ...leftOut })

describe('the bounded line sink', () => {
  it('limits the lines per event and second without affecting other events, and reports the omitted lines', async () => {
    const clock = createManualClock()
    const seen: string[] = []
    const stream = new Writable({ write: (chunk, _encoding, done) => { seen.push(String(chunk).trim()); done() } })
    const sink = createBoundedLineSink(stream, clock, describeLeftOut)
    for (let count = 0; count < 100; count += 1) sink('refused', 'refused')
    sink('started', 'started')
    assert.deepEqual([seen.filter((line) => line === 'refused').length, seen.at(-1)], [25, 'started'])
    await clock.advance(1_000)
    sink('next', 'next')
    assert.deepEqual(seen.slice(-2), ['{"event":"lines-left-out","refused":75}', 'next'])
  })

  // Guards against a process that runs out of memory because the log collector hangs and all lines are buffered.
  it('buffers a bounded amount while the reader hangs, and continues when the reader does', async () => {
    const clock = createManualClock()
    const waiting: (() => void)[] = []
    const stream = new Writable({ write: (_chunk, _encoding, done) => { waiting.push(done) } })
    const sink = createBoundedLineSink(stream, clock, describeLeftOut)
    for (let second = 0; second < 60; second += 1) {
      for (let count = 0; count < 20; count += 1) sink('x'.repeat(1_000), 'event')
      await clock.advance(1_000)
    }
    assert.ok(stream.writableLength < 262_144 + 2_000, `${stream.writableLength}`)
    while (waiting.length > 0) {
      waiting.shift()!()
      await clock.advance(0)
    }
    assert.equal(stream.writableLength, 0)
    await clock.advance(1_000)
    sink('after', 'event')
    assert.ok(stream.writableLength > 0)
  })
})
