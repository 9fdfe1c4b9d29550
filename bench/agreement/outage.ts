/** An outage of the key-value service with a reclaim wave in it, and the return. */
import type { Milliseconds } from '../../src/clock.js'
import { MINUTE, SECOND } from '../../src/clock.js'
import { organisationNameSchema } from '../../src/identifiers.js'
import type { FleetNode } from './fleet.js'
import { domainName } from './fleet.js'
import { startRun } from './measure.js'
import type { Run } from './measure.js'

/** What an outage did. */
export interface Outage {
  readonly nodes: number
  /** Nodes of the failure domain that went, and as many that were started in other domains. */
  readonly wave: number
  /** From the wave until no live node answers callers with a dead address, in seconds. */
  readonly answersClean: number
  /** From their start until the replacements have the configuration, the slowest, in seconds. */
  readonly replacementsReady: number
  /** Fewest nodes in any answer at any time. */
  readonly smallestAnswer: number
  /** Node-seconds in which a live node was not usable. */
  readonly unusable: number
  /** Live nodes that any node took for gone during or after the outage. */
  readonly falselyGone: number
  /** From the return until every live view is exactly the live nodes, in seconds. */
  readonly viewsRight: number
  /** Most calls in any second after the return, and the mean before the outage. */
  readonly peakCalls: number
  readonly usualCalls: number
  /** Most calls in any second during the outage, all of them failing. */
  readonly callsDuring: number
}

const OUTAGE: Milliseconds = 10 * MINUTE
const WAVE_AFTER: Milliseconds = 3 * MINUTE
const AFTERWARDS: Milliseconds = 3 * MINUTE
const ORGANISATION = organisationNameSchema.parse('tejo')

/**
 * @example
 * const outage = await measureOutage(370, 1)
 */
export async function measureOutage (nodes: number, seed: number): Promise<Outage> {
  const run = await startRun(nodes, seed)
  const { fleet } = run
  const watch = createObserver(run)
  await watch.pass(30 * SECOND)
  const usualCalls = watch.meanCalls()
  fleet.faults.faults.down = true
  await watch.pass(WAVE_AFTER)
  const wave = fleet.nodes().filter((node) => node.record.failureDomain === domainName(1))
  for (const node of wave) node.kill()
  const waveAt = run.clock.now()
  await watch.pass(10 * SECOND)
  const replacements = wave.map((_, index) => fleet.start(index % 2 === 0 ? 0 : 2))
  const startedAt = run.clock.now()
  await watch.pass(OUTAGE - WAVE_AFTER - 10 * SECOND)
  const callsDuring = watch.peakCalls()
  fleet.faults.faults.down = false
  const backAt = run.clock.now()
  watch.forgetCalls()
  await watch.pass(AFTERWARDS)
  const readyAt = replacements.map((node) => node.inForceAt.values().next().value ?? Infinity)
  fleet.stop()
  return {
    nodes,
    wave: wave.length,
    answersClean: seconds(watch.lastDirtyAnswer() - waveAt),
    replacementsReady: seconds(Math.max(...readyAt) - startedAt),
    smallestAnswer: watch.smallestAnswer(),
    unusable: watch.unusable(),
    falselyGone: watch.falselyGone(),
    viewsRight: seconds(watch.lastWrongView() - backAt),
    peakCalls: watch.peakCalls(),
    usualCalls,
    callsDuring
  }
}

function createObserver ({ clock, fleet }: Run) {
  const gone = new Set<string>()
  let calls: number[] = []
  let lastDirtyAnswer = 0
  let lastWrongView = 0
  let smallestAnswer = Infinity
  let unusable = 0

  function observe (): void {
    const live = fleet.nodes()
    const liveNames = new Set(live.map((node) => node.record.incarnation))
    for (const node of live) {
      if (node.configuration.revision() > 0 && !node.configuration.usable(clock.now())) unusable += 1
      observeView(node, live, liveNames)
    }
    observeAnswers(live, liveNames)
  }

  function observeView (node: FleetNode, live: readonly FleetNode[], liveNames: ReadonlySet<string>): void {
    const known = node.membership.nodes()
    const right = known.length === live.length && known.every((record) => liveNames.has(record.incarnation))
    if (!right) lastWrongView = clock.now()
    if (known.length >= live.length) return
    for (const other of live) if (node.membership.peerOf(other.record.incarnation) === 'gone') gone.add(other.record.incarnation)
  }

  function observeAnswers (live: readonly FleetNode[], liveNames: ReadonlySet<string>): void {
    for (const node of live) {
      if (node.configuration.revision() === 0) continue
      const answer = node.membership.addressAnswer(ORGANISATION, 10 * SECOND)
      smallestAnswer = Math.min(smallestAnswer, answer.nodes.length)
      if (answer.nodes.some((item) => !liveNames.has(item.incarnation))) lastDirtyAnswer = clock.now()
    }
  }

  return {
    pass: async (duration: Milliseconds): Promise<void> => {
      for (let passed = 0; passed < duration; passed += SECOND) {
        const before = total(fleet.keyValue.calls)
        await clock.advance(SECOND)
        calls.push(total(fleet.keyValue.calls) - before)
        observe()
      }
    },
    meanCalls: () => calls.reduce((sum, count) => sum + count, 0) / calls.length,
    peakCalls: () => Math.max(...calls),
    forgetCalls: () => { calls = [] },
    lastDirtyAnswer: () => lastDirtyAnswer,
    lastWrongView: () => lastWrongView,
    smallestAnswer: () => smallestAnswer,
    unusable: () => unusable,
    falselyGone: () => gone.size
  }
}

function total (calls: { reads: number, writes: number, watches: number }): number {
  return calls.reads + calls.writes + calls.watches
}

function seconds (duration: Milliseconds): number {
  return Math.round(duration / SECOND)
}
