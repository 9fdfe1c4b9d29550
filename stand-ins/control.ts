/** HTTP interface through which a person controls a running stand-in platform: upstreams, reclaims, faults, the ledger. */
import * as z from 'zod'
import type { Clock } from '../src/clock.js'
import { failureDomainSchema, instanceNameSchema, upstreamNameSchema } from '../src/identifiers.js'
import { createRandom } from '../src/random.js'
import { describeIssue } from '../src/settings.js'
import { createFaultSwitch } from './faults.js'
import { serveStandIn, StandInFailure } from './http-server.js'
import type { StandInCall, StandInServer } from './http-server.js'
import type { Platform } from './platform.js'

const reclaimSchema = z.union([
  z.strictObject({ instances: z.array(instanceNameSchema).min(1), notice_ms: z.number().nonnegative() }),
  z.strictObject({ failure_domain: failureDomainSchema, notice_ms: z.number().nonnegative() })
])

const faultValueSchema = z.union([z.boolean(), z.number(), z.null()])

const faultsSchema = z.strictObject({
  target: z.union([z.enum(['key-value', 'instance-list', 'cloud', 'weight-store']), upstreamNameSchema]),
  /** Names and values as in the faults of the stand-in. Null turns a fault off. */
  faults: z.record(z.string(), faultValueSchema)
})

/**
 * Serves the control interface on a loopback port.
 *
 * - `GET /upstreams`: for each upstream its name, address, instance, open requests and started requests.
 * - `GET /ledger`: number of runs of each order.
 * - `POST /reclaim` with `instances` or `failure_domain`, and `notice_ms`.
 * - `POST /faults` with `target` and `faults`.
 *
 * @example
 * const control = await serveControl({ port: 7105, platform, clock })
 */
export async function serveControl (options: { port: number, platform: Platform, clock: Clock }): Promise<StandInServer> {
  const { port, platform, clock } = options
  return serveStandIn(port, clock, createFaultSwitch(clock, createRandom(0)), (call) => handle(platform, call))
}

function handle (platform: Platform, call: StandInCall): object {
  switch (`${call.method} ${call.path}`) {
    case 'GET /upstreams': return { upstreams: upstreams(platform) }
    case 'GET /ledger': return { orders: platform.ledger.entries() }
    case 'POST /reclaim': return reclaim(platform, parse(reclaimSchema, call))
    case 'POST /faults': return switchFaults(platform, parse(faultsSchema, call))
    default: throw failure(404, 'no such call; there are GET /upstreams, GET /ledger, POST /reclaim and POST /faults')
  }
}

function upstreams ({ fleet }: Platform): object[] {
  const engines = fleet.engines().map((engine) => ({ name: engine.upstream, address: engine.address, instance: fleet.instanceOf(engine.upstream), open: engine.open(), started: engine.started.length }))
  const plain = fleet.plainServices().map((service) => ({ name: service.upstream, address: service.address, instance: fleet.instanceOf(service.upstream), open: service.open(), started: service.ran() }))
  return [...engines, ...plain]
}

function reclaim ({ cloud }: Platform, order: z.infer<typeof reclaimSchema>): object {
  if ('instances' in order) cloud.state.reclaim(order.instances, order.notice_ms)
  else cloud.state.reclaimDomain(order.failure_domain, order.notice_ms)
  return { notices: cloud.state.notices(0).notices.length }
}

function switchFaults (platform: Platform, order: z.infer<typeof faultsSchema>): object {
  const known = faultsOf(platform, order.target)
  for (const [name, value] of Object.entries(order.faults)) {
    const holder = known.find((candidate) => name in candidate)
    if (holder === undefined) throw failure(400, `${order.target} has no fault ${name}; there are ${known.flatMap(Object.keys).join(', ')}`)
    holder[name] = value ?? undefined
  }
  return { faults: Object.assign({}, ...known) }
}

type Faults = Record<string, unknown>

/** Fault objects of a stand-in: its own faults, where it has any, and its network faults. */
function faultsOf ({ keyValue, instanceList, cloud, weightStore, fleet }: Platform, target: string): Faults[] {
  switch (target) {
    case 'key-value': return [keyValue.faultSwitch.faults as unknown as Faults]
    case 'instance-list': return [instanceList.faultSwitch.faults as unknown as Faults]
    case 'cloud': return [cloud.faultSwitch.faults as unknown as Faults]
    case 'weight-store': return [weightStore.faultSwitch.faults as unknown as Faults]
  }
  const upstream = [...fleet.engines(), ...fleet.plainServices()].find((candidate) => candidate.upstream === target)
  if (upstream === undefined) throw failure(404, `no upstream ${target}; GET /upstreams lists them`)
  return [upstream.faults as unknown as Faults, upstream.faultSwitch.faults as unknown as Faults]
}

function parse<T> (schema: z.ZodType<T>, call: StandInCall): T {
  const result = schema.safeParse(parseJson(call.body.toString('utf8')))
  if (result.success) return result.data
  throw failure(400, result.error.issues.map(describeIssue).join('; '))
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    throw failure(400, 'malformed JSON')
  }
}

function failure (status: number, message: string): StandInFailure {
  return new StandInFailure(status, { error: { message, verdict: 'not-run' } })
}
