/** Nodes' records as the key-value service holds them. What cannot be read is left out: one bad value must not hide the others. */
import { readJson } from '../json.js'
import { nodeRecordSchema } from '../membership/index.js'
import type { RevisionedRecord, ViewChange } from '../membership/index.js'
import type { KeyValueChange, KeyValueEntry } from '../protocols/key-value.js'
import { NODE_PREFIX } from './registration.js'

/**
 * Record of a listing's entry, in a list that is empty when the value cannot be read.
 *
 * @example
 * const records = listing.entries.flatMap(toStamped)
 */
export function toStamped (entry: KeyValueEntry): RevisionedRecord[] {
  const record = readJson(nodeRecordSchema, entry.value)
  return record === undefined ? [] : [{ record, revision: entry.revision }]
}

/**
 * A watched change as one of the view; undefined when it cannot be read.
 *
 * @example
 * const change = toViewChange(changes[0])
 */
export function toViewChange (change: KeyValueChange): ViewChange | undefined {
  if (change.kind === 'delete') {
    const incarnation = nodeRecordSchema.shape.incarnation.safeParse(change.key.slice(NODE_PREFIX.length))
    return incarnation.success ? { kind: 'delete', revision: change.revision, incarnation: incarnation.data } : undefined
  }
  const record = readJson(nodeRecordSchema, change.entry.value)
  return record && { kind: 'put', revision: change.entry.revision, record }
}
