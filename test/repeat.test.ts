/** Periodic tasks: what an outage looks like in the log. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createLog } from '../src/log.js'
import { repeat } from '../src/repeat.js'
import { createManualClock } from '../stand-ins/manual-clock.js'

/*
 * The platform's instance list was down for a minute. The operator finds one line a second in each
 * node's log, and the lines that matter are lost among them. Cause: each failed run was logged.
 */
test('an outage is two lines, however long it lasts', async () => {
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
