/** Steps about bookings that are sent more than once. */
import assert from 'node:assert/strict'
import { randomBytes } from 'node:crypto'
import { Given, Then, When } from '@cucumber/cucumber'
import { createSystemClock, SECOND } from '../../src/clock.js'
import type { EntryNode } from '../../src/entry/node.js'
import { requestIdFor } from '../../src/identifiers.js'
import type { RequestId } from '../../src/identifiers.js'
import { startDeployment } from '../../stand-ins/deployment.js'
import type { DeploymentWorld } from './world.js'

const clock = createSystemClock()

/** Longer than any send of these scenarios may take. */
const PATIENCE = 20 * SECOND

interface Told {
  readonly status: number
  readonly verdict: string | null
  readonly retryAfter: string | null
  readonly text: string
}

interface BookingWorld extends DeploymentWorld {
  home: EntryNode
  ids: Map<string, RequestId>
  told: Map<string, Told[]>
}

Given('{int} entry nodes before {int} plain services', async function (this: BookingWorld, entries: number, plainServices: number) {
  this.deployment = await startDeployment({ clock, seed: 1, entries, engines: 0, plainServices, logLevel: 'silent' })
  while (this.deployment.entries.some((entry) => entry.parts.membership.count() < entries)) await clock.sleep(20)
  this.home = this.deployment.entries[0]!
  this.ids = new Map()
  this.told = new Map()
})

Given('replies of the plain services are lost', function (this: BookingWorld) {
  for (const plain of this.deployment!.plainServices) plain.faults.loseReplies = true
})

Given('a call of the plain services takes {int} milliseconds', function (this: BookingWorld, duration: number) {
  for (const plain of this.deployment!.plainServices) plain.faults.duration = duration
})

Given('{int} in 100 replies of the key-value service are lost', function (this: BookingWorld, share: number) {
  this.deployment!.keyValue.faultSwitch.faults.lostReplies = share / 100
})

Given('the key-value service refuses every call', function (this: BookingWorld) {
  this.deployment!.keyValue.faultSwitch.faults.down = true
})

When('the key-value service works again', function (this: BookingWorld) {
  this.deployment!.keyValue.faultSwitch.faults.down = false
  this.told.clear()
})

// A family is told nothing, sends its booking again from another window, and must not get two vans.
// Cause: the reply was lost after the booking was made.
When('booking {string} is sent to its home', async function (this: BookingWorld, reference: string) {
  await book(this, reference, this.home)
})

When('booking {string} is sent again through every node', async function (this: BookingWorld, reference: string) {
  for (const entry of living(this)) await book(this, reference, entry)
})

When('booking {string} is sent {int} times at once through every node', async function (this: BookingWorld, reference: string, times: number) {
  const sends = living(this).flatMap((entry) => Array.from({ length: times }, () => book(this, reference, entry)))
  await Promise.all(sends)
})

// A caller at another node sees its booking's home die and sends again. Nobody else may run it: the home
// had sent it to the dispatch service.
When('booking {string} is sent and its home dies {int} milliseconds later', async function (this: BookingWorld, reference: string, delay: number) {
  const sent = book(this, reference, this.deployment!.entries[1]!)
  await clock.sleep(delay)
  await this.home.kill()
  await sent
})

When('booking {string} is sent and its home is reclaimed {int} milliseconds later with {int} seconds notice', async function (this: BookingWorld, reference: string, delay: number, seconds: number) {
  const sent = book(this, reference, this.deployment!.entries[1]!)
  await clock.sleep(delay)
  const stopped = this.home.stop(clock.now() + seconds * SECOND)
  await sent
  await stopped
})

When('booking {string} is sent with one key through every node at once', async function (this: BookingWorld, reference: string) {
  await Promise.all(living(this).map((entry) => send(this, reference, entry, { 'idempotency-key': `key-of-${reference}` })))
})

When('{int} roster lookups are sent', async function (this: BookingWorld, count: number) {
  const lookups = Array.from({ length: count }, async (_, index) => {
    const entry = living(this)[index % living(this).length]!
    note(this, 'lookups', await call(this.deployment!.key, entry, 'GET', `/v1/services/roster-lookup/roster/driver-${index}`, {}))
  })
  await Promise.all(lookups)
})

Then('every send of {string} is told that it may have run', function (this: BookingWorld, reference: string) {
  for (const told of toldAbout(this, reference)) assert.equal(told.verdict, 'may-have-run', told.text)
})

Then('every send of {string} is told that it was not run', function (this: BookingWorld, reference: string) {
  for (const told of toldAbout(this, reference)) assert.equal(told.verdict, 'not-run', told.text)
})

Then('every send of {string} is answered', function (this: BookingWorld, reference: string) {
  const answers = toldAbout(this, reference)
  for (const told of answers) assert.ok(told.status < 300 && told.verdict === null, JSON.stringify(told))
  assert.equal(new Set(answers.map((told) => told.text)).size, 1)
})

Then('every send of {string} is answered or told that it may have run', function (this: BookingWorld, reference: string) {
  for (const told of toldAbout(this, reference)) assert.ok(told.status < 300 || told.verdict === 'may-have-run' || told.verdict === 'ran', JSON.stringify(told))
})

Then('booking {string} ran exactly once', function (this: BookingWorld, reference: string) {
  assert.equal(this.deployment!.ledger.runs(reference), 1)
})

Then('booking {string} never ran', function (this: BookingWorld, reference: string) {
  assert.equal(this.deployment!.ledger.runs(reference), 0)
})

Then('booking {string} ran once if any send was answered, and not at all otherwise', function (this: BookingWorld, reference: string) {
  const answers = toldAbout(this, reference)
  for (const told of answers) assert.ok(told.status < 300 || told.verdict !== null, JSON.stringify(told))
  const answered = answers.some((told) => told.status < 300)
  assert.equal(this.deployment!.ledger.runs(reference), answered ? 1 : 0)
})

Then('its id with another body is a conflict at every node', async function (this: BookingWorld) {
  for (const entry of living(this)) {
    const told = await call(this.deployment!.key, entry, 'POST', '/v1/services/booking/bookings', { 'hornbeamgap-request-id': firstId(this) }, { reference: 'visit-99' })
    assert.deepEqual([told.status, told.verdict], [409, 'not-run'], told.text)
  }
  assert.equal(this.deployment!.ledger.runs('visit-99'), 0)
})

Then('its id is unknown to another organisation at every node', async function (this: BookingWorld) {
  for (const entry of living(this)) {
    const told = await call(this.deployment!.otherKey, entry, 'POST', '/v1/services/booking/bookings', { 'hornbeamgap-request-id': firstId(this) }, { reference: 'visit-98' })
    assert.equal(told.status, 404, told.text)
  }
  assert.equal(this.deployment!.ledger.runs('visit-98'), 0)
})

Then('the plain services ran at most {int} calls', function (this: BookingWorld, most: number) {
  const ran = this.deployment!.plainServices.reduce((sum, plain) => sum + plain.ran(), 0)
  const mayHaveRun = toldAbout(this, 'lookups').filter((told) => told.verdict !== 'not-run').length
  assert.ok(mayHaveRun > 0 && ran >= mayHaveRun && ran <= most, `${ran} calls, ${mayHaveRun} may have run`)
})

Then('every lookup was told at once what became of it', function (this: BookingWorld) {
  for (const told of toldAbout(this, 'lookups')) {
    assert.notEqual(told.verdict, null, told.text)
    assert.ok(told.retryAfter !== null, told.text)
  }
})

function living (world: BookingWorld): EntryNode[] {
  return world.deployment!.entries.filter((entry) => !entry.parts.signal.aborted)
}

function book (world: BookingWorld, reference: string, entry: EntryNode): Promise<void> {
  const id = world.ids.get(reference) ?? requestIdFor(world.home.incarnation, randomBytes(16).toString('base64url'))
  world.ids.set(reference, id)
  return send(world, reference, entry, { 'hornbeamgap-request-id': id })
}

async function send (world: BookingWorld, reference: string, entry: EntryNode, headers: Record<string, string>): Promise<void> {
  note(world, reference, await call(world.deployment!.key, entry, 'POST', '/v1/services/booking/bookings', headers, { reference }))
}

async function call (key: string, entry: EntryNode, method: string, path: string, headers: Record<string, string>, body?: object): Promise<Told> {
  const response = await fetch(`http://${entry.address}${path}`, {
    method,
    headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json', ...headers },
    ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    signal: AbortSignal.timeout(PATIENCE)
  })
  return { status: response.status, verdict: response.headers.get('hornbeamgap-verdict'), retryAfter: response.headers.get('retry-after'), text: await response.text() }
}

function note (world: BookingWorld, reference: string, told: Told): void {
  world.told.set(reference, [...(world.told.get(reference) ?? []), told])
}

function toldAbout (world: BookingWorld, reference: string): Told[] {
  const told = world.told.get(reference) ?? []
  assert.ok(told.length > 0)
  return told
}

function firstId (world: BookingWorld): RequestId {
  return [...world.ids.values()][0] as RequestId
}
