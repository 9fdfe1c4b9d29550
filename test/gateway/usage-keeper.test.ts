/** Usage reports of the duties' holder, by a clock of the test's own. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { SECOND } from '../../src/clock.js'
import { keepUsage } from '../../src/gateway/usage-keeper.js'
import { createRandom } from '../../src/random.js'
import { createUsageWindows } from '../../src/usage/index.js'
import { createFaultSwitch } from '../../stand-ins/faults.js'
import { createDirectKeyValue } from '../../stand-ins/key-value-direct.js'
import { createKeyValueStore } from '../../stand-ins/key-value-store.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'

const LOG = { info: () => {}, warn: () => {}, error: () => {} }
const WINDOW = 5 * SECOND
const JOURNAL = 'hornbeamgap-usage-journal'

describe('the reports of usage', () => {
  // A manager sees two different counts for the same five seconds. Something else had written over the record of
  // what was reported as the duties changed hands; the new holder took it for missing, counted the last window again,
  // with the counts of a node that had come in between, and reported it a second time.
  it('are not made twice for a window where the record of what was reported is spoilt', async () => {
    const clock = createManualClock(20 * SECOND)
    const random = createRandom(1)
    const keys = createKeyValueStore(clock)
    const windows = createUsageWindows(WINDOW)
    const reported: number[] = []

    function startHolder (incarnation: string): AbortController {
      const ending = new AbortController()
      keepUsage({
        context: { store: createDirectKeyValue(keys, createFaultSwitch(clock, random), clock), clock, random, log: LOG, signal: ending.signal },
        incarnation,
        windows,
        windowLength: WINDOW,
        due: 10 * SECOND,
        sharedWall: clock.wall,
        duty: { proof: () => ({ holder: incarnation, fencing: 1 }), superseded: () => {}, recordCall: () => {}, onLeaseDeleted: () => {}, release: async () => {} },
        calls: {
          reportUsage: async (_proof, window) => {
            reported.push(window)
            return 'accepted'
          },
          order: async () => 'accepted'
        },
        heard: () => new Map(),
        members: () => new Map(),
        isMember: () => false,
        fencingIsChecked: false
      })
      return ending
    }

    let holder = startHolder('node-1')
    for (let step = 0; step < 60; step += 1) {
      windows.recordStart('tejo', clock.wall())
      await clock.advance(500)
      if (step % 20 !== 12) continue
      holder.abort()
      keys.put(JOURNAL, 'spoilt')
      holder = startHolder(`node-${step}`)
    }
    holder.abort()
    assert.ok(reported.length >= 3, `${reported.length} windows were reported`)
    assert.deepEqual(reported, [...new Set(reported)], 'each window once')
  })
})
