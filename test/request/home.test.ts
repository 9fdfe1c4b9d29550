import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { failureDomainSchema, incarnationSchema, organisationNameSchema, requestIdFor } from '../../src/identifiers.js'
import { createHomeTable, createSeenFilter, rankSuccessors } from '../../src/request/index.js'

const own = incarnationSchema.parse('entry-1-aa')
const other = incarnationSchema.parse('entry-2-bb')
const third = incarnationSchema.parse('entry-3-cc')
const organisation = organisationNameSchema.parse('tejo')
const submission = (home: typeof own, number: number, fingerprint = 'f') =>
  ({ id: requestIdFor(home, `booking-number-${number}`), organisation, fingerprint })
const SERVED = { outcome: { kind: 'served', finish: 'stop', late: false }, verdict: 'ran' } as const

test('a second send attaches, a different body conflicts, another organisation sees nothing', () => {
  const home = createHomeTable({ own, seed: 1 })
  assert.equal(home.submit(submission(own, 1), 0).kind, 'run')
  assert.equal(home.submit(submission(own, 1), 1).kind, 'attach')
  assert.equal(home.submit(submission(own, 1, 'other body'), 2).kind, 'conflict')
  assert.equal(home.submit({ ...submission(own, 1), organisation: organisationNameSchema.parse('kyushu') }, 3).kind, 'not-visible')
  assert.deepEqual(home.submit(submission(other, 2), 4), { kind: 'ask-home', incarnation: other })
})

// A family books a visit and is answered. Hours later a mail program finds the unsent copy of the request
// and sends it again, when the node has long forgotten the booking. Were the id taken for new, a second van
// would come.
test('an id that is forgotten is never run again', () => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 40 }), fc.integer({ min: 1, max: 10 }), (count, mostEnded) => {
    const home = createHomeTable({ own, seed: 1, answerRetention: 10, outcomeRetention: 50, mostEnded, forgottenBits: 64 })
    for (let number = 0; number < count; number += 1) {
      if (home.submit(submission(own, number), number).kind === 'run') home.end(submission(own, number).id, SERVED, number)
    }
    home.expire(1_000)
    assert.equal(home.statistics().ended, 0)
    for (let number = 0; number < count; number += 1) assert.equal(home.submit(submission(own, number), 1_000).kind, 'forgotten')
  }), { seed: 1, numRuns: 200 })
})

// The caller is told "refused, not run" and books by telephone. A copy of its request that a proxy held
// back arrives at the same node later. It must be refused again, not run.
test('a refused id stays refused', () => {
  const home = createHomeTable({ own, seed: 1 })
  home.submit(submission(own, 1), 0)
  home.end(submission(own, 1).id, { outcome: { kind: 'refused', code: 'overloaded' }, verdict: 'not-run' }, 0)
  home.expire(600_000)
  assert.equal(home.submit(submission(own, 1), 600_000).kind, 'ended')
  assert.equal(home.mayDispatch(submission(own, 1).id), false)
})

// A reclaimed node sends its open bookings to a successor; the reply is lost. It must not offer them to
// a second successor nor run them itself, since the first may be running them.
test('the table is given away once and each id is sent once', () => {
  const home = createHomeTable({ own, seed: 1 })
  const { id } = submission(own, 1)
  home.submit(submission(own, 1), 0)
  assert.equal(home.giveAway()?.length, 1)
  assert.equal(home.giveAway(), undefined)
  assert.deepEqual(home.assign([id], other), [id])
  assert.deepEqual(home.assign([id], third), [])
  assert.equal(home.mayDispatch(id), false)
  assert.deepEqual(home.submit(submission(own, 1), 1), { kind: 'ask-home', incarnation: other })
  assert.equal(home.submit(submission(own, 2), 1).kind, 'stopping')
  assert.equal(home.submit(submission(own, 2), 2).kind, 'ended')
})

test('an heir answers for exactly the ids it received and may give them away again', () => {
  const heir = createHomeTable({ own: other, seed: 1 })
  const { id } = submission(own, 1)
  assert.deepEqual(heir.inherit(own, [submission(own, 1)], 0), [id])
  assert.deepEqual(heir.inherit(own, [submission(own, 1)], 0), [])
  assert.equal(heir.submit(submission(own, 1), 1).kind, 'attach')
  assert.equal(heir.submit(submission(own, 2), 1).kind, 'forgotten')
  assert.equal(heir.mayDispatch(id), true)
  assert.deepEqual(heir.giveAway()?.map((record) => record.id), [id])
  assert.deepEqual(heir.assign([id], third), [id])
  assert.deepEqual(heir.find(organisation, id), { kind: 'ask-home', incarnation: third })
})

test('the forgotten ids of a day cost fewer than one mistake in 100,000', () => {
  const seen = createSeenFilter({ bits: 2 ** 24, hashes: 7, seed: 5 })
  for (let number = 0; number < 350_000; number += 1) seen.add(`${own}.id-${number}`)
  let mistakes = 0
  for (let number = 0; number < 100_000; number += 1) mistakes += Number(seen.has(`${own}.new-${number}`))
  assert.ok(mistakes <= 1, `${mistakes} mistakes`)
})

test('successors are live, elsewhere first, and all nodes agree on them', () => {
  const nodes = Array.from({ length: 9 }, (_, index) => ({
    incarnation: incarnationSchema.parse(`entry-${index}-x`),
    failureDomain: failureDomainSchema.parse(`zone-${index % 3}`),
    leaving: index === 4
  }))
  const ranking = rankSuccessors(nodes[0]!, nodes)
  assert.equal(ranking.length, 7)
  assert.ok(ranking.slice(0, 5).every((node) => node.failureDomain !== 'zone-0'))
  assert.deepEqual(rankSuccessors(nodes[0]!, [...nodes].reverse()), ranking)
})
