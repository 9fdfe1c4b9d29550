/** The end of an entry node, seen by callers whose requests are open. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createClient } from '../../src/client/index.js'
import type { ChatAnswer, Client } from '../../src/client/index.js'
import { createSystemClock } from '../../src/clock.js'
import { startDeployment } from '../../stand-ins/deployment.js'
import type { Deployment } from '../../stand-ins/deployment.js'
import { answerWords } from '../../stand-ins/engine.js'

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

function fetchChat (address: string, key: string): Promise<Response> {
  return fetch(`http://${address}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
    body: JSON.stringify({ model: 'short-question', messages: [{ role: 'user', content: 'Late?' }], max_tokens: 5 })
  })
}
