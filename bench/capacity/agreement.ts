/** Agreement as a role: configuration, membership, suspicion and registration at every node. */
import { bytesPerNode } from '../agreement/bench.js'
import { measureExchange } from '../agreement/message-cost.js'
import type { MessageCost } from '../agreement/message-cost.js'
import { measureQuiet, SIZES } from '../agreement/measure.js'
import type { Quiet } from '../agreement/measure.js'
import type { CapacityLine, CapacityRole, Quantity } from './role.js'

interface LineOf {
  readonly quantity: Quantity
  readonly module: string
  value (quiet: Quiet, cost: MessageCost): number
}

const LINES: readonly LineOf[] = [
  {
    quantity: 'processor time a node, us/s',
    module: 'entry/peer-exchange',
    value: (quiet, cost) => quiet.processorMicroseconds + quiet.exchanges * cost.processorMicroseconds
  },
  { quantity: 'memory a node, KB', module: 'membership/view', value: (quiet) => quiet.heapKilobytes },
  { quantity: 'messages a node, B/s', module: 'peer/agreement-client', value: (quiet, cost) => bytesPerNode(quiet, cost).packets },
  { quantity: 'KV writes, 1/s', module: 'entry/registration', value: (quiet) => quiet.writes },
  { quantity: 'KV reads and waiting watches, 1/s', module: 'membership/places', value: (quiet) => quiet.reads + quiet.watches }
]

export const agreement: CapacityRole = {
  name: 'agreement',
  measure: async (seed) => {
    const quiet: Quiet[] = []
    for (const nodes of SIZES) quiet.push(await measureQuiet(nodes, seed))
    // After the heap was measured: what its sockets leave behind would be counted as freed by the nodes.
    const cost = await measureExchange('agreement', true)
    return LINES.map((line): CapacityLine => ({
      role: 'agreement',
      quantity: line.quantity,
      module: line.module,
      points: quiet.map((one) => ({ nodes: one.nodes, value: line.value(one, cost) }))
    }))
  }
}
