/** The planner's decisions and the ways of buying that they are measured against. */
import { emptyDesiredState, emptyLearned, neededWork, recordRefusal, clearRefusal, observeReclaims, offerKey, plan, startOrderFor, withCapacity, withDemand, withRecomputed } from '../../src/capacity/index.js'
import type { DesiredState, Learned, Offer, OfferKey } from '../../src/capacity/index.js'
import { MINUTE } from '../../src/clock.js'
import type { InstanceName } from '../../src/identifiers.js'
import { createRandom } from '../../src/random.js'
import type { BenchDeployment } from './deployments.js'
import { orderFor } from './simulation.js'
import type { Look, Policy } from './simulation.js'

/** Counts that a simple policy wants. */
type Wish = ReadonlyMap<OfferKey, { readonly offer: Offer, readonly count: number }>

const MOST_ROUNDS = 6
const LEAD = 5 * MINUTE

/**
 * The planner's decisions.
 *
 * @example
 * const outcome = await simulate(calcaria, 1, planner(calcaria, 1))
 */
export function planner (deployment: BenchDeployment, seed: number): Policy {
  const random = createRandom(seed + 3_000)
  const service = deployment.configuration.services[0]!
  const domains = deployment.zones.length
  const released = new Set<InstanceName>()
  const ended = new Set<InstanceName>()
  let state: DesiredState = emptyDesiredState()
  let learned: Learned = emptyLearned(0)
  // Every policy is told what a machine class serves; the planner adds a lost domain's load to what was seen.
  for (const { name, tokensPerSecond } of deployment.machineClasses) {
    learned = withCapacity(learned, service.name, name, { highest: tokensPerSecond * (domains - 1) / domains, weight: 0, running: 0, interval: 0, runningSquared: 0, product: 0 })
  }

  return (look) => {
    learned = { ...withDemand(learned, service.name, look.demand), reclaims: observeReclaims(learned.reclaims, look.now, look.reclaims.map(({ zone, reclaimable, reclaimed }) => ({ failureDomain: zone.failureDomain, reclaimable, reclaimed }))) }
    const lost = look.reclaims.flatMap((one) => one.lostWork)
    learned = withRecomputed(learned, service.name, look.recomputed, lost)
    for (let round = 0; round < MOST_ROUNDS; round += 1) {
      const fleet = { instances: look.cloud.list('bench'), serving: look.serving, idle: new Set(state.slots.map((slot) => slot.name)), released, ended }
      state = plan({ configuration: deployment.configuration, state, learned, offersFor: () => look.offers, fleet, now: look.now, fencing: 1, reportedGeneration: 0 }).state
      if (!startAll(look)) break
    }
    for (const slot of state.slots.filter((one) => one.state === 'released')) {
      look.cloud.release(slot.name)
      released.add(slot.name)
    }
  }

  /** @returns whether an offer refused */
  function startAll (look: Look): boolean {
    const present = new Set(look.cloud.list('bench').map((instance) => instance.name))
    const refused = new Set<OfferKey>()
    for (const slot of state.slots) {
      const key = offerKey(slot.offer)
      if (slot.state !== 'wanted' || slot.started || present.has(slot.name) || ended.has(slot.name) || refused.has(key)) continue
      const answer = look.cloud.start(startOrderFor(slot, 'bench'))
      if (answer.kind === 'ended') ended.add(slot.name)
      if (answer.kind === 'started') learned = { ...learned, refusals: clearRefusal(learned.refusals, key) }
      if (answer.kind !== 'refused') continue
      refused.add(key)
      learned = { ...learned, refusals: recordRefusal(learned.refusals, key, look.now, random) }
    }
    return refused.size > 0
  }
}

/**
 * On-demand machines of the class that serves most for its price.
 *
 * @param spare whether the loss of a whole zone is survived
 * @example
 * const outcome = await simulate(calcaria, 1, onDemand(calcaria, false))
 */
export function onDemand (deployment: BenchDeployment, spare: boolean): Policy {
  return simple(deployment, (look) => spread(deployment, look, 'on-demand', spare))
}

/**
 * Reclaimable machines in the zone and of the class that are cheapest now; the next zone when it refuses.
 *
 * @example
 * const outcome = await simulate(calcaria, 1, cheapestZone(calcaria))
 */
export function cheapestZone (deployment: BenchDeployment): Policy {
  return simple(deployment, (look, refused) => {
    const sold = look.offers.filter((offer) => offer.market === 'reclaimable' && !refused.has(offerKey(offer)))
    const offer = cheapest(deployment, sold)
    if (offer === undefined) return new Map()
    return new Map([[offerKey(offer), { offer, count: Math.ceil(needOf(look) / workOf(deployment, offer)) }]])
  })
}

/**
 * Reclaimable machines spread evenly over the zones, in each of the class that is cheapest there.
 *
 * @param spare whether the loss of a whole zone is survived
 * @example
 * const outcome = await simulate(calcaria, 1, evenSpread(calcaria, true))
 */
export function evenSpread (deployment: BenchDeployment, spare: boolean): Policy {
  return simple(deployment, (look) => spread(deployment, look, 'reclaimable', spare))
}

function spread (deployment: BenchDeployment, look: Look, market: Offer['market'], spare: boolean): Wish {
  const zones = deployment.zones
  const share = needOf(look) / (spare ? zones.length - 1 : zones.length)
  const wishes = zones.flatMap((zone) => {
    const offer = cheapest(deployment, look.offers.filter((one) => one.market === market && one.failureDomain === zone.failureDomain))
    return offer === undefined ? [] : [{ offer, count: Math.ceil(share / workOf(deployment, offer)) }]
  })
  return new Map(wishes.map((wish) => [offerKey(wish.offer), wish]))
}

/** Brings the fleet to a wish: starts what is missing, gives back what is not wished once the rest carries the need. */
function simple (deployment: BenchDeployment, wishOf: (look: Look, refused: ReadonlySet<OfferKey>) => Wish): Policy {
  let number = 0
  return (look) => {
    const refused = new Set<OfferKey>()
    for (let round = 0; round < MOST_ROUNDS; round += 1) {
      const refusals = refused.size
      const wish = wishOf(look, refused)
      for (const [key, { offer, count }] of wish) {
        const present = look.cloud.list('bench').filter((one) => one.state !== 'reclaiming' && offerKey(one) === key).length
        for (let missing = count - present; missing > 0 && !refused.has(key); missing -= 1) {
          if (look.cloud.start(orderFor(offer, `simple-${number += 1}`)).kind === 'refused') refused.add(key)
        }
      }
      if (refused.size === refusals) return giveBack(deployment, look, wish)
    }
  }
}

function giveBack (deployment: BenchDeployment, look: Look, wish: Wish): void {
  const live = look.instances.filter((one) => one.state === 'live')
  const left = new Map([...wish].map(([key, { count }]) => [key, count]))
  let carried = live.reduce((sum, one) => sum + workOf(deployment, one), 0)
  for (const instance of look.instances) {
    const key = offerKey(instance)
    const allowed = left.get(key) ?? 0
    left.set(key, allowed - 1)
    if (allowed > 0 || carried - workOf(deployment, instance) < needOf(look)) continue
    if (instance.state === 'live') carried -= workOf(deployment, instance)
    look.cloud.release(instance.name)
  }
}

function needOf (look: Look): number {
  return neededWork(look.demand, { quantile: 0.95, leadTime: LEAD })
}

function cheapest (deployment: BenchDeployment, offers: readonly Offer[]): Offer | undefined {
  const price = (offer: Offer): number => offer.pricePerHour / workOf(deployment, offer)
  return [...offers].sort((left, right) => price(left) - price(right))[0]
}

function workOf (deployment: BenchDeployment, machine: { machineClass: string }): number {
  return deployment.machineClasses.find((one) => one.name === machine.machineClass)?.tokensPerSecond ?? 0
}
