/** Streams that callers take up after their nodes were killed: how many go on, how many are refused, how many cross to another version. */
import { createSystemClock, SECOND } from '../src/clock.js'
import type { Milliseconds } from '../src/clock.js'
import type { NodeThreads } from '../stand-ins/machines/node-threads.js'
import { createResumedStreams } from '../stand-ins/machines/resumed-streams.js'
import type { ResumedStreams, ResumptionOutcome } from '../stand-ins/machines/resumed-streams.js'
import type { Bench, Table } from './table.js'

const clock = createSystemClock()
const NODE_NAMES = ['node-1', 'node-2', 'node-3']
const STREAMS = 60

/** Times after the start of the nodes at which streams are taken up, an equal part of them each. */
const DELAYS: readonly Milliseconds[] = [0, SECOND, 3 * SECOND, 5 * SECOND, 10 * SECOND]

/** Time for which the store is silent or away while the nodes start. */
const STORE_OUTAGE: Milliseconds = 3 * SECOND

/** Time within which nodes have written what they know. */
const WRITTEN_WITHIN: Milliseconds = SECOND

/** What happens to the nodes, the versions and the store between the start of the streams and their resumption. */
interface Scenario {
  readonly name: string
  /** Versions that serve when the streams begin. */
  readonly versions: readonly string[]
  beforeKill? (streams: ResumedStreams): Promise<void> | void
  whileDown? (streams: ResumedStreams): Promise<void> | void
  /** Whether one of the nodes lives on. */
  readonly leavesOne?: boolean
  /** The nodes are not waited for, as they can't serve yet. Called once they have been started. */
  onStart? (streams: ResumedStreams): Promise<void>
}

async function replaceVersion (streams: ResumedStreams): Promise<void> {
  await streams.addVersion('v2')
  streams.removeVersion('v1')
}

async function endOutage ({ deployment }: ResumedStreams): Promise<void> {
  await clock.sleep(STORE_OUTAGE)
  Object.assign(deployment.store.faultSwitch.faults, { silent: false, down: false })
}

const SCENARIOS: readonly Scenario[] = [
  {
    name: 'v1 leaves before the kill',
    versions: ['v1'],
    beforeKill: async (streams) => {
      await replaceVersion(streams)
      await streams.untilNodesKnow(NODE_NAMES, 'upstream-gone', 'v1')
    }
  },
  { name: 'v1 leaves while no node is there', versions: ['v1'], whileDown: replaceVersion },
  { name: 'both serve', versions: ['v1', 'v2'] },
  { name: 'three serve', versions: ['v1', 'v2', 'v3'] },
  {
    name: 'v2 comes while the streams run',
    versions: ['v1'],
    beforeKill: async (streams) => {
      await streams.addVersion('v2')
      await streams.untilNodesKnow(NODE_NAMES, 'upstream-new', 'v2')
      await clock.sleep(WRITTEN_WITHIN)
    }
  },
  { name: 'both serve, one node lives on', versions: ['v1', 'v2'], leavesOne: true },
  { name: 'both serve, the store is silent at the start', versions: ['v1', 'v2'], whileDown: ({ deployment }) => { deployment.store.faultSwitch.faults.silent = true }, onStart: endOutage },
  {
    name: 'v1 leaves, the store is away at the start',
    versions: ['v1'],
    whileDown: async (streams) => {
      await replaceVersion(streams)
      streams.deployment.store.faultSwitch.faults.down = true
    },
    onStart: endOutage
  },
  {
    name: 'v1 leaves, the store comes back from a copy without checkpoints',
    versions: ['v1'],
    whileDown: async (streams) => {
      const { store } = streams.deployment.store
      streams.removeCheckpoints(streams.checkpoints())
      store.restore(store.backUp())
      await replaceVersion(streams)
    }
  },
  {
    name: 'the route is moved to another service',
    versions: ['v1'],
    whileDown: async (streams) => {
      await streams.addVersion('other', 'elsewhere')
      streams.routeTo('elsewhere')
    }
  }
]

/** Kills of all nodes, and of all but one. */
export const bench: Bench = {
  name: 'resumed-streams',
  description: 'Streams that are taken up after all nodes were killed, with several versions in service',
  run: async () => [await play()]
}

async function play (): Promise<Table> {
  const rows: (string | number)[][] = []
  for (const scenario of SCENARIOS) rows.push([scenario.name, ...await playScenario(scenario)])
  return { title: `Streams taken up ${DELAYS.map((delay) => delay / SECOND).join(', ')} s after the start: went on / refused / crossed, of ${STREAMS / DELAYS.length} each`, columns: ['scenario', ...DELAYS.map((delay) => `${delay / SECOND} s`)], rows }
}

async function playScenario (scenario: Scenario): Promise<string[]> {
  const streams = await createResumedStreams(clock)
  try {
    for (const version of scenario.versions) await streams.addVersion(version)
    const killed = await streams.startNodes(scenario.leavesOne ? NODE_NAMES.slice(1) : NODE_NAMES)
    const living = scenario.leavesOne ? await streams.startNodes(NODE_NAMES.slice(0, 1)) : undefined
    for (const version of scenario.versions) await streams.untilServed(killed, version)
    const begun = await streams.begin(killed, STREAMS)
    await scenario.beforeKill?.(streams)
    await killed.kill()
    await scenario.whileDown?.(streams)
    const outage = scenario.onStart?.(streams)
    const started = await streams.startNodes(scenario.leavesOne ? NODE_NAMES.slice(1) : NODE_NAMES, outage === undefined)
    const nodes: NodeThreads = { ...started, addresses: [...living?.addresses ?? [], ...started.addresses] }
    const startedAt = clock.now()
    const cells = await Promise.all(DELAYS.map(async (delay, index) => {
      await clock.sleep(startedAt + delay - clock.now())
      return summarise(await streams.takeUp(nodes, begun.filter((_, place) => place % DELAYS.length === index)))
    }))
    await outage
    return cells
  } finally {
    await streams.close()
  }
}

function summarise (outcomes: readonly ResumptionOutcome[]): string {
  const crossed = outcomes.filter(({ begunAt, wentOnAt = begunAt }) => wentOnAt !== begunAt).length
  const refused = outcomes.filter(({ wentOnAt }) => wentOnAt === undefined).length
  return `${outcomes.filter(({ isWhole }) => isWhole).length - crossed} / ${refused} / ${crossed}`
}
