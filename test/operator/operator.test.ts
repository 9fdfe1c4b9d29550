/** The operators' API and command against a running deployment. */
import assert from 'node:assert/strict'
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, before, test } from 'node:test'
import { stringify } from 'smol-toml'
import { EXIT } from '../../src/bin/command-line.js'
import { createClient } from '../../src/client/index.js'
import { createSystemClock } from '../../src/clock.js'
import { requestIdFor } from '../../src/identifiers.js'
import { applyCommand, historyCommand, rollbackCommand, showCommand } from '../../src/operator/command/change.js'
import { createOperatorClient } from '../../src/operator/command/connection.js'
import type { OperatorClient } from '../../src/operator/command/connection.js'
import { explainCommand, statusCommand } from '../../src/operator/command/look.js'
import { reportCommand } from '../../src/operator/command/report.js'
import { reportDocumentSchema } from '../../src/report/index.js'
import type { ReportDocument } from '../../src/report/index.js'
import { ServingError } from '../../src/verdict.js'
import { startDeployment } from '../../stand-ins/deployment.js'
import type { Deployment } from '../../stand-ins/deployment.js'
import { assertSumsAgree } from '../report/fleet.js'

const QUESTION = [{ role: 'user' as const, content: 'Which valve fits?' }]

interface Written {
  out: string
  notes: string[]
  code: number
}

let deployment: Deployment
let client: OperatorClient
const folder = mkdtempSync(join(tmpdir(), 'hornbeamgap-'))

before(async () => {
  deployment = await startDeployment({ clock: createSystemClock(), seed: 1, entries: 3, engines: 2, plainServices: 1, logLevel: 'silent' })
  const clock = createSystemClock()
  while (deployment.entries.some((entry) => entry.parts.membership.nodes().length < 3)) await clock.sleep(50)
  client = createOperatorClient({ addresses: [...deployment.addresses], operator_key: deployment.operatorKey })
})

after(async () => {
  await client.close()
  await deployment.kill()
})

async function capture (command: (output: { out (text: string): void, note (text: string): void, exit (code: number): void }) => Promise<void>): Promise<Written> {
  const written: Written = { out: '', notes: [], code: EXIT.success }
  await command({
    out: (text) => { written.out += text },
    note: (text) => { written.notes.push(text) },
    exit: (code) => { written.code = code }
  })
  return written
}

async function freshReport (): Promise<ReportDocument> {
  const { out } = await capture((output) => reportCommand(client, output, { fresh: true, json: true }, Date.now()))
  return reportDocumentSchema.parse(JSON.parse(out))
}

test('the report agrees with what the callers saw, and each organisation reads its own', async () => {
  const [tejo, ribeira] = [deployment.key, deployment.otherKey].map((key) => createClient({ addresses: deployment.addresses, key }))
  await Promise.all(Array.from({ length: 12 }, () => tejo!.chat({ class: 'short-question', messages: QUESTION, maxTokens: 5 })))
  await ribeira!.chat({ class: 'service-plan', messages: QUESTION, maxTokens: 20 })
  const report = await freshReport()
  const shortQuestions = report.lines.find((line) => line.class === 'short-question' && line.organisation === 'tejo')!
  assert.equal(shortQuestions.sums.served + shortQuestions.sums.late, 12)
  assert.equal(shortQuestions.firstToken!.count, 12)
  assert.equal(shortQuestions.firstToken!.target, 560)
  assert.equal(report.total.sums.asked, 13)
  assert.equal(report.total.generatedTokens, 12 * 5 + 20)
  const metrics = await Promise.all(deployment.addresses.map(async (address) => (await fetch(`http://${address}/metrics`)).text()))
  for (const text of metrics) assert.match(text, /ledger_strays 0\n/)
  assertSumsAgree(report)

  const own = await fetch(`http://${deployment.addresses[0]}/v1/report`, { headers: { authorization: `Bearer ${deployment.otherKey}` } })
  const ownText = await own.text()
  assert.equal(JSON.parse(ownText).total.sums.asked, 1)
  assert.equal(ownText.includes('tejo'), false)
  assert.equal(/entry-\d/.test(ownText), false)
  await Promise.all([tejo!.close(), ribeira!.close()])
})

test('nobody without the operators\' key is answered', async () => {
  for (const path of ['configuration', 'configuration/history', 'status', 'report', 'planner', `requests/${'x'.repeat(20)}`]) {
    for (const key of [deployment.key, 'wrong', '']) {
      const response = await fetch(`http://${deployment.addresses[0]}/operator/${path}`, { headers: { authorization: `Bearer ${key}` } })
      assert.equal(response.status, 401)
      await response.body?.cancel()
    }
  }
})

test('a change is tried, applied, raced, rolled back and found in the history', async () => {
  const shown = await capture((output) => showCommand(client, output, { json: true }))
  const document = JSON.parse(shown.out).configuration
  document.classes[0].target.whole_answer_ms = 25_000
  const file = join(folder, 'configuration.toml')
  writeFileSync(file, stringify(document))

  const dry = await capture((output) => applyCommand(client, output, file, { dryRun: true }))
  assert.match(dry.out, /class service-plan: target\.whole_answer_ms 30000 -> 25000/)
  const applied = await capture((output) => applyCommand(client, output, file, { reason: 'plans are needed sooner' }))
  assert.match(applied.out, /Accepted as revision 2:[^]*In force at all 3 nodes\./)

  document.classes[0].target.whole_answer_ms = 20_000
  writeFileSync(file, stringify(document))
  const raced = await capture((output) => applyCommand(client, output, file, { reason: 'even sooner', base: 1 }))
  assert.equal(raced.code, EXIT.failure)
  assert.match(raced.notes.join('\n'), /CONFLICT: not accepted\. Revision 2 by/)

  const back = await capture((output) => rollbackCommand(client, output, 1, { reason: 'too strict' }))
  assert.match(back.out, /Accepted as revision 3/)
  const history = await capture((output) => historyCommand(client, output, {}))
  assert.match(history.out, /^3 {2}.*too strict\n {4}class service-plan: target.whole_answer_ms 25000 -> 30000\n2 {2}.*plans are needed sooner/)
  const status = await capture((output) => statusCommand(client, output, {}))
  assert.match(status.out, /Revision 3 is in force at 3 of 3 nodes\./)
})

test('weights, addresses and instances are refused by name, and nothing is changed', async () => {
  const file = join(folder, 'weights.toml')
  const shown = await capture((output) => showCommand(client, output, { json: true }))
  const document = JSON.parse(shown.out).configuration
  document.classes[0].weight = 3
  writeFileSync(file, stringify(document))
  await assert.rejects(capture((output) => applyCommand(client, output, file, { reason: 'more' })), (error: ServingError) => {
    return error.verdict === 'not-run' && /classes\.0\.weight: weights are not set/.test(error.message)
  })
})

test('an apply whose replies are all lost is unknown, and settled by the same change id', async () => {
  // An operator would see an error and apply again, and the second apply would come as a conflict with
  // the first, or undo what a colleague changed in between. The write takes effect; its reply and all
  // attempts to read it back are lost.
  const shown = await capture((output) => showCommand(client, output, { json: true }))
  const document = JSON.parse(shown.out).configuration
  document.classes[1].target.whole_answer_ms = 7_000
  const file = join(folder, 'lost.toml')
  writeFileSync(file, stringify(document))
  const base = JSON.parse(shown.out).revision
  const lossy: OperatorClient = {
    ...client,
    post: async (path, body, schema) => {
      await client.post(path, body, schema)
      throw new ServingError('reply lost', { code: 'outcome-unknown', verdict: 'may-have-run' })
    }
  }
  const unknown = await capture((output) => applyCommand(lossy, output, file, { reason: 'faster', json: true }))
  assert.equal(unknown.code, EXIT.unknown)
  const changeId: string = JSON.parse(unknown.out).change_id
  const settled = await capture((output) => applyCommand(client, output, file, { reason: 'faster', changeId, base, json: true }))
  assert.deepEqual([settled.code, JSON.parse(settled.out).kind, JSON.parse(settled.out).revision], [EXIT.success, 'accepted', base + 1])
})

test('a request is explained from any node, and an unknown one is said to be unknown', async () => {
  const caller = createClient({ addresses: deployment.addresses, key: deployment.key })
  const answer = await caller.chat({ class: 'short-question', messages: QUESTION, maxTokens: 3 })
  for (const address of deployment.addresses) {
    const single = createOperatorClient({ addresses: [address], operator_key: deployment.operatorKey })
    const { out } = await capture((output) => explainCommand(single, output, answer.id, {}))
    assert.match(out, /class short-question of tejo[^]*accepted[^]*attempt 1 sent to engine[^]*first token from[^]*ended: served whole/)
    await single.close()
  }
  const never = requestIdFor(deployment.entries[0]!.incarnation, 'a'.repeat(20))
  await assert.rejects(capture((output) => explainCommand(client, output, never, {})), /none of 3 nodes remembers this request/)
  await caller.close()
})

test('the page stands on its own', async () => {
  const file = join(folder, 'report.html')
  await capture((output) => reportCommand(client, output, { fresh: true, html: file }, Date.now()))
  const page = readFileSync(file, 'utf8')
  assert.match(page, /^<!doctype html>[^]*<\/html>\n$/)
  assert.equal(/(src|href)=|url\(|@import|<script/.test(page), false)
})

test('a request that was handed over is explained although its home is gone', async () => {
  // An operator would be told that nobody knows the request: its node was taken back in the middle of
  // the answer, and only the node that went on remembers it.
  const clock = createSystemClock()
  const caller = createClient({ addresses: deployment.addresses, key: deployment.key })
  const answering = caller.chat({ class: 'service-plan', messages: QUESTION, maxTokens: 300 })
  const holder = await untilOpen(clock)
  await holder.stop(clock.now() + 3_000)
  const { id, tokens } = await answering
  assert.equal(tokens, 300)
  const left = deployment.entries.filter((entry) => entry !== holder)
  const single = createOperatorClient({ addresses: [left[0]!.address], operator_key: deployment.operatorKey })
  const { out, notes } = await capture((output) => explainCommand(single, output, id, {}))
  assert.match(out, /taken over from entry-[^]*ended: served whole/)
  assert.match(notes.join('\n'), /The node that this request belongs to is gone/)
  await Promise.all([single.close(), caller.close()])
})

async function untilOpen (clock: ReturnType<typeof createSystemClock>): Promise<Deployment['entries'][number]> {
  for (let wait = 0; wait < 200; wait += 1) {
    const holder = deployment.entries.find((entry) => entry.parts.executions.open().some((execution) => execution.answer.offset() > 10))
    if (holder !== undefined) return holder
    await clock.sleep(10)
  }
  throw new Error('no request was open in time')
}
