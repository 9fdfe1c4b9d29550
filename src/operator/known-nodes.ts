/**
 * Lists the nodes that operators' queries cover. The membership view of a node may lack nodes that have just started,
 * but the key-value service already has their records. The list is therefore the union of both. If the key-value service
 * does not answer, the list contains only the members.
 */
import { NODE_PREFIX } from '../entry/registration.js'
import { readJson } from '../json.js'
import { nodeRecordSchema } from '../membership/index.js'
import type { NodeRecord } from '../membership/index.js'
import type { OperatorContext } from './context.js'

/**
 * Returns the records of all members and of all nodes that are registered in the key-value service.
 *
 * @example
 * const nodes = await listKnownNodes(context)
 */
export async function listKnownNodes ({ membership, keyValue, signal }: Pick<OperatorContext, 'membership' | 'keyValue' | 'signal'>): Promise<NodeRecord[]> {
  const nodes = new Map(membership.nodes().map((record) => [record.incarnation, record]))
  const listing = await keyValue.list(NODE_PREFIX, signal).catch(() => undefined)
  for (const entry of listing?.entries ?? []) {
    const record = readJson(nodeRecordSchema, entry.value)
    if (record !== undefined && !nodes.has(record.incarnation)) nodes.set(record.incarnation, record)
  }
  return [...nodes.values()]
}
