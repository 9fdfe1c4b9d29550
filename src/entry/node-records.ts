/** Parses node records from the key-value service. Invalid values are skipped, so that they do not hide valid records. */
import { readJson } from '../json.js'
import { nodeRecordSchema } from '../membership/index.js'
import type { RevisionedRecord, ViewChange } from '../membership/index.js'
import type { KeyValueChange, KeyValueEntry } from '../protocols/key-value.js'
import { NODE_PREFIX } from './registration.js'

/**
 * Parses the record of an entry.
 *
 * @returns one record, or none if the value is invalid
 *
 * @example
 * const records = listing.entries.flatMap(toRevisionedRecords)
 */
export function toRevisionedRecords (entry: KeyValueEntry): RevisionedRecord[] {
  const record = readJson(nodeRecordSchema, entry.value)
  return record === undefined ? [] : [{ record, revision: entry.revision }]
}

/**
 * Converts a change of a watched key into a change of the membership view. Undefined if the key or value is invalid.
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
