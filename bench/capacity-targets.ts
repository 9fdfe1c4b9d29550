/** How the two targets of a deployment steer the planner's mix. */
import { configurationSchema } from '../src/configuration/index.js'
import { tsubame } from './capacity-mix/deployments.js'
import type { BenchDeployment } from './capacity-mix/deployments.js'
import { planner } from './capacity-mix/policies.js'
import { simulate } from './capacity-mix/simulation.js'
import type { Bench } from './table.js'

const SEEDS = 3

/** Recomputed tokens per 1,000 that may not be exceeded, with cost per 1,000 answers. */
const TARGETS = [
  { recomputed: 0.1, cost: 6 },
  { recomputed: 0.4, cost: 6 },
  { recomputed: 1.6, cost: 6 },
  { recomputed: 0.1, cost: 0.5 }
]

export const bench: Bench = {
  name: 'capacity-targets',
  description: 'How the targets for cost and recomputed tokens steer the planner\'s mix',
  run: async ({ seed }) => {
    const rows: (string | number)[][] = []
    for (const target of TARGETS) {
      const deployment = withTarget(tsubame, target)
      let cost = 0
      let recomputed = 0
      for (let offset = 0; offset < SEEDS; offset += 1) {
        const outcome = await simulate(deployment, seed + offset, planner(deployment, seed + offset))
        cost += 1_000 * outcome.cost / outcome.answersInTarget / SEEDS
        recomputed += outcome.recomputedPerThousand / SEEDS
      }
      rows.push([target.recomputed, target.cost, recomputed.toFixed(2), cost.toFixed(3)])
    }
    return [{
      title: `Tsubame: the planner under other targets, ${SEEDS} seeded days with a wave at the peak`,
      columns: ['target recomputed', 'target cost', 'recomputed per 1,000', 'cost per 1,000 in target'],
      rows,
      note: 'The wave at the peak comes on top of what the history of reclaims foretells.'
    }]
  }
}

function withTarget (deployment: BenchDeployment, target: { recomputed: number, cost: number }): BenchDeployment {
  const document = structuredClone(deployment.configuration)
  document.deployment.target = { cost_per_thousand_answers: target.cost, recomputed_per_thousand_tokens: target.recomputed }
  return { ...deployment, configuration: configurationSchema.parse(document) }
}
