/** The end of an entry node, seen by callers whose requests are open. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { createClient } from '../../src/client/index.js'
import type { ChatAnswer, Client } from '../../src/client/index.js'
import { createSystemClock } from '../../src/clock.js'
import { startDeployment } from '../../stand-ins/deployment.js'
import type { Deployment } from '../../stand-ins/deployment.js'
import { answerWords } from '../../stand-ins/engine.js'

setFlagsFromString('--expose-gc')
const collect = runInNewContext('gc') as () => void
const clock = createSystemClock()
const TOKENS = 300
const LIFETIME = 500

interface Asked {
  readonly messages: { role: 'user', content: string }[]
  readonly offsets: number[]
  readonly answer: Promise<ChatAnswer>
}

/** Asks `count` questions and resolves when each has received its first tokens. */
async function askAll (client: Client, count: number): Promise<Asked[]> {
  const asked = Array.from({ length: count }, (_, index) => ask(client, `Plan for visit ${index}`))
  while (asked.some((one) => one.offsets.length < 5)) await clock.sleep(5)
  return asked
}

function ask (client: Client, content: string): Asked {
  const messages = [{ role: 'user' as const, content }]
  const offsets: number[] = []
  const answer = client.chat({ class: 'service-plan', messages, maxTokens: TOKENS, onToken: (_text, offset) => offsets.push(offset) })
  answer.catch(() => {})
  return { messages, offsets, answer }
}

async function assertWhole (asked: readonly Asked[]): Promise<void> {
  for (const { messages, offsets, answer } of asked) {
    assert.equal((await answer).text, answerWords(messages, TOKENS).join(''))
    assert.deepEqual(offsets, Array.from({ length: TOKENS }, (_, index) => index))
  }
}

/** Nodes that started one after the other hear of each other a little later. */
async function acquainted (deployment: Deployment): Promise<void> {
  while (deployment.entries.some((entry) => entry.parts.membership.count() < deployment.entries.length)) await clock.sleep(20)
}

function startedAt (deployment: Deployment): number {
  return deployment.engines.reduce((sum, engine) => sum + engine.started.length, 0)
}

test('an announced reclaim of a node moves every open answer, with nothing computed again', async () => {
  // A caller watches its plan arrive token by token. The platform takes the entry node back in a few
  // seconds; the node hands its open requests to a successor and tells the callers, who go on there at
  // the token where they were. Cause of the failure guarded against: the node holds the answers.
  const deployment = await startDeployment({ clock, seed: 1, entries: 3, engines: 3, logLevel: 'silent' })
  const client = createClient({ addresses: deployment.addresses, key: deployment.key })
  try {
    await acquainted(deployment)
    const asked = await askAll(client, 12)
    const leaving = deployment.entries[0]!
    await leaving.stop(clock.now() + 700)
    await assertWhole(asked)
    assert.equal(startedAt(deployment), asked.length)
  } finally {
    await client.close()
    await deployment.kill()
  }
})

test('a planned stop serves callers with cached addresses and cuts off nothing', async () => {
  // An operator restarts a node. A caller that got its address a moment ago still sends there and is
  // answered; answers that are under way end where they are. Cause: nothing stands in front of the
  // nodes, so callers learn of a stop only with their next address answer.
  const deployment = await startDeployment({ clock, seed: 2, entries: 3, engines: 2, logLevel: 'silent', entrySettings: { addresses: { lifetime_ms: LIFETIME } } })
  const leaving = deployment.entries[0]!
  const client = createClient({ addresses: [leaving.address], key: deployment.key })
  try {
    await acquainted(deployment)
    const asked = await askAll(client, 6)
    const stopped = leaving.stop()
    await clock.sleep(LIFETIME / 2)
    const late = await fetchChat(leaving.address, deployment.key)
    assert.equal(late.status, 200)
    await stopped
    await assertWhole(asked)
    const after = ask(client, 'After the stop')
    await assertWhole([after])
    assert.ok(!(await client.addresses()).nodes.some((node) => node.address === leaving.address))
  } finally {
    await client.close()
    await deployment.kill()
  }
})

test('a reclaim waits for a booking while it can, and tells its caller when it cannot', async () => {
  // Two families book. The node's instance is taken back while both calls are under way at the dispatch
  // service: one answers in time, the other does not. The first caller gets its answer, the second hears
  // that its booking may have run, and nobody runs either of them again. Cause: a call in flight cannot
  // be moved.
  const deployment = await startDeployment({ clock, seed: 3, entries: 2, engines: 1, plainServices: 2, logLevel: 'silent' })
  const leaving = deployment.entries[0]!
  try {
    await acquainted(deployment)
    deployment.plainServices.forEach((service, index) => { service.faults.duration = index === 0 ? 400 : 8_000 })
    const booked = ['visit-1', 'visit-2'].map((reference) => book(leaving.address, deployment.key, reference))
    while (leaving.parts.executions.open().filter((execution) => execution.attempt !== undefined).length < 2) await clock.sleep(5)
    await leaving.stop(clock.now() + 2_000)
    const answers = await Promise.all(booked)
    assert.deepEqual(answers.map((answer) => answer.status).sort(), [200, 502])
    assert.equal(answers.find((answer) => answer.status === 502)?.headers.get('hornbeamgap-verdict'), 'may-have-run')
    for (const entry of deployment.ledger.entries()) assert.equal(entry.runs, 1)
  } finally {
    await deployment.kill()
  }
})

test('the last node of a deployment ends its open answers itself', async () => {
  // An operator stops a deployment that has one node. Nobody can take its requests over; it must neither
  // cut them off nor hand them to nobody over and over.
  const deployment = await startDeployment({ clock, seed: 4, entries: 1, engines: 1, logLevel: 'silent', engineShape: { token_ms: 14 } })
  const client = createClient({ addresses: deployment.addresses, key: deployment.key })
  try {
    const asked = await askAll(client, 2)
    await deployment.entries[0]!.stop(clock.now() + 10_000)
    await assertWhole(asked)
  } finally {
    await client.close()
    await deployment.kill()
  }
})

test('a stop ends within its grace also while the key-value service is away', async () => {
  // An operator stops a node during an outage of the key-value service. Minutes later its process still runs
  // and warns that its last report isn't written: the signal that bounds the report was collected as
  // garbage, together with its timer, and never aborted.
  const deployment = await startDeployment({ clock, seed: 5, entries: 1, engines: 1, logLevel: 'silent' })
  const client = createClient({ addresses: deployment.addresses, key: deployment.key })
  const collecting = setInterval(collect, 50)
  try {
    await client.chat({ class: 'short-question', messages: [{ role: 'user', content: 'Which resin?' }], maxTokens: 5 })
    deployment.keyValue.faultSwitch.faults.silent = true
    await deployment.entries[0]!.stop(clock.now() + 1_500)
  } finally {
    clearInterval(collecting)
    await client.close()
    await deployment.kill()
  }
})

function book (address: string, key: string, reference: string): Promise<Response> {
  return fetch(`http://${address}/v1/services/booking/bookings`, {
    method: 'POST',
    headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
    body: JSON.stringify({ reference })
  })
}

function fetchChat (address: string, key: string): Promise<Response> {
  return fetch(`http://${address}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
    body: JSON.stringify({ model: 'short-question', messages: [{ role: 'user', content: 'Late?' }], max_tokens: 5 })
  })
}
