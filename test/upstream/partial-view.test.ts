/** The subset of a large service's upstreams that a node uses. */
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
 * With 600 servers, a node that polled the load of each one every second would use too much bandwidth and time. It
 * polls only a subset and must send requests only to upstreams in this subset, because it knows the load of no
 * others.
 */
test('a node sends only to upstreams that it polls, and together the nodes use every upstream', () => {
  const used = new Set<string>()
  for (let node = 0; node < NODES; node += 1) {
    const polled = new Set(usedUpstreams(`entry-${node}`, views, NODES).map((each) => each.name))
    assert.ok(polled.size <= 20, `${polled.size} upstreams are polled`)
    for (const name of polled) used.add(name)
  }
  assert.equal(used.size, SERVERS)
  const scheduler = createScheduler({ random: createRandom(1), node: 'entry-17' })
  scheduler.handle({ kind: 'configured', configuration }, 0)
  scheduler.handle({ kind: 'nodes', count: NODES }, 0)
  scheduler.handle({ kind: 'upstreams', upstreams: views }, 0)
  const polled = new Set(usedUpstreams('entry-17', views, NODES).map((each) => each.name))
  const effects = Array.from({ length: 12 }, (_, number) => scheduler.handle({ kind: 'arrived', attempt: attempt(number) }, 0)).flat()
  const dispatched = effects.flatMap((effect) => effect.kind === 'dispatch' ? [effect.upstream] : [])
  assert.ok(dispatched.length > 0, 'no request was dispatched')
  assert.ok(dispatched.every((name) => polled.has(name)), 'dispatched to an upstream that is not polled')
})
