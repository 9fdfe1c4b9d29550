import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { MINUTE, SECOND } from '../../../src/clock.js'
import { addressSchema, instanceNameSchema } from '../../../src/identifiers.js'
import { ASSUMED_NOTICE_PERIOD, createLeavingView, noticeFromMessage, MAX_LIST_LAG } from '../../../src/upstream/reclaim/index.js'
import type { ListedInstance, Notice, NoticeSource } from '../../../src/upstream/reclaim/index.js'

const NAME = instanceNameSchema.parse('instance-1')
const ADDRESS = addressSchema.parse('10.0.0.1:80')
const OTHER_ADDRESS = addressSchema.parse('10.0.0.2:80')

function notice (change: Partial<Notice> = {}): Notice {
  return { instance: NAME, address: ADDRESS, source: 'cloud', noticedAt: 0, deadline: 10 * SECOND, ...change }
}

function listEntry (state: 'live' | 'leaving', address = ADDRESS): ListedInstance {
  return { name: NAME, address, state }
}

// Visible effect: answers are cut off, because requests are sent to an engine that ends seconds later. The cloud's
// notice has arrived, but the lagging instance list still shows the instance as live. Cause: the entry of the list
// was taken as newer than the notice.
test('a lagging instance list never revokes a notice about the same incarnation', () => {
  fc.assert(fc.property(
    fc.array(fc.record({ wait: fc.nat(5 * SECOND), list: fc.constantFrom('live', 'leaving', 'missing'), source: fc.constantFrom<NoticeSource | undefined>(undefined, 'peer', 'refusal') }), { maxLength: 30 }),
    (steps) => {
      const view = createLeavingView()
      view.listed([listEntry('live')], 0)
      view.notice(notice({ deadline: 20 * SECOND }), 0)
      let now = 0
      for (const step of steps) {
        now = Math.min(now + step.wait, 20 * SECOND - 1)
        view.listed(step.list === 'missing' ? [] : [listEntry(step.list === 'live' ? 'live' : 'leaving')], now)
        if (step.source !== undefined) view.notice(notice({ source: step.source, noticedAt: now, deadline: undefined }), now)
        assert.ok(view.find(NAME, ADDRESS), `revoked at ${now}`)
      }
    }), { seed: 1, numRuns: 300 })
})

test('the earliest announced deadline counts in any order of the notices', () => {
  fc.assert(fc.property(fc.array(fc.option(fc.nat(60 * SECOND), { nil: undefined }), { minLength: 1, maxLength: 8 }), (deadlines) => {
    const view = createLeavingView()
    for (const deadline of deadlines) view.notice(notice({ deadline }), 0)
    const announced = deadlines.filter((deadline) => deadline !== undefined)
    const expected = announced.length === 0 ? ASSUMED_NOTICE_PERIOD : Math.min(...announced)
    assert.equal(view.find(NAME, ADDRESS)?.deadline, expected)
  }), { seed: 1, numRuns: 300 })
})

test('only new notices are to be forwarded', () => {
  const view = createLeavingView()
  assert.equal(view.notice(notice(), 0), true)
  assert.equal(view.notice(notice({ source: 'peer' }), 5), false)
  assert.equal(view.notice(notice({ deadline: 2 * SECOND }), 10), true)
})

// Visible effect: one engine stays idle forever. An instance ends, its name and address are reused, and a lagging
// peer repeats the old notice to a node that knows the new instance.
test('a new instance under a reused name is not leaving, and late notices about the former one are dropped', () => {
  const view = createLeavingView()
  view.listed([listEntry('live')], 0)
  view.notice(notice(), 0)
  const late = view.messages(5 * SECOND)
  view.listed([], 12 * SECOND)
  view.listed([listEntry('live')], 15 * SECOND)
  assert.equal(view.find(NAME, ADDRESS), undefined)
  for (const message of late) assert.equal(view.notice(noticeFromMessage({ ...message, ageMs: message.ageMs + 11 * SECOND }, 16 * SECOND), 16 * SECOND), false)
  assert.equal(view.find(NAME, ADDRESS), undefined)
  assert.equal(view.notice(notice({ noticedAt: 20 * SECOND, deadline: 30 * SECOND }), 20 * SECOND), true, 'a notice about the new incarnation is accepted')
})

test('a new address under the same name is a new incarnation, also for sources that know only names', () => {
  const view = createLeavingView()
  view.listed([listEntry('live')], 0)
  view.notice(notice({ address: undefined }), 0)
  view.listed([listEntry('live', OTHER_ADDRESS)], SECOND)
  assert.ok(view.find(NAME, ADDRESS))
  assert.equal(view.find(NAME, OTHER_ADDRESS), undefined)
  view.notice(notice({ address: undefined, noticedAt: 2 * SECOND }), 2 * SECOND)
  assert.equal(view.find(NAME, OTHER_ADDRESS), undefined, 'the repeated notice applies to the former incarnation')
  view.notice(notice({ address: undefined, noticedAt: 20 * SECOND, deadline: 40 * SECOND }), 20 * SECOND)
  assert.ok(view.find(NAME, OTHER_ADDRESS))
})

test('an instance that is listed after its deadline plus the maximum lag is no longer leaving', () => {
  const view = createLeavingView()
  view.listed([listEntry('live')], 0)
  view.notice(notice(), 0)
  view.listed([listEntry('live')], 10 * SECOND + MAX_LIST_LAG - 1)
  assert.ok(view.find(NAME, ADDRESS))
  view.listed([listEntry('live')], 10 * SECOND + MAX_LIST_LAG + 1)
  assert.equal(view.find(NAME, ADDRESS), undefined)
})

test('a notice about an instance that is not listed yet applies when it is listed', () => {
  const view = createLeavingView()
  view.notice(notice({ address: undefined }), 0)
  view.listed([listEntry('live')], SECOND)
  assert.ok(view.find(NAME, ADDRESS))
  assert.equal(view.find(NAME, OTHER_ADDRESS), undefined, 'only for that incarnation')
})

test('an instance that ended long ago is removed', () => {
  const view = createLeavingView()
  view.listed([listEntry('live')], 0)
  view.notice(notice(), 0)
  view.listed([], 30 * MINUTE)
  assert.equal(view.all().length, 0)
})
