/** The catalogue of log events against the operators' documentation and against the rate limit of log lines. */
import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import { Writable } from 'node:stream'
import { describe, it } from 'node:test'
import { createBoundedLineSink } from '../../src/bounded-line-sink.js'
import { EVENTS } from '../../src/events/index.js'
import type { EventLog } from '../../src/events/index.js'
import { createLog } from '../../src/log.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'

const documentation = readFileSync(new URL('../../docs/OPERATIONS.md', import.meta.url), 'utf8')

describe('the catalogue of events', () => {
  it('is listed completely in the operators\' documentation, which lists no other events', () => {
    const table = documentation.slice(documentation.indexOf('| Event |'), documentation.indexOf('## Metrics'))
    const named = new Set([...table.matchAll(/^\| `([a-z-]+)` \|/gm)].map(([, name]) => name))
    assert.deepEqual([...named].sort(), Object.keys(EVENTS).sort())
  })

  it('has a description of each event', () => {
    for (const [name, schema] of Object.entries(EVENTS)) assert.ok((schema.description ?? '').length > 10, name)
  })
})

describe('log lines of served requests', () => {
  // Failure guarded against: the lines of served requests use up the rate limit, and the lines that explain the failed
  // requests are left out.
  it('never displace the lines of failures', async () => {
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
