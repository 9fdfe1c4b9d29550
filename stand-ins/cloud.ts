/** HTTP server and in-process client of the cloud stand-in. */
import { startOrderSchema } from '../src/capacity/index.js'
import type { Offer } from '../src/capacity/index.js'
import type { Clock, Milliseconds } from '../src/clock.js'
import { SECOND } from '../src/clock.js'
import { instanceNameSchema } from '../src/identifiers.js'
import type { Cloud } from '../src/protocols/cloud.js'
import type { Random } from '../src/random.js'
import { createCloudState } from './cloud-state.js'
import type { CloudEvents, CloudState } from './cloud-state.js'
import { createFaultSwitch } from './faults.js'
import type { FaultSwitch } from './faults.js'
import { serveStandIn, StandInFailure } from './http-server.js'
import type { StandInCall, StandInServer } from './http-server.js'

/** A running cloud stand-in. */
export interface CloudStandIn extends StandInServer {
  readonly state: CloudState
  readonly faultSwitch: FaultSwitch
}

/** Options of the cloud stand-in. */
export interface CloudOptions {
  readonly port: number
  readonly clock: Clock
  readonly random: Random
  readonly offers: readonly Offer[]
  /** Time from a start order until the instance is live. */
  readonly startTime: Milliseconds
  readonly events?: CloudEvents
}

/** Interval at which the state follows the clock without a call. */
const UPDATE_PERIOD: Milliseconds = SECOND / 10

/**
 * Starts a cloud stand-in.
 *
 * @example
 * const cloud = await serveCloud({ port: 0, clock, random, offers, startTime: 0 })
 * cloud.state.reclaimDomain(failureDomain, 5 * SECOND)
 */
export async function serveCloud (options: CloudOptions): Promise<CloudStandIn> {
  const state = createCloudState(options)
  const faultSwitch = createFaultSwitch(options.clock, options.random)
  const server = await serveStandIn(options.port, options.clock, faultSwitch, (call) => handle(state, call))
  const updateTimer = setInterval(() => state.updateToNow(), UPDATE_PERIOD)
  updateTimer.unref()
  return {
    ...server,
    state,
    faultSwitch,
    kill: () => {
      clearInterval(updateTimer)
      return server.kill()
    }
  }
}

/**
 * Creates an in-process client of the stand-in, without a network.
 *
 * @example
 * const offers = await createInProcessCloud(state).offers()
 */
export function createInProcessCloud (state: CloudState): Cloud {
  return {
    offers: async () => state.offers(),
    start: async (order) => state.start(order),
    release: async (name) => state.release(name),
    list: async (group) => state.list(group),
    notices: async (after) => state.notices(after)
  }
}

function handle (state: CloudState, call: StandInCall): unknown {
  const [, collection, name] = call.path.split('/')
  if (call.method === 'GET' && collection === 'offers') return { offers: state.offers() }
  if (call.method === 'GET' && collection === 'notices') return state.notices(Number(call.query.get('after') ?? 0))
  if (collection !== 'instances') throw new StandInFailure(404, { error: { message: 'no such call', verdict: 'not-run' } })
  if (call.method === 'GET') return { instances: state.list(call.query.get('group') ?? '') }
  if (call.method === 'PUT') return state.start(startOrderSchema.parse(JSON.parse(call.body.toString('utf8'))))
  state.release(instanceNameSchema.parse(name))
  return {}
}
