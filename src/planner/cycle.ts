/**
 * One planning cycle: observes the fleet, learns from the observation, writes the next desired state and sends the
 * orders that follow from it.
 */
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
import { holdsLease, ORDER_MARGIN, releaseUnwanted, startWanted } from './instance-orders.js'
import { DESIRED_STATE_KEY, HISTORY_KEY, LEARNED_KEY, LEAVING_KEY } from './keys.js'
import { learn } from './learning.js'
import { queryEngines, fleetOf, observe, offersFor } from './observation.js'
import type { Observation } from './observation.js'
import { createStoredValue } from './stored-value.js'

/** Tasks of a planner. */
export interface PlannerCycle {
  /**
   * Runs one planning cycle. Does nothing if the lease is not held.
   *
   * @throws ServingError if the key-value service, the cloud or the instance list is unavailable
   */
  run (): Promise<void>
  /** Queries and orders engines that do not report the wanted state yet. Called between two cycles. */
  followUp (): Promise<void>
}

/** Pause between two writes of the learnt state. */
const LEARNED_WRITE_PERIOD: Milliseconds = MINUTE

/** Pause between two reads of the nodes' reports. Nodes do not write their reports more often than this. */
const DEMAND_READ_PERIOD: Milliseconds = 30 * SECOND

/** Pause between two queries of engines that do not report the wanted state yet. */
export const FOLLOW_UP_PERIOD: Milliseconds = SECOND

/** Maximum number of decisions in one cycle. Another decision is made only if an offer refused a start. */
const MAX_ROUNDS = 6

/** Maximum time for which the cost of instances is counted at once. The rest of a longer gap is not counted. */
const MAX_COUNTED_TIME: Milliseconds = HOUR

/**
 * Creates the tasks of a planner.
 *
 * @example
 * const cycle = createPlannerCycle(context)
 * await cycle.run()
 */
export function createPlannerCycle (context: PlannerContext): PlannerCycle {
  const { keyValue, clock, log, leadership, signal } = context
  const demandReader = createDemandReader(keyValue, clock.wall)
  const desiredValue = createStoredValue(keyValue, DESIRED_STATE_KEY, desiredStateSchema)
  const learnedValue = createStoredValue(keyValue, LEARNED_KEY, learnedSchema)
  const historyValue = createStoredValue(keyValue, HISTORY_KEY, plannerHistorySchema)
  let tenure: Tenure | undefined
  let needs: readonly ServiceNeed[] = []
  let writtenLeaving: string | undefined
  let demandReadAt: Milliseconds | undefined

  /** Returns the present tenure, or undefined without the lease. A new tenure starts from the stored learnt state. */
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
      learnedWrittenAt: now,
      history: await historyValue.read(signal) ?? { events: [] },
      sent: new Map(),
      released: new Set(),
      ended: new Set(),
      listedInstances: [],
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
    const state = await desiredValue.read(signal) ?? emptyDesiredState()
    // A newer lease holder has written the state. This lease has ended, even if this process's clock says otherwise.
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
    await reportEvents(tenure, events)
  }

  /** Reads the rates of the services. Returns an empty map until the next read is due. */
  async function readDemand (configuration: Configuration): Promise<ReadonlyMap<ServiceName, ServiceRates>> {
    if (demandReadAt !== undefined && clock.now() - demandReadAt < DEMAND_READ_PERIOD) return new Map()
    demandReadAt = clock.now()
    return demandReader.read(configuration, signal)
  }

  /** Decides on the desired state and starts instances. Repeats both if offers refuse starts. */
  async function decide (held: Tenure, configuration: Configuration, observation: Observation, learnFrom: (after: Plan['state']) => void): Promise<PlannerEvent[]> {
    const events: PlannerEvent[] = []
    let instances: readonly CloudInstance[] = observation.cloudInstances
    for (let round = 0; round < MAX_ROUNDS; round += 1) {
      const decision = decideOnce(held, configuration, { ...observation, cloudInstances: instances })
      if (decision.state !== held.state && !(await desiredValue.write(decision.state, signal))) break
      held.state = decision.state
      if (round === 0) learnFrom(decision.state)
      events.push(...decision.events, ...findChanges(held, decision))
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

  /** Events of lasting conditions that have changed: which targets are exceeded, and which losses cannot be survived. */
  function findChanges (held: Tenure, decision: Plan): PlannerEvent[] {
    const events: PlannerEvent[] = [{ kind: 'targets', ...decision.outcome }]
    for (const { service, unsurvivable } of decision.needs) {
      events.push({ kind: 'not-survivable', service: service.name, losses: unsurvivable.map((loss) => [...loss.failureDomains]) })
    }
    return events.filter((event) => recordIfChanged(held, event))
  }

  /** Writes the names of draining instances if they have changed. */
  async function writeLeaving (held: Tenure): Promise<void> {
    const names = held.state.slots.filter((slot) => slot.state === 'leaving').map((slot) => slot.name)
    const text = JSON.stringify({ instances: names })
    if (text === writtenLeaving || !holdsLease(context, held)) return
    await keyValue.put(LEAVING_KEY, text, { signal })
    writtenLeaving = text
  }

  /**
   * Writes the learnt state and counts the cost of instances since the last write. If several planners write, only the
   * one whose compare-and-swap succeeds counts the cost.
   */
  async function writeLearned (held: Tenure, observation: Observation): Promise<void> {
    const now = clock.wall()
    if (clock.now() - held.learnedWrittenAt < LEARNED_WRITE_PERIOD) return
    held.learnedWrittenAt = clock.now()
    const { countedUntil } = held.learned
    held.learned = { ...held.learned, countedUntil: now }
    if (!(await learnedValue.write(held.learned, signal))) {
      await learnedValue.read(signal)
      return
    }
    const hours = Math.min(MAX_COUNTED_TIME, Math.max(0, now - countedUntil)) / HOUR
    for (const instance of observation.cloudInstances) {
      const offer = observation.offers.find((candidate) => candidate.failureDomain === instance.failureDomain && candidate.machineClass === instance.machineClass && candidate.market === instance.market)
      context.ledger?.spent(instance.service, (offer?.pricePerHour ?? 0) * hours)
    }
  }

  /** Logs events and adds them to the stored history. */
  async function reportEvents (held: Tenure, events: readonly PlannerEvent[]): Promise<void> {
    if (events.length === 0) return
    for (const event of events) log.info(`planner-${event.kind}`, { what: describeEvent(event) })
    held.history = withEvents(held.history, events, clock.wall())
    if (!(await historyValue.write(held.history, signal))) held.history = await historyValue.read(signal) ?? { events: [] }
  }

  async function followUp (): Promise<void> {
    const held = tenure
    if (held === undefined || !holdsLease(context, held)) return
    await queryEngines(context, held, held.listedInstances.filter(({ role }) => role.kind === 'upstream' && held.unsettled.has(role.upstream)))
    held.unsettled = await orderEngines(context, held, needs, FOLLOW_UP_PERIOD)
  }

  return { run, followUp }
}

/** Records an event as the latest of its topic. Returns whether it differs from the previous one. */
function recordIfChanged (held: Tenure, event: PlannerEvent): boolean {
  const { topic, text, initial } = topicOf(event)
  const known = held.told.get(topic) ?? initial
  held.told.set(topic, text)
  return known !== text
}

/** Topic of an event, its text for comparison, and the text assumed before the first event. */
function topicOf (event: PlannerEvent): { topic: string, text: string, initial: string } {
  if (event.kind === 'targets') return { topic: 'targets', text: event.gives, initial: 'nothing' }
  if (event.kind === 'not-survivable') return { topic: `losses/${event.service}`, text: JSON.stringify(event.losses), initial: '[]' }
  return { topic: event.kind, text: JSON.stringify(event), initial: '' }
}
