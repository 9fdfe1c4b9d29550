/** Runs of a fleet in virtual time, from which the tables of agreement are made. */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import type { Milliseconds } from '../../src/clock.js'
import { MINUTE, SECOND } from '../../src/clock.js'
import { checkConfiguration } from '../../src/configuration/index.js'
import type { ConfigurationRevision } from '../../src/configuration/index.js'
import { applyChange } from '../../src/entry/configuration-change.js'
import type { ManualClock } from '../../stand-ins/manual-clock.js'
import { createFleet, domainName } from './fleet.js'
import type { Fleet, FleetNode } from './fleet.js'
import { createVirtualClock } from './virtual-clock.js'

/** Sizes of the fleet: today's, two between, and the target. */
export const SIZES = [8, 40, 100, 370]

/** Rates over a quiet time, and what a node costs. */
export interface Quiet {
  readonly nodes: number
  /** Calls a second of the whole fleet. */
  readonly reads: number
  readonly writes: number
  /** Watches that wait at any time; each is one call. */
  readonly watches: number
  /** Exchanges a second that a node begins. */
  readonly exchanges: number
  /** Bytes of bodies a second in and out of a node. */
  readonly bodyBytes: number
  /** Processor time of a node's decisions, microseconds a second, without HTTP. */
  readonly processorMicroseconds: number
  /** Heap of a node, in kilobytes. */
  readonly heapKilobytes: number
}

/** A running fleet with its clock. */
export interface Run {
  readonly clock: ManualClock
  readonly fleet: Fleet
}

const START_SPREAD: Milliseconds = 20 * SECOND
const QUIET_TIME: Milliseconds = MINUTE
const DOMAINS = 5

/** Domains of the first region when the target's fleet is measured. */
const FIRST_REGION = 3

/**
 * Starts a fleet with a configuration, node by node over some seconds.
 *
 * @example
 * const run = await startRun(370, 1)
 */
export async function startRun (nodes: number, seed: number): Promise<Run> {
  const clock = createVirtualClock()
  const fleet = createFleet({ clock, seed, nodes: 0, domains: DOMAINS, domainsInFirstRegion: FIRST_REGION })
  await change(fleet, clock, 0, () => {})
  for (let index = 0; index < nodes; index += 1) {
    fleet.start()
    await clock.advance(START_SPREAD / nodes)
  }
  await clock.advance(2 * MINUTE)
  return { clock, fleet }
}

/**
 * Measures a quiet minute.
 *
 * @example
 * const quiet = await measureQuiet(8, 1)
 */
export async function measureQuiet (nodes: number, seed: number): Promise<Quiet> {
  // What is loaded and compiled once for the process must not count as a node's.
  const { fleet: warmUp } = await startRun(2, seed)
  warmUp.stop()
  const heapBefore = heapAfterCollection()
  const { clock, fleet } = await startRun(nodes, seed)
  const calls = { ...fleet.keyValue.calls }
  const traffic = { ...fleet.traffic }
  const processor = process.cpuUsage()
  await clock.advance(QUIET_TIME)
  const used = process.cpuUsage(processor)
  const heap = heapAfterCollection() - heapBefore
  const seconds = QUIET_TIME / SECOND
  const watches = 2 * fleet.nodes().filter((node) => node.membership.watching()).length
  fleet.stop()
  return {
    nodes,
    reads: (fleet.keyValue.calls.reads - calls.reads) / seconds,
    writes: (fleet.keyValue.calls.writes - calls.writes) / seconds,
    watches,
    exchanges: (fleet.traffic.exchanges - traffic.exchanges) / seconds / nodes,
    bodyBytes: 2 * (fleet.traffic.bodyBytes - traffic.bodyBytes) / seconds / nodes,
    processorMicroseconds: (used.user + used.system) / seconds / nodes,
    heapKilobytes: heap / 1024 / nodes
  }
}

/** What stands in the way of a change. */
export type Obstacle = 'none' | 'the accepting node dies after acceptance' | 'a failure domain has just gone'

/** Times until changes were in force at every live node. */
export interface InForce {
  readonly nodes: number
  readonly obstacle: Obstacle
  readonly changes: number
  readonly p50: Milliseconds
  readonly p99: Milliseconds
  readonly longest: Milliseconds
  /** Messages of one change, over all nodes. */
  readonly deliveries: number
}

/**
 * Accepts changes at nodes and takes the time until each live node has them.
 *
 * @example
 * const result = await measureInForce(370, 1, 'none', 20)
 */
export async function measureInForce (nodes: number, seed: number, obstacle: Obstacle, changes: number): Promise<InForce> {
  const run = await startRun(nodes, seed)
  const { clock, fleet } = run
  const times: Milliseconds[] = []
  const before = fleet.traffic.deliveries
  for (let index = 0; index < changes; index += 1) {
    const gone = obstacle === 'a failure domain has just gone' ? fleet.nodes().filter((node) => node.record.failureDomain === domainName(index % DOMAINS)) : []
    for (const node of gone) node.kill()
    await clock.advance(100)
    const accepting = fleet.nodes()[0] as FleetNode
    times.push(...await changeThrough(run, accepting, obstacle))
    if (!accepting.alive()) gone.push(accepting)
    for (const node of gone) fleet.start(DOMAINS_BY_NAME.get(node.record.failureDomain))
    await clock.advance(gone.length > 1 ? 2 * MINUTE : 20 * SECOND)
  }
  fleet.stop()
  times.sort((left, right) => left - right)
  return {
    nodes,
    obstacle,
    changes,
    p50: at(times, 0.5),
    p99: at(times, 0.99),
    longest: at(times, 1),
    deliveries: (fleet.traffic.deliveries - before) / changes
  }
}

const DOMAINS_BY_NAME = new Map(Array.from({ length: DOMAINS }, (_, domain) => [domainName(domain), domain]))

const LONGEST_WAIT: Milliseconds = 60 * SECOND

async function changeThrough ({ clock, fleet }: Run, accepting: FleetNode, obstacle: Obstacle): Promise<Milliseconds[]> {
  const accepted = await change(fleet, clock, accepting.configuration.revision(), (revision) => {
    if (obstacle === 'the accepting node dies after acceptance') accepting.kill()
    else accepting.membership.deliver(revision, 9 * SECOND).catch(() => {})
  })
  const revision = accepted.revision.revision
  const waiting = new Set(fleet.nodes())
  while (waiting.size > 0 && clock.now() - accepted.at < LONGEST_WAIT) {
    await clock.advance(5)
    for (const node of waiting) if (node.inForceAt.has(revision)) waiting.delete(node)
  }
  return fleet.nodes().map((node) => Math.max(0, (node.inForceAt.get(revision) ?? Infinity) - accepted.at))
}

/** An accepted change and when its operator was told. */
export interface AcceptedChange {
  readonly revision: ConfigurationRevision
  readonly at: Milliseconds
}

/**
 * Has the service accept a change of one target.
 *
 * @param base revision that is changed
 * @param then runs in the moment of acceptance
 * @example
 * const { revision } = await change(fleet, clock, 1, () => {})
 */
export async function change (fleet: Fleet, clock: ManualClock, base: number, then: (revision: ConfigurationRevision) => void): Promise<AcceptedChange> {
  const request = { changeId: `change-${base + 1}`, author: 'bench', reason: 'measurement', configuration: sampleConfiguration(base), base }
  const outcome = applyChange({ store: fleet.keyValue, clock }, request).then((result) => {
    if (result.kind !== 'accepted') throw new Error(`the change was not accepted: ${result.kind}`)
    then(result.revision)
    return { revision: result.revision, at: clock.now() }
  })
  await clock.advance(0)
  await clock.advance(50)
  return outcome
}

/** The size of a real document: 5 organisations, 2 services, 6 classes. */
function sampleConfiguration (round: number) {
  const target = { first_token_ms: 560, between_tokens_ms: 34, whole_answer_ms: 8_000 + round, quantile: 0.95, reliability: 0.999 }
  return checkConfiguration({
    deployment: { name: 'sample', target: { cost_per_thousand_answers: 2, recomputed_per_thousand_tokens: 20 } },
    services: [{ kind: 'model', name: 'assistant', model: 'assistant-7b' }, { kind: 'plain', name: 'booking' }],
    organisations: Array.from({ length: 5 }, (_, index) => ({ name: `organisation-${index}`, key_sha256: [String(index).repeat(64)] })),
    classes: Array.from({ length: 6 }, (_, index) => ({ name: `class-${index}`, service: 'assistant', idempotent: index > 2, target }))
  })
}

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

function heapAfterCollection (): number {
  collectGarbage()
  collectGarbage()
  return process.memoryUsage().heapUsed
}

/**
 * Value at a share of sorted times.
 *
 * @example
 * at([1, 2, 3], 0.5) // 2
 */
export function at (sorted: readonly number[], share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? NaN
}
