/** What the command says about a change, for answers that a test gives it. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { rollbackCommand } from '../../src/operator/command/change.js'
import type { OperatorClient } from '../../src/operator/command/connection.js'

// A region is cut off while an operator takes a customer's key out. The command says that nodes which did
// not confirm take no new work, the operator goes home, and the region serves the key for another hour: it
// hears no other node, but its nodes hear each other and serve on with the revision before.
test('an operator is told that a group cut off together may serve on with the revision before', async () => {
  const notes: string[] = []
  let out = ''
  const client: OperatorClient = {
    get: async (_path, schema) => schema.parse({ revisions: [] }),
    post: async (_path, _body, schema) => schema.parse({ kind: 'accepted', revision: 2, change_id: 'change-1', superseded: false, difference: [], confirmed: 5, missing: ['entry-6', 'entry-7'] }),
    close: async () => {}
  }
  await rollbackCommand(client, { out: (text) => { out += text }, note: (text) => { notes.push(text) }, exit: () => {} }, 1, { reason: 'a stolen key' })
  assert.match(out, /In force at 5 nodes\. Not confirmed yet by entry-6, entry-7\./)
  assert.equal(notes.length, 1)
  assert.match(notes[0]!, /One that hears nobody takes no new work; a group that is cut off together may serve on with the revision before\./)
})
