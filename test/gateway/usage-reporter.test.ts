/** Usage reports of the holder of the duties, with a manual clock. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { SECOND } from '../../src/clock.js'
import { startUsageReporter } from '../../src/gateway/usage-reporter.js'
import { createRandom } from '../../src/random.js'
import { createUsageWindows } from '../../src/usage/index.js'
import { createFaultSwitch } from '../../stand-ins/faults.js'
import { createDirectKeyValue } from '../../stand-ins/key-value-direct.js'
import { createKeyValueStore } from '../../stand-ins/key-value-store.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'

const LOG = { info: () => {}, warn: () => {}, error: () => {} }
const WINDOW = 5 * SECOND
const JOURNAL = 'hornbeamgap-usage-journal'

describe('usage reports', () => {
  // Failure guarded against: the journal is overwritten by another writer while the duties change to another node. The new
  // holder takes the journal for missing, counts the last window again, now with counts that arrived in between, and
  // reports the window a second time with other figures.
  it('are made once for each window when the journal is corrupted', async () => {
    const clock = createManualClock(20 * SECOND)
    const random = createRandom(1)
    const keys = createKeyValueStore(clock)
    const windows = createUsageWindows(WINDOW)
    const reported: number[] = []

    function startHolder (incarnation: string): AbortController {
      const shutdown = new AbortController()
      startUsageReporter({
        context: { store: createDirectKeyValue(keys, createFaultSwitch(clock, random), clock), clock, random, log: LOG, signal: shutdown.signal },
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
      return shutdown
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
    assert.deepEqual(reported, [...new Set(reported)], 'each window is reported once')
  })
})
