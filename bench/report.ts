/** What reports cost: size of a node's report, writes and bytes by fleet, time of folding and reading. */
import { setMaxListeners } from 'node:events'
import { NODE_PREFIX } from '../src/entry/registration.js'
import { createReportWriter } from '../src/entry/report-writer.js'
import { HOUR, MINUTE, SECOND } from '../src/clock.js'
import { classNameSchema, incarnationSchema, instanceNameSchema, organisationNameSchema, requestIdFor } from '../src/identifiers.js'
import { createLog } from '../src/log.js'
import { prefixEnd } from '../src/protocols/key-value.js'
import type { KeyValue, TransactionalKeyValue } from '../src/protocols/key-value.js'
import { readReport } from '../src/operator/report-reader.js'
import { createFoldMemory, foldReports } from '../src/planner/report-folder.js'
import { createRandom } from '../src/random.js'
import type { Random } from '../src/random.js'
import { createLedger, decodeSnapshot, decodeTotal, encodeSnapshot, periodOf, SHARDS } from '../src/report/index.js'
import type { CountingLedger } from '../src/report/index.js'
import { createFaultSwitch } from '../stand-ins/faults.js'
import { createDirectKeyValue } from '../stand-ins/key-value-direct.js'
import { createKeyValueStore } from '../stand-ins/key-value-store.js'
import type { KeyValueStore } from '../stand-ins/key-value-store.js'
import { createManualClock } from '../stand-ins/manual-clock.js'
import type { ManualClock } from '../stand-ins/manual-clock.js'
import type { Bench, BenchOptions, Table } from './table.js'

const START = periodOf(Date.UTC(2026, 11, 2, 9))

/** Requests a second at one node at the target size: 1,500 over 370 nodes. */
const REQUESTS_PER_SECOND = 4

/** Classes and organisations: today's, and what we assume for the target size. */
const TODAY = { classes: 4, organisations: 5 }
const TARGET = { classes: 12, organisations: 40 }

/** Organisations that one node meets at the target size, since each is steered to few nodes. */
const ORGANISATIONS_MET = 8

const FLEETS = [8, 40, 100, 370]
const WINDOW = 10 * MINUTE
const STEP = 10 * SECOND
const MEAN_FIRST_TOKEN = 250
const SPREAD = 0.6
const TOKENS = 120
const TOKEN_TIME = 25

const DEATHS = 40
const FOLD_PERIOD = 30 * SECOND
const RECORD_LAPSES = 15 * SECOND
const TOTALS = 'hornbeamgap/reports/totals/'
const TOTALS_END = prefixEnd(TOTALS)

const silent = createLog('bench', 'silent', () => 0)

/** Reports at size. */
export const bench: Bench = {
  name: 'report',
  description: 'Size of reports, writes and bytes a second by fleet, time of folding and reading',
  run: async (options) => [sizes(options), await gaps(options), await fleets(options)]
}

interface Mix {
  readonly classes: number
  readonly organisations: number
  /** First organisation that the node meets. */
  readonly offset: number
}

function sizes ({ seed }: BenchOptions): Table {
  const shapes = [
    { name: 'today: 4 classes, 5 organisations', mix: { ...TODAY, offset: 0 } },
    { name: 'target, steered: 12 classes, 8 organisations met', mix: { classes: TARGET.classes, organisations: ORGANISATIONS_MET, offset: 0 } },
    { name: 'target, not steered: 12 classes, 40 organisations', mix: { ...TARGET, offset: 0 } }
  ]
  const rows = shapes.flatMap(({ name, mix }) => [MINUTE, HOUR].map((time) => {
    const ledger = createLedger({ wall: () => START })
    const requests = REQUESTS_PER_SECOND * time / SECOND
    const recording = duration(() => count(ledger, createRandom(seed), mix, requests, 0))
    const text = encode(ledger)
    const encoding = duration(() => encode(ledger))
    const decoding = duration(() => decodeSnapshot(text))
    return [name, requests, ledger.snapshot().cells.length, text.length, (recording / requests * 1_000).toFixed(1), encoding.toFixed(1), decoding.toFixed(1)]
  }))
  return {
    title: 'One node\'s report',
    columns: ['node', 'requests', 'cells', 'bytes', 'count us', 'encode ms', 'parse ms'],
    rows,
    note: 'Bytes of the JSON text with compressed histograms; the limit of a value is 1,048,576.'
  }
}

/** Deaths of a node of today's size at random moments: how long the report says that it does not know. */
async function gaps ({ seed }: BenchOptions): Promise<Table> {
  const random = createRandom(seed)
  const lengths: number[] = []
  for (let death = 0; death < DEATHS; death += 1) lengths.push(await gapOfDeath(random, death))
  lengths.sort((left, right) => left - right)
  const [shortest, median, longest] = [0, 0.5, 1].map((share) => Math.round(lengths[Math.round(share * (DEATHS - 1))]! / SECOND))
  return {
    title: 'Gap after the death of a node of today\'s size, in seconds',
    columns: ['deaths', 'shortest', 'median', 'longest'],
    rows: [[DEATHS, shortest!, median!, longest!]],
    note: 'From its last report to the moment it is given up; the planner folds every 30 s, and the node\'s record lapses 15 s after the death.'
  }
}

async function gapOfDeath (random: Random, index: number): Promise<number> {
  const clock = createManualClock(START)
  const store = createKeyValueStore(clock)
  const keyValue = createDirectKeyValue(store, createFaultSwitch(clock, createRandom(index)), clock)
  const owner = new AbortController()
  setMaxListeners(0, owner.signal)
  const { ledger, keeper } = member(index, keyValue, clock, owner.signal)
  const record = `${NODE_PREFIX}entry`
  store.put(record, JSON.stringify({ incarnation: `entry-${index + 1}-${(index * 7_919).toString(16)}` }))
  const options = { keyValue, clock, log: silent, memory: createFoldMemory() }
  const diesAt = 5 * MINUTE + random.integer(MINUTE / SECOND) * SECOND
  const offset = random.integer(FOLD_PERIOD)
  for (let time = 0; store.list(TOTALS, TOTALS_END).entries.length === 0; time += SECOND) {
    if (time < diesAt) count(ledger, random, { ...TODAY, offset: 0 }, REQUESTS_PER_SECOND, time)
    else owner.abort()
    if (time === diesAt + RECORD_LAPSES) store.compareAndDelete(record, store.get(record)!.revision)
    if (time % FOLD_PERIOD === offset - offset % SECOND) await foldReports(options, new AbortController().signal)
    await clock.advance(SECOND)
  }
  if (keeper.usage().writes === 0) throw new RangeError('the node never reported')
  const gap = store.list(TOTALS, TOTALS_END).entries.flatMap((entry) => decodeTotal(entry.value)?.gaps ?? [])[0]
  return gap!.to - gap!.from
}

async function fleets (options: BenchOptions): Promise<Table> {
  const rows: (string | number)[][] = []
  for (const nodes of FLEETS) rows.push(await fleet(options, nodes))
  return {
    title: 'A fleet over ten minutes, then the turn of the hour, folding and a report',
    columns: ['nodes', 'writes/s', 'bytes/s a node', 'stored MB', 'fold ms', 'fold calls', 'most KB a pass', 'largest total', 'report before ms', 'after ms', 'report calls'],
    rows,
    note: 'Every node counts 4 requests a second of 12 classes and 8 organisations out of 40; planners fold every 30 s. Bytes are those of values, before base64.'
  }
}

async function fleet ({ seed }: BenchOptions, nodes: number): Promise<(string | number)[]> {
  const clock = createManualClock(START + HOUR - WINDOW)
  const store = createKeyValueStore(clock)
  const faultSwitch = createFaultSwitch(clock, createRandom(seed))
  const keyValue = createDirectKeyValue(store, faultSwitch, clock)
  const owner = new AbortController()
  setMaxListeners(0, owner.signal)
  const random = createRandom(seed)
  const members = Array.from({ length: nodes }, (_, index) => member(index, keyValue, clock, owner.signal))
  for (let time = 0; time < WINDOW; time += STEP) {
    members.forEach(({ ledger, mix }, index) => count(ledger, random, mix, REQUESTS_PER_SECOND * STEP / SECOND, time + index))
    await clock.advance(STEP)
  }
  const written = members.map(({ keeper }) => keeper.usage())
  const writes = sum(written.map((usage) => usage.writes)) / WINDOW * SECOND
  const bytes = sum(written.map((usage) => usage.bytes)) / WINDOW * SECOND / nodes
  await Promise.all(members.map(({ keeper }) => keeper.write()))
  owner.abort()
  const stored = sum(store.list('hornbeamgap/reports/', 'hornbeamgap/reports0').entries.map((entry) => entry.value.length))
  const unfolded = await readOnce(keyValue, clock, () => faultSwitch.calls())
  const folding = await foldAll(store, keyValue, clock, () => faultSwitch.calls())
  const reading = await readOnce(keyValue, clock, () => faultSwitch.calls())
  return [nodes, writes.toFixed(2), Math.round(bytes), (stored / 1e6).toFixed(2), Math.round(folding.time), folding.calls, Math.round(folding.bytes / 1_024), folding.largest, Math.round(unfolded.time), Math.round(reading.time), reading.calls]
}

function member (index: number, keyValue: TransactionalKeyValue, clock: ManualClock, signal: AbortSignal) {
  const ledger = createLedger({ wall: clock.wall })
  const instance = instanceNameSchema.parse(`entry-${index + 1}`)
  const incarnation = incarnationSchema.parse(`entry-${index + 1}-${(index * 7_919).toString(16)}`)
  const keeper = createReportWriter({ incarnation, instance, ledger, keyValue, clock, random: createRandom(index), log: silent, signal })
  return { ledger, keeper, mix: { classes: TARGET.classes, organisations: ORGANISATIONS_MET, offset: index * ORGANISATIONS_MET % TARGET.organisations } }
}

/** Folds the closed reports of all nodes as the planner would, and counts processor time and calls. */
async function foldAll (store: KeyValueStore, keyValue: KeyValue, clock: ManualClock, calls: () => number) {
  const before = calls()
  const memory = createFoldMemory()
  const options = { keyValue, clock, log: silent, memory }
  let time = 0
  let passes = 0
  let bytes = 0
  for (let folded = 1; folded > 0 || passes < SHARDS; passes += 1) {
    const start = performance.now()
    const result = await foldReports(options, new AbortController().signal)
    folded = result.folded
    bytes = Math.max(bytes, result.bytes)
    time += performance.now() - start
  }
  const totals = store.list('hornbeamgap/reports/totals/', 'hornbeamgap/reports/totals0').entries
  return { time, bytes, calls: calls() - before, largest: Math.max(...totals.map((entry) => entry.value.length)) }
}

async function readOnce (keyValue: KeyValue, clock: ManualClock, calls: () => number) {
  const before = calls()
  const start = performance.now()
  const context = { keyValue, clock: { ...clock, sleep: () => Promise.resolve() }, configuration: { current: () => undefined } as never, signal: new AbortController().signal }
  await readReport(context, { from: START, to: START + 2 * HOUR })
  return { time: performance.now() - start, calls: calls() - before }
}

function count (ledger: CountingLedger, random: Random, mix: Mix, requests: number, salt: number): void {
  for (let index = 0; index < requests; index += 1) {
    const key = {
      id: requestIdFor(incarnationSchema.parse('bench-1'), `${salt}-${index}`.padStart(24, '0')),
      class: classNameSchema.parse(`class-${random.integer(mix.classes) + 1}`),
      organisation: organisationNameSchema.parse(`organisation-${mix.offset + random.integer(mix.organisations) + 1}`)
    }
    const first = MEAN_FIRST_TOKEN * Math.exp(SPREAD * (random.fraction() + random.fraction() + random.fraction() - 1.5) * 2)
    ledger.accepted(key)
    ledger.ended(key, { kind: 'served', finish: 'stop', late: first > 560 }, { acceptedAt: 0, firstTokenAt: first, endedAt: first + TOKENS * TOKEN_TIME * (0.8 + 0.4 * random.fraction()) }, { generatedTokens: TOKENS, recomputedTokens: 0 })
  }
}

function encode (ledger: CountingLedger): string {
  const head = { incarnation: incarnationSchema.parse('entry-1-1'), instance: instanceNameSchema.parse('entry-1'), sequence: 1, writtenAt: START, nextWithin: MINUTE, state: { kind: 'counting' as const } }
  return encodeSnapshot(head, ledger.snapshot())
}

function duration (task: () => unknown): number {
  const start = performance.now()
  task()
  return performance.now() - start
}

function sum (numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0)
}
