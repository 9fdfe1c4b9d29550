/** The check of operators' documents and the differences they are shown. */
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

const REFUSED: ReadonlyArray<{ title: string, spoil: (document: Record<string, any>) => void, says: RegExp }> = [
  { title: 'a weight', spoil: (it) => { it.classes[0].weight = 3 }, says: /^classes\.0\.weight: weights are not set/ },
  { title: 'an address', spoil: (it) => { it.services[0].addresses = ['10.0.0.1:80'] }, says: /^services\.0\.addresses: addresses are not named/ },
  { title: 'instances', spoil: (it) => { it.services[1].min_instances = 2 }, says: /^services\.1\.min_instances: instances are not named/ },
  { title: 'an unknown key', spoil: (it) => { it.classes[1].target.quantil = 0.9 }, says: /^classes\.1\.target\.quantil: unknown key$/ },
  { title: 'a class of no service', spoil: (it) => { it.classes[0].service = 'nowhere' }, says: /^classes\.0\.service: there is no service "nowhere"$/ },
  { title: 'a first token of a plain service', spoil: (it) => { it.classes[1].target.first_token_ms = 1 }, says: /^classes\.1\.target\.first_token_ms: only for services/ },
  { title: 'a name that stands twice', spoil: (it) => { it.organisations.push({ name: 'tejo', key_sha256: ['b'.repeat(64)] }) }, says: /^organisations\.1\.name: "tejo" stands twice$/ },
  { title: 'a key of two organisations', spoil: (it) => { it.organisations.push({ name: 'ota', key_sha256: [KEY] }) }, says: /the key already belongs to "tejo"$/ }
]

for (const { title, spoil, says } of REFUSED) {
  test(`a document with ${title} is refused with the path and the reason`, () => {
    const spoilt = document()
    spoil(spoilt)
    assert.throws(() => checkConfiguration(spoilt), (error: any) => error.code === 'invalid-request' && error.verdict === 'not-run' && says.test(error.message))
  })
}

test('the difference names what was added, removed and changed', () => {
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
