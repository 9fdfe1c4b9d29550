/** Stand-in of the platform's API for usage reports and orders. Calls with a stale fencing number are refused. */
import { DUTY_PATH, HEADER } from '../../platform/names.js'
import type { Clock } from '../../src/clock.js'
import { parseJson } from '../../src/json.js'
import type { Random } from '../../src/random.js'
import { createFaultSwitch } from '../faults.js'
import type { FaultSwitch } from '../faults.js'
import { serveStandIn, StandInFailure } from '../http-server.js'
import type { StandInCall, StandInServer } from '../http-server.js'

/** An accepted call: its fencing number was not lower than the highest seen for its subject. */
export interface AcceptedCall {
  readonly holder: string
  readonly fencing: number
  readonly body: Readonly<Record<string, unknown>>
}

/** A running stand-in of the API. */
export interface DutyApiStandIn extends StandInServer {
  readonly faultSwitch: FaultSwitch
  readonly reports: readonly AcceptedCall[]
  readonly orders: readonly AcceptedCall[]
}

/**
 * Starts the API on a free port.
 *
 * @example
 * const api = await serveDutyApi(clock, random)
 */
export async function serveDutyApi (clock: Clock, random: Random): Promise<DutyApiStandIn> {
  const faultSwitch = createFaultSwitch(clock, random)
  const reports: AcceptedCall[] = []
  const orders: AcceptedCall[] = []
  const highestFencing = new Map<string, number>()

  function accept (subject: string, call: StandInCall, accepted: AcceptedCall[]): object {
    const fencing = Number(call.headers[HEADER.fencing])
    if (fencing < (highestFencing.get(subject) ?? 0)) throw new StandInFailure(409, { error: 'a higher fence was seen' })
    highestFencing.set(subject, fencing)
    accepted.push({ holder: String(call.headers[HEADER.dutyHolder]), fencing, body: parseJson(call.body.toString('utf8')) as Record<string, unknown> })
    return {}
  }

  const server = await serveStandIn(0, clock, faultSwitch, (call) => {
    switch (call.path) {
      case DUTY_PATH.usage: return accept(DUTY_PATH.usage, call, reports)
      case DUTY_PATH.order: {
        const { service, zone } = parseJson(call.body.toString('utf8')) as { service: string, zone: string }
        return accept(`${service}/${zone}`, call, orders)
      }
      default: throw new StandInFailure(404, { error: 'no such call' })
    }
  })
  return { ...server, faultSwitch, reports, orders }
}
