import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createQuarantine, MAX_BROKEN_RUNS } from '../../src/quarantine/index.js'

describe('the quarantine', () => {
  // Failure guarded against: a request crashes each engine that runs it, and all other requests there break off. The
  // caller keeps retrying it at other nodes with new request ids.
  it('refuses a request after the third broken run, counted over all nodes', () => {
    const nodes = Array.from({ length: 3 }, () => createQuarantine())
    nodes.forEach((node) => node.broken('culprit', 0))
    assert.equal(nodes[0]!.isRefused('culprit', 0), false)
    nodes[0]!.observe([nodes[1]!.own(0), nodes[2]!.own(0)])
    assert.equal(nodes[0]!.isRefused('culprit', 0), true)
    assert.equal(nodes[0]!.isRefused('other', 0), false)
  })

  it('clears a request that got a complete answer at any node', () => {
    const here = createQuarantine()
    const there = createQuarantine()
    for (let run = 0; run < MAX_BROKEN_RUNS; run += 1) here.broken('popular', run)
    assert.equal(here.isRefused('popular', 3), true)
    there.observe([here.own(3)])
    there.answered('popular', 4)
    here.observe([there.own(4)])
    assert.equal(here.isRefused('popular', 5), false)
  })

  it('keeps only fingerprints with broken runs, for one minute', () => {
    const quarantine = createQuarantine()
    quarantine.answered('never broke', 0)
    assert.deepEqual(quarantine.own(0), {})
    for (let run = 0; run < MAX_BROKEN_RUNS; run += 1) quarantine.broken('culprit', 0)
    assert.equal(quarantine.isRefused('culprit', 59_999), true)
    assert.equal(quarantine.isRefused('culprit', 60_000), false)
  })

  it('bounds the number of fingerprints', () => {
    const quarantine = createQuarantine()
    for (let index = 0; index < 2_000; index += 1) quarantine.broken(`f${index}`, index)
    assert.ok(Object.keys(quarantine.own(2_000)).length <= 300)
  })
})
