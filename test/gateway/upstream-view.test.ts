/** The view of upstreams over restarts under the same id, late readings and records that another writer has spoilt. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { createUpstreamView } from '../../src/gateway/upstream-view.js'
import { lifeOf } from '../../src/placement/index.js'
import type { UpstreamRecord } from '../../src/placement/index.js'
import { upstreamRecord } from '../placement/records.js'

const record = (born: number, more: Partial<UpstreamRecord> = {}): UpstreamRecord => upstreamRecord('i', { life: lifeOf('i', born), ...more })

describe('lives of an upstream', () => {
  // Questions wait at the engines that are left, and some are refused. An engine was drained and started again under
  // the id that it had; the node remembered the notice of the life before and sent it nothing any more.
  it('ends the notice of a life with that life', () => {
    const view = createUpstreamView()
    view.put(record(1), 1)
    assert.equal(view.put(record(1, { leaving: true }), 2), 'leaving')
    assert.equal(view.put(record(1), 3), undefined, 'leaving is final for one life')
    assert.equal(view.candidates('s', new Set(), 0).length, 0)
    assert.equal(view.put(record(2), 4), 'new')
    assert.deepEqual(view.candidates('s', new Set(), 0).map(({ upstream }) => upstream.life), [record(2).life])
  })

  // An engine that has just started again looks busy and paused: the prompts and failures of its life before are
  // counted for it, and the requests that could have begun there at once wait elsewhere.
  it('leaves load, failures and what was tried behind', () => {
    const view = createUpstreamView()
    view.put(record(1), 1)
    view.begin(record(1).life, 9_000, 0)
    view.noteReading('other', record(1).life, 5_000, 0)
    view.health.failed(record(1).life, 0)
    view.put(record(2), 2)
    const [candidate] = view.candidates('s', new Set([record(1).life]), 1)
    assert.deepEqual(candidate?.load, { requests: 0, reading: 0 })
    assert.equal(view.health.usable(record(2).life, 1), true)
  })

  // Requests go to an engine again that had said that it leaves: its record, which still called it ready, lapsed with the store
  // and was read anew.
  it('remembers of a life that its answers said that it leaves, over a lapse of its record', () => {
    const departed = new Set([record(1).life])
    const view = createUpstreamView({ isLeaving: (life) => departed.has(life), accepts: () => true })
    view.put(record(1), 1)
    assert.equal(view.candidates('s', new Set(), 0).length, 0)
    view.remove('i', 2)
    view.put(record(1), 3)
    assert.equal(view.candidates('s', new Set(), 0).length, 0)
    assert.equal(view.put(record(2), 4), 'new')
    assert.equal(view.candidates('s', new Set(), 0).length, 1)
  })

  // A plan is lost with its engine: the answers said that it leaves, and the registry's notice, which says how soon, was taken
  // for no news.
  it('takes the registry\'s notice for news after answers said the same', () => {
    const view = createUpstreamView()
    view.put(record(1), 1)
    assert.equal(view.noteLeaving(record(1).life), true)
    assert.equal(view.noteLeaving(record(1).life), false)
    assert.deepEqual(view.all().map(({ leaving }) => leaving), [true])
    assert.equal(view.put(record(1, { leaving: true, leavesIn: 2_000 }), 2), 'leaving')
  })

  // A question is sent to an engine that is gone. A listing in two pages showed the new life already, and the watch
  // after it began at the first page: it told of the end and of the heartbeats of the life before.
  it('is not undone by a late reading of the life before', () => {
    const view = createUpstreamView()
    view.put(record(2), 110)
    assert.equal(view.remove('i', 104), undefined)
    assert.equal(view.put(record(1, { leaving: true }), 105), undefined)
    assert.deepEqual(view.all().map(({ life }) => life), [record(2).life])
  })

  it('takes only the life out that another upstream was found in place of', () => {
    const view = createUpstreamView()
    view.put(record(2), 1)
    view.forget(record(1).life)
    assert.equal(view.all().length, 1)
    view.forget(record(2).life)
    assert.equal(view.all().length, 0)
  })

  it('shows the registry\'s last usable record whatever comes late, twice or spoilt', () => {
    const change = fc.oneof(
      fc.record({ kind: fc.constant('ready' as const), id: fc.integer({ min: 0, max: 2 }) }),
      fc.record({ kind: fc.constant('drain' as const), id: fc.integer({ min: 0, max: 2 }) }),
      fc.record({ kind: fc.constant('restart' as const), id: fc.integer({ min: 0, max: 2 }), clockBack: fc.boolean() }),
      fc.record({ kind: fc.constant('vanish' as const), id: fc.integer({ min: 0, max: 2 }) }),
      fc.record({ kind: fc.constant('spoil' as const), id: fc.integer({ min: 0, max: 2 }) })
    )
    fc.assert(fc.property(fc.array(fc.tuple(change, fc.boolean()), { maxLength: 60, size: 'max' }), (changes) => {
      const view = createUpstreamView()
      const truth = new Map<string, { born: number, leaving: boolean, shown: boolean }>()
      const events: (() => void)[] = []
      changes.forEach(([{ kind, id: number, ...more }, lateAgain], index) => {
        const id = `i-${number}`
        const present = truth.get(id) ?? { born: 1_000, leaving: false, shown: false }
        switch (kind) {
          case 'ready': Object.assign(present, { shown: true }); break
          case 'drain': Object.assign(present, { leaving: true, shown: true }); break
          case 'restart': Object.assign(present, { born: present.born + (('clockBack' in more && more.clockBack) ? -1 : 1) * (index + 1), leaving: false, shown: true }); break
          case 'vanish':
          case 'spoil': Object.assign(present, { shown: false })
        }
        truth.set(id, present)
        const { born, leaving, shown } = present
        const event = (): void => {
          if (shown) view.put(upstreamRecord(id, { life: lifeOf(id, born), leaving }), index + 1)
          else view.remove(id, index + 1)
        }
        event()
        events.push(event)
        // What was told once may be told again as long as something newer of the same id stands.
        if (lateAgain && shown) events.at(-1)?.()
      })
      const expected = [...truth].filter(([, { shown, leaving }]) => shown && !leaving).map(([id, { born }]) => lifeOf(id, born))
      const chosen = view.candidates('s', new Set(), 0).map(({ upstream }) => upstream.life)
      assert.deepEqual(chosen.sort(), expected.sort())
    }), { seed: 18, numRuns: 600 })
  })

  it('is the same whether or not older readings come again behind newer ones', () => {
    const reading = fc.record({ born: fc.integer({ min: 1, max: 9 }), leaving: fc.boolean(), present: fc.boolean() })
    fc.assert(fc.property(fc.array(reading, { minLength: 1, maxLength: 20, size: 'max' }), fc.nat(), (readings, pick) => {
      const view = createUpstreamView()
      const tell = (index: number): void => {
        const { born, leaving, present } = readings[index]!
        if (present) view.put(record(born, { leaving }), index + 1)
        else view.remove('i', index + 1)
      }
      readings.forEach((_, index) => tell(index))
      const before = view.all()
      if (before.length === 0) return
      tell(pick % readings.length)
      assert.deepEqual(view.all(), before)
    }), { seed: 19, numRuns: 600 })
  })

  // Questions wait a second and a half for their first word: a plan of 50,000 tokens was sent to their engine a moment
  // before by a node that this one hears of in sums only, and the next sums, which don't have it yet, take it away again.
  it('counts a long prompt of a node that it hears of in sums until the sums have it', () => {
    const view = createUpstreamView()
    view.put(record(1), 1)
    view.observe(new Map([['others', { [record(1).life]: { requests: 2, reading: 100 } }]]), 0)
    view.noteReading('node-9', record(1).life, 1_500, 50)
    view.observe(new Map([['others', { [record(1).life]: { requests: 2, reading: 100 } }]]), 400)
    const loadAt = (now: number) => view.candidates('s', new Set(), now)[0]?.load
    assert.deepEqual(loadAt(450), { requests: 3, reading: 50 + 1_100 })
    view.observe(new Map([['others', { [record(1).life]: { requests: 3, reading: 400 } }]]), 1_300)
    assert.deepEqual(loadAt(1_300), { requests: 3, reading: 400 }, 'it is in the sums now')
  })
})
