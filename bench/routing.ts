/** Prompt caches and late reports: prefill that routing saves, and herding. */
import { percent, rounded } from './scheduling/format.js'
import { firstTokenQuantile, shareOf, tokenGoodput } from './scheduling/measures.js'
import { calcaria, tsubame } from './scheduling/mixes.js'
import type { Mix } from './scheduling/mixes.js'
import { leastInFlight, leastReported, own, random, roundRobin, twoChoices } from './scheduling/policies.js'
import type { Policy } from './scheduling/policies.js'
import { simulate } from './scheduling/simulation.js'
import type { Bench, Table } from './table.js'

const LOADS = [0.7, 1] as const
const REPORT_PERIODS = [200, 500, 1_000, 2_000, 4_000] as const

/** Choice of the upstream. */
export const bench: Bench = {
  name: 'routing',
  description: 'Prefill saved by prefix routing, and herding on late reports',
  run: ({ seed }) => [prefixTable(calcaria, seed), prefixTable(tsubame, seed), herdingTable(calcaria, seed)]
}

function prefixTable (mix: Mix, seed: number): Table {
  const variants: { name: string, policy: Policy, prefixes: boolean }[] = [
    { name: own.name, policy: own, prefixes: true },
    { name: `${own.name} without prefixes`, policy: own, prefixes: false },
    ...[leastInFlight, twoChoices, roundRobin, random].map((policy) => ({ name: policy.name, policy, prefixes: true }))
  ]
  const rows = variants.flatMap(({ name, policy, prefixes }) => LOADS.map((load) => {
    const measures = simulate({ seed, mix, createPolicy: policy.create, prefixes, factor: () => load })
    return [name, load, percent(measures.computedTokens / measures.promptTokens), rounded(tokenGoodput(measures), 0), ...mix.classes.slice(0, 2).map((classMix) => rounded(firstTokenQuantile(measures, classMix.name, 0.95), 0))]
  }))
  return {
    title: `${mix.name}: prompt tokens computed`,
    columns: ['policy', 'load', 'computed of prompt tokens %', 'tokens in target/s', 'long first token p95 ms', 'short first token p95 ms'],
    rows
  }
}

function herdingTable (mix: Mix, seed: number): Table {
  const rows = [own, leastReported, leastInFlight].flatMap((policy) => REPORT_PERIODS.map((reportPeriod) => {
    const measures = simulate({ seed, mix, createPolicy: policy.create, reportPeriod, factor: () => 1 })
    const [long, short] = mix.classes
    return [policy.name, reportPeriod, percent(shareOf(measures, short?.name, 'in-target')), percent(shareOf(measures, long?.name, 'in-target')), short === undefined ? '' : rounded(firstTokenQuantile(measures, short.name, 0.95), 0)]
  }))
  return {
    title: `${mix.name}: eight nodes with the same late reports, load 1`,
    columns: ['policy', 'report period ms', 'short in target %', 'long in target %', 'short first token p95 ms'],
    rows,
    note: 'Reports are up to 400 ms old when they are read.'
  }
}
