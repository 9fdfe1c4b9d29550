/** Memory that one whole entry node adds: nodes in one process with stand-ins of everything around them. */
import { createSystemClock, SECOND } from '../../src/clock.js'
import { startDeployment } from '../../stand-ins/deployment.js'
import type { Table } from '../table.js'
import { fitLine } from './fit.js'
import type { Point } from './fit.js'
import { memoryKilobytes } from './heap.js'
import { LIMITS } from './role.js'

const MOST_NODES = 6
const ENGINES = 3

/** Longer than idle connections of what was measured before live on: they would be counted as freed by nodes. */
const FIRST_SETTLE_TIME = 15 * SECOND

/** Until a node has settled after its start. */
const SETTLE_TIME = 3 * SECOND

/**
 * Starts nodes one after another, idle, and weighs the process after each.
 *
 * @example
 * const table = await measureWholeNodes(1)
 */
export async function measureWholeNodes (seed: number): Promise<Table> {
  const clock = createSystemClock()
  const points: Point[] = []
  const deployment = await startDeployment({ clock, seed, entries: 1, engines: ENGINES, logLevel: 'silent' })
  try {
    for (let nodes = 1; nodes <= MOST_NODES; nodes += 1) {
      if (nodes > 1) await deployment.addEntry()
      await clock.sleep(nodes > 1 ? SETTLE_TIME : FIRST_SETTLE_TIME)
      points.push({ nodes, value: memoryKilobytes() })
    }
  } finally {
    await deployment.kill()
  }
  return tableOf(points)
}

function tableOf (points: readonly Point[]): Table {
  const fit = fitLine(points)
  const limit = LIMITS['memory a node, KB']
  return {
    title: 'Heap and array buffers of a process with 1 to 6 whole idle entry nodes, KB',
    columns: [...points.map(({ nodes }) => `${nodes}`), 'slope a node', 'error', 'limit', 'share'],
    rows: [[...points.map(({ value }) => Math.round(value)), Math.round(fit.slope), Math.round(fit.error), limit, `${(100 * fit.slope / limit).toFixed(1)} %`]],
    note: 'The slope is a node with its code loaded already: the platform, three engines and all code are in the base. Nothing is asked of the nodes.'
  }
}
