/** Moves of runs away from a reclaimed upstream, on a manual clock. */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createEvacuation } from '../../src/gateway/evacuation.js'
import type { MoveOutcome } from '../../src/gateway/ports.js'
import type { UpstreamRecord } from '../../src/placement/index.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'
import { upstreamRecord } from '../placement/records.js'

const LOG = { info: () => {}, warn: () => {}, error: () => {} }

const upstream = (id: string, overrides: Partial<UpstreamRecord> = {}): UpstreamRecord => upstreamRecord(id, { address: `127.0.0.1:${id.length}`, reclaimable: true, ...overrides })

const SOURCE = upstream('source', { leavesIn: 2_500 })
const TARGETS = [upstream('first'), upstream('second'), upstream('third')]

function createFixture (answers: (MoveOutcome | Error)[], budget = 9) {
  const clock = createManualClock()
  const shutdown = new AbortController()
  const moves: { readonly at: number, readonly target: string }[] = []
  let remainingBudget = budget
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
    chooseTarget: (_service, excluded) => TARGETS.find(({ incarnation }) => !excluded.has(incarnation)),
    mayMove: () => remainingBudget-- > 0,
    signal: shutdown.signal
  })
  return { clock, evacuation, moves, ending: shutdown }
}

describe('an evacuation', () => {
  it('moves a remaining run shortly before its upstream is reclaimed, but no run that has ended', async () => {
    const { clock, evacuation, moves } = createFixture([{ kind: 'moved', reference: 'r' }])
    const long = evacuation.watch(SOURCE, 'long', new AbortController().signal)
    const short = evacuation.watch(SOURCE, 'short', new AbortController().signal)
    evacuation.leaving(SOURCE)
    await clock.advance(1_000)
    assert.deepEqual([moves.length, await long.location()], [0, { kind: 'same' }])
    short.end()
    await clock.advance(1_500)
    assert.deepEqual(moves, [{ at: 1_600, target: 'first' }])
    assert.deepEqual(await long.location(), { kind: 'moved', continuation: { upstream: TARGETS[0], reference: 'r' } })
  })

  // Guards against half a plan that looks whole: the order to move a run stops it, also where it is refused.
  it('tries at most two targets, and reports a run as stopped that none of them took', async () => {
    const { clock, evacuation, moves } = createFixture([])
    const run = evacuation.watch(SOURCE, 'r', new AbortController().signal)
    evacuation.leaving(SOURCE)
    await clock.advance(2_500)
    assert.deepEqual([moves.map(({ target }) => target), await run.location()], [['first', 'second'], { kind: 'stopped' }])
  })

  // Guards against a truncated plan that looks complete: the answer to the move order is lost, the stream ends at the
  // source, and the rest of the plan is at another engine.
  it('reports an unknown location after an unanswered move, and tries no other target', async () => {
    const { clock, evacuation, moves } = createFixture([new Error('no answer')])
    const run = evacuation.watch(SOURCE, 'r', new AbortController().signal)
    evacuation.leaving(SOURCE)
    await clock.advance(2_500)
    assert.deepEqual([moves.length, await run.location()], [1, { kind: 'unknown' }])
  })

  it('does not move a run that is over, exceeds the budget or has an upstream that is not reclaimed', async () => {
    const ended = createFixture([{ kind: 'no-run' }])
    const run = ended.evacuation.watch(SOURCE, 'r', new AbortController().signal)
    ended.evacuation.leaving(SOURCE)
    await ended.clock.advance(2_500)
    assert.deepEqual([ended.moves.length, await run.location()], [1, { kind: 'same' }])

    const budgetUsed = createFixture([{ kind: 'moved', reference: 'r' }], 0)
    budgetUsed.evacuation.watch(SOURCE, 'r', new AbortController().signal)
    budgetUsed.evacuation.leaving(SOURCE)
    await budgetUsed.clock.advance(2_500)
    assert.equal(budgetUsed.moves.length, 0)

    const notReclaimed = createFixture([{ kind: 'moved', reference: 'r' }])
    const lastingUpstream = upstream('source', { reclaimable: false })
    notReclaimed.evacuation.watch(lastingUpstream, 'r', new AbortController().signal)
    notReclaimed.evacuation.leaving(lastingUpstream)
    await notReclaimed.clock.advance(10_000)
    assert.equal(notReclaimed.moves.length, 0, 'an upstream that is not reclaimable lets its runs finish')
  })
})
