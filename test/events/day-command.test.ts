/** Command `hornbeamgap day` on log files. */
import assert from 'node:assert/strict'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, describe, it } from 'node:test'
import { dayCommand } from '../../src/operator/command/day.js'
import type { DayCommandOptions } from '../../src/operator/command/day.js'

const START = Date.parse('2026-01-01T00:00:00.000Z')
const folder = mkdtempSync(join(tmpdir(), 'hornbeamgap-day-'))

after(() => rmSync(folder, { recursive: true }))

function text (at: number, event: string, facts: object, process = 'front-1'): string {
  return JSON.stringify({ time: new Date(START + at).toISOString(), level: 'info', process, event, ...facts })
}

function served (at: number, facts: object): string {
  return text(at, 'request-served', { request: `r${at}`, route: 'plans', organisation: 'o-1', upstream: 'i-1', attempts: 1, unrun: 0, events: 1, promptTokens: 100, late: false, firstAfter: 40, after: 90, ...facts })
}

function file (name: string, lines: readonly string[]): string {
  const path = join(folder, name)
  writeFileSync(path, lines.join('\n'))
  return path
}

async function run (files: readonly string[], options: DayCommandOptions): Promise<{ out: string, notes: string }> {
  const outputs: string[] = []
  const notes: string[] = []
  await dayCommand(files, { out: (part) => { outputs.push(part) }, note: (note) => { notes.push(note) }, exit: () => assert.fail() }, options)
  return { out: outputs.join(''), notes: notes.join('\n') }
}

describe('hornbeamgap day', () => {
  const first = file('first.log', [
    'front-1 | ' + text(0, 'upstream-new', { upstream: 'i-1', service: 'engines' }),
    served(200, {}),
    '',
    served(1_200, { late: true }),
    text(1_300, 'quota-refused', { request: 'q', organisation: 'o-2', cause: 'rate' }),
    text(1_300, 'request-failed', { request: 'q', route: 'plans', organisation: 'o-2', code: 'organisation-limit', verdict: 'not-run', after: 1 }),
    text(1_900, 'requests-summed', { served: 1, late: 1, refused: 1, lost: 0, left: 0, span: 2_000 }),
    '{"time":"2026-01-01T00:00:01.9'
  ])
  const second = file('second.log', [text(1_500, 'lines-left-out', { 'request-served': 4 }, 'front-2'), served(1_700, { organisation: 'o-3' })])

  it('tells the load by group, the whole day first, and what is missing', async () => {
    const { out, notes } = await run([first, second], { load: true, by: 'class,quota' })
    assert.deepEqual(out.split('\n').map((row) => row.split(/ {2,}/).join('|')), [
      'By class, parts of 1 s',
      'time|class|requests|in time|late|refused|failed|left|codes',
      'all|plans|4|2|1|1|0|0|refused: organisation-limit 1',
      '00:00:00.000|plans|1|1|0|0|0|0',
      '00:00:01.000|plans|3|1|1|1|0|0|refused: organisation-limit 1',
      '',
      'Refused by quotas, parts of 1 s',
      'time|organisation|cause|requests',
      'all|o-2|rate|1',
      '00:00:01.000|o-2|rate|1',
      ''
    ])
    assert.match(notes, /4 requests, by the lines of their ends; the sums of 2 nodes count 3\./)
    assert.match(notes, /left out to bound the volume: 4 of request-served/)
    assert.match(notes, /1 of 9 lines were not understood/)
  })

  it('tells all groups, or the whole day only, or JSON', async () => {
    const { out } = await run([first, second], { load: true, totals: true })
    for (const title of ['By class', 'By organisation', 'By size of the prompt', 'In flight', 'By upstream', 'Refused by quotas']) assert.ok(out.includes(title), title)
    assert.doesNotMatch(out, /00:00:01/)
    assert.equal(JSON.parse((await run([first], { load: true, json: true })).out).total.organisations['o-2'].refused['organisation-limit'], 1)
  })

  it('tells the nodes\' sums without --load', async () => {
    assert.match((await run([first, second], {})).out, /^all +1 +1 +1 +0 +0$/m)
  })

  // Failure guarded against: a character or a line that lies on the border of two chunks of the file is lost.
  it('reads lines across the chunks of a file', async () => {
    const lines = Array.from({ length: 5_000 }, (_, index) => served(index, { organisation: `ö-${'é'.repeat(index % 7)}` }))
    const { out, notes } = await run([file('long.log', lines)], { load: true, by: 'class', totals: true })
    assert.match(out, /^all +plans +5,000/m)
    assert.doesNotMatch(notes, /not understood/)
  })

  it('refuses files and options that it cannot use', async () => {
    await assert.rejects(run([join(folder, 'missing.log')], { load: true }), /missing\.log: cannot be read/)
    await assert.rejects(run([first], { load: true, by: 'class,zone' }), /"zone" is none of/)
    await assert.rejects(run([first], { load: true, step: 0 }), /--step 0/)
    await assert.rejects(run([first], { load: true, html: join(folder, 'x.html') }), /exclude each other/)
    await assert.rejects(run([first], { by: 'class' }), /need --load/)
    await assert.rejects(run([file('empty.log', ['x'])], { load: true }), /no line of 1 tells the end of a request/)
    await assert.rejects(run([file('empty.log', ['x'])], {}), /no line of 1 has sums/)
  })
})
