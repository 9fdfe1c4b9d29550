/** One look and what follows from it: learn, decide, write, order. */
import { describeEvent, desiredStateSchema, emptyDesiredState, emptyLearned, highestReported, learnedSchema, plan, plannerHistorySchema, withEvents } from '../capacity/index.js'
import type { CloudInstance, Plan, PlannerEvent } from '../capacity/index.js'
import type { Milliseconds } from '../clock.js'
import { HOUR, MINUTE, SECOND } from '../clock.js'
import type { Configuration } from '../configuration/index.js'
import type { ServiceName } from '../identifiers.js'
import type { PlannerContext, Tenure } from './context.js'
import { createDemandReader } from './demand-reader.js'
import type { ServiceRates } from './demand-reader.js'
import { orderEngines } from './engine-orders.js'
import type { ServiceNeed } from './engine-orders.js'
import { mayAct, ORDER_MARGIN, releaseUnwanted, startWanted } from './instance-orders.js'
import { DESIRED_STATE_KEY, HISTORY_KEY, LEARNED_KEY, LEAVING_KEY } from './keys.js'
import { learn } from './learning.js'
import { askEngines, fleetOf, observe, offersFor } from './observation.js'
import type { Observation } from './observation.js'
import { createStoredValue } from './stored-value.js'

/** The work of a planner. */
export interface PlannerCycle {
  /** Looks, decides and orders; does nothing without the lease. Rejects when the platform cannot be had. */
  run (): Promise<void>
  /** Looks again at engines that are not settled; between two runs. */
  followUp (): Promise<void>
}

/** What was learnt is written this often. */
const LEARNED_PERIOD: Milliseconds = MINUTE

/** Nodes write their reports no faster than this, so they are not read more often either. */
const DEMAND_PERIOD: Milliseconds = 30 * SECOND

/** Time until the engines are looked at again. */
export const FOLLOW_UP_PERIOD: Milliseconds = SECOND

/** Refusals followed by another decision within one run. */
const MOST_ROUNDS = 6

/** Cost is counted for at most this long at a time; a longer gap is left as a gap. */
const LONGEST_COUNTED: Milliseconds = HOUR

/**
 * @example
 * const cycle = createPlannerCycle(context)
 * await cycle.run()
 */
export function createPlannerCycle (context: PlannerContext): PlannerCycle {
  const { keyValue, clock, log, leadership, signal } = context
  const demand = createDemandReader(keyValue, clock.wall)
  const desired = createStoredValue(keyValue, DESIRED_STATE_KEY, desiredStateSchema)
  const learnedValue = createStoredValue(keyValue, LEARNED_KEY, learnedSchema)
  const historyValue = createStoredValue(keyValue, HISTORY_KEY, plannerHistorySchema)
  let tenure: Tenure | undefined
  let needs: readonly ServiceNeed[] = []
  let leaving: string | undefined
  let demandReadAt: Milliseconds | undefined

  /** The tenure of the lease as it is held now, with what the last holder left. */
  async function currentTenure (): Promise<Tenure | undefined> {
    const lease = leadership.held(ORDER_MARGIN)
    if (lease === undefined) return undefined
    if (tenure?.fencing === lease.fencing) return tenure
    const now = clock.now()
    return {
      fencing: lease.fencing,
      heldSince: now,
      state: emptyDesiredState(),
      learned: await learnedValue.read(signal) ?? emptyLearned(clock.wall()),
      learnedAt: now,
      history: await historyValue.read(signal) ?? { events: [] },
      sent: new Map(),
      released: new Set(),
      ended: new Set(),
      listed: [],
      engines: new Map(),
      unsettled: new Set(),
      answered: new Map(),
      storeStatus: undefined,
      told: new Map()
    }
  }

  async function run (): Promise<void> {
    tenure = await currentTenure()
    if (tenure === undefined) return
    const configuration = await context.configuration()
    if (configuration === undefined) return
    const state = await desired.read(signal) ?? emptyDesiredState()
    // A newer holder has written: this lease is over, whatever this process's clock says.
    if (state.fencing > tenure.fencing) return
    tenure.state = state
    const observation = await observe(context, tenure)
    const rates = await readDemand(configuration)
    const events = await decide(tenure, configuration, observation, (after) => {
      if (tenure !== undefined) tenure.learned = learn(tenure.learned, { configuration, rates, engines: tenure.engines.values(), before: state, after, now: clock.wall() })
    })
    events.push(...await releaseUnwanted(context, tenure, observation.cloudInstances))
    tenure.unsettled = await orderEngines(context, tenure, needs, FOLLOW_UP_PERIOD)
    await writeLeaving(tenure)
    await writeLearned(tenure, observation)
    await tell(tenure, events)
  }

  /** Rates since the last reading; none between two readings. */
  async function readDemand (configuration: Configuration): Promise<ReadonlyMap<ServiceName, ServiceRates>> {
    if (demandReadAt !== undefined && clock.now() - demandReadAt < DEMAND_PERIOD) return new Map()
    demandReadAt = clock.now()
    return demand.read(configuration, signal)
  }

  /** Decides and starts, again as long as offers refuse. */
  async function decide (held: Tenure, configuration: Configuration, observation: Observation, learnFrom: (after: Plan['state']) => void): Promise<PlannerEvent[]> {
    const events: PlannerEvent[] = []
    let instances: readonly CloudInstance[] = observation.cloudInstances
    for (let round = 0; round < MOST_ROUNDS; round += 1) {
      const decision = decideOnce(held, configuration, { ...observation, cloudInstances: instances })
      if (decision.state !== held.state && !(await desired.write(decision.state, signal))) break
      held.state = decision.state
      if (round === 0) learnFrom(decision.state)
      events.push(...decision.events, ...changesOf(held, decision))
      needs = decision.needs
      const result = await startWanted(context, held, instances)
      events.push(...result.events)
      instances = [...instances, ...result.started]
      if (result.events.length === 0) break
    }
    return events
  }

  function decideOnce (held: Tenure, configuration: Configuration, observation: Observation): Plan {
    return plan({
      configuration,
      state: held.state,
      learned: held.learned,
      offersFor: (service) => offersFor(context, observation, service),
      fleet: fleetOf(context, held, observation),
      now: clock.wall(),
      fencing: held.fencing,
      reportedGeneration: highestReported([...held.engines.values()])
    })
  }

  /** What holds until it changes is told once: which target gives, and which loss is not survived. */
  function changesOf (held: Tenure, decision: Plan): PlannerEvent[] {
    const events: PlannerEvent[] = [{ kind: 'targets', ...decision.outcome }]
    for (const { service, unsurvivable } of decision.needs) {
      events.push({ kind: 'not-survivable', service: service.name, losses: unsurvivable.map((loss) => [...loss.failureDomains]) })
    }
    return events.filter((event) => isNews(held, event))
  }

  async function writeLeaving (held: Tenure): Promise<void> {
    const names = held.state.slots.filter((slot) => slot.state === 'leaving').map((slot) => slot.name)
    const text = JSON.stringify({ instances: names })
    if (text === leaving || !mayAct(context, held)) return
    await keyValue.put(LEAVING_KEY, text, { signal })
    leaving = text
  }

  /** The value's compare-and-swap decides which planner counts the cost of the time since the last one. */
  async function writeLearned (held: Tenure, observation: Observation): Promise<void> {
    const now = clock.wall()
    if (clock.now() - held.learnedAt < LEARNED_PERIOD) return
    held.learnedAt = clock.now()
    const { countedUntil } = held.learned
    held.learned = { ...held.learned, countedUntil: now }
    if (!(await learnedValue.write(held.learned, signal))) {
      await learnedValue.read(signal)
      return
    }
    const hours = Math.min(LONGEST_COUNTED, Math.max(0, now - countedUntil)) / HOUR
    for (const instance of observation.cloudInstances) {
      const offer = observation.offers.find((one) => one.failureDomain === instance.failureDomain && one.machineClass === instance.machineClass && one.market === instance.market)
      context.ledger?.spent(instance.service, (offer?.pricePerHour ?? 0) * hours)
    }
  }

  async function tell (held: Tenure, events: readonly PlannerEvent[]): Promise<void> {
    if (events.length === 0) return
    for (const event of events) log.info(`planner-${event.kind}`, { what: describeEvent(event) })
    held.history = withEvents(held.history, events, clock.wall())
    if (!(await historyValue.write(held.history, signal))) held.history = await historyValue.read(signal) ?? { events: [] }
  }

  async function followUp (): Promise<void> {
    const held = tenure
    if (held === undefined || !mayAct(context, held)) return
    await askEngines(context, held, held.listed.filter(({ role }) => role.kind === 'upstream' && held.unsettled.has(role.upstream)))
    held.unsettled = await orderEngines(context, held, needs, FOLLOW_UP_PERIOD)
  }

  return { run, followUp }
}

function isNews (held: Tenure, event: PlannerEvent): boolean {
  const { topic, text, initial } = topicOf(event)
  const known = held.told.get(topic) ?? initial
  held.told.set(topic, text)
  return known !== text
}

function topicOf (event: PlannerEvent): { topic: string, text: string, initial: string } {
  if (event.kind === 'targets') return { topic: 'targets', text: event.gives, initial: 'nothing' }
  if (event.kind === 'not-survivable') return { topic: `losses/${event.service}`, text: JSON.stringify(event.losses), initial: '[]' }
  return { topic: event.kind, text: JSON.stringify(event), initial: '' }
}
