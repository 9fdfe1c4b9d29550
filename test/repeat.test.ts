/** Logging of periodic tasks during an outage. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createLog } from '../src/log.js'
import { repeat } from '../src/repeat.js'
import { createManualClock } from '../stand-ins/manual-clock.js'

// Guards against logs in which other lines cannot be found, because each failed run of a periodic task writes one.
test('an outage produces two log lines, however long it lasts', async () => {
  const clock = createManualClock()
  const lines: string[] = []
  const log = createLog('test', 'info', clock.wall, (line) => lines.push((JSON.parse(line) as { event: string }).event))
  const owner = new AbortController()
  let down = true
  let runs = 0
  repeat({ clock, log, signal: owner.signal }, 'instance-list', 1_000, () => {
    runs += 1
    if (down) throw new Error('refused')
  })
  await clock.advance(0)
  await clock.advance(60_000)
  down = false
  await clock.advance(5_000)
  owner.abort()
  assert.ok(runs > 60)
  assert.deepEqual(lines, ['instance-list-failing', 'instance-list-works-again'])
})
