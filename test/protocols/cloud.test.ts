/** Client of the cloud's API against a stand-in: idempotent orders, refusals, notices and lost replies. */
import assert from 'node:assert/strict'
import { after, before, test } from 'node:test'
import { offerSchema, startOrderSchema } from '../../src/capacity/index.js'
import { failureDomainSchema } from '../../src/identifiers.js'
import { createCloud } from '../../src/protocols/cloud.js'
import type { Cloud } from '../../src/protocols/cloud.js'
import { createConnections } from '../../src/protocols/http.js'
import type { Connections } from '../../src/protocols/http.js'
import { createRandom } from '../../src/random.js'
import { serveCloud } from '../../stand-ins/cloud.js'
import type { CloudStandIn } from '../../stand-ins/cloud.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'

const OFFER = offerSchema.parse({ failureDomain: 'zone-a', machineClass: 'large', market: 'reclaimable', pricePerHour: 2 })
const clock = createManualClock()
let standIn: CloudStandIn
let connections: Connections
let cloud: Cloud

before(async () => {
  standIn = await serveCloud({ port: 0, clock, random: createRandom(1), offers: [OFFER], startTime: 0 })
  connections = createConnections(4)
  cloud = createCloud(connections, standIn.address)
})

after(async () => {
  await connections.destroy()
  await standIn.kill()
})

// Guards against starting two instances for one order: the reply to the order is lost after the instance was started, and the
// order is repeated. The name of the order identifies the instance that is already running.
test('a repeated order whose first reply was lost starts one instance', async () => {
  standIn.faultSwitch.faults.lostReplies = 1
  await assert.rejects(cloud.start(orderNamed('assistant-1')), { verdict: 'may-have-run' })
  standIn.faultSwitch.faults.lostReplies = 0
  assert.equal((await cloud.start(orderNamed('assistant-1'))).kind, 'started')
  assert.equal(standIn.state.startedOrders().length, 1)
})

// Guards against an instance that runs unnoticed: the start order of a paused planner arrives after its successor has released
// the name.
test('a start order that arrives after the release of its name starts nothing', async () => {
  await cloud.release(orderNamed('assistant-2').name)
  assert.deepEqual(await cloud.start(orderNamed('assistant-2')), { kind: 'ended' })
})

test('a refused order resolves instead of rejecting', async () => {
  standIn.state.limitCapacity(OFFER, 0)
  assert.equal((await cloud.start(orderNamed('assistant-3'))).kind, 'refused')
  standIn.state.limitCapacity(OFFER, undefined)
})

test('each notice is read once, oldest first, with the remaining time', async () => {
  standIn.state.reclaimDomain(failureDomainSchema.parse('zone-a'), 5_000)
  await clock.advance(1_000)
  const page = await cloud.notices(0)
  assert.deepEqual(page.notices.map((notice) => [notice.instance, notice.remainingMs]), [['assistant-1', 4_000]])
  assert.deepEqual((await cloud.notices(page.next)).notices, [])
  assert.equal((await cloud.list('sample'))[0]?.state, 'reclaiming')
  await clock.advance(4_000)
  assert.deepEqual(await cloud.list('sample'), [])
})

function orderNamed (name: string) {
  return startOrderSchema.parse({ name, group: 'sample', service: 'assistant', failureDomain: 'zone-a', machineClass: 'large', market: 'reclaimable' })
}
