/** Measures what requests of one kind cost a gateway process. */
import { Agent, request as sendRequest } from 'node:http'
import { HEADER } from '../../platform/names.js'
import type { Clock, Milliseconds } from '../../src/clock.js'
import { createMachineDeployment } from '../../stand-ins/machines/deployment.js'
import { serveUpstream } from '../../stand-ins/machines/upstream.js'
import { startGatewayProcess } from './gateway.js'
import { countInstructions } from './instructions.js'
import type { Usage } from './gateway.js'

/** A kind of request. */
export interface RequestKind {
  readonly name: string
  /** Number of events of the answer; 0 for an answer that is no stream. */
  readonly events: number
}

/** What the requests of one kind have cost in one process. */
export interface RequestCost {
  /** Processor time per request of the first {@link FIRST_REQUESTS}. */
  readonly first: Milliseconds
  /** Processor time per request of the {@link LATER_REQUESTS} after them. */
  readonly later: Milliseconds
  /** Instructions outside of the kernel per request of the first, in millions; undefined where they cannot be counted. */
  readonly firstInstructions: number | undefined
  /** The same of the later requests. */
  readonly laterInstructions: number | undefined
  /** Counts per later request. */
  readonly counts: Readonly<Record<string, number>>
  readonly warnings: readonly string[]
  /** Requests without a complete answer of status 200. */
  readonly failed: number
}

/** Kinds of requests that are measured. */
export const REQUEST_KINDS: readonly RequestKind[] = [
  { name: 'plain', events: 0 },
  { name: 'stream of 1 event', events: 1 },
  { name: 'stream of 10 events', events: 10 }
]

export const FIRST_REQUESTS = 100
export const LATER_REQUESTS = 200

/** Interval between two requests. The log writes each line of a kind up to 25 times a second. */
const INTERVAL: Milliseconds = 40

/** Pause before each event, so that each arrives by itself as from an engine. */
const EVENT_PAUSE: Milliseconds = 4

/** Time from the readiness of the node to the first request, in which it reads the upstreams. */
const SETTLING_TIME: Milliseconds = 300

const HOST = 'api.example'
const BODY = 'x'.repeat(200)

/**
 * Sends requests of one kind to a new gateway process and reads what each of them cost.
 *
 * @example
 * const { first, later } = await measureRequests(clock, 'deploy/gateway.cjs', REQUEST_KINDS[0]!, false)
 */
export async function measureRequests (clock: Clock, program: string, kind: RequestKind, counting: boolean): Promise<RequestCost> {
  const deployment = await createMachineDeployment(clock)
  const isStream = kind.events > 0
  const upstreams = await Promise.all(['u-1', 'u-2'].map((id) => serveUpstream({ id, clock, events: kind.events, pause: EVENT_PAUSE })))
  deployment.configure(configuration())
  for (const upstream of upstreams) deployment.register(upstream, { service: isStream ? 'model' : 'plain', slots: isStream ? 16 : 6 })
  const agent = new Agent({ keepAlive: true })
  const gateway = await startGatewayProcess({ program, name: 'node-1', deployment, clock, counting })
  try {
    await clock.sleep(SETTLING_TIME)
    let failed = 0
    const sendAll = async (count: number, prefix: string): Promise<void> => {
      const start = clock.now()
      await Promise.all(Array.from({ length: count }, async (_, index) => {
        await clock.sleep(Math.max(0, start + index * INTERVAL - clock.now()))
        const isComplete = await sendOne(agent, gateway.frontPort, isStream, `${prefix}-${index}`)
        if (!isComplete) failed += 1
      }))
    }
    const measure = async (count: number, prefix: string): Promise<{ before: Usage, after: Usage, instructions: number | undefined }> => {
      const stopCounting = await countInstructions(clock, gateway.pid)
      const before = await gateway.usage()
      await sendAll(count, prefix)
      const after = await gateway.usage()
      const instructions = await stopCounting()
      return { before, after, instructions: instructions === undefined ? undefined : instructions / count }
    }
    const first = await measure(FIRST_REQUESTS, 'first')
    const later = await measure(LATER_REQUESTS, 'later')
    return {
      first: (first.after.processor - first.before.processor) / FIRST_REQUESTS,
      later: (later.after.processor - later.before.processor) / LATER_REQUESTS,
      firstInstructions: first.instructions,
      laterInstructions: later.instructions,
      counts: countsPerRequest(later.before, later.after),
      warnings: later.after.warnings,
      failed
    }
  } finally {
    await gateway.stop()
    agent.destroy()
    await deployment.close()
    await Promise.all(upstreams.map((upstream) => upstream.close()))
  }
}

function countsPerRequest (before: Usage, after: Usage): Record<string, number> {
  return Object.fromEntries(Object.entries(after.counts).map(([name, count]) => [name, (count - (before.counts[name] ?? 0)) / LATER_REQUESTS]))
}

function configuration (): object {
  const route = (name: string, kind: string, service: string): object => ({ name, host: HOST, prefix: `/${name}/`, kind, timeoutMs: 3_000, targetLatencyMs: 1_000, service, maxAttempts: 2 })
  return {
    version: 1,
    routes: [route('plain', 'idempotent', 'plain'), route('model', 'streaming', 'model')],
    services: [{ name: 'plain', maxConns: 100 }, { name: 'model', maxConns: 100, engine: { slots: 16, moves: true } }],
    tenants: [{ name: 'tenant-1', apiKeys: ['key-1'], unit: 'tokens', plainTokens: 200, ratePerS: 1_000_000, burst: 1_000_000 }]
  }
}

/** Sends a request. @returns whether its answer arrived completely and has the status 200 */
function sendOne (agent: Agent, port: number, isStream: boolean, id: string): Promise<boolean> {
  return new Promise((resolve) => {
    const headers: Record<string, string> = { host: HOST, [HEADER.requestId]: id, [HEADER.deadline]: '3000', [HEADER.key]: 'key-1', 'content-type': 'application/json', 'user-agent': 'request-cost', accept: '*/*' }
    if (isStream) Object.assign(headers, { [HEADER.tokenUsage]: '1460,80', [HEADER.promptParts]: `5c1e07a2:800,91bd3f06:410,${Buffer.from(id).toString('hex')}:250` })
    const outgoing = sendRequest({ agent, host: '127.0.0.1', port, path: isStream ? '/model/x' : '/plain/x', method: 'POST', headers }, (response) => {
      response.resume()
      response.on('end', () => resolve(response.statusCode === 200))
      response.on('error', () => resolve(false))
    })
    outgoing.on('error', () => resolve(false))
    outgoing.end(BODY)
  })
}
