/** `npm run bench -- NAME [--json] [--seed N]`: runs one benchmark, or lists them. */
import { cac } from 'cac'
import { runCommand } from '../src/bin/command-line.js'
import { ServingError } from '../src/verdict.js'
import { formatTable } from './table.js'
import type { Bench } from './table.js'

/** Each topic's module; loaded only when it is asked for. */
const TOPICS: Readonly<Record<string, () => Promise<{ bench: Bench }>>> = {
  'capacity-mix': () => import('./capacity-mix.js'),
  'capacity-targets': () => import('./capacity-targets.js'),
  'weight-loads': () => import('./weight-loads.js'),
  'planner-size': () => import('./planner-size.js'),
  agreement: () => import('./agreement/bench.js'),
  claims: () => import('./claims.js'),
  'entry-overhead': () => import('./entry-overhead.js'),
  overload: () => import('./overload.js'),
  fairness: () => import('./fairness.js'),
  'request-cost': () => import('./request-cost.js'),
  routing: () => import('./routing.js'),
  'gateway-placement': () => import('./gateway-placement.js'),
  'gateway-gossip': () => import('./gateway-gossip.js'),
  outliers: () => import('./outliers.js'),
  recovery: () => import('./recovery.js'),
  'decision-time': () => import('./decision-time.js'),
  'dispatch-queue': () => import('./dispatch-queue.js'),
  'partial-view': () => import('./partial-view.js'),
  'crashing-parts': () => import('./crashing-parts.js'),
  'resumed-streams': () => import('./resumed-streams.js'),
  reclaim: () => import('./reclaim.js'),
  'reclaim-notices': () => import('./reclaim-notices.js'),
  report: () => import('./report.js')
}

const DEFAULT_SEED = 1

runCommand(async () => {
  const program = cac('bench')
  program.command('[name]', 'Run one benchmark, or list them')
    .option('--seed <seed>', 'Seed of the random numbers', { default: DEFAULT_SEED })
    .option('--json', 'Print JSON')
    .action(run)
  program.help()
  program.parse(process.argv, { run: false })
  await program.runMatchedCommand()
})

async function run (name: string | undefined, options: { seed: number, json?: boolean }): Promise<void> {
  if (name === undefined) return list()
  const load = TOPICS[name]
  if (load === undefined) throw new ServingError(`no benchmark ${name}; there are ${Object.keys(TOPICS).join(', ')}`, { code: 'invalid-request', verdict: 'not-run' })
  const { bench } = await load()
  const tables = await bench.run({ seed: Number(options.seed) })
  process.stdout.write(options.json ? JSON.stringify(tables, null, 2) + '\n' : tables.map(formatTable).join(''))
}

async function list (): Promise<void> {
  for (const load of Object.values(TOPICS)) {
    const { bench } = await load()
    process.stdout.write(`${bench.name.padEnd(20)} ${bench.description}\n`)
  }
}
