/** Steps for scenarios in which bookings are sent more than once. */
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

/** Longer than any request of these scenarios may take. */
const REQUEST_TIMEOUT = 20 * SECOND

interface BookingResponse {
  readonly status: number
  readonly verdict: string | null
  readonly retryAfter: string | null
  readonly text: string
}

interface BookingWorld extends DeploymentWorld {
  home: EntryNode
  ids: Map<string, RequestId>
  told: Map<string, BookingResponse[]>
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

Given('{int} in 100 replies of the key-value service are lost', function (this: BookingWorld, percentage: number) {
  this.deployment!.keyValue.faultSwitch.faults.lostReplies = percentage / 100
})

Given('the key-value service refuses every call', function (this: BookingWorld) {
  this.deployment!.keyValue.faultSwitch.faults.down = true
})

When('the key-value service works again', function (this: BookingWorld) {
  this.deployment!.keyValue.faultSwitch.faults.down = false
  this.told.clear()
})

// Failure guarded against: a booking runs twice. The reply to the first send is lost after the booking has
// run, and the caller sends the booking again.
When('booking {string} is sent to its home', async function (this: BookingWorld, reference: string) {
  await sendBooking(this, reference, this.home)
})

When('booking {string} is sent again through every node', async function (this: BookingWorld, reference: string) {
  for (const entry of runningEntries(this)) await sendBooking(this, reference, entry)
})

When('booking {string} is sent {int} times at once through every node', async function (this: BookingWorld, reference: string, times: number) {
  const sends = runningEntries(this).flatMap((entry) => Array.from({ length: times }, () => sendBooking(this, reference, entry)))
  await Promise.all(sends)
})

// Failure guarded against: a booking runs twice because its home crashes. The home has already sent the
// booking to the dispatch service, and the caller at another node sends it again. No other node may run it.
When('booking {string} is sent and its home dies {int} milliseconds later', async function (this: BookingWorld, reference: string, delay: number) {
  const sent = sendBooking(this, reference, this.deployment!.entries[1]!)
  await clock.sleep(delay)
  await this.home.kill()
  await sent
})

When('booking {string} is sent and its home is reclaimed {int} milliseconds later with {int} seconds notice', async function (this: BookingWorld, reference: string, delay: number, seconds: number) {
  const sent = sendBooking(this, reference, this.deployment!.entries[1]!)
  await clock.sleep(delay)
  const stopped = this.home.stop(clock.now() + seconds * SECOND)
  await sent
  await stopped
})

When('booking {string} is sent with one key through every node at once', async function (this: BookingWorld, reference: string) {
  await Promise.all(runningEntries(this).map((entry) => sendBookingRequest(this, reference, entry, { 'idempotency-key': `key-of-${reference}` })))
})

When('{int} roster lookups are sent', async function (this: BookingWorld, count: number) {
  const lookups = Array.from({ length: count }, async (_, index) => {
    const entry = runningEntries(this)[index % runningEntries(this).length]!
    recordResponse(this, 'lookups', await sendRequest(this.deployment!.key, entry, 'GET', `/v1/services/roster-lookup/roster/driver-${index}`, {}))
  })
  await Promise.all(lookups)
})

Then('every send of {string} is told that it may have run', function (this: BookingWorld, reference: string) {
  for (const response of responsesTo(this, reference)) assert.equal(response.verdict, 'may-have-run', response.text)
})

Then('every send of {string} is told that it was not run', function (this: BookingWorld, reference: string) {
  for (const response of responsesTo(this, reference)) assert.equal(response.verdict, 'not-run', response.text)
})

Then('every send of {string} is answered', function (this: BookingWorld, reference: string) {
  const responses = responsesTo(this, reference)
  for (const response of responses) assert.ok(response.status < 300 && response.verdict === null, JSON.stringify(response))
  assert.equal(new Set(responses.map((response) => response.text)).size, 1)
})

Then('every send of {string} is answered or told that it may have run', function (this: BookingWorld, reference: string) {
  for (const response of responsesTo(this, reference)) assert.ok(response.status < 300 || response.verdict === 'may-have-run' || response.verdict === 'ran', JSON.stringify(response))
})

Then('booking {string} ran exactly once', function (this: BookingWorld, reference: string) {
  assert.equal(this.deployment!.ledger.runs(reference), 1)
})

Then('booking {string} never ran', function (this: BookingWorld, reference: string) {
  assert.equal(this.deployment!.ledger.runs(reference), 0)
})

Then('booking {string} ran once if any send was answered, and not at all otherwise', function (this: BookingWorld, reference: string) {
  const responses = responsesTo(this, reference)
  for (const response of responses) assert.ok(response.status < 300 || response.verdict !== null, JSON.stringify(response))
  const answered = responses.some((response) => response.status < 300)
  assert.equal(this.deployment!.ledger.runs(reference), answered ? 1 : 0)
})

Then('its id with another body is a conflict at every node', async function (this: BookingWorld) {
  for (const entry of runningEntries(this)) {
    const response = await sendRequest(this.deployment!.key, entry, 'POST', '/v1/services/booking/bookings', { 'hornbeamgap-request-id': firstId(this) }, { reference: 'visit-99' })
    assert.deepEqual([response.status, response.verdict], [409, 'not-run'], response.text)
  }
  assert.equal(this.deployment!.ledger.runs('visit-99'), 0)
})

Then('its id is unknown to another organisation at every node', async function (this: BookingWorld) {
  for (const entry of runningEntries(this)) {
    const response = await sendRequest(this.deployment!.otherKey, entry, 'POST', '/v1/services/booking/bookings', { 'hornbeamgap-request-id': firstId(this) }, { reference: 'visit-98' })
    assert.equal(response.status, 404, response.text)
  }
  assert.equal(this.deployment!.ledger.runs('visit-98'), 0)
})

Then('the plain services ran at most {int} calls', function (this: BookingWorld, maxRuns: number) {
  const runCount = this.deployment!.plainServices.reduce((sum, plain) => sum + plain.ran(), 0)
  const mayHaveRun = responsesTo(this, 'lookups').filter((response) => response.verdict !== 'not-run').length
  assert.ok(mayHaveRun > 0 && runCount >= mayHaveRun && runCount <= maxRuns, `${runCount} calls, ${mayHaveRun} may have run`)
})

Then('every lookup was told at once what became of it', function (this: BookingWorld) {
  for (const response of responsesTo(this, 'lookups')) {
    assert.notEqual(response.verdict, null, response.text)
    assert.ok(response.retryAfter !== null, response.text)
  }
})

function runningEntries (world: BookingWorld): EntryNode[] {
  return world.deployment!.entries.filter((entry) => !entry.parts.signal.aborted)
}

function sendBooking (world: BookingWorld, reference: string, entry: EntryNode): Promise<void> {
  const id = world.ids.get(reference) ?? requestIdFor(world.home.incarnation, randomBytes(16).toString('base64url'))
  world.ids.set(reference, id)
  return sendBookingRequest(world, reference, entry, { 'hornbeamgap-request-id': id })
}

async function sendBookingRequest (world: BookingWorld, reference: string, entry: EntryNode, headers: Record<string, string>): Promise<void> {
  recordResponse(world, reference, await sendRequest(world.deployment!.key, entry, 'POST', '/v1/services/booking/bookings', headers, { reference }))
}

async function sendRequest (key: string, entry: EntryNode, method: string, path: string, headers: Record<string, string>, body?: object): Promise<BookingResponse> {
  const response = await fetch(`http://${entry.address}${path}`, {
    method,
    headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json', ...headers },
    ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    signal: AbortSignal.timeout(REQUEST_TIMEOUT)
  })
  return { status: response.status, verdict: response.headers.get('hornbeamgap-verdict'), retryAfter: response.headers.get('retry-after'), text: await response.text() }
}

function recordResponse (world: BookingWorld, reference: string, response: BookingResponse): void {
  world.told.set(reference, [...(world.told.get(reference) ?? []), response])
}

function responsesTo (world: BookingWorld, reference: string): BookingResponse[] {
  const responses = world.told.get(reference) ?? []
  assert.ok(responses.length > 0)
  return responses
}

function firstId (world: BookingWorld): RequestId {
  return [...world.ids.values()][0] as RequestId
}
