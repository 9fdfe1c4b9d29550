/** Overload, a retry storm, a reclaim wave, late lists and cold engines, together; and the time until it is over. */
import { SECOND } from '../src/clock.js'
import type { Milliseconds } from '../src/clock.js'
import { percent, rounded } from './scheduling/format.js'
import { goodputBySecond, shareOf } from './scheduling/measures.js'
import type { Measures } from './scheduling/measures.js'
import { calcaria, tsubame } from './scheduling/mixes.js'
import type { Mix } from './scheduling/mixes.js'
import { fixedLimit, leastInFlight, own, twoChoices } from './scheduling/policies.js'
import { simulate } from './scheduling/simulation.js'
import type { SimulationControl } from './scheduling/simulation.js'
import type { Bench, Table } from './table.js'

const WARMUP: Milliseconds = 30 * SECOND
const DURATION: Milliseconds = 180 * SECOND

/** Overload and wave begin and end at these times. */
const BEGIN: Milliseconds = 70 * SECOND
const END: Milliseconds = 110 * SECOND

/** New engines are listed this long after the wave and take this long to load weights. */
const REPLACED_AFTER: Milliseconds = 10 * SECOND
const LOADING: Milliseconds = 20 * SECOND

/** With the key-value service and the list down, nodes learn late which engines are gone. */
const LIST_LAG: Milliseconds = 15 * SECOND

const OVERLOAD = 2.5
const USUAL = 0.9
const RESENDS = 4

/** A window of the time series. */
const WIDTH: Milliseconds = 5 * SECOND

/** Recovered: this share of what callers ask for is in target again, for good. */
const RECOVERED = 0.9

/** Overload and faults at once. */
export const bench: Bench = {
  name: 'recovery',
  description: 'Overload, retry storm, reclaim wave, late lists and cold engines at once',
  run: ({ seed }) => [calcaria, tsubame].flatMap((mix) => tablesOf(mix, seed))
}

function tablesOf (mix: Mix, seed: number): Table[] {
  const policies = [own, fixedLimit(mix), leastInFlight, twoChoices]
  const results = policies.map((policy) => ({
    policy,
    measures: simulate({
      seed,
      mix,
      createPolicy: policy.create,
      warmup: WARMUP,
      duration: DURATION,
      factor: (_classMix, _organisation, now) => now >= BEGIN && now < END ? OVERLOAD : USUAL,
      resends: { most: RESENDS, hasty: true },
      faults: (control) => reclaimWave(control, mix)
    })
  }))
  return [summary(mix, results), series(mix, results)]
}

/** One failure domain goes without a notice; half of another goes with one. New engines start cold. */
function reclaimWave ({ events, kill, reclaim, start, domainOf }: SimulationControl, mix: Mix): void {
  const engines = Array.from({ length: mix.engines }, (_, index) => index)
  const unannounced = engines.filter((index) => domainOf(index) === 0)
  const announced = engines.filter((index) => domainOf(index) === 1).slice(0, 1)
  events.at(BEGIN, () => {
    for (const index of unannounced) kill(index, LIST_LAG)
    for (const index of announced) reclaim(index, 5 * SECOND)
  })
  events.at(BEGIN + REPLACED_AFTER, () => {
    for (let count = unannounced.length + announced.length; count > 0; count -= 1) start(LOADING)
  })
}

interface Result {
  readonly policy: { readonly name: string }
  readonly measures: Measures
}

function windows (measures: Measures): { offered: number, good: number }[] {
  return goodputBySecond(measures, WARMUP, WARMUP + DURATION, WIDTH)
}

function shareIn (measures: Measures, from: Milliseconds, until: Milliseconds): number {
  const chosen = windows(measures).slice((from - WARMUP) / WIDTH, (until - WARMUP) / WIDTH)
  const offered = chosen.reduce((sum, window) => sum + window.offered, 0)
  return chosen.reduce((sum, window) => sum + window.good, 0) / Math.max(1, offered)
}

/** Seconds after the overload until no later window falls below the mark. */
function recovery (measures: Measures): string {
  const all = windows(measures)
  const last = all.findLastIndex((window) => window.good < RECOVERED * window.offered)
  if (last === all.length - 1) return 'never'
  return String(Math.max(0, ((last + 1) * WIDTH + WARMUP - END) / SECOND))
}

function summary (mix: Mix, results: readonly Result[]): Table {
  const columns = ['policy', 'before: in target %', 'during: in target %', 'last minute: in target %', 'recovered after s', 'lost %', 'recomputed tokens', ...mix.classes.map(({ name }) => `${name} in target %`)]
  const rows = results.map(({ policy, measures }) => [
    policy.name,
    percent(shareIn(measures, WARMUP, BEGIN)),
    percent(shareIn(measures, BEGIN, END)),
    percent(shareIn(measures, WARMUP + DURATION - 60 * SECOND, WARMUP + DURATION)),
    recovery(measures),
    percent(shareOf(measures, undefined, 'lost')),
    rounded(measures.recomputedTokens, 0),
    ...mix.classes.map(({ name }) => percent(shareOf(measures, name, 'in-target')))
  ])
  const note = `Load ${USUAL}, for 40 s ${OVERLOAD}; refused callers come back after half a second, up to ${RESENDS} times. Shares are of the tokens asked for, by the time of the first send; a caller that is served on a later send counts.`
  return { title: `${mix.name}: everything at once`, columns, rows, note }
}

function series (mix: Mix, results: readonly Result[]): Table {
  const all = results.map(({ measures }) => windows(measures))
  const rows = (all[0] ?? []).map((_, index) => {
    const at = (WARMUP + index * WIDTH - BEGIN) / SECOND
    return [at, ...all.map((list) => percent((list[index]?.good ?? 0) / Math.max(1, list[index]?.offered ?? 0)))]
  })
  return { title: `${mix.name}: tokens in target, % of those asked for, by seconds since the wave`, columns: ['s', ...results.map(({ policy }) => policy.name)], rows }
}
