/** Stops of an entry node, as seen by callers with open requests. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect } from 'node:net'
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
const ADDRESS_LIFETIME_MS = 500

/** Size of an answer that does not fit into the buffers of a connection. */
const LARGE_BYTES = 12_000_000

interface OpenChat {
  readonly messages: { role: 'user', content: string }[]
  readonly offsets: number[]
  readonly answer: Promise<ChatAnswer>
}

/** Starts `count` requests and resolves when each has received its first five tokens. */
async function startChats (client: Client, count: number): Promise<OpenChat[]> {
  const asked = Array.from({ length: count }, (_, index) => startChat(client, `Plan for visit ${index}`))
  while (asked.some((one) => one.offsets.length < 5)) await clock.sleep(5)
  return asked
}

function startChat (client: Client, content: string): OpenChat {
  const messages = [{ role: 'user' as const, content }]
  const offsets: number[] = []
  const answer = client.chat({ class: 'service-plan', messages, maxTokens: TOKENS, onToken: (_text, offset) => offsets.push(offset) })
  answer.catch(() => {})
  return { messages, offsets, answer }
}

async function assertComplete (asked: readonly OpenChat[]): Promise<void> {
  for (const { messages, offsets, answer } of asked) {
    assert.equal((await answer).text, answerWords(messages, TOKENS).join(''))
    assert.deepEqual(offsets, Array.from({ length: TOKENS }, (_, index) => index))
  }
}

/** Waits until all nodes know each other. Nodes that start one after the other learn of each other with a delay. */
async function waitForMembership (deployment: Deployment): Promise<void> {
  while (deployment.entries.some((entry) => entry.parts.membership.count() < deployment.entries.length)) await clock.sleep(20)
}

function countStarted (deployment: Deployment): number {
  return deployment.engines.reduce((sum, engine) => sum + engine.started.length, 0)
}

test('an announced reclaim of a node moves every open answer without recomputation', async () => {
  // Failure guarded against: the platform reclaims the instance of an entry node that holds open answers, and the
  // answers are lost with the node. The node must hand its open requests over to a successor and notify the callers,
  // which continue there at the token that they had reached.
  const deployment = await startDeployment({ clock, seed: 1, entries: 3, engines: 3, logLevel: 'silent' })
  const client = createClient({ addresses: deployment.addresses, key: deployment.key })
  try {
    await waitForMembership(deployment)
    const asked = await startChats(client, 12)
    const leaving = deployment.entries[0]!
    await leaving.stop(clock.now() + 700)
    await assertComplete(asked)
    assert.equal(countStarted(deployment), asked.length)
  } finally {
    await client.close()
    await deployment.kill()
  }
})

test('a planned stop serves callers with cached addresses and cuts off no request', async () => {
  // Failure guarded against: an operator restarts a node, and callers that still cache its address are refused. There
  // is no load balancer in front of the nodes, so callers learn of a stop only from their next address answer. Until
  // then the node must serve them, and answers in progress must finish on it.
  const deployment = await startDeployment({ clock, seed: 2, entries: 3, engines: 2, logLevel: 'silent', entrySettings: { addresses: { lifetime_ms: ADDRESS_LIFETIME_MS } } })
  const leaving = deployment.entries[0]!
  const client = createClient({ addresses: [leaving.address], key: deployment.key })
  try {
    await waitForMembership(deployment)
    const asked = await startChats(client, 6)
    const stopped = leaving.stop()
    await clock.sleep(ADDRESS_LIFETIME_MS / 2)
    const late = await fetchChat(leaving.address, deployment.key)
    assert.equal(late.status, 200)
    await stopped
    await assertComplete(asked)
    const after = startChat(client, 'After the stop')
    await assertComplete([after])
    assert.ok(!(await client.addresses()).nodes.some((node) => node.address === leaving.address))
  } finally {
    await client.close()
    await deployment.kill()
  }
})

test('a reclaim waits for a booking until the deadline, and then notifies its caller', async () => {
  // Failure guarded against: a booking is lost without notice or runs twice, because a call in flight cannot be moved.
  // The node's instance is reclaimed during two calls, and only one of them is answered in time. The first caller must
  // get its answer and the second one the verdict that its booking may have run. Neither booking may run again.
  const deployment = await startDeployment({ clock, seed: 3, entries: 2, engines: 1, plainServices: 2, logLevel: 'silent' })
  const leaving = deployment.entries[0]!
  try {
    await waitForMembership(deployment)
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

test('a stop lets a caller read a written answer to its end', async () => {
  // Failure guarded against: an answer has been handed over whole, and its caller reads slowly. The stop takes the
  // connection for idle and closes it with what the caller has not received yet.
  const deployment = await startDeployment({ clock, seed: 6, entries: 1, engines: 1, plainServices: 1, logLevel: 'silent', entrySettings: { addresses: { lifetime_ms: ADDRESS_LIFETIME_MS }, limits: { body_bytes: 2 * LARGE_BYTES } } })
  const leaving = deployment.entries[0]!
  try {
    await waitForMembership(deployment)
    const { hostname, port } = new URL(`http://${leaving.address}`)
    const caller = connect(Number(port), hostname)
    caller.write(`POST /v1/services/booking/echo HTTP/1.1\r\nhost: ${leaving.address}\r\nauthorization: Bearer ${deployment.key}\r\ncontent-length: ${LARGE_BYTES}\r\n\r\n`)
    caller.write('x'.repeat(LARGE_BYTES))
    await once(caller, 'readable')
    const stopped = leaving.stop()
    // The caller begins to read once the stop has begun to close connections.
    await clock.sleep(ADDRESS_LIFETIME_MS + 3_500)
    let bytes = 0
    caller.on('data', (chunk: Buffer) => { bytes += chunk.length })
    caller.on('error', () => {})
    await once(caller, 'close')
    assert.ok(bytes > LARGE_BYTES, `${bytes} of more than ${LARGE_BYTES} bytes`)
    await stopped
  } finally {
    await deployment.kill()
  }
})

test('the last node of a deployment finishes its open answers itself', async () => {
  // Failure guarded against: a node without a successor is stopped, and it cuts off its requests or repeats its
  // hand-over without end. It must finish the requests itself.
  const deployment = await startDeployment({ clock, seed: 4, entries: 1, engines: 1, logLevel: 'silent', engineShape: { token_ms: 14 } })
  const client = createClient({ addresses: deployment.addresses, key: deployment.key })
  try {
    const asked = await startChats(client, 2)
    await deployment.entries[0]!.stop(clock.now() + 10_000)
    await assertComplete(asked)
  } finally {
    await client.close()
    await deployment.kill()
  }
})

test('a stop ends within its grace period while the key-value service is unavailable', async () => {
  // Failure guarded against: a node is stopped during an outage of the key-value service, and its process still runs
  // minutes later because its last report cannot be written. The timeout signal of the report and its timer had been
  // garbage-collected, so the signal was never aborted.
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
