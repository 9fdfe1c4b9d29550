/** Moves of runs away from an upstream that is taken back, by a clock of the test's own. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createEvacuation } from '../../src/gateway/evacuation.js'
import type { MoveOutcome } from '../../src/gateway/ports.js'
import type { UpstreamRecord } from '../../src/placement/index.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'
import { upstreamRecord } from '../placement/records.js'

const LOG = { info: () => {}, warn: () => {}, error: () => {} }

const upstream = (id: string, more: Partial<UpstreamRecord> = {}): UpstreamRecord => upstreamRecord(id, { address: `127.0.0.1:${id.length}`, reclaimable: true, ...more })

const SOURCE = upstream('source', { leavesIn: 2_500 })
const TARGETS = [upstream('first'), upstream('second'), upstream('third')]

function createWorld (answers: (MoveOutcome | Error)[], budget = 9) {
  const clock = createManualClock()
  const ending = new AbortController()
  const moves: { readonly at: number, readonly target: string }[] = []
  let left = budget
  const evacuation = createEvacuation({
    clock,
    log: LOG,
    calls: {
      move: async (_source, _request, target) => {
        moves.push({ at: clock.now(), target: target.id })
        const answer = answers.shift() ?? { kind: 'refused' as const, reason: 'no room' }
        if (answer instanceof Error) throw answer
        return answer
      }
    },
    chooseTarget: (_service, excluded) => TARGETS.find(({ life }) => !excluded.has(life)),
    mayMove: () => left-- > 0,
    signal: ending.signal
  })
  return { clock, evacuation, moves, ending }
}

describe('an evacuation', () => {
  it('moves a run that is left shortly before its upstream goes, and none that has ended', async () => {
    const { clock, evacuation, moves } = createWorld([{ kind: 'moved', reference: 'r' }])
    const long = evacuation.watch(SOURCE, 'long', new AbortController().signal)
    const short = evacuation.watch(SOURCE, 'short', new AbortController().signal)
    evacuation.leaving(SOURCE)
    await clock.advance(1_000)
    assert.deepEqual([moves.length, await long.place()], [0, { kind: 'same' }])
    short.end()
    await clock.advance(1_500)
    assert.deepEqual(moves, [{ at: 1_600, target: 'first' }])
    assert.deepEqual(await long.place(), { kind: 'moved', continuation: { upstream: TARGETS[0], reference: 'r' } })
  })

  it('tries a second target, and no third', async () => {
    const { clock, evacuation, moves } = createWorld([])
    const run = evacuation.watch(SOURCE, 'r', new AbortController().signal)
    evacuation.leaving(SOURCE)
    await clock.advance(2_500)
    assert.deepEqual([moves.map(({ target }) => target), await run.place()], [['first', 'second'], { kind: 'same' }])
  })

  // A plan ends, as it seems, at the engine that was to give it away; the answer to the move was lost, and the
  // other engine has the rest of it.
  it('says that it does not know where a run is after a move without an answer, and asks nobody else', async () => {
    const { clock, evacuation, moves } = createWorld([new Error('no answer')])
    const run = evacuation.watch(SOURCE, 'r', new AbortController().signal)
    evacuation.leaving(SOURCE)
    await clock.advance(2_500)
    assert.deepEqual([moves.length, await run.place()], [1, { kind: 'unknown' }])
  })

  it('leaves a run alone that has ended or not begun, that the budget does not cover, or whose upstream stays', async () => {
    const ended = createWorld([{ kind: 'no-run' }])
    const run = ended.evacuation.watch(SOURCE, 'r', new AbortController().signal)
    ended.evacuation.leaving(SOURCE)
    await ended.clock.advance(2_500)
    assert.deepEqual([ended.moves.length, await run.place()], [1, { kind: 'same' }])

    const spent = createWorld([{ kind: 'moved', reference: 'r' }], 0)
    spent.evacuation.watch(SOURCE, 'r', new AbortController().signal)
    spent.evacuation.leaving(SOURCE)
    await spent.clock.advance(2_500)
    assert.equal(spent.moves.length, 0)

    const released = createWorld([{ kind: 'moved', reference: 'r' }])
    const lasting = upstream('source', { reclaimable: false })
    released.evacuation.watch(lasting, 'r', new AbortController().signal)
    released.evacuation.leaving(lasting)
    await released.clock.advance(10_000)
    assert.equal(released.moves.length, 0, 'an upstream that is replaced lets its runs end')
  })
})
