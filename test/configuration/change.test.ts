/** Validation of configuration documents, and the differences between configurations. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { checkConfiguration, describeDifference, difference } from '../../src/configuration/index.js'

const KEY = 'a'.repeat(64)

function document (): Record<string, any> {
  return {
    deployment: { name: 'sample', target: { cost_per_thousand_answers: 2, recomputed_per_thousand_tokens: 20 } },
    services: [{ kind: 'model', name: 'assistant', model: 'assistant-7b' }, { kind: 'plain', name: 'booking' }],
    organisations: [{ name: 'tejo', key_sha256: [KEY] }],
    classes: [
      { name: 'question', service: 'assistant', idempotent: true, target: { first_token_ms: 560, whole_answer_ms: 8_000, quantile: 0.95, reliability: 0.999 } },
      { name: 'booking', service: 'booking', idempotent: false, target: { whole_answer_ms: 2_000, quantile: 0.95, reliability: 0.999 } }
    ]
  }
}

const REFUSED: ReadonlyArray<{ title: string, makeInvalid: (document: Record<string, any>) => void, message: RegExp }> = [
  { title: 'a weight', makeInvalid: (it) => { it.classes[0].weight = 3 }, message: /^classes\.0\.weight: weights are not set/ },
  { title: 'an address', makeInvalid: (it) => { it.services[0].addresses = ['10.0.0.1:80'] }, message: /^services\.0\.addresses: addresses are not named/ },
  { title: 'instances', makeInvalid: (it) => { it.services[1].min_instances = 2 }, message: /^services\.1\.min_instances: instances are not named/ },
  { title: 'an unknown key', makeInvalid: (it) => { it.classes[1].target.quantil = 0.9 }, message: /^classes\.1\.target\.quantil: unknown key$/ },
  { title: 'a class without a service', makeInvalid: (it) => { it.classes[0].service = 'nowhere' }, message: /^classes\.0\.service: there is no service "nowhere"$/ },
  { title: 'a first-token target of a plain service', makeInvalid: (it) => { it.classes[1].target.first_token_ms = 1 }, message: /^classes\.1\.target\.first_token_ms: only for services/ },
  { title: 'a duplicate name', makeInvalid: (it) => { it.organisations.push({ name: 'tejo', key_sha256: ['b'.repeat(64)] }) }, message: /^organisations\.1\.name: "tejo" stands twice$/ },
  { title: 'a key shared by two organisations', makeInvalid: (it) => { it.organisations.push({ name: 'ota', key_sha256: [KEY] }) }, message: /the key already belongs to "tejo"$/ }
]

for (const { title, makeInvalid: spoil, message: says } of REFUSED) {
  test(`a document with ${title} is refused with the path and the reason`, () => {
    const invalid = document()
    spoil(invalid)
    assert.throws(() => checkConfiguration(invalid), (error: any) => error.code === 'invalid-request' && error.verdict === 'not-run' && says.test(error.message))
  })
}

test('the difference lists what was added, removed and changed', () => {
  const before = checkConfiguration(document())
  const changed = document()
  changed.classes[1].target.whole_answer_ms = 1_500
  changed.classes.shift()
  changed.organisations.push({ name: 'ota', key_sha256: ['b'.repeat(64)] })
  const lines = difference(before, checkConfiguration(changed)).map(describeDifference)
  assert.deepEqual(lines, [
    'organisation ota: added',
    'class question: removed',
    'class booking: target.whole_answer_ms 2000 -> 1500'
  ])
  assert.deepEqual(difference(before, before), [])
})
