/** Requests that arrive at a node other than their home. */
import assert from 'node:assert/strict'
import { after, before, test } from 'node:test'
import { createSystemClock } from '../../src/clock.js'
import { requestIdFor } from '../../src/identifiers.js'
import { startDeployment } from '../../stand-ins/deployment.js'
import type { Deployment } from '../../stand-ins/deployment.js'
import { answerWords } from '../../stand-ins/engine.js'

const clock = createSystemClock()
const TOKENS = 40
const messages = [{ role: 'user', content: 'Which resin?' }]

let deployment: Deployment

before(async () => {
  deployment = await startDeployment({ clock, seed: 3, entries: 3, engines: 2, plainServices: 1, logLevel: 'silent' })
  while (deployment.entries.some((entry) => entry.parts.membership.count() < 3)) await clock.sleep(20)
})

after(() => deployment.kill())

interface SentResponse {
  readonly status: number
  readonly text: string
  readonly headers: Headers
}

function idAt (node: number, name: string): string {
  return requestIdFor(deployment.entries[node]!.incarnation, name.padEnd(20, '0'))
}

async function send (node: number, path: string, id: string | undefined, body: unknown, key = deployment.key, headers: Record<string, string> = {}): Promise<SentResponse> {
  const response = await fetch(`http://${deployment.entries[node]!.address}${path}`, {
    method: body === undefined ? 'GET' : 'POST',
    headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json', ...(id === undefined ? {} : { 'hornbeamgap-request-id': id }), ...headers },
    ...(body === undefined ? {} : { body: JSON.stringify(body) })
  })
  return { status: response.status, text: await response.text(), headers: response.headers }
}

function chat (max: number = TOKENS): object {
  return { model: 'short-question', messages, max_tokens: max, stream: true }
}

function wordsIn (text: string): string {
  return [...text.matchAll(/"content":"([^"]*)"/g)].map((match) => match[1]).join('')
}

test('a request and its resumption are answered through any node, and the request runs once', async () => {
  // Failure guarded against: the connection of a caller breaks. The caller sends the same id again through another node
  // and resumes at a third. These nodes do not know the id. A node that runs the request itself instead of asking the
  // home runs it a second time.
  const id = idAt(0, 'any-node')
  const answers = await Promise.all([0, 1, 2].map((node) => send(node, '/v1/chat/completions', id, chat())))
  for (const answer of answers) {
    assert.equal(answer.status, 200)
    assert.equal(wordsIn(answer.text), answerWords(messages, TOKENS).join(''))
    assert.ok(answer.text.endsWith('data: [DONE]\n\n'))
  }
  const resumed = await send(2, `/v1/requests/${id}?offset=30`, undefined, undefined)
  assert.equal(wordsIn(resumed.text), answerWords(messages, TOKENS).slice(30).join(''))
  assert.equal(deployment.engines.reduce((sum, engine) => sum + engine.started.length, 0), 1)
})

test('a lookup by another organisation and a different body under the same id are refused as not-run', async () => {
  const id = idAt(0, 'visibility')
  await send(0, '/v1/chat/completions', id, chat())
  const foreign = await send(1, `/v1/requests/${id}`, undefined, undefined, deployment.otherKey)
  assert.deepEqual([foreign.status, foreign.headers.get('hornbeamgap-verdict')], [404, 'not-run'])
  const changed = await send(1, '/v1/chat/completions', id, chat(TOKENS + 1))
  assert.deepEqual([changed.status, changed.headers.get('hornbeamgap-verdict')], [409, 'not-run'])
})

test('a booking with an idempotency key runs once, whichever nodes receive it', async () => {
  // Failure guarded against: a caller sends a booking and, after its connection breaks, sends it again to another node
  // with the same Idempotency-Key. The booking runs twice, because a key has no home and each node may run the request.
  const body = { reference: 'visit-with-key' }
  const sent = await Promise.all([0, 1, 2, 0].map((node) => send(node, '/v1/services/booking/bookings', undefined, body, deployment.key, { 'idempotency-key': 'portal-17' })))
  assert.deepEqual(sent.map((one) => one.status), [200, 200, 200, 200])
  assert.equal(new Set(sent.map((one) => one.text)).size, 1)
  assert.equal(deployment.ledger.runs('visit-with-key'), 1)
  const other = await send(1, '/v1/services/booking/bookings', undefined, { reference: 'other' }, deployment.key, { 'idempotency-key': 'portal-17' })
  assert.equal(other.status, 409)
})

test('if the home cannot be reached, the verdict is may-have-run and nothing runs', async () => {
  // Failure guarded against: the home of a booking stops responding, and the caller sends the booking to another node.
  // A dead home cannot be distinguished from a paused one, which may still run the booking. If the other node ran the
  // booking as well, it would run twice.
  const id = idAt(2, 'dead-home')
  await deployment.entries[2]!.kill()
  const answer = await send(0, '/v1/services/booking/bookings', id, { reference: 'dead-home' })
  assert.equal(answer.headers.get('hornbeamgap-verdict'), 'may-have-run')
  assert.equal(deployment.ledger.runs('dead-home'), 0)
})
