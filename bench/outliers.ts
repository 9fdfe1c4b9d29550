/** Slow and half-dead upstreams, and overload that must not look like them. */
import { SECOND } from '../src/clock.js'
import { percent, rounded } from './scheduling/format.js'
import { shareOf, tokenGoodput } from './scheduling/measures.js'
import { calcaria } from './scheduling/mixes.js'
import type { Mix } from './scheduling/mixes.js'
import { fixedLimit, leastInFlight, own, roundRobin } from './scheduling/policies.js'
import { simulate } from './scheduling/simulation.js'
import type { SimulationControl } from './scheduling/simulation.js'
import type { Bench, Table } from './table.js'

interface Scenario {
  readonly name: string
  readonly load: number
  faults (control: SimulationControl): void
}

/** Faults begin in the middle of the measured time. */
const FAULT_AT = 60 * SECOND
const FAULT_END = 90 * SECOND

const SCENARIOS: readonly Scenario[] = [
  { name: 'no fault', load: 0.8, faults: () => {} },
  { name: 'one engine four times slower', load: 0.8, faults: (control) => slowFor(control, [0], 4) },
  { name: 'one engine accepts and stands still', load: 0.8, faults: (control) => slowFor(control, [0], Infinity) },
  { name: 'two engines stand still', load: 0.8, faults: (control) => slowFor(control, [0, 1], Infinity) },
  { name: 'all engines twice slower', load: 0.8, faults: (control) => slowFor(control, Array.from({ length: 13 }, (_, index) => index), 2) },
  { name: 'one plain server stands still', load: 0.8, faults: slowPlainServer }
]

/** Outlier upstreams. */
export const bench: Bench = {
  name: 'outliers',
  description: 'Slow and half-dead upstreams',
  run: ({ seed }) => [tableOf(calcaria, seed)]
}

function tableOf (mix: Mix, seed: number): Table {
  const policies = [own, fixedLimit(mix), leastInFlight, roundRobin]
  const rows = SCENARIOS.flatMap((scenario) => policies.map((policy) => {
    const measures = simulate({ seed, mix, createPolicy: policy.create, factor: () => scenario.load, faults: scenario.faults })
    const classes = mix.classes.flatMap((classMix) => [percent(shareOf(measures, classMix.name, 'in-target')), percent(shareOf(measures, classMix.name, 'refused'))])
    return [scenario.name, policy.name, rounded(tokenGoodput(measures), 0), ...classes]
  }))
  const columns = mix.classes.flatMap(({ name }) => [`${name} in target %`, `${name} refused %`])
  return {
    title: `${mix.name}: outlier upstreams at 0.8 of the load`,
    columns: ['fault', 'policy', 'tokens in target/s', ...columns],
    rows,
    note: 'The fault lasts 30 of the 90 measured seconds.'
  }
}

function slowFor ({ events, slow }: SimulationControl, engines: readonly number[], factor: number): void {
  events.at(FAULT_AT, () => { for (const engine of engines) slow(engine, factor) })
  events.at(FAULT_END, () => { for (const engine of engines) slow(engine, 1) })
}

function slowPlainServer ({ events, slowPlain }: SimulationControl): void {
  events.at(FAULT_AT, () => slowPlain(0, Infinity))
  events.at(FAULT_END, () => slowPlain(0, 1))
}
