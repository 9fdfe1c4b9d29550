/** The catalogue of lines against the operators' page and against what a node under load may write. */
import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import { Writable } from 'node:stream'
import { describe, it } from 'node:test'
import { createBoundedLineSink } from '../../src/bounded-lines.js'
import { EVENTS } from '../../src/events/index.js'
import type { EventLog } from '../../src/events/index.js'
import { createLog } from '../../src/log.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'

const page = readFileSync(new URL('../../docs/OPERATIONS.md', import.meta.url), 'utf8')

describe('the catalogue of events', () => {
  it('stands whole in the operators\' page, which names no others', () => {
    const table = page.slice(page.indexOf('| Event |'), page.indexOf('## Metrics'))
    const named = new Set([...table.matchAll(/^\| `([a-z-]+)` \|/gm)].map(([, name]) => name))
    assert.deepEqual([...named].sort(), Object.keys(EVENTS).sort())
  })

  it('says of each event what it means', () => {
    for (const [name, schema] of Object.entries(EVENTS)) assert.ok((schema.description ?? '').length > 10, name)
  })
})

describe('lines of single requests', () => {
  // An outage fails every request, and the lines of those that are served push out those that say why the
  // others failed.
  it('never push out those of failures', async () => {
    const clock = createManualClock()
    const seen: string[] = []
    const stream = new Writable({ write: (chunk, _encoding, done) => { seen.push(JSON.parse(String(chunk)).event); done() } })
    const log: EventLog = createLog('front-1', 'info', clock.wall, createBoundedLineSink(stream, clock, (leftOut) => JSON.stringify({ event: 'lines-left-out', ...leftOut })))
    for (let count = 0; count < 500; count += 1) {
      log.info('request-sent', { request: `r${count}`, upstream: 'i', send: 1, reading: 0, waiting: 0, candidates: 1, nodes: 1 })
      log.info('request-served', { request: `r${count}`, route: 'r', upstream: 'i', attempts: 1, unrun: 0, events: 1, firstAfter: 1, after: 1 })
    }
    log.info('request-failed', { request: 'f', code: 'no-upstream', verdict: 'not-run', reason: 'x', after: 1, nodes: 1 })
    assert.equal(seen.at(-1), 'request-failed')
    assert.ok(seen.length <= 51, `${seen.length} lines in one second`)
  })
})
