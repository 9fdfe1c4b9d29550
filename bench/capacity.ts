/**
 * `npm run capacity [-- --seed N] [--json]`: measures each role with 8 to 370 copies, fits a line over
 * the sizes and holds its value at the target size against the limits.
 */
import { cac } from 'cac'
import { runCommand } from '../src/bin/command-line.js'
import { addresses } from './capacity/addresses.js'
import { agreement } from './capacity/agreement.js'
import { fitLine, valueAt } from './capacity/fit.js'
import { plannerLease } from './capacity/planner-lease.js'
import { LIMITS } from './capacity/role.js'
import type { CapacityLine, CapacityRole } from './capacity/role.js'
import { formatTable } from './table.js'
import type { Table } from './table.js'

/** Roles that can be measured with copies in one process; a new one is added here. */
const ROLES: readonly CapacityRole[] = [agreement, addresses, plannerLease]

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
  const table = tableOf(lines)
  process.stdout.write(options.json ? JSON.stringify(table, null, 2) + '\n' : formatTable(table))
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
  const limit = LIMITS[line.quantity]
  const measured = line.points.find((point) => point.nodes === TARGET_NODES)?.value ?? valueAt(fit, TARGET_NODES)
  return [
    line.role,
    line.quantity,
    ...line.points.map((point) => short(point.value)),
    short(fit.base),
    fit.slope.toPrecision(3),
    short(fit.error),
    short(valueAt(fit, TARGET_NODES)),
    limit,
    `${(100 * measured / limit).toFixed(1)} %`,
    line.module
  ]
}

function short (value: number): string {
  return Math.abs(value) >= 100 ? String(Math.round(value)) : value.toFixed(1)
}
