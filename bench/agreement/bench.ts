/** Agreement at 8 to 370 nodes: calls to the key-value service, bytes between peers, times, an outage. */
import type { Bench, Table } from '../table.js'
import { measureExchange, PACKET_BYTES } from './message-cost.js'
import type { MessageCost } from './message-cost.js'
import { measureInForce, measureQuiet, SIZES } from './measure.js'
import type { InForce, Obstacle, Quiet } from './measure.js'
import { measureOutage } from './outage.js'
import type { Outage } from './outage.js'

/** Changes of configuration a second at the target: 1,400 a day. */
const CHANGES_PER_SECOND = 1_400 / 86_400

/** What stands in the way, and how many changes are measured with it; a lost domain needs minutes to come back. */
const OBSTACLES: ReadonlyArray<{ obstacle: Obstacle, changes: number }> = [
  { obstacle: 'none', changes: 10 },
  { obstacle: 'the accepting node dies after acceptance', changes: 10 },
  { obstacle: 'a failure domain has just gone', changes: 4 }
]

/** Changes of configuration in force, a quiet minute and an outage, by number of nodes. */
export const bench: Bench = {
  name: 'agreement',
  description: 'Configuration and membership at 8 to 370 nodes in virtual time',
  run: async ({ seed }) => {
    const quiet: Quiet[] = []
    const inForce: InForce[] = []
    const outages: Outage[] = []
    for (const nodes of SIZES) {
      quiet.push(await measureQuiet(nodes, seed))
      for (const { obstacle, changes } of OBSTACLES) inForce.push(await measureInForce(nodes, seed, obstacle, changes))
      outages.push(await measureOutage(nodes, seed))
    }
    // Last, since what its sockets leave behind would be counted as freed by the nodes.
    const carried = [await measureExchange('requests', true), await measureExchange('single', true), await measureExchange('agreement', true)]
    const cost = carried.at(-1) as MessageCost
    return [carriedTable(carried), quietTable(quiet, cost), inForceTable(inForce), outageTable(outages)]
  }
}

/**
 * Bytes a second in and out of a node, HTTP headers included, without and with TCP and IP.
 *
 * @example
 * const { http, packets } = bytesPerNode(quiet, cost)
 */
export function bytesPerNode (quiet: Quiet, cost: MessageCost): { http: number, packets: number } {
  const framing = cost.bytes - cost.bodyBytes
  const messages = 2 * (quiet.exchanges + CHANGES_PER_SECOND)
  const http = quiet.bodyBytes + messages * framing
  return { http, packets: http + messages * PACKET_BYTES }
}

function carriedTable (costs: readonly MessageCost[]): Table {
  return {
    title: `One exchange of ${costs[0]?.bodyBytes ?? 0} bytes of bodies, by the way it is carried`,
    columns: ['way', 'bytes', 'processor us, both ends'],
    rows: costs.map((cost) => [cost.way, Math.round(cost.bytes), Math.round(cost.processorMicroseconds)])
  }
}

function quietTable (rows: readonly Quiet[], cost: MessageCost): Table {
  return {
    title: 'A quiet minute',
    columns: ['nodes', 'KV reads/s', 'KV writes/s', 'KV watches', 'KV calls/s a node', 'exchanges/s a node', 'B/s a node, HTTP', 'with TCP/IP', 'decisions us/s a node', 'heap KB a node'],
    rows: rows.map((quiet) => {
      const bytes = bytesPerNode(quiet, cost)
      const calls = (quiet.reads + quiet.writes + quiet.watches) / quiet.nodes
      return [quiet.nodes, quiet.reads.toFixed(2), quiet.writes.toFixed(1), quiet.watches, calls.toFixed(2), quiet.exchanges.toFixed(2), Math.round(bytes.http), Math.round(bytes.packets), Math.round(quiet.processorMicroseconds), Math.round(quiet.heapKilobytes)]
    }),
    note: 'A watch that waits counts as one call. Bytes are in and out of a node, one change a minute included.'
  }
}

function inForceTable (rows: readonly InForce[]): Table {
  return {
    title: 'Time from acceptance until a change is in force, over nodes and changes',
    columns: ['nodes', 'obstacle', 'changes', 'p50 ms', 'p99 ms', 'longest ms', 'deliveries a change'],
    rows: rows.map((row) => [row.nodes, row.obstacle, row.changes, Math.round(row.p50), Math.round(row.p99), Math.round(row.longest), Math.round(row.deliveries)])
  }
}

function outageTable (rows: readonly Outage[]): Table {
  return {
    title: 'Ten minutes without the key-value service, a failure domain reclaimed after three',
    columns: ['nodes', 'wave', 'answers clean s', 'replacements ready s', 'smallest answer', 'unusable node-s', 'falsely gone', 'views right s', 'calls/s before', 'peak during', 'peak after'],
    rows: rows.map((row) => [row.nodes, row.wave, row.answersClean, row.replacementsReady, row.smallestAnswer, row.unusable, row.falselyGone, row.viewsRight, row.usualCalls.toFixed(1), row.callsDuring, row.peakCalls]),
    note: 'Answers clean and views right: last second at which any node was wrong, after the wave and after the return.'
  }
}
