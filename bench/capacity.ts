/**
 * `npm run capacity [-- --seed N] [--json]`: measures each role with 8 to 370 copies, fits a line over
 * the sizes and holds its value at the target size against the limits.
 */
import { cac } from 'cac'
import { runCommand } from '../src/bin/command-line.js'
import { addresses } from './capacity/addresses.js'
import { agreement } from './capacity/agreement.js'
import { feed } from './capacity/feed.js'
import { fitLine, valueAt } from './capacity/fit.js'
import { homes } from './capacity/homes.js'
import { notes } from './capacity/notes.js'
import { permits } from './capacity/permits.js'
import { plannerLease } from './capacity/planner-lease.js'
import { LIMITS } from './capacity/role.js'
import type { CapacityLine, CapacityRole, Quantity } from './capacity/role.js'
import { measureWholeNodes } from './capacity/whole-node.js'
import { formatTable } from './table.js'
import type { Table } from './table.js'

/** Roles that can be measured with copies in one process; a new one is added here. */
const ROLES: readonly CapacityRole[] = [agreement, addresses, plannerLease, homes, feed, permits, notes]

const TARGET_NODES = 370

const DEFAULT_SEED = 1

runCommand(async () => {
  const program = cac('capacity')
  program.command('', 'Measure the roles and print the fits')
    .option('--seed <seed>', 'Seed of the random numbers', { default: DEFAULT_SEED })
    .option('--json', 'Print JSON')
    .action(run)
  program.help()
  program.parse(process.argv, { run: false })
  await program.runMatchedCommand()
})

async function run (options: { seed: number, json?: boolean }): Promise<void> {
  const lines: CapacityLine[] = []
  for (const role of ROLES) lines.push(...await role.measure(Number(options.seed)))
  // Last: what a deployment leaves behind would be counted as freed by the roles.
  const tables = [tableOf(lines), sumTable(lines), await measureWholeNodes(Number(options.seed))]
  process.stdout.write(options.json ? JSON.stringify(tables, null, 2) + '\n' : tables.map(formatTable).join(''))
}

/** Sums of what is counted for each node. Memory of homes: the full table, not the smaller ones. */
function sumTable (lines: readonly CapacityLine[]): Table {
  const quantities: Quantity[] = ['processor time a node, us/s', 'memory a node, KB', 'messages a node, B/s']
  return {
    title: `Sum of the roles above on one node at ${TARGET_NODES} nodes`,
    columns: ['quantity', 'sum', 'limit', 'share'],
    rows: quantities.map((quantity) => {
      const counted = lines.filter((line) => line.quantity === quantity && line.partOfSum !== false)
      const sum = counted.reduce((total, line) => total + measuredAtTarget(line), 0)
      return [quantity, short(sum), LIMITS[quantity], shareOf(sum, quantity)]
    }),
    note: 'Roles that other benchmarks measure are not in this sum; the capacity page adds them.'
  }
}

function measuredAtTarget (line: CapacityLine): number {
  return line.points.find((point) => point.nodes === TARGET_NODES)?.value ?? valueAt(fitLine(line.points), TARGET_NODES)
}

function shareOf (value: number, quantity: Quantity): string {
  return `${(100 * value / LIMITS[quantity]).toFixed(1)} %`
}

function tableOf (lines: readonly CapacityLine[]): Table {
  const sizes = lines[0]?.points.map((point) => point.nodes) ?? []
  return {
    title: `Cost by size of the fleet, fitted and held against the limits at ${TARGET_NODES} nodes`,
    columns: ['role', 'quantity', ...sizes.map((size) => `at ${size}`), 'base', 'slope a node', 'error', 'fit at target', 'limit', 'share', 'module'],
    rows: lines.map(rowOf),
    note: 'The error is the root mean square distance of the points from the line. Where a quantity is bounded on purpose, the line fits badly and the measured value at the target counts.'
  }
}

function rowOf (line: CapacityLine): (string | number)[] {
  const fit = fitLine(line.points)
  return [
    line.role,
    line.quantity,
    ...line.points.map((point) => short(point.value)),
    short(fit.base),
    fit.slope.toPrecision(3),
    short(fit.error),
    short(valueAt(fit, TARGET_NODES)),
    LIMITS[line.quantity],
    shareOf(measuredAtTarget(line), line.quantity),
    line.module
  ]
}

function short (value: number): string {
  return Math.abs(value) >= 100 ? String(Math.round(value)) : value.toFixed(1)
}
