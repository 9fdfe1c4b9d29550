/**
 * Processor time of one built gateway node per request, and per second while it is idle.
 *
 * Compares several builds in alternating runs, since the machine's other load changes the figures. Variables:
 *
 * - `REQUEST_COST_PROGRAMS`: builds as `name=path` pairs, separated by commas. Default: this tree, which is built first
 * - `REQUEST_COST_PARTS`: any of `requests`, `counts` and `idle`. Default: `requests,counts`
 * - `REQUEST_COST_ROLES`: names of the idle roles to be measured, separated by commas. Default: all
 * - `REQUEST_COST_ROUNDS`: runs of each build. Default: 5
 */
import { execFileSync } from 'node:child_process'
import { loadavg } from 'node:os'
import { createSystemClock } from '../src/clock.js'
import type { Clock } from '../src/clock.js'
import { IDLE_ROLES, IDLE_SPAN, measureIdle } from './request-cost/idle.js'
import { FIRST_REQUESTS, LATER_REQUESTS, measureRequests, REQUEST_KINDS } from './request-cost/requests.js'
import type { RequestCost } from './request-cost/requests.js'
import type { Bench, Table } from './table.js'

/** A built gateway node. */
interface Build {
  readonly name: string
  readonly program: string
}

const DEFAULT_ROUNDS = 5
const DEFAULT_PARTS = 'requests,counts'

/** Counts below this number per request come from periodic tasks. */
const MIN_COUNT = 0.2

export const bench: Bench = {
  name: 'request-cost',
  description: 'Processor time of a gateway node per request and while idle, and counts of what a request creates',
  run: async () => {
    const builds = readBuilds()
    const parts = (process.env.REQUEST_COST_PARTS ?? DEFAULT_PARTS).split(',')
    const rounds = Number(process.env.REQUEST_COST_ROUNDS ?? DEFAULT_ROUNDS)
    const clock = createSystemClock()
    const tables: Table[] = []
    if (parts.includes('requests')) tables.push(await compareRequests(clock, builds, rounds))
    if (parts.includes('counts')) tables.push(...await compareCounts(clock, builds))
    if (parts.includes('idle')) tables.push(await compareIdle(clock, builds, rounds))
    return tables
  }
}

function readBuilds (): Build[] {
  const listed = process.env.REQUEST_COST_PROGRAMS
  if (listed !== undefined) {
    return listed.split(',').map((pair) => {
      const [name = '', program = ''] = pair.split('=')
      return { name, program }
    })
  }
  execFileSync('sh', ['deploy/build.sh'], { stdio: ['ignore', 'ignore', 'inherit'] })
  return [{ name: 'this tree', program: 'deploy/gateway.cjs' }]
}

async function compareRequests (clock: Clock, builds: readonly Build[], rounds: number): Promise<Table> {
  const costs = await alternate(builds, rounds, ({ program }) => Promise.all(REQUEST_KINDS.map((kind) => measureRequests(clock, program, kind, false))))
  return {
    title: 'Processor time per request in milliseconds',
    columns: ['kind', 'build', `first ${FIRST_REQUESTS}`, 'range', 'instructions', `next ${LATER_REQUESTS}`, 'range', 'instructions', 'failed'],
    rows: REQUEST_KINDS.flatMap((kind, index) => builds.map(({ name }) => {
      const runs = costs.get(name)!.map((run) => run[index]!)
      const [first, later] = [runs.map((run) => run.first), runs.map((run) => run.later)]
      return [kind.name, name, median(first), range(first), millions(runs.map((run) => run.firstInstructions)), median(later), range(later), millions(runs.map((run) => run.laterInstructions)), runs.reduce((sum, run) => sum + run.failed, 0)]
    })),
    note: `Medians of ${rounds} alternating runs, each in a new process. Instructions are millions per request outside of the kernel. ${loadNote()}`
  }
}

async function compareCounts (clock: Clock, builds: readonly Build[]): Promise<Table[]> {
  const costs = await alternate(builds, 1, ({ program }) => Promise.all(REQUEST_KINDS.map((kind) => measureRequests(clock, program, kind, true))))
  const runsOf = (name: string): readonly RequestCost[] => costs.get(name)![0]!
  const names = new Set(builds.flatMap(({ name }) => runsOf(name).flatMap(({ counts }) => Object.keys(counts).filter((key) => counts[key]! >= MIN_COUNT))))
  const warnings = new Set(builds.flatMap(({ name }) => runsOf(name).flatMap((cost) => cost.warnings.map((warning) => `${name}: ${warning}`))))
  return [{
    title: 'Counts per request',
    columns: ['what', ...REQUEST_KINDS.flatMap((kind) => builds.map(({ name }) => `${kind.name}, ${name}`))],
    rows: [...names].sort().map((what) => [what, ...REQUEST_KINDS.flatMap((_, index) => builds.map(({ name }) => rounded(runsOf(name)[index]!.counts[what] ?? 0)))]),
    note: `Requests ${FIRST_REQUESTS + 1} to ${FIRST_REQUESTS + LATER_REQUESTS} of one process, periodic tasks included. Warnings: ${warnings.size === 0 ? 'none' : [...warnings].join('; ')}`
  }]
}

async function compareIdle (clock: Clock, builds: readonly Build[], rounds: number): Promise<Table> {
  const rows: (string | number)[][] = []
  const roles = process.env.REQUEST_COST_ROLES?.split(',')
  for (const role of IDLE_ROLES.filter(({ name }) => roles?.includes(name) ?? true)) {
    const costs = await alternate(builds, rounds, ({ program }) => measureIdle(clock, program, role))
    for (const { name } of builds) rows.push([role.name, name, median(costs.get(name)!), range(costs.get(name)!)])
  }
  return {
    title: 'Processor time of an idle node per second, in milliseconds',
    columns: ['role', 'build', 'ms per second', 'range'],
    rows,
    note: `Medians of ${rounds} alternating runs of ${IDLE_SPAN / 1_000} s. The other nodes run in one process. ${loadNote()}`
  }
}

/** Runs the builds in turn, so that changes of the machine's load affect all of them. */
async function alternate<T> (builds: readonly Build[], rounds: number, measure: (build: Build) => Promise<T>): Promise<ReadonlyMap<string, T[]>> {
  const results = new Map<string, T[]>(builds.map(({ name }) => [name, []]))
  for (let round = 0; round < rounds; round += 1) {
    for (const build of round % 2 === 0 ? builds : [...builds].reverse()) results.get(build.name)!.push(await measure(build))
  }
  return results
}

/** Median of the numbers of instructions. */
function millions (values: readonly (number | undefined)[]): number | string {
  const counted = values.filter((value) => value !== undefined)
  return counted.length === 0 ? 'not counted' : median(counted)
}

function median (values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right)
  const middle = sorted.length >> 1
  return rounded(sorted.length % 2 === 1 ? sorted[middle]! : (sorted[middle - 1]! + sorted[middle]!) / 2)
}

function range (values: readonly number[]): string {
  return `${rounded(Math.min(...values))}..${rounded(Math.max(...values))}`
}

function rounded (value: number): number {
  return Math.round(value * 100) / 100
}

function loadNote (): string {
  return `Load of the machine at the end: ${loadavg().map((load) => load.toFixed(1)).join(' ')}.`
}
