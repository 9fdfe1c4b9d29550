import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createOpenStreams, groupByOrigin } from '../../src/stream-origins/index.js'

const first = { service: 'plans', version: 'v1' }
const second = { service: 'plans', version: 'v2' }

describe('the streams of a checkpoint', () => {
  it('are grouped by their origins', () => {
    assert.deepEqual(groupByOrigin([['a', first], ['b', second], ['c', first]]), [{ ...first, ids: ['a', 'c'] }, { ...second, ids: ['b'] }])
  })
})

describe('the open streams of a node', () => {
  // Guards against streams that began while there was one version, and of which nobody keeps a record once there are two.
  it('are due once their origin can no longer be inferred, each once', () => {
    let isInferable = true
    const streams = createOpenStreams()
    assert.equal(streams.begin('a', { origin: first, until: 10, isInferable: () => isInferable }), false)
    assert.equal(streams.recorded(0).size, 0)
    isInferable = false
    assert.deepEqual([...streams.takeDue(1)], [['a', first]])
    assert.equal(streams.takeDue(2).size, 0)
    assert.deepEqual([...streams.recorded(2)], [['a', first]])
  })

  it('are recorded until the time limit of their request, also where their origin can be inferred again', () => {
    let isInferable = false
    const streams = createOpenStreams()
    assert.equal(streams.begin('a', { origin: first, until: 10, isInferable: () => isInferable }), true)
    isInferable = true
    assert.equal(streams.recorded(9).size, 1)
    assert.equal(streams.recorded(10).size, 0)
  })

  it('are forgotten a second after they have been sent as a whole', () => {
    const streams = createOpenStreams()
    streams.begin('a', { origin: first, until: 10_000, isInferable: () => false })
    streams.end('a', 5)
    assert.equal(streams.recorded(1_004).size, 1)
    assert.equal(streams.recorded(1_005).size, 0)
  })

  // Guards against a node that has not noticed that the caller left: the first answer ends beside the one in which the caller has taken the stream up.
  it('stay while another answer with the stream is sent', () => {
    const streams = createOpenStreams()
    const opened = { origin: first, until: 10_000, isInferable: () => false }
    streams.begin('a', opened)
    streams.begin('a', opened)
    streams.end('a', 5)
    assert.equal(streams.recorded(3_000).size, 1)
    streams.end('a', 3_000)
    assert.equal(streams.recorded(4_000).size, 0)
  })
})
