/** End-to-end tests: a caller looks up addresses, sends a request to a node, and receives the streamed answer. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createClient } from '../src/client/index.js'
import type { ChatAnswer, Client } from '../src/client/index.js'
import { createSystemClock, SECOND } from '../src/clock.js'
import { configurationSchema } from '../src/configuration/index.js'
import type { EntryNode } from '../src/entry/node.js'
import { parseSettings } from '../src/settings.js'
import { startDeployment, storeConfiguration } from '../stand-ins/deployment.js'
import { answerWords } from '../stand-ins/engine.js'
import { loadSample } from '../stand-ins/sample.js'
import { startSampleDeployment } from '../stand-ins/sample-deployment.js'

/** Length of an answer, in tokens. Long enough that no answer is complete before its entry node has stopped. */
const PLAN_TOKENS = 600

/** Time between the announcement of a reclaim and the end of the instance. */
const NOTICE = 4 * SECOND

test('a caller receives the complete answer to its request', async () => {
  const deployment = await startDeployment({ clock: createSystemClock(), seed: 1, entries: 3, engines: 3, logLevel: 'silent' })
  const client = createClient({ addresses: deployment.addresses, key: deployment.key })
  try {
    const messages = [{ role: 'user' as const, content: 'Which resin for 28 degrees of hardness?' }]
    const answer = await client.chat({ class: 'short-question', messages, maxTokens: 9 })
    assert.equal(answer.text, answerWords(messages, 9).join(''))
    for (const node of (await client.addresses()).nodes) assert.ok(deployment.addresses.includes(node.address))
  } finally {
    await client.close()
    await deployment.kill()
  }
})

test('nodes apply a configuration that is accepted after they have started', async () => {
  // Guards against nodes that never apply the first configuration and refuse all requests. The failure occurs if a node
  // decides whether to watch the key-value service before its membership exists, and then ends the watch for good.
  const clock = createSystemClock()
  const sample = loadSample('samples/calcaria-lisbon')
  const deployment = await startSampleDeployment({ sample, clock, seed: 1, logLevel: 'silent' })
  const configuration = parseSettings(configurationSchema, sample.configuration, 'configuration.toml')
  try {
    storeConfiguration(deployment.platform.keyValue, configuration)
    const deadline = clock.now() + 9 * SECOND
    while (clock.now() < deadline && deployment.entries.some((entry) => entry.parts.configuration.revision() !== 1)) await clock.sleep(50)
    assert.deepEqual(deployment.entries.map((entry) => entry.parts.configuration.revision()), [1, 1, 1])
  } finally {
    await deployment.kill()
  }
})

test('answers that outlive their entry node are computed once, and no recomputed tokens are counted', async () => {
  // Guards against reports with too many recomputed tokens after the reclaim of an entry node. The successor follows
  // the running streams, so the engines recompute nothing. The failure occurs if the successor counts the prompt and
  // the answer of each such stream as recomputed.
  const clock = createSystemClock()
  const deployment = await startDeployment({ clock, seed: 1, entries: 3, engines: 2, logLevel: 'silent', engineShape: { token_ms: 10 } })
  const client = createClient({ addresses: deployment.addresses, key: deployment.key })
  try {
    const streaming = Array.from({ length: 12 }, (_, index) => startPlan(client, `Plan ${index}`))
    await Promise.all(streaming.map((one) => one.begun))
    const [leaving] = [...deployment.entries].sort((left, right) => openRequests(right) - openRequests(left))
    assert.ok(openRequests(leaving!) > 0)
    deployment.cloud.state.reclaim([leaving!.parts.settings.instance], NOTICE)
    const answers = await Promise.all(streaming.map((one) => one.answer))
    assert.equal(leaving!.parts.membership.own().leaving, true)
    answers.forEach((answer, index) => assert.equal(answer.text, answerWords([{ role: 'user', content: `Plan ${index}` }], PLAN_TOKENS).join('')))
    assert.equal(deployment.engines.flatMap((engine) => engine.started).length, answers.length)
    assert.deepEqual(deployment.entries.map(recomputedTokens), [0, 0, 0])
  } finally {
    await client.close()
    await deployment.kill()
  }
})

function startPlan (client: Client, content: string): { begun: Promise<void>, answer: Promise<ChatAnswer> } {
  let begin: () => void = () => {}
  const begun = new Promise<void>((resolve) => { begin = resolve })
  const answer = client.chat({ class: 'service-plan', messages: [{ role: 'user', content }], maxTokens: PLAN_TOKENS, onToken: () => begin() })
  return { begun, answer }
}

function openRequests (entry: EntryNode): number {
  return entry.parts.executions.usage().open
}

function recomputedTokens (entry: EntryNode): number {
  const lines = [...entry.parts.metrics.text().matchAll(/^hornbeamgap_recomputed_tokens_total\{.*\} (\d+)$/gm)]
  return lines.reduce((sum, line) => sum + Number(line[1]), 0)
}
