/**
 * The nodes that an operator's question is about. A node's own view may lack one that has just
 * started; the key-value service has its record already. What is told to operators as "all nodes"
 * is the union, as far as the service answers.
 */
import { NODE_PREFIX } from '../entry/registration.js'
import { readJson } from '../json.js'
import { nodeRecordSchema } from '../membership/index.js'
import type { NodeRecord } from '../membership/index.js'
import type { OperatorContext } from './context.js'

/**
 * @example
 * const nodes = await knownNodes(context)
 */
export async function knownNodes ({ membership, keyValue, signal }: Pick<OperatorContext, 'membership' | 'keyValue' | 'signal'>): Promise<NodeRecord[]> {
  const nodes = new Map(membership.nodes().map((record) => [record.incarnation, record]))
  const listing = await keyValue.list(NODE_PREFIX, signal).catch(() => undefined)
  for (const entry of listing?.entries ?? []) {
    const record = readJson(nodeRecordSchema, entry.value)
    if (record !== undefined && !nodes.has(record.incarnation)) nodes.set(record.incarnation, record)
  }
  return [...nodes.values()]
}
