/**
 * Which upstream a gateway node chooses, by variants of the choice, fleet size and age of what nodes hear of
 * each other. Engines read prompts one after the other and keep shared parts for a while; nodes see their own
 * load at once and that of others as it was some time ago. Pairs of runs share arrivals, so that differences
 * between variants are told with the interval of their mean over seeds.
 */
import type { Milliseconds } from '../src/clock.js'
import { SECOND } from '../src/clock.js'
import { ASSUMED_SPEED, assumedSlotTime, chooseUpstream, ENGINE_COSTS, incarnationOf, prefillTime } from '../src/placement/index.js'
import type { Candidate, PlacementCosts, PlacementRequest } from '../src/placement/index.js'
import { createRandom } from '../src/random.js'
import type { Random } from '../src/random.js'
import type { Bench, Table } from './table.js'

/** One way to choose. */
interface Variant {
  readonly name: string
  readonly costs: PlacementCosts
}

/** A deployment in short. */
interface Site {
  readonly name: string
  readonly nodes: number
  readonly engines: number
  readonly plansPerSecond: number
  readonly questionsPerSecond: number
  /** Oldest state of another node that a node goes by. */
  readonly oldest: Milliseconds
}

interface Outcome {
  /** Part of the plans and questions whose first token came in time. */
  readonly inTime: number
  /** Reading for each request, in milliseconds. */
  readonly reading: number
}

/** Sites of the users' sheets: present and grown, with the engines that a quiet day runs on. */
const SITES: readonly Site[] = [
  { name: 'Calcária', nodes: 9, engines: 11, plansPerSecond: 20, questionsPerSecond: 46, oldest: 800 },
  { name: 'Tsubame', nodes: 8, engines: 6, plansPerSecond: 10, questionsPerSecond: 23, oldest: 800 },
  { name: 'Calcária grown', nodes: 64, engines: 33, plansPerSecond: 86, questionsPerSecond: 199, oldest: 2_400 },
  { name: 'Calcária grown, fresher', nodes: 64, engines: 33, plansPerSecond: 86, questionsPerSecond: 199, oldest: 800 }
]

const VARIANTS: readonly Variant[] = [
  { name: 'all candidates', costs: { ...ENGINE_COSTS, preferredUpstreams: Infinity } },
  ...[2, 3, 4, 6].map((homes): Variant => ({ name: `first ${homes} homes`, costs: { ...ENGINE_COSTS, preferredUpstreams: homes } }))
]

const SEEDS = 12
const LENGTH: Milliseconds = 40 * SECOND
const WARM_UP: Milliseconds = 5 * SECOND

/** Shared parts are kept for about this long after their last use. */
const KEPT: Milliseconds = 10 * SECOND

/** Spread of prompt sizes: the largest of the sheets are some ten times the mean. */
const SIGMA = 0.9

/** Time for which a request that was read runs on, and counts as in flight. */
const PLAN_RUN: Milliseconds = 2_500
const QUESTION_RUN: Milliseconds = 250

const PLAN = { shared: 5_382, own: 6_610, subjects: 24, target: 1_200, run: PLAN_RUN }
const QUESTION = { shared: 568, own: 1_800, subjects: 60, target: 800, run: QUESTION_RUN }

/** 95 in 100 of a normal distribution lie within so many standard errors. */
const INTERVAL = 1.96

/** Variants of the choice of an upstream. */
export const bench: Bench = {
  name: 'gateway-placement',
  description: 'First tokens in time and reading, by variants of a gateway node\'s choice',
  run: ({ seed }) => SITES.map((site) => siteTable(site, seed))
}

function siteTable (site: Site, seed: number): Table {
  const outcomes = VARIANTS.map((variant) => Array.from({ length: SEEDS }, (_, index) => simulate(site, variant, seed + index)))
  const first = outcomes[0]!
  const rows = VARIANTS.map((variant, index) => {
    const own = outcomes[index]!
    const differences = own.map((outcome, run) => outcome.inTime - first[run]!.inTime)
    return [variant.name, percent(mean(own.map(({ inTime }) => inTime))), `${percent(mean(differences))} ± ${percent(halfInterval(differences))}`, mean(own.map(({ reading }) => reading)).toFixed(1)]
  })
  return { title: `${site.name}: ${site.nodes} nodes, ${site.engines} engines, states up to ${site.oldest} ms old`, columns: ['variant', 'in time %', 'difference to the first', 'reading ms/request'], rows }
}

interface Engine {
  readonly id: string
  freeAt: Milliseconds
  readonly kept: Map<string, Milliseconds>
  /** What each node has in flight here: reading and when it ends. */
  readonly open: OpenRequest[]
}

interface OpenRequest {
  readonly node: number
  readonly since: Milliseconds
  readonly reading: Milliseconds
  readonly readAt: Milliseconds
  readonly endsAt: Milliseconds
}

function simulate (site: Site, variant: Variant, seed: number): Outcome {
  const random = createRandom(seed)
  // Numbers of its own, so that all variants have the same arrivals.
  const tieBreaker = createRandom(seed + 1_000)
  const engines: Engine[] = Array.from({ length: site.engines }, (_, index) => ({ id: `i-${seed}-${index}`, freeAt: 0, kept: new Map(), open: [] }))
  const rate = (site.plansPerSecond + site.questionsPerSecond) / SECOND
  let inTime = 0
  let counted = 0
  let readingSum = 0
  for (let now = 0; now < LENGTH; now += -Math.log(1 - random.fraction()) / rate) {
    const isPlan = random.fraction() < site.plansPerSecond / (site.plansPerSecond + site.questionsPerSecond)
    const kind = isPlan ? PLAN : QUESTION
    const work = workOf(kind, isPlan, random)
    const node = random.integer(site.nodes)
    const ages = Array.from({ length: site.nodes }, () => random.fraction() * site.oldest)
    for (const engine of engines) while (engine.open.length > 0 && engine.open[0]!.endsAt < now - site.oldest) engine.open.shift()
    const candidates = engines.map((engine) => candidateOf(engine, node, ages, now))
    const choice = chooseUpstream(work, candidates, { name: `node-${node}`, failureDomain: 'a' }, variant.costs, { speed: ASSUMED_SPEED, slotTime: assumedSlotTime(true) }, tieBreaker)
    const engine = engines.find(({ id }) => id === choice!.upstream.id)!
    const { reading, readAt } = send(engine, work, node, now, kind.run)
    if (now < WARM_UP) continue
    counted += 1
    readingSum += reading
    if (readAt - now <= kind.target) inTime += 1
  }
  return { inTime: inTime / counted, reading: readingSum / counted }
}

function workOf (kind: typeof PLAN, isPlan: boolean, random: Random): PlacementRequest {
  const own = Math.max(20, Math.round(kind.own * Math.exp(SIGMA * normal(random) - SIGMA * SIGMA / 2)))
  // A few subjects get most requests.
  const subject = Math.floor(kind.subjects * random.fraction() ** 2)
  return { service: 's', parts: [{ id: `${isPlan ? 'plan' : 'question'}-${subject}`, tokens: kind.shared }, { id: 'own', tokens: own }], promptTokens: kind.shared + own, target: kind.target, lostOnReclaim: isPlan, streams: true }
}

/** What a node takes an engine's load for: its own as it is, that of others as it was. */
function candidateOf (engine: Engine, node: number, ages: readonly Milliseconds[], now: Milliseconds): Candidate {
  let requests = 0
  let reading = 0
  let unanswered = 0
  let progress = 0
  for (const request of engine.open) {
    const asOf = request.node === node ? now : now - ages[request.node]!
    if (request.since > asOf || request.endsAt < asOf) continue
    requests += 1
    if (request.readAt <= asOf) continue
    unanswered += 1
    reading += request.reading
    progress += request.reading * (now - asOf)
  }
  // The sum is reduced once, by the mean age of its parts.
  if (reading > 0) reading = Math.max(0, reading - progress / reading)
  return { upstream: { id: engine.id, incarnation: incarnationOf(engine.id, undefined), service: 's', version: '', address: '', failureDomain: 'a', slots: 64, leaving: false, leavesIn: undefined, reclaimable: false }, load: { requests, reading, unanswered }, delay: 0, slowness: 1 }
}

function send (engine: Engine, work: PlacementRequest, node: number, now: Milliseconds, run: Milliseconds): { reading: Milliseconds, readAt: Milliseconds } {
  const shared = work.parts[0]!
  const isKept = (engine.kept.get(shared.id) ?? -Infinity) > now - KEPT
  engine.kept.set(shared.id, now)
  const reading = isKept ? prefillTime(work.promptTokens - shared.tokens, shared.tokens, ASSUMED_SPEED) : prefillTime(work.promptTokens, 0, ASSUMED_SPEED)
  const readAt = Math.max(now, engine.freeAt) + reading
  engine.freeAt = readAt
  engine.open.push({ node, since: now, reading, readAt, endsAt: readAt + run })
  return { reading, readAt }
}

function normal (random: Random): number {
  return Math.sqrt(-2 * Math.log(1 - random.fraction())) * Math.cos(2 * Math.PI * random.fraction())
}

function mean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

function halfInterval (values: readonly number[]): number {
  const centre = mean(values)
  const variance = values.reduce((sum, value) => sum + (value - centre) ** 2, 0) / (values.length - 1)
  return INTERVAL * Math.sqrt(variance / values.length)
}

function percent (share: number): string {
  return (share * 100).toFixed(2)
}
