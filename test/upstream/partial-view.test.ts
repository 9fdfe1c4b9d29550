/** What a node follows of a large fleet. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createScheduler } from '../../src/admission/index.js'
import { createRandom } from '../../src/random.js'
import { usedUpstreams } from '../../src/upstream/index.js'
import { attempt, configuration, view } from '../admission/fixtures.js'

const NODES = 370
const SERVERS = 600
const views = Array.from({ length: SERVERS }, (_, index) => view(index))

/*
 * At 600 servers a node that asked each for its load every second would spend its time and its bytes on
 * nothing else. It follows a part, and must send only where it looks: an upstream whose load it never
 * hears of would be chosen blindly.
 */
test('a node sends only to upstreams that it follows, and together the nodes use every upstream', () => {
  const used = new Set<string>()
  for (let node = 0; node < NODES; node += 1) {
    const followed = new Set(usedUpstreams(`entry-${node}`, views, NODES).map((each) => each.name))
    assert.ok(followed.size <= 20, `${followed.size} upstreams are followed`)
    for (const name of followed) used.add(name)
  }
  assert.equal(used.size, SERVERS)
  const scheduler = createScheduler({ random: createRandom(1), node: 'entry-17' })
  scheduler.handle({ kind: 'configured', configuration }, 0)
  scheduler.handle({ kind: 'nodes', count: NODES }, 0)
  scheduler.handle({ kind: 'upstreams', upstreams: views }, 0)
  const followed = new Set(usedUpstreams('entry-17', views, NODES).map((each) => each.name))
  const effects = Array.from({ length: 12 }, (_, number) => scheduler.handle({ kind: 'arrived', attempt: attempt(number) }, 0)).flat()
  const sent = effects.flatMap((effect) => effect.kind === 'dispatch' ? [effect.upstream] : [])
  assert.ok(sent.length > 0, 'nothing was sent')
  assert.ok(sent.every((name) => followed.has(name)), 'sent to an upstream that is not followed')
})
