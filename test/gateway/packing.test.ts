/** Encoding of messages between nodes. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { pack, unpack } from '../../src/gateway/packing.js'
import { aggregatorAnswerSchema } from '../../src/gossip/index.js'
import type { AggregatorAnswer } from '../../src/gossip/index.js'

describe('a message between nodes', () => {
  // Guards against members that never receive an answer after a restart of the whole fleet. The first answer of an aggregator
  // contains all store entries. If it exceeds the size limit, decoding fails, and so does every further answer.
  it('is decoded with the records of 3,000 upstreams and a configuration of 2,000 routes', () => {
    const record = (index: number) => ({
      key: `upstreams/i-${index.toString(16).padStart(10, '0')}`,
      value: JSON.stringify({ service: 'service-a', address: `10.128.${index % 250}.9:8080`, zone: 'failure-domain-a', version: 'v1', slots: 64, state: 'ready', coldRemainingMs: 0, stage: 'both', models: [{ name: 'm', version: 1, adapters: [] }], sequence: index }),
      revision: index
    })
    const route = { name: 'r-ndsh3j6', host: 'ficu95.example', prefix: '/lohu930/', kind: 'streaming', timeoutMs: 15_000, targetLatencyMs: 1_219, service: 'service-a', maxAttempts: 2 }
    const configuration = { key: 'configuration', value: JSON.stringify({ version: 7, routes: Array.from({ length: 2_000 }, () => route) }), revision: 1 }
    const answer: AggregatorAnswer = {
      from: 'a-1',
      wall: 0,
      news: [
        { prefix: 'upstreams/', revision: 3_000, isWhole: true, entries: Array.from({ length: 3_000 }, (_, index) => record(index)), removed: [], age: 0 },
        { prefix: 'configuration', revision: 1, isWhole: true, entries: [configuration], removed: [], age: 0 }
      ]
    }
    assert.deepEqual(unpack(aggregatorAnswerSchema, pack(answer)), answer)
  })

  it('is rejected if the text is not an encoded message', () => {
    assert.throws(() => unpack(aggregatorAnswerSchema, 'no message'), { code: 'invalid-request' })
  })
})
