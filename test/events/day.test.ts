/** Summary of a day from the sums in the logs of nodes. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { readLine, summarizeDay } from '../../src/events/index.js'
import type { LoggedLine } from '../../src/events/index.js'
import { dayPage } from '../../src/operator/command/day-page.js'

const START = Date.parse('2026-01-01T00:00:00.000Z')

function sums (after: number, process: string, counts: object): LoggedLine {
  return readLine(JSON.stringify({ time: new Date(START + after).toISOString(), level: 'info', process, event: 'requests-summed', served: 0, late: 0, refused: 0, lost: 0, left: 0, span: 2_000, ...counts }))!
}

describe('the summary of a day', () => {
  const lines = [sums(100, 'a', { served: 5, late: 1 }), sums(1_900, 'b', { served: 2 }), sums(6_100, 'a', { lost: 3 })]

  it('adds up the nodes by interval, and includes intervals in which no request ended', () => {
    const day = summarizeDay(lines, 2_000)
    assert.deepEqual(day?.parts.map(({ sums }) => [sums.served, sums.late, sums.lost]), [[7, 1, 0], [0, 0, 0], [0, 0, 0], [0, 0, 3]])
    assert.deepEqual(day?.total, { served: 7, late: 1, refused: 0, lost: 3, left: 0 })
    assert.deepEqual(day?.processes, ['a', 'b'])
  })

  it('is plotted on a page without external resources', () => {
    const page = dayPage(summarizeDay(lines, 2_000)!)
    assert.match(page, /first answer in time: 7/)
    assert.equal(page.match(/<rect /g)?.length, 3)
    assert.doesNotMatch(page, /(src|href)=/)
  })

  it('is undefined without sums', () => {
    assert.equal(summarizeDay([], 2_000), undefined)
  })
})
