/** Messages of the commands that change the configuration, checked against stubbed answers of the operators' API. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { rollbackCommand } from '../../src/operator/command/change.js'
import type { OperatorClient } from '../../src/operator/command/connection.js'

// Failure guarded against: a network partition cuts off a group of nodes while an operator removes an organisation's key.
// If the command says that unconfirmed nodes take no new work, the operator relies on that. But the nodes of the group
// still reach each other, keep the previous revision and go on serving the removed key.
test('the note on unconfirmed nodes says that a partitioned group may go on serving with the previous revision', async () => {
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
