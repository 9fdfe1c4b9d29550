/** Steps for scenarios with a planner in a complete deployment. */
import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { describeEvent, plannerHistorySchema } from '../../src/capacity/index.js'
import { createClient } from '../../src/client/index.js'
import { createSystemClock, SECOND } from '../../src/clock.js'
import { failureDomainSchema } from '../../src/identifiers.js'
import { HISTORY_KEY, LEAVING_KEY } from '../../src/planner/keys.js'
import { startPlanner } from '../../src/planner/planner.js'
import type { Planner } from '../../src/planner/planner.js'
import { plannerSettingsSchema } from '../../src/planner/settings.js'
import { createRandom } from '../../src/random.js'
import { platformSettings } from '../../stand-ins/deployment.js'
import type { Deployment } from '../../stand-ins/deployment.js'
import { answerWords } from '../../stand-ins/engine.js'
import type { DeploymentWorld } from './world.js'

interface PlannerStepsWorld extends DeploymentWorld {
  deployment: Deployment
  planners: Planner[]
}

const clock = createSystemClock()
const PLANNING_PERIOD_MS = 200
const NOTICE = 2 * SECOND
const GROUP = 'sample'
const SERVICE = 'servicing-assistant'

Given('a/another planner runs beside the entry nodes', async function (this: PlannerStepsWorld) {
  const number = (this.planners?.length ?? 0) + 1
  const settings = plannerSettingsSchema.parse({
    instance: `entry-${number}`,
    failure_domain: 'zone-a',
    log_level: 'silent',
    platform: platformSettings(this.deployment.platform),
    group: GROUP,
    machine_classes: [{ name: 'accelerated', runs: 'model' }, { name: 'general', runs: 'plain' }],
    fencing_checked_by: [SERVICE],
    period_ms: PLANNING_PERIOD_MS
  })
  this.planners = [...this.planners ?? [], startPlanner({ settings, clock, random: createRandom(number) })]
  await waitUntil(() => this.deployment.keyValue.store.get(HISTORY_KEY) !== undefined, 10)
})

Given('the cloud sells no reclaimable instance any more', function (this: PlannerStepsWorld) {
  const { state } = this.deployment.cloud
  for (const offer of state.offers().filter((candidate) => candidate.market === 'reclaimable')) state.limitCapacity(offer, 0)
})

When('the cloud takes back the reclaimable instances of {string}', function (this: PlannerStepsWorld, zone: string) {
  this.deployment.cloud.state.reclaimDomain(failureDomainSchema.parse(zone), NOTICE)
})

Then('within {int} seconds {int} engines of the deployment serve the model again', async function (this: PlannerStepsWorld, seconds: number, count: number) {
  const allLive = (): boolean => enginesOf(this.deployment).length === count && enginesOf(this.deployment).every((instance) => instance.state === 'live')
  await waitUntil(() => allLive() && this.deployment.fleet.engines().filter((engine) => engine.models().length > 0).length === count, seconds)
})

Then('the planner\'s history tells of the reclaim', function (this: PlannerStepsWorld) {
  const { events } = plannerHistorySchema.parse(JSON.parse(this.deployment.keyValue.store.get(HISTORY_KEY)?.value ?? ''))
  assert.ok(events.some(({ event }) => event.kind === 'instances' && event.reclaimed > 0), events.map(({ event }) => describeEvent(event)).join('\n'))
})

Then('the cloud has started {int} engines in all', function (this: PlannerStepsWorld, count: number) {
  assert.equal(this.deployment.cloud.state.startedOrders().filter((order) => order.service === SERVICE).length, count)
})

Then('one engine of the deployment is on demand', function (this: PlannerStepsWorld) {
  const markets = enginesOf(this.deployment).map((instance) => instance.market)
  assert.equal(markets.filter((market) => market === 'on-demand').length, 1)
})

After(async function (this: Partial<PlannerStepsWorld>) {
  for (const planner of this.planners ?? []) await planner.kill()
})

When('the planner\'s list says that the first engine\'s instance is drained', function (this: PlannerStepsWorld) {
  const instance = this.deployment.fleet.instanceOf(this.deployment.engines[0]!.upstream)
  this.deployment.keyValue.store.put(LEAVING_KEY, JSON.stringify({ instances: [instance] }))
})

Then('within {int} seconds every entry node gives the first engine no new work', async function (this: PlannerStepsWorld, seconds: number) {
  const { upstream } = this.deployment.engines[0]!
  await waitUntil(() => this.deployment.entries.every((entry) => entry.parts.directory.find(upstream)?.leaving === true), seconds)
})

Then('{int} short questions are answered whole without it', async function (this: PlannerStepsWorld, count: number) {
  const startedBefore = this.deployment.engines[0]!.started.length
  const client = createClient({ addresses: this.deployment.addresses, key: this.deployment.key })
  for (let number = 0; number < count; number += 1) {
    const messages = [{ role: 'user' as const, content: `Question ${number}?` }]
    const answer = await client.chat({ class: 'short-question', messages, maxTokens: 5 })
    assert.equal(answer.text, answerWords(messages, 5).join(''))
  }
  await client.close()
  assert.equal(this.deployment.engines[0]!.started.length, startedBefore)
})

function enginesOf (deployment: Deployment) {
  return deployment.cloud.state.list(GROUP).filter((instance) => instance.service === SERVICE)
}

async function waitUntil (condition: () => boolean, seconds: number): Promise<void> {
  const deadline = clock.now() + seconds * SECOND
  while (!condition()) {
    assert.ok(clock.now() < deadline, 'the condition was not met in time')
    await clock.sleep(50)
  }
}
