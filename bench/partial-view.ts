/** How many of a large service's upstreams each node should use. */
import { createScheduler } from '../src/admission/index.js'
import { SECOND } from '../src/clock.js'
import { nodesPerUpstream, viewSize } from '../src/upstream/index.js'
import { percent, rounded } from './scheduling/format.js'
import { shareOf, tokenGoodput } from './scheduling/measures.js'
import { calcaria } from './scheduling/mixes.js'
import type { Mix } from './scheduling/mixes.js'
import { simulate } from './scheduling/simulation.js'
import type { Bench, Table } from './table.js'

const NODES = 32
const ENGINES = 52
const VIEWS = [6, 13, 26, 52] as const
const LOADS = [1, 2] as const

/** Part of the nodes that an organisation's callers use, as in the small deployments. */
const NODES_PER_ORGANISATION = 12

/** Four times as large as the deployment. */
export const bench: Bench = {
  name: 'partial-view',
  description: 'Upstreams that each of 32 nodes uses, of 52',
  run: ({ seed }) => [tableOf(seed)]
}

function tableOf (seed: number): Table {
  const mix = enlarged(calcaria)
  const [long, short] = mix.classes
  const chosen = viewSize(NODES, ENGINES)
  const rows = LOADS.flatMap((load) => [...VIEWS, chosen].map((view) => {
    const measures = simulate({
      seed,
      mix,
      nodes: NODES,
      nodesPerOrganisation: NODES_PER_ORGANISATION,
      warmup: 20 * SECOND,
      duration: 40 * SECOND,
      factor: (classMix) => classMix === long || classMix === short ? load : 0,
      createPolicy: (random, node) => createScheduler({ random, node, maxViewSize: view })
    })
    const shares = [short, long].map((classMix) => percent(shareOf(measures, classMix?.name, 'in-target')))
    return [load, view === chosen ? `${view} (chosen)` : view, rounded(nodesPerUpstream(NODES, view, ENGINES)), rounded(tokenGoodput(measures), 0), ...shares, percent(measures.computedTokens / measures.promptTokens)]
  }))
  return {
    title: `${mix.name}: ${NODES} nodes, ${ENGINES} engines`,
    columns: ['load', 'upstreams per node', 'nodes per upstream', 'tokens in target/s', 'short in target %', 'long in target %', 'computed of prompt tokens %'],
    rows
  }
}

function enlarged (mix: Mix): Mix {
  const factor = ENGINES / mix.engines
  return { ...mix, name: `${mix.name} times ${factor}`, engines: ENGINES, classes: mix.classes.map((classMix) => ({ ...classMix, rate: classMix.rate * factor })) }
}
