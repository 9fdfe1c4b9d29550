/** Time of one decision against the number of upstreams, through whole and partial views. */
import type { PendingAttempt, Scheduler, SchedulerEvent } from '../src/admission/index.js'
import { createScheduler } from '../src/admission/index.js'
import { addressSchema, failureDomainSchema, requestIdSchema, upstreamNameSchema } from '../src/identifiers.js'
import { createRandom } from '../src/random.js'
import type { Random } from '../src/random.js'
import { viewSize } from '../src/upstream/index.js'
import type { UpstreamView } from '../src/upstream/index.js'
import { createBaseline } from './scheduling/baselines.js'
import { rounded } from './scheduling/format.js'
import { calcaria, configurationOf, services } from './scheduling/mixes.js'
import type { Bench, Table } from './table.js'

interface Case {
  readonly name: string
  readonly upstreams: number
  readonly nodes: number
  create (random: Random): Scheduler
}

const CASES: readonly Case[] = [
  { name: 'hornbeamgap', upstreams: 13, nodes: 8, create: (random) => createScheduler({ random }) },
  { name: 'least in flight', upstreams: 13, nodes: 8, create: (random) => createBaseline('least in flight', random) },
  { name: 'two choices', upstreams: 13, nodes: 8, create: (random) => createBaseline('two choices', random) },
  { name: `hornbeamgap, view of ${viewSize(370, 600)}`, upstreams: 600, nodes: 370, create: (random) => createScheduler({ random, node: 'entry-17' }) },
  { name: 'hornbeamgap, whole view', upstreams: 600, nodes: 370, create: (random) => createScheduler({ random }) },
  { name: 'least in flight', upstreams: 600, nodes: 370, create: (random) => createBaseline('least in flight', random) },
  { name: 'two choices', upstreams: 600, nodes: 370, create: (random) => createBaseline('two choices', random) }
]

const DECISIONS = 20_000
const WARMUP = 4_000

/** Requests that this node has in flight; each decision ends the oldest. */
const IN_FLIGHT = 24

const DOMAINS = 5
const PROMPT_BLOCKS = 35
const SUBJECTS = 300

/** Time between two arrivals, in virtual milliseconds. */
const PAUSE = 50

/** Processor time of decisions. */
export const bench: Bench = {
  name: 'decision-time',
  description: 'Time of a decision for 13 and 600 upstreams',
  run: ({ seed }) => [tableOf(seed)]
}

function tableOf (seed: number): Table {
  const rows = CASES.map((one) => [one.name, one.upstreams, ...measure(one, seed)])
  return {
    title: 'Time of one event, microseconds',
    columns: ['policy', 'upstreams', 'dispatch p50', 'dispatch p95', 'dispatch mean', 'end of a request mean', 'load report mean', 'heap MB'],
    rows,
    note: `A dispatch is the arrival of a prompt of ${PROMPT_BLOCKS} blocks with room upstream. Wall time of this machine; it varies between runs.`
  }
}

function measure (one: Case, seed: number): number[] {
  const random = createRandom(seed)
  const scheduler = one.create(createRandom(seed))
  const views = Array.from({ length: one.upstreams }, (_, index) => viewOf(index))
  const before = process.memoryUsage().heapUsed
  scheduler.handle({ kind: 'configured', configuration: configurationOf(calcaria) }, 0)
  scheduler.handle({ kind: 'nodes', count: one.nodes }, 0)
  scheduler.handle({ kind: 'upstreams', upstreams: views }, 0)
  const arrivals: number[] = []
  const ends: number[] = []
  const reports: number[] = []
  for (let number = 0; number < DECISIONS + WARMUP; number += 1) {
    const now = number * PAUSE
    const view = views[number % views.length] as UpstreamView
    reports.push(timed(scheduler, { kind: 'load', report: reportOf(view, random) }, now))
    arrivals.push(timed(scheduler, { kind: 'arrived', attempt: attemptOf(number, random, now) }, now))
    if (number < IN_FLIGHT) continue
    const usage = { prompt_tokens: PROMPT_BLOCKS * 128, completion_tokens: 600, cached_tokens: 2_000 }
    scheduler.handle({ kind: 'first-token', id: idOf(number - IN_FLIGHT + 1) }, now)
    ends.push(timed(scheduler, { kind: 'ended', id: idOf(number - IN_FLIGHT), result: { kind: 'whole', usage } }, now))
  }
  const heap = (process.memoryUsage().heapUsed - before) / 1e6
  const measured = arrivals.slice(WARMUP).sort((left, right) => left - right)
  return [quantile(measured, 0.5), quantile(measured, 0.95), mean(measured), mean(ends.slice(WARMUP)), mean(reports.slice(WARMUP)), heap].map((value) => rounded(value))
}

function timed (scheduler: Scheduler, event: SchedulerEvent, now: number): number {
  const start = performance.now()
  scheduler.handle(event, now)
  return (performance.now() - start) * 1_000
}

function quantile (sorted: readonly number[], share: number): number {
  return sorted[Math.floor(sorted.length * share)] ?? Number.NaN
}

function mean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

function viewOf (index: number): UpstreamView {
  return {
    name: upstreamNameSchema.parse(`engine-${index}`),
    service: services.model,
    failureDomain: failureDomainSchema.parse(`domain-${index % DOMAINS}`),
    address: addressSchema.parse('127.0.0.1:1'),
    protocol: 'model',
    leaving: false,
    inFlight: 0
  }
}

function reportOf (view: UpstreamView, random: Random) {
  const figures = { cacheUsed: 0.5, ageMs: 300, leaving: false, models: [], adapters: [], role: 'mixed' as const, generation: 0 }
  return { upstream: view.name, running: random.integer(16), waiting: 0, ...figures }
}

function idOf (number: number) {
  return requestIdSchema.parse(`home.${String(number).padStart(16, '0')}`)
}

function attemptOf (number: number, random: Random, now: number): PendingAttempt {
  const subject = random.integer(SUBJECTS)
  return {
    id: idOf(number),
    organisation: random.pick(calcaria.organisations).name,
    class: (calcaria.classes[0] as (typeof calcaria.classes)[number]).name,
    attempt: 1,
    arrivedAt: now,
    promptTokens: PROMPT_BLOCKS * 128,
    maxTokens: 800,
    tokensSoFar: 0,
    prefixBlocks: Array.from({ length: PROMPT_BLOCKS }, (_, index) => index < 31 ? `${subject}/${index}` : `${number}/${index}`),
    adapter: undefined,
    excluded: [],
    apart: false,
    accepted: false
  }
}
