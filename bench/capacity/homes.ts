/** Request homes as a role: memory of the table of ids and of the filter of forgotten ones. */
import { randomBytes } from 'node:crypto'
import { MINUTE, SECOND } from '../../src/clock.js'
import { sha256 } from '../../src/credentials.js'
import { organisationNameSchema, requestIdFor } from '../../src/identifiers.js'
import { createHomeTable } from '../../src/request/index.js'
import type { HomeTable } from '../../src/request/index.js'
import { SIZES } from '../agreement/measure.js'
import { memoryKilobytes } from './heap.js'
import { HOME, REQUESTS_PER_SECOND } from './peer-pair.js'
import type { CapacityLine, CapacityRole } from './role.js'

/** Ended ids that a full table holds. */
const FULL = 20_000

/** Ended ids of half an hour at the target. */
const USUAL = Math.round(REQUESTS_PER_SECOND * 30 * MINUTE / SECOND)

const organisation = organisationNameSchema.parse('tejo')

export const homes: CapacityRole = {
  name: 'request homes',
  measure: async () => {
    // Tables stay until the end: one that is collected late would be counted as freed by the next.
    const kept: HomeTable[] = []
    const lines = [
      { ...lineOf('homes, filter alone', 0, kept), partOfSum: false },
      { ...lineOf(`homes, ${USUAL} ended ids`, USUAL, kept), partOfSum: false },
      lineOf(`homes, full: ${FULL} ended ids`, FULL, kept)
    ]
    const held = kept.reduce((sum, table) => sum + table.statistics().ended, 0)
    if (held !== SIZES.length * (USUAL + FULL)) throw new Error('the tables do not hold what they were given')
    return lines
  }
}

/** A home's table is the same at each size of the fleet: one is weighed for each. */
function lineOf (role: string, ids: number, kept: HomeTable[]): CapacityLine {
  return {
    role,
    quantity: 'memory a node, KB',
    module: 'request/home',
    points: SIZES.map((nodes) => ({ nodes, value: measureTable(ids, kept) }))
  }
}

function measureTable (ids: number, kept: HomeTable[]): number {
  const before = memoryKilobytes()
  const table = createHomeTable({ own: HOME, seed: 1 })
  for (let index = 0; index < ids; index += 1) addEnded(table)
  kept.push(table)
  return memoryKilobytes() - before
}

function addEnded (table: HomeTable): void {
  const id = requestIdFor(HOME, randomBytes(16).toString('base64url'))
  table.submit({ id, organisation, fingerprint: sha256(id) }, 0)
  table.end(id, { outcome: { kind: 'served', finish: 'stop', late: false }, verdict: 'ran' }, 0)
}
