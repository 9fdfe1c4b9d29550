import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { incarnationSchema, requestIdFor } from '../../src/identifiers.js'
import { createNoteKeeper, createNoteWriter, openNoteSchema } from '../../src/request/index.js'
import type { NoteBatch } from '../../src/request/index.js'

const home = incarnationSchema.parse('entry-1-x')
const buddy = incarnationSchema.parse('entry-2-x')
const note = (number: number, changes: object = {}) => openNoteSchema.parse({
  id: requestIdFor(home, `request-number-${String(number).padStart(4, '0')}`),
  organisation: 'tejo',
  class: 'plan',
  idempotent: true,
  fingerprint: 'f',
  upstream: 'engine-1',
  handle: `stream-${number}`,
  offset: 0,
  ...changes
})

// A node dies without notice. Reports must name each of its open requests once: resumed, lost or unknown.
// Batches to the buddy were lost, with and without the home's knowledge, doubled and late before.
test('a buddy that heard the last batch knows exactly what is open', () => {
  const step = fc.record({ action: fc.constantFrom('open', 'open', 'close', 'send', 'send', 'lose', 'vanish', 'double'), number: fc.nat(8) })
  fc.assert(fc.property(fc.array(step, { maxLength: 80, size: 'max' }), fc.integer({ min: 1, max: 4 }), (steps, most) => {
    const writer = createNoteWriter(home)
    const keeper = createNoteKeeper()
    const open = new Set<number>()
    let previous: NoteBatch | undefined
    for (const { action, number } of steps) {
      if (action === 'open') {
        open.add(number)
        writer.open(note(number))
      } else if (action === 'close') {
        if (open.delete(number)) writer.closed(note(number).id)
      } else if (action === 'double') {
        if (previous !== undefined) keeper.receive(previous, 0)
      } else {
        const batch = writer.next(buddy, most)
        if (batch === undefined) continue
        if (action === 'lose') writer.failed()
        else if (action === 'vanish') continue
        else if (!keeper.receive(batch, 0)) writer.failed()
        previous = batch
      }
    }
    open.add(8)
    writer.open(note(8))
    for (let batch = writer.next(buddy, most); batch !== undefined; batch = writer.next(buddy, most)) {
      if (!keeper.receive(batch, 0)) writer.failed()
    }
    const { salvage } = keeper.died(home)
    assert.deepEqual(salvage.map((one) => one.note.id).sort(), [...open].map((number) => note(number).id).sort())
  }), { seed: 1, numRuns: 2_000 })
})

test('idempotent streams are resumed, the rest is told once as lost or unknown', () => {
  const keeper = createNoteKeeper()
  const open = [note(1), note(2, { handle: undefined }), note(3, { idempotent: false })]
  keeper.receive({ from: home, sequence: 1, whole: true, open, closed: [] }, 0)
  const { salvage, account } = keeper.died(home)
  assert.deepEqual(salvage.map((one) => one.kind === 'resume' ? one.position.handle : one.outcome), ['stream-1', 'lost', 'unknown'])
  assert.deepEqual(account.rows, [{ organisation: 'tejo', class: 'plan', resumed: 1, lost: 1, unknown: 1 }])
  keeper.receive({ from: home, sequence: 2, whole: true, open, closed: [] }, 0)
  assert.deepEqual(keeper.died(home).salvage, [])
})

test('notes are bounded and forgotten with their time', () => {
  const keeper = createNoteKeeper(10, 1_000)
  keeper.receive({ from: home, sequence: 1, whole: true, open: Array.from({ length: 50 }, (_, number) => note(number)), closed: [] }, 0)
  assert.equal(keeper.size(), 10)
  keeper.expire(1_001)
  assert.equal(keeper.size(), 0)
})
