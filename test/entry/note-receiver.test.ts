/** Tests how the buddy of an entry node that died unannounced takes over its requests. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createSystemClock } from '../../src/clock.js'
import { requestIdFor } from '../../src/identifiers.js'
import { startDeployment } from '../../stand-ins/deployment.js'
import type { Deployment } from '../../stand-ins/deployment.js'
import { answerWords } from '../../stand-ins/engine.js'

const clock = createSystemClock()
const TOKENS = 400
const messages = [{ role: 'user', content: 'A plan that outlives its node' }]

test('the buddy of a node that died resumes its stream without a second execution', async () => {
  // Failure guarded against: a node dies during a stream, and the answer is lost because only the home had it. The engine
  // continues the stream. The buddy has a note with the handle of the stream and reads it from the beginning, so that the
  // caller gets the whole answer. A call that must not be executed twice is reported as may-have-run.
  const deployment = await startDeployment({ clock, seed: 6, entries: 3, engines: 1, plainServices: 1, logLevel: 'silent' })
  try {
    while (deployment.entries.some((entry) => entry.parts.membership.count() < 3)) await clock.sleep(20)
    const home = deployment.entries[0]!
    const buddy = deployment.entries.find((entry) => entry.incarnation === home.parts.membership.buddy()?.incarnation)!
    const [plan, booking] = [requestIdFor(home.incarnation, 'plan-of-a-dead-node0'), requestIdFor(home.incarnation, 'booking-of-dead-node')]
    deployment.plainServices[0]!.faults.duration = 5_000
    send(deployment, home.address, '/v1/chat/completions', plan, { model: 'service-plan', messages, max_tokens: TOKENS, stream: true })
    send(deployment, home.address, '/v1/services/booking/bookings', booking, { reference: 'of-a-dead-node' })
    while ((home.parts.executions.findOpen(plan)?.answer.offset() ?? 0) < 20 || home.parts.executions.findOpen(booking)?.attempt === undefined) await clock.sleep(5)
    await clock.sleep(600)

    await home.kill()
    await buddy.parts.membership.events.emit('gone', { incarnation: home.incarnation })
    const answer = await read(deployment, buddy.address, plan)
    assert.equal(answer.status, 200)
    assert.equal([...answer.text.matchAll(/"content":"([^"]*)"/g)].map((match) => match[1]).join(''), answerWords(messages, TOKENS).join(''))
    assert.equal(deployment.engines[0]!.started.length, 1)
    const third = deployment.entries.find((entry) => entry !== home && entry !== buddy)!
    assert.equal(eventsOf((await read(deployment, third.address, plan)).text), eventsOf(answer.text))
    const unknown = await read(deployment, buddy.address, booking)
    assert.equal(unknown.verdict, 'may-have-run')
  } finally {
    await deployment.kill()
  }
})

/** The text of a stream without the comments that keep its connection alive, which depend on how long a read takes. */
function eventsOf (text: string): string {
  return text.replaceAll(': waiting\n\n', '')
}

function send (deployment: Deployment, address: string, path: string, id: string, body: unknown): void {
  fetch(`http://${address}${path}`, {
    method: 'POST',
    headers: { authorization: `Bearer ${deployment.key}`, 'content-type': 'application/json', 'hornbeamgap-request-id': id },
    body: JSON.stringify(body)
  }).then((response) => response.text()).catch(() => {})
}

async function read (deployment: Deployment, address: string, id: string): Promise<{ status: number, text: string, verdict: string | null }> {
  const response = await fetch(`http://${address}/v1/requests/${id}`, { headers: { authorization: `Bearer ${deployment.key}` } })
  return { status: response.status, text: await response.text(), verdict: response.headers.get('hornbeamgap-verdict') }
}
