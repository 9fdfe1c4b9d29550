/**
 * A fluid model of one deployment: what the running instances can carry of the demand is answered
 * within target, the rest is not. Instances start and load in their time, reclaims take them back.
 */
import { startOrderSchema } from '../../src/capacity/index.js'
import type { CloudInstance, Demand, Offer } from '../../src/capacity/index.js'
import { observeDemand } from '../../src/capacity/index.js'
import { HOUR, MINUTE, SECOND } from '../../src/clock.js'
import type { Milliseconds } from '../../src/clock.js'
import type { InstanceName } from '../../src/identifiers.js'
import { createRandom } from '../../src/random.js'
import type { Random } from '../../src/random.js'
import { createCloudState } from '../../stand-ins/cloud-state.js'
import type { CloudState } from '../../stand-ins/cloud-state.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'
import { createMarket, demandAt } from './deployments.js'
import type { BenchDeployment, Zone } from './deployments.js'

/** What a policy sees at each step. */
export interface Look {
  readonly now: Milliseconds
  readonly offers: readonly Offer[]
  readonly cloud: CloudState
  readonly instances: readonly CloudInstance[]
  readonly serving: ReadonlySet<InstanceName>
  readonly demand: Demand
  /** Reclaims by zone since the last step, with the instances that ran. */
  readonly reclaims: readonly { readonly zone: Zone, readonly reclaimable: number, readonly reclaimed: number, readonly lostWork: readonly number[] }[]
  /** Tokens that these reclaims made engines compute again. */
  readonly recomputed: number
}

/** Starts and releases instances at each step. */
export type Policy = (look: Look) => void

/** What came of a policy on the measured day. */
export interface Outcome {
  readonly cost: number
  readonly answers: number
  readonly answersInTarget: number
  /** Least share of answers in target in any quarter of an hour. */
  readonly worstShare: number
  /** Share of the day at which the demand would be carried if any one zone failed as a whole. */
  readonly zoneToSpare: number
  readonly recomputedPerThousand: number
  readonly started: number
}

/** Time between two steps; a planner looks more often. */
const STEP: Milliseconds = 30 * SECOND

/** The first day is for learning; the second one is measured. */
const WARM_UP: Milliseconds = 24 * HOUR
const LENGTH: Milliseconds = 48 * HOUR

const START_TIME: Milliseconds = 2 * MINUTE
const NOTICE: Milliseconds = 20 * SECOND

/** The wave comes at the measured day's peak; afterwards its zone sells nothing reclaimable for a while. */
const WAVE_AT: Milliseconds = WARM_UP + 12 * HOUR
const DROUGHT: Milliseconds = 45 * MINUTE

const WINDOW: Milliseconds = 15 * MINUTE

/** Share of the demand that counts as all of it: demand moves by some per cent from step to step. */
const CARRIED = 0.95

/**
 * Runs one policy through two days.
 *
 * @example
 * const outcome = await simulate(calcaria, 1, evenSpread(calcaria))
 */
export async function simulate (deployment: BenchDeployment, seed: number, policy: Policy): Promise<Outcome> {
  const clock = createManualClock()
  const market = createMarket(deployment, createRandom(seed))
  const demandRandom = createRandom(seed + 1_000)
  const reclaimRandom = createRandom(seed + 2_000)
  const cloud = createCloudState({ clock, offers: market.offers(), startTime: START_TIME })
  const capacity = new Map(deployment.machineClasses.map((one) => [one.name, one.tokensPerSecond]))
  const droughts = new Map<Zone, Milliseconds>()
  const wanted = deployment.zones[seed % deployment.zones.length] as Zone
  let demand: Demand | undefined
  let totals = { cost: 0, answers: 0, answersInTarget: 0, generated: 0, recomputed: 0 }
  let window = { answers: 0, inTarget: 0 }
  let worstShare = 1
  let spared = 0
  let startedBefore = 0

  for (let now = 0; now < LENGTH; now += STEP) {
    market.step()
    cloud.setOffers(market.offers())
    const before = cloud.list('bench')
    const reclaims = reclaimStep(deployment, cloud, before, now === WAVE_AT ? wanted : undefined, capacity, reclaimRandom, (zone) => droughts.set(zone, now + DROUGHT))
    for (const [zone, until] of droughts) endDrought(deployment, cloud, zone, until, now, droughts)
    const tokens = demandAt(deployment, now, demandRandom)
    demand = observeDemand(demand, { at: now, requestsPerSecond: tokens / deployment.answerTokens, workPerSecond: tokens })
    const instances = cloud.list('bench')
    const serving = new Set(instances.filter((instance) => instance.state === 'live').map((instance) => instance.name))
    const lost = reclaims.flatMap((one) => one.lostWork).reduce((sum, work) => sum + work, 0)
    const recomputed = recomputedBy(deployment, lost, workOf(before, capacity), tokens)
    policy({ now, recomputed, offers: cloud.offers(), cloud, instances, serving, demand, reclaims })
    await clock.advance(STEP)
    if (now === WARM_UP) startedBefore = cloud.startedOrders().length
    if (now < WARM_UP) continue

    const live = cloud.list('bench').filter((instance) => instance.state === 'live')
    const carried = workOf(live, capacity)
    const answers = tokens * STEP / SECOND / deployment.answerTokens
    const inTarget = answers * Math.min(1, carried / tokens)
    totals = {
      cost: totals.cost + costOf(cloud) * STEP / HOUR,
      answers: totals.answers + answers,
      answersInTarget: totals.answersInTarget + inTarget,
      generated: totals.generated + inTarget * deployment.answerTokens,
      recomputed: totals.recomputed + recomputed
    }
    if (carried - largestZone(live, capacity) >= tokens * CARRIED) spared += 1
    window = { answers: window.answers + answers, inTarget: window.inTarget + inTarget }
    if ((now + STEP) % WINDOW !== 0) continue
    worstShare = Math.min(worstShare, window.inTarget / window.answers)
    window = { answers: 0, inTarget: 0 }
  }
  return {
    cost: totals.cost,
    answers: totals.answers,
    answersInTarget: totals.answersInTarget,
    worstShare,
    zoneToSpare: spared * STEP / (LENGTH - WARM_UP),
    recomputedPerThousand: 1_000 * totals.recomputed / totals.generated,
    started: cloud.startedOrders().length - startedBefore
  }
}

/**
 * An order for an instance with a name of its own.
 *
 * @example
 * look.cloud.start(orderFor(offer, 'spread-17'))
 */
export function orderFor (offer: Pick<Offer, 'failureDomain' | 'machineClass' | 'market'>, name: string) {
  return startOrderSchema.parse({ name, group: 'bench', service: 'plans', failureDomain: offer.failureDomain, machineClass: offer.machineClass, market: offer.market })
}

function reclaimStep (deployment: BenchDeployment, cloud: CloudState, instances: readonly CloudInstance[], wave: Zone | undefined, capacity: ReadonlyMap<string, number>, random: Random, drought: (zone: Zone) => void): Look['reclaims'] {
  return deployment.zones.map((zone) => {
    const own = instances.filter((instance) => instance.failureDomain === zone.failureDomain && instance.market === 'reclaimable' && instance.state !== 'reclaiming')
    const isWave = random.fraction() < zone.wavesPerHour * STEP / HOUR || zone === wave
    if (isWave) drought(zone)
    // The draws do not depend on what runs, so that every policy meets the same weather.
    const draws = Array.from({ length: 64 }, () => random.fraction() < zone.reclaimsPerHour * STEP / HOUR)
    const taken = own.filter((_, index) => isWave || draws[index % draws.length])
    cloud.reclaim(taken.map((instance) => instance.name), NOTICE)
    return { zone, reclaimable: own.length, reclaimed: taken.length, lostWork: taken.map((one) => capacity.get(one.machineClass) ?? 0) }
  })
}

/** While a zone's drought lasts, it sells nothing reclaimable. */
function endDrought (deployment: BenchDeployment, cloud: CloudState, zone: Zone, until: Milliseconds, now: Milliseconds, droughts: Map<Zone, Milliseconds>): void {
  const room = now < until ? 0 : undefined
  for (const { name } of deployment.machineClasses) cloud.limitCapacity({ failureDomain: zone.failureDomain, machineClass: name, market: 'reclaimable' }, room)
  if (room === undefined) droughts.delete(zone)
}

function largestZone (live: readonly CloudInstance[], capacity: ReadonlyMap<string, number>): number {
  const zones = new Map<string, number>()
  for (const one of live) zones.set(one.failureDomain, (zones.get(one.failureDomain) ?? 0) + (capacity.get(one.machineClass) ?? 0))
  return Math.max(0, ...zones.values())
}

function costOf (cloud: CloudState): number {
  const prices = new Map(cloud.offers().map((offer) => [`${offer.failureDomain}/${offer.machineClass}/${offer.market}`, offer.pricePerHour]))
  return cloud.list('bench').reduce((sum, one) => sum + (prices.get(`${one.failureDomain}/${one.machineClass}/${one.market}`) ?? 0), 0)
}

function workOf (instances: readonly CloudInstance[], capacity: ReadonlyMap<string, number>): number {
  return instances.filter((one) => one.state === 'live').reduce((sum, one) => sum + (capacity.get(one.machineClass) ?? 0), 0)
}

/** Every stream of a lost instance is resumed elsewhere from its prompt and its tokens so far. */
function recomputedBy (deployment: BenchDeployment, lostWork: number, work: number, tokens: number): number {
  if (lostWork === 0 || work === 0) return 0
  const streams = Math.min(tokens, work) / deployment.answerTokens * deployment.answerTime / SECOND * Math.min(1, lostWork / work)
  return streams * (deployment.promptTokens + deployment.answerTokens / 2)
}
