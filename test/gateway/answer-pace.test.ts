import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createAnswerPace } from '../../src/gateway/answer-pace.js'
import type { AnswerPace } from '../../src/gateway/answer-pace.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'

const MB = 1_048_576
const never = new AbortController().signal

/** Passes on as much as the pace allows. @returns the bytes so far */
function passOn (pace: AnswerPace, bytes: number, pieces: number): () => number {
  let passed = 0
  const run = async (): Promise<void> => {
    for (;;) {
      const wait = pace.passed(bytes, pieces, never)
      passed += bytes
      if (wait !== undefined) await wait
      if (passed > 1_000 * MB) return
    }
  }
  run().catch(() => {})
  return () => passed
}

describe('the pace of long answers', () => {
  it('does not delay an answer of 16 MB, nor a stream of usual length', () => {
    const begin = createAnswerPace(createManualClock())
    const long = begin()
    for (let passed = 0; passed < 16_000_000; passed += 64_000) assert.equal(long.passed(64_000, 1, never), undefined)
    const stream = begin()
    for (let event = 0; event < 10_000; event += 1) assert.equal(stream.passed(60, 1, never), undefined)
  })

  // Guards against answers without end that take the processor time of all other requests.
  it('bounds the rate of all answers that are longer, together', async () => {
    const clock = createManualClock()
    const begin = createAnswerPace(clock)
    const passed = [passOn(begin(), 65_536, 1), passOn(begin(), 65_536, 1), passOn(begin(), 65_536, 1)]
    const before = passed.map((bytes) => bytes())
    await clock.advance(4_000)
    const rates = passed.map((bytes, index) => (bytes() - before[index]!) / 4 / MB)
    assert.ok(rates.reduce((sum, rate) => sum + rate, 0) <= 8.1, rates.join(' '))
    assert.ok(Math.min(...rates) > 2, rates.join(' '))
  })

  // Guards against streams of short events without end, each of which costs far more time than its bytes.
  it('counts short pieces by their number', async () => {
    const clock = createManualClock()
    const passed = passOn(createAnswerPace(clock)(), 65_536, 4_096)
    await clock.advance(4_000)
    assert.ok(passed() < 4 * MB, `${passed()} bytes`)
  })
})
