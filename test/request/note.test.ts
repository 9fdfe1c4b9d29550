/** Notes about open requests, sent by a home and received by its buddy. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { incarnationSchema, requestIdFor } from '../../src/identifiers.js'
import { createNoteReceiver, createNoteWriter, openNoteSchema } from '../../src/request/index.js'
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

// Guards against reports that omit an open request of a dead node or count it twice. Batches of notes were lost
// before the death, with or without the home's knowledge, and were duplicated or delayed.
test('a buddy that has received the last batch knows exactly the open requests', () => {
  const step = fc.record({ action: fc.constantFrom('open', 'open', 'close', 'send', 'send', 'lose', 'vanish', 'double'), number: fc.nat(8) })
  fc.assert(fc.property(fc.array(step, { maxLength: 80, size: 'max' }), fc.integer({ min: 1, max: 4 }), (steps, maxNotes) => {
    const writer = createNoteWriter(home)
    const receiver = createNoteReceiver()
    const open = new Set<number>()
    let previous: NoteBatch | undefined
    for (const { action, number } of steps) {
      if (action === 'open') {
        open.add(number)
        writer.open(note(number))
      } else if (action === 'close') {
        if (open.delete(number)) writer.closed(note(number).id)
      } else if (action === 'double') {
        if (previous !== undefined) receiver.receive(previous, 0)
      } else {
        const batch = writer.next(buddy, maxNotes)
        if (batch === undefined) continue
        if (action === 'lose') writer.failed()
        else if (action === 'vanish') continue
        else if (!receiver.receive(batch, 0)) writer.failed()
        previous = batch
      }
    }
    open.add(8)
    writer.open(note(8))
    for (let batch = writer.next(buddy, maxNotes); batch !== undefined; batch = writer.next(buddy, maxNotes)) {
      if (!receiver.receive(batch, 0)) writer.failed()
    }
    const { decisions } = receiver.died(home)
    assert.deepEqual(decisions.map((one) => one.note.id).sort(), [...open].map((number) => note(number).id).sort())
  }), { seed: 1, numRuns: 2_000 })
})

test('idempotent streams are resumed, and other requests are reported once as lost or unknown', () => {
  const receiver = createNoteReceiver()
  const open = [note(1), note(2, { handle: undefined }), note(3, { idempotent: false })]
  receiver.receive({ from: home, sequence: 1, whole: true, open, closed: [] }, 0)
  const { decisions, counts } = receiver.died(home)
  assert.deepEqual(decisions.map((one) => one.kind === 'resume' ? one.position.handle : one.outcome), ['stream-1', 'lost', 'unknown'])
  assert.deepEqual(counts.rows, [{ organisation: 'tejo', class: 'plan', resumed: 1, lost: 1, unknown: 1 }])
  receiver.receive({ from: home, sequence: 2, whole: true, open, closed: [] }, 0)
  assert.deepEqual(receiver.died(home).decisions, [])
})

test('the number of notes is limited, and they expire', () => {
  const receiver = createNoteReceiver(10, 1_000)
  receiver.receive({ from: home, sequence: 1, whole: true, open: Array.from({ length: 50 }, (_, number) => note(number)), closed: [] }, 0)
  assert.equal(receiver.size(), 10)
  receiver.expire(1_001)
  assert.equal(receiver.size(), 0)
})
