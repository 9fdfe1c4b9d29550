/** Goodput against offered load, and whether short classes keep their targets. */
import { answeredInTarget, firstTokenQuantile, goodput, shareOf, tokenGoodput } from './scheduling/measures.js'
import type { Measures } from './scheduling/measures.js'
import { percent, rounded } from './scheduling/format.js'
import { calcaria, PLAIN_TIME, PLAIN_WORKERS, tsubame } from './scheduling/mixes.js'
import type { Mix } from './scheduling/mixes.js'
import { fixedLimit, leastInFlight, own, roundRobin, twoChoices } from './scheduling/policies.js'
import { simulate } from './scheduling/simulation.js'
import type { Bench, Table } from './table.js'

const LOADS = [0.5, 1, 1.5, 2, 2.5, 3] as const

/** Places of an engine that decodes too slowly when all are taken. */
const MANY_PLACES = 64

/** Measured time of plain calls, in milliseconds: there are many of them. */
const PLAIN_DURATION = 40_000

/** Order of the classes in every mix. */
const LONG = 0
const SHORT = 1

/** Offered load from half to three times the planned demand. */
export const bench: Bench = {
  name: 'overload',
  description: 'Goodput against offered load from 0.5x to 3x, both deployments',
  run: ({ seed }) => [...[calcaria, tsubame, withPlaces(calcaria, MANY_PLACES)].map((mix) => tableOf(mix, seed)), plainTable(calcaria, seed)]
}

/** Calls of the plain servers beyond what their workers can do. */
function plainTable (mix: Mix, seed: number): Table {
  const [, , plain] = mix.classes
  const capacity = mix.plainServers * PLAIN_WORKERS * 1_000 / PLAIN_TIME
  const rows = [own, leastInFlight, roundRobin].flatMap((policy) => LOADS.map((load) => {
    const factor = load * capacity / (plain?.rate ?? 1)
    const measures = simulate({ seed, mix, createPolicy: policy.create, duration: PLAIN_DURATION, factor: (classMix) => classMix === plain ? factor : 0 })
    const shares = (['in-target', 'late', 'refused', 'gave-up'] as const).map((end) => percent(shareOf(measures, plain?.name, end)))
    return [policy.name, load, rounded(goodput(measures), 0), ...shares]
  }))
  return {
    title: `${mix.name}: ${plain?.name} against the ${capacity} calls/s that the plain servers can do`,
    columns: ['policy', 'load', 'in target/s', 'in target %', 'late %', 'refused %', 'gave up %'],
    rows
  }
}

/** The same engines with room for more answers than the target between tokens bears. */
function withPlaces (mix: Mix, batch: number): Mix {
  return { ...mix, name: `${mix.name}, ${batch} places per engine`, shape: { ...mix.shape, batch } }
}

function tableOf (mix: Mix, seed: number): Table {
  const policies = [own, fixedLimit(mix), leastInFlight, twoChoices, roundRobin]
  const rows = policies.flatMap((policy) => LOADS.map((load) => {
    const measures = simulate({ seed, mix, createPolicy: policy.create, factor: () => load })
    return [policy.name, load, ...figures(measures, mix)]
  }))
  return {
    title: `${mix.name}: goodput against offered load`,
    columns: ['policy', 'load', 'answers in target/s', 'tokens in target/s', 'short in target %', 'short refused %', 'of short answers in target %', 'short first token p95 ms', 'long in target %', 'long refused %', 'plain in target %'],
    rows,
    note: `Short: ${mix.classes[SHORT]?.name}; long: ${mix.classes[LONG]?.name}. 8 nodes, ${mix.engines} engines, arrivals of 90 s after 30 s of warm-up.`
  }
}

function figures (measures: Measures, mix: Mix): (string | number)[] {
  const [long, short, plain] = mix.classes.map((classMix) => classMix.name) as [never, never, never]
  return [
    rounded(goodput(measures)),
    rounded(tokenGoodput(measures), 0),
    percent(shareOf(measures, short, 'in-target')),
    percent(shareOf(measures, short, 'refused')),
    percent(answeredInTarget(measures, short)),
    rounded(firstTokenQuantile(measures, short, 0.95), 0),
    percent(shareOf(measures, long, 'in-target')),
    percent(shareOf(measures, long, 'refused')),
    percent(shareOf(measures, plain, 'in-target'))
  ]
}
