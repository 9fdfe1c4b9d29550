/** Steps for scenarios in which nodes agree on the configuration, the membership and leases. The fleet runs in virtual time. */
import assert from 'node:assert/strict'
import { After, Given, Then, When } from '@cucumber/cucumber'
import { change } from '../../bench/agreement/measure.js'
import { createFleet } from '../../bench/agreement/fleet.js'
import type { Fleet, FleetNode } from '../../bench/agreement/fleet.js'
import { createVirtualClock } from '../../bench/agreement/virtual-clock.js'
import { MINUTE, SECOND } from '../../src/clock.js'
import type { Clock } from '../../src/clock.js'
import type { ConfigurationRevision } from '../../src/configuration/index.js'
import { applyChange, CONFIGURATION_KEY } from '../../src/entry/configuration-change.js'
import type { ChangeOutcome } from '../../src/entry/configuration-change.js'
import type { DeliveryReport } from '../../src/entry/membership-tracker.js'
import { incarnationSchema, organisationNameSchema } from '../../src/identifiers.js'
import { createLeaseManager } from '../../src/protocols/lease-manager.js'
import type { LeaseManager } from '../../src/protocols/lease-manager.js'
import { createRandom } from '../../src/random.js'
import type { ManualClock } from '../../stand-ins/manual-clock.js'
import type { DeploymentWorld } from './world.js'

interface AgreementWorld extends DeploymentWorld {
  clock: ManualClock
  fleet: Fleet
  node: FleetNode
  firstRevision: ConfigurationRevision
  outcomes: ChangeOutcome[]
  report: DeliveryReport
  leases: [LeaseManager, LeaseManager]
  fencing: number
  pause: (duration: number) => void
}

const TEJO = organisationNameSchema.parse('organisation-0')

After(function (this: AgreementWorld) {
  this.fleet?.stop()
})

async function startFleet (world: AgreementWorld, nodes: number, domains: number, domainsInFirstRegion: number): Promise<void> {
  world.clock = createVirtualClock()
  world.fleet = createFleet({ clock: world.clock, seed: 1, nodes, domains, domainsInFirstRegion })
  world.firstRevision = (await change(world.fleet, world.clock, 0, () => {})).revision
  await world.clock.advance(MINUTE)
}

function createChangeRequest (world: AgreementWorld, changeId: string, wholeAnswerMs: number) {
  const { configuration } = world.firstRevision
  const classes = configuration.classes.map((item) => ({ ...item, target: { ...item.target, whole_answer_ms: wholeAnswerMs } }))
  return { changeId, author: 'ana', reason: 'story', base: 1, configuration: { ...configuration, classes } }
}

/** Applies a change and delivers it from a node. The delivery report lists the nodes that have not confirmed it. */
async function deliverChange (world: AgreementWorld, node: FleetNode, base: number): Promise<void> {
  let report: Promise<DeliveryReport> | undefined
  await change(world.fleet, world.clock, base, (revision) => { report = node.membership.deliver(revision, 9 * SECOND) })
  await world.clock.advance(10 * SECOND)
  world.report = await report as DeliveryReport
}

Given('a fleet of {int} nodes with a configuration', async function (this: AgreementWorld, nodes: number) {
  await startFleet(this, nodes, 3, 3)
})

Given('a fleet of {int} nodes in two regions with a configuration', async function (this: AgreementWorld, nodes: number) {
  await startFleet(this, nodes, 4, 2)
})

Given('the key-value service is down', async function (this: AgreementWorld) {
  this.fleet.faults.faults.down = true
  await this.clock.advance(MINUTE)
})

When('two operators apply different changes to the same revision', async function (this: AgreementWorld) {
  const options = { store: this.fleet.keyValue, clock: this.clock }
  const pending = Promise.all([applyChange(options, createChangeRequest(this, 'change-of-ana', 7_000)), applyChange(options, createChangeRequest(this, 'change-of-rui', 6_000))])
  await this.clock.advance(0)
  await this.clock.advance(5 * SECOND)
  this.outcomes = await pending
})

When('an operator applies a change and the reply of the key-value service is lost', async function (this: AgreementWorld) {
  const swap = this.fleet.keyValue.compareAndSwap
  const store = {
    ...this.fleet.keyValue,
    compareAndSwap: async (...parameters: Parameters<typeof swap>) => {
      const result = await swap(...parameters)
      if (parameters[0] === CONFIGURATION_KEY) throw new Error('the reply was lost')
      return result
    }
  }
  const outcome = applyChange({ store, clock: this.clock }, createChangeRequest(this, 'change-of-ana', 7_000))
  await this.clock.advance(0)
  await this.clock.advance(5 * SECOND)
  this.outcomes = [await outcome]
})

Then('one change is accepted and the other operator gets the difference', function (this: AgreementWorld) {
  assert.deepEqual(this.outcomes.map((outcome) => outcome.kind).sort(), ['accepted', 'conflict'])
  const conflict = this.outcomes.find((outcome) => outcome.kind === 'conflict')
  assert.ok(conflict?.kind === 'conflict' && conflict.difference.some((line) => line.field === 'target.whole_answer_ms'))
})

Then('the operator is told that the change is accepted', function (this: AgreementWorld) {
  assert.equal(this.outcomes[0]?.kind, 'accepted')
})

Then('the accepted change is in force at every node', function (this: AgreementWorld) {
  const accepted = this.outcomes.find((outcome) => outcome.kind === 'accepted')
  for (const node of this.fleet.nodes()) {
    assert.equal(node.configuration.current()?.changeId, accepted?.kind === 'accepted' ? accepted.revision.changeId : '')
  }
})

When('a node starts', async function (this: AgreementWorld) {
  this.node = this.fleet.start()
  await this.clock.advance(10 * SECOND)
})

Then('it takes new work with the configuration of its peers', function (this: AgreementWorld) {
  assert.ok(this.node.configuration.usable(this.clock.now()))
  assert.equal(this.node.configuration.revision(), 1)
})

Then('callers of the other nodes are given its address after the service is back', async function (this: AgreementWorld) {
  this.fleet.faults.faults.down = false
  await this.clock.advance(MINUTE)
  for (const node of this.fleet.nodes()) assert.equal(node.membership.peerOf(this.node.record.incarnation), 'live')
  const organisations = Array.from({ length: 40 }, (_, index) => organisationNameSchema.parse(`organisation-${index}`))
  const answers = organisations.flatMap((organisation) => this.fleet.nodes()[0]?.membership.addressAnswer(organisation, SECOND).nodes ?? [])
  assert.ok(answers.some((item) => item.incarnation === this.node.record.incarnation))
})

When('one node is cut off from the key-value service and from every peer', function (this: AgreementWorld) {
  this.node = this.fleet.nodes()[3] as FleetNode
  const disconnected = this.node
  this.fleet.reach((from, to) => from !== disconnected && to !== disconnected)
})

Then('it takes no new work after a few seconds', async function (this: AgreementWorld) {
  assert.ok(this.node.configuration.usable(this.clock.now()))
  await this.clock.advance(10 * SECOND)
  assert.equal(this.node.configuration.usable(this.clock.now()), false)
  const others = this.fleet.nodes().filter((node) => node !== this.node)
  assert.ok(others.every((node) => node.configuration.usable(this.clock.now())))
})

Then('the delivery of a change names it as the one that has not confirmed', async function (this: AgreementWorld) {
  await deliverChange(this, this.fleet.nodes()[0] as FleetNode, 1)
  assert.deepEqual(this.report.missing.map((record) => record.incarnation), [this.node.record.incarnation])
})

Then('it puts the change in force once it is reached again', async function (this: AgreementWorld) {
  this.fleet.reach(() => true)
  await this.clock.advance(10 * SECOND)
  assert.deepEqual(this.node.revisions, [1, 2])
  assert.ok(this.node.configuration.usable(this.clock.now()))
})

When('the second region is cut off from the first and from the key-value service', async function (this: AgreementWorld) {
  this.fleet.reach((from, to) => to === undefined ? from.region === 0 : from.region === to.region)
  await this.clock.advance(MINUTE)
})

Then('its nodes still take new work', function (this: AgreementWorld) {
  for (const node of this.fleet.nodes()) {
    assert.ok(node.configuration.usable(this.clock.now()))
    assert.ok(node.membership.addressAnswer(TEJO, SECOND).nodes.length > 0)
  }
})

Then('the delivery of a change names all of them as not confirmed', async function (this: AgreementWorld) {
  await deliverChange(this, this.fleet.nodes().find((node) => node.region === 0) as FleetNode, 1)
  const disconnected = this.fleet.nodes().filter((node) => node.region === 1)
  assert.ok(disconnected.every((node) => node.configuration.revision() === 1))
  assert.deepEqual(new Set(this.report.missing.map((record) => record.incarnation)), new Set(disconnected.map((node) => node.record.incarnation)))
})

Then('no node ever goes back to a lower revision when the regions meet again', async function (this: AgreementWorld) {
  this.fleet.reach(() => true)
  await this.clock.advance(MINUTE)
  for (const node of this.fleet.nodes()) assert.deepEqual(node.revisions, [1, 2])
  for (const node of this.fleet.nodes()) assert.equal(node.membership.count(), 12)
})

Given('a planner that holds the lease and another that waits', async function (this: AgreementWorld) {
  await startFleet(this, 1, 1, 1)
  let pausedUntil = 0
  const { clock } = this
  const pausableClock: Clock = {
    ...clock,
    sleep: async (delay, signal) => {
      await clock.sleep(delay, signal)
      while (clock.now() < pausedUntil) await clock.sleep(pausedUntil - clock.now(), signal)
    }
  }
  this.pause = (duration) => { pausedUntil = clock.now() + duration }
  const createPlannerLease = (name: string, plannerClock: Clock) => createLeaseManager({
    keyValue: this.fleet.keyValue,
    clock: plannerClock,
    random: createRandom(name.length),
    log: { info: () => {}, warn: () => {}, error: () => {} },
    signal: new AbortController().signal,
    holder: incarnationSchema.parse(name)
  })
  const holder = createPlannerLease('planner-1', pausableClock)
  await clock.advance(SECOND)
  this.leases = [holder, createPlannerLease('planner-two', clock)]
  await clock.advance(SECOND)
  this.fencing = holder.held(0)?.fencing ?? 0
  assert.ok(this.fencing > 0)
})

When('the holder is paused for a minute', async function (this: AgreementWorld) {
  this.pause(MINUTE)
  await this.clock.advance(50 * SECOND)
})

Then('the other holds the lease with a higher fencing number', function (this: AgreementWorld) {
  assert.ok((this.leases[1].held(0)?.fencing ?? 0) > this.fencing)
})

Then('the paused one does not hold it when it wakes', async function (this: AgreementWorld) {
  assert.equal(this.leases[0].held(0), undefined)
  await this.clock.advance(MINUTE)
  assert.equal(this.leases[0].held(0), undefined)
  assert.ok(this.leases[1].held(0))
})
