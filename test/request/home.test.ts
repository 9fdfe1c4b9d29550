/** The home table, the filter of forgotten ids and the ranking of successors. */
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

test('a repeated request attaches, a different body conflicts, and another organisation has no access', () => {
  const home = createHomeTable({ own, seed: 1 })
  assert.equal(home.submit(submission(own, 1), 0).kind, 'run')
  assert.equal(home.submit(submission(own, 1), 1).kind, 'attach')
  assert.equal(home.submit(submission(own, 1, 'other body'), 2).kind, 'conflict')
  assert.equal(home.submit({ ...submission(own, 1), organisation: organisationNameSchema.parse('kyushu') }, 3).kind, 'not-visible')
  assert.deepEqual(home.submit(submission(other, 2), 4), { kind: 'ask-home', incarnation: other })
})

// Guards against a booking that runs twice because the caller sends the same request again hours later, after the
// node has forgotten the first one and takes the id for new.
test('a forgotten id is never run again', () => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 40 }), fc.integer({ min: 1, max: 10 }), (count, maxEnded) => {
    const home = createHomeTable({ own, seed: 1, answerRetention: 10, outcomeRetention: 50, maxEnded, forgottenFilterBits: 64 })
    for (let number = 0; number < count; number += 1) {
      if (home.submit(submission(own, number), number).kind === 'run') home.end(submission(own, number).id, SERVED, number)
    }
    home.expire(1_000)
    assert.equal(home.statistics().ended, 0)
    for (let number = 0; number < count; number += 1) assert.equal(home.submit(submission(own, number), 1_000).kind, 'forgotten')
  }), { seed: 1, numRuns: 200 })
})

// Guards against a request that runs although its caller was told that it was not run. A proxy has delayed a second
// copy of the refused request, which must be refused as well.
test('a refused request stays refused', () => {
  const home = createHomeTable({ own, seed: 1 })
  home.submit(submission(own, 1), 0)
  home.end(submission(own, 1).id, { outcome: { kind: 'refused', code: 'overloaded' }, verdict: 'not-run' }, 0)
  home.expire(600_000)
  assert.equal(home.submit(submission(own, 1), 600_000).kind, 'ended')
  assert.equal(home.mayDispatch(submission(own, 1).id), false)
})

// Guards against a request that runs at two successors. The reply to a hand-over is lost, and the first successor may
// be running the request. The node must neither assign the request to a second successor nor run it itself.
test('the table is handed over once and each id is sent once', () => {
  const home = createHomeTable({ own, seed: 1 })
  const { id } = submission(own, 1)
  home.submit(submission(own, 1), 0)
  assert.equal(home.beginHandOver()?.length, 1)
  assert.equal(home.beginHandOver(), undefined)
  assert.deepEqual(home.assign([id], other), [id])
  assert.deepEqual(home.assign([id], third), [])
  assert.equal(home.mayDispatch(id), false)
  assert.deepEqual(home.submit(submission(own, 1), 1), { kind: 'ask-home', incarnation: other })
  assert.equal(home.submit(submission(own, 2), 1).kind, 'stopping')
  assert.equal(home.submit(submission(own, 2), 2).kind, 'ended')
})

test('a successor is responsible for exactly the ids that it took over and can hand them over again', () => {
  const successor = createHomeTable({ own: other, seed: 1 })
  const { id } = submission(own, 1)
  assert.deepEqual(successor.takeOver(own, [submission(own, 1)], 0), [id])
  assert.deepEqual(successor.takeOver(own, [submission(own, 1)], 0), [])
  assert.equal(successor.submit(submission(own, 1), 1).kind, 'attach')
  assert.equal(successor.submit(submission(own, 2), 1).kind, 'forgotten')
  assert.equal(successor.mayDispatch(id), true)
  assert.deepEqual(successor.beginHandOver()?.map((record) => record.id), [id])
  assert.deepEqual(successor.assign([id], third), [id])
  assert.deepEqual(successor.find(organisation, id), { kind: 'ask-home', incarnation: third })
})

test('with the forgotten ids of one day, at most one of 100,000 new ids is mistaken for a forgotten one', () => {
  const seen = createSeenFilter({ bits: 2 ** 24, hashes: 7, seed: 5 })
  for (let number = 0; number < 350_000; number += 1) seen.add(`${own}.id-${number}`)
  let falsePositives = 0
  for (let number = 0; number < 100_000; number += 1) falsePositives += Number(seen.has(`${own}.new-${number}`))
  assert.ok(falsePositives <= 1, `${falsePositives} new ids were mistaken for forgotten ones`)
})

test('successors do not leave, other failure domains come first, and all nodes compute the same ranking', () => {
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
