/** Cost per 1,000 answers in target through a reclaim wave: the planner's mix against four simple ones. */
import { calcaria, tsubame } from './capacity-mix/deployments.js'
import type { BenchDeployment } from './capacity-mix/deployments.js'
import { cheapestZone, evenSpread, onDemand, planner } from './capacity-mix/policies.js'
import { simulate } from './capacity-mix/simulation.js'
import type { Outcome, Policy } from './capacity-mix/simulation.js'
import type { Bench, Table } from './table.js'

const SEEDS = 5

/** A quarter of an hour with fewer answers in target than the class's quantile misses the target. */
const QUANTILE = 0.95
const RELIABILITY = 0.995

const POLICIES: readonly { name: string, create: (deployment: BenchDeployment, seed: number) => Policy }[] = [
  { name: 'on-demand', create: (deployment) => onDemand(deployment, false) },
  { name: 'on-demand, a zone to spare', create: (deployment) => onDemand(deployment, true) },
  { name: 'cheapest zone, reclaimable', create: (deployment) => cheapestZone(deployment) },
  { name: 'even spread, reclaimable', create: (deployment) => evenSpread(deployment, false) },
  { name: 'even spread, a zone to spare', create: (deployment) => evenSpread(deployment, true) },
  { name: 'planner', create: planner }
]

export const bench: Bench = {
  name: 'capacity-mix',
  description: 'Cost per 1,000 answers in target, and recomputed tokens, through a reclaim wave',
  run: async ({ seed }) => {
    const tables: Table[] = []
    for (const deployment of [calcaria, tsubame]) tables.push(await compare(deployment, seed))
    return tables
  }
}

async function compare (deployment: BenchDeployment, seed: number): Promise<Table> {
  const rows: (string | number)[][] = []
  for (const { name, create } of POLICIES) {
    const outcomes: Outcome[] = []
    for (let offset = 0; offset < SEEDS; offset += 1) outcomes.push(await simulate(deployment, seed + offset, create(deployment, seed + offset)))
    rows.push([name, ...figuresOf(outcomes)])
  }
  const { target } = deployment.configuration.deployment
  return {
    title: `${deployment.name}: ${SEEDS} seeded days with a wave at the peak`,
    columns: ['policy', 'cost per 1,000 in target', 'in target', 'worst quarter hour', 'a zone to spare', 'recomputed per 1,000', 'starts a day', 'meets class targets'],
    rows,
    note: `Deployment targets: cost ${target.cost_per_thousand_answers} per 1,000 answers, ${target.recomputed_per_thousand_tokens} recomputed per 1,000 tokens. Class targets are met where no quarter of an hour has less than ${QUANTILE} in target and the day no less than ${RELIABILITY}. "A zone to spare": share of the day at which 95% of the demand would still be carried if any one zone failed as a whole.`
  }
}

function figuresOf (outcomes: readonly Outcome[]): (string | number)[] {
  const mean = (value: (outcome: Outcome) => number): number => outcomes.reduce((sum, outcome) => sum + value(outcome), 0) / outcomes.length
  const worst = Math.min(...outcomes.map((outcome) => outcome.worstShare))
  const leastDay = Math.min(...outcomes.map((outcome) => outcome.answersInTarget / outcome.answers))
  return [
    mean((outcome) => 1_000 * outcome.cost / outcome.answersInTarget).toFixed(3),
    leastDay.toFixed(4),
    worst.toFixed(3),
    mean((outcome) => outcome.zoneToSpare).toFixed(3),
    mean((outcome) => outcome.recomputedPerThousand).toFixed(2),
    Math.round(mean((outcome) => outcome.started)),
    worst >= QUANTILE && leastDay >= RELIABILITY ? 'yes' : 'no'
  ]
}
