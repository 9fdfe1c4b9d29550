/** `npm run bench -- reclaim`: recomputed tokens and late answers when engines are taken back. */
import type { Milliseconds } from '../src/clock.js'
import { SECOND } from '../src/clock.js'
import { createRandom } from '../src/random.js'
import type { Random } from '../src/random.js'
import { reclaimedDomains, orderExports } from '../src/upstream/reclaim/index.js'
import type { ExportCandidate, ExportOrder, ReclaimSituation } from '../src/upstream/reclaim/index.js'
import { BELIEVED_RATE, CALCARIA, createEngines, TSUBAME } from './reclaim-mix.js'
import type { ReclaimMix } from './reclaim-mix.js'
import { BELIEVED_LINK, runReclaim } from './reclaim-run.js'
import type { Policy, ReclaimCase, ReclaimResult } from './reclaim-run.js'
import type { Bench, Table } from './table.js'

const REPETITIONS = 60
const NOTICES: readonly Milliseconds[] = [2, 5, 10, 20, 30].map((seconds) => seconds * SECOND)
const POLICIES: readonly Policy[] = ['always recompute', 'recompute at the end', 'fair sharing', 'first in first out', 'each node for itself', 'plan without turns', 'plan']

/** One notice in so many is shorter than announced, by this factor. */
const SHORTER_ONE_IN = 10
const SHORTER_BY = 0.6

/** True link rates lie within this share of the believed one. */
const RATE_SPREAD = 0.4

type Extent = 'single' | 'wave'

/** Recomputed tokens and late answers, for one engine and for a wave, by policy. */
export const bench: Bench = {
  name: 'reclaim',
  description: 'recomputed tokens and late answers per reclaim, against recomputing, fair sharing and first in first out',
  run: ({ seed }) => [...[CALCARIA, TSUBAME].flatMap((mix) => [reclaimTable(mix, 'single', seed), reclaimTable(mix, 'wave', seed)]), orderTable(seed)]
}

function reclaimTable (mix: ReclaimMix, extent: Extent, seed: number): Table {
  return {
    title: `${mix.name}, ${extent === 'single' ? 'one engine' : 'a failure domain'}: recomputed tokens per reclaim (late answers per 100)`,
    columns: ['notice s', ...POLICIES, 'lower bound', 'fewer than best baseline'],
    rows: NOTICES.map((notice) => reclaimRow(mix, extent, notice, seed))
  }
}

function reclaimRow (mix: ReclaimMix, extent: Extent, notice: Milliseconds, seed: number): (string | number)[] {
  const cases = Array.from({ length: REPETITIONS }, (_, repetition) => createCase(mix, extent, notice, createRandom(seed * 1_000 + repetition)))
  const results = POLICIES.map((policy) => sum(cases.map((reclaim) => runReclaim(reclaim, policy))))
  const baselines = results.slice(0, POLICIES.indexOf('each node for itself')).map((result) => result.recomputed)
  const own = results.at(-1) as ReclaimResult
  const bound = cases.reduce((total, reclaim) => total + lowerBound(reclaim), 0)
  const best = Math.min(...baselines)
  const saving = best === 0 ? '-' : `${Math.round(100 * (1 - own.recomputed / best))} %`
  return [notice / SECOND, ...results.map((result) => `${perReclaim(result.recomputed)} (${(100 * result.late / result.streams).toFixed(1)})`), perReclaim(bound), saving]
}

function perReclaim (tokens: number): number {
  return Math.round(tokens / REPETITIONS)
}

function sum (results: readonly ReclaimResult[]): ReclaimResult {
  return results.reduce((total, result) => ({
    recomputed: total.recomputed + result.recomputed,
    late: total.late + result.late,
    streams: total.streams + result.streams
  }), { recomputed: 0, late: 0, streams: 0 })
}

function createCase (mix: ReclaimMix, extent: Extent, notice: Milliseconds, random: Random): ReclaimCase {
  const engines = createEngines(mix, random)
  const first = random.pick(engines)
  const leaving = extent === 'single' ? [first] : engines.filter((engine) => engine.target.failureDomain === first.target.failureDomain)
  const staying = engines.filter((engine) => !leaving.includes(engine))
  const names = leaving.map((engine) => engine.name)
  const targets = engines.map((engine) => ({ ...engine.target, leaving: leaving.includes(engine) }))
  const situation = (engine: typeof first): ReclaimSituation => ({
    upstream: engine.name,
    failureDomain: engine.target.failureDomain,
    deadline: notice,
    link: BELIEVED_LINK,
    streams: engine.streams.map((stream) => stream.open),
    targets,
    leaving: names,
    leavingDomains: reclaimedDomains(targets),
    recomputedPerThousandTokens: mix.recomputedPerThousandTokens
  })
  return {
    leaving,
    staying,
    situations: new Map(leaving.map((engine) => [engine.name, situation(engine)])),
    endsAt: random.integer(SHORTER_ONE_IN) === 0 ? notice * SHORTER_BY : notice,
    rate: BELIEVED_RATE * (1 + RATE_SPREAD * (2 * random.fraction() - 1)),
    batch: mix.batch
  }
}

/** What no policy can beat: all that neither ends in time nor fits through the links, in parts. */
function lowerBound (reclaim: ReclaimCase): number {
  return reclaim.leaving.reduce((total, engine) => {
    const open = engine.streams.filter((stream) => stream.trueRemaining * stream.open.tokenTime > reclaim.endsAt)
    const needed = open.map(({ open: stream }) => stream.cachedTokens - Math.max(0, ...stream.prefixHits.map((hit) => hit.tokens)))
    return total + Math.max(0, needed.reduce((all, one) => all + one, 0) - reclaim.endsAt * reclaim.rate)
  }, 0)
}

const ORDERS: readonly ExportOrder[] = ['first-in-first-out', 'smallest-first', 'largest-first', 'saved-per-second']
const SMALL = 12
const SMALL_CASES = 200

function orderTable (seed: number): Table {
  const shares = [0.2, 0.5, 0.8].map((share) => ({ share, cases: Array.from({ length: SMALL_CASES }, (_, index) => createCandidates(createRandom(seed * 10_000 + index))) }))
  return {
    title: 'Order of exports: tokens saved, as a share of the optimum of 12 exports found by trying all',
    columns: ['link time / time for all', ...ORDERS, 'best of the last three'],
    rows: shares.map(({ share, cases }) => orderRow(share, cases))
  }
}

function orderRow (share: number, cases: readonly (readonly ExportCandidate[])[]): (string | number)[] {
  const saved = new Map<string, number>()
  let optimum = 0
  for (const candidates of cases) {
    const available = share * candidates.reduce((total, one) => total + one.duration, 0)
    optimum += bestSubset(candidates, available)
    const each = ORDERS.map((order) => fill(orderExports(candidates, order), available))
    ORDERS.forEach((order, index) => saved.set(order, (saved.get(order) ?? 0) + (each[index] ?? 0)))
    saved.set('best', (saved.get('best') ?? 0) + Math.max(...each.slice(1)))
  }
  return [share, ...[...ORDERS, 'best'].map((order) => `${(100 * (saved.get(order) ?? 0) / optimum).toFixed(1)} %`)]
}

function createCandidates (random: Random): readonly ExportCandidate[] {
  const streams = createEngines({ ...TSUBAME, engines: 2, running: SMALL }, random)[0]?.streams ?? []
  return streams.map(({ open }) => ({
    id: open.id,
    tokens: open.cachedTokens,
    savedTokens: open.cachedTokens - Math.max(0, ...open.prefixHits.map((hit) => hit.tokens)),
    duration: BELIEVED_LINK.setup + open.cachedTokens / BELIEVED_LINK.rate,
    required: false,
    slack: open.slack
  }))
}

function fill (ordered: readonly ExportCandidate[], available: Milliseconds): number {
  let left = available
  let saved = 0
  for (const candidate of ordered) {
    if (candidate.duration > left) continue
    left -= candidate.duration
    saved += candidate.savedTokens
  }
  return saved
}

function bestSubset (candidates: readonly ExportCandidate[], available: Milliseconds): number {
  let best = 0
  for (let subset = 0; subset < 2 ** candidates.length; subset += 1) {
    let duration = 0
    let saved = 0
    candidates.forEach((candidate, index) => {
      if ((subset & (1 << index)) === 0) return
      duration += candidate.duration
      saved += candidate.savedTokens
    })
    if (duration <= available) best = Math.max(best, saved)
  }
  return best
}
