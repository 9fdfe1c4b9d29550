/**
 * Warm-up of a gateway process for its code cache: stand-ins serve the process and send it requests of
 * each kind, so that V8 compiles the functions that requests use.
 */
import { mkdtempSync, writeFileSync } from 'node:fs'
import { request as sendRequest } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { HEADER, NODE_PATH, STORE_KEY } from '../../platform/names.js'
import { createSystemClock } from '../../src/clock.js'
import type { Milliseconds } from '../../src/clock.js'
import { createRandom } from '../../src/random.js'
import { findFreePorts } from '../free-ports.js'
import { serveDutyApi } from './duty-api.js'
import { serveMetadataStore } from './metadata-store.js'
import { serveUpstream } from './upstream.js'

/** Prepared warm-up of a gateway process that has not started yet. */
export interface Rehearsal {
  /** Path of the settings file for the process. */
  readonly settingsFile: string
  /** Waits until the process serves, then sends the requests. @returns the number of answers with status 200 */
  play (): Promise<number>
}

const HOST = 'api.example'
const LOOPBACK = '127.0.0.1'
const KINDS = ['non_idempotent', 'idempotent', 'streaming'] as const

/** After this many calls V8 has compiled a function but has not optimised it yet. */
const REQUESTS_PER_KIND = 40

/** Interval between checks whether the process serves. */
const POLL_INTERVAL: Milliseconds = 20

/**
 * Starts the stand-ins and writes the settings file. The servers run until the process exits.
 *
 * @example
 * const rehearsal = await prepareRehearsal()
 */
export async function prepareRehearsal (): Promise<Rehearsal> {
  const clock = createSystemClock()
  const [front, ready, directory, peers, metrics] = await findFreePorts(5) as [number, number, number, number, number]
  const store = await serveMetadataStore(clock, createRandom(1))
  const api = await serveDutyApi(clock, createRandom(2))
  store.store.put(STORE_KEY.configuration, JSON.stringify(configuration()))
  for (const service of ['plain', 'model']) {
    const upstream = await serveUpstream({ id: `rehearsed-${service}`, clock })
    store.store.put(STORE_KEY.upstreams + upstream.id, JSON.stringify({ service, address: upstream.address, zone: 'zone-a', slots: 6, state: 'ready', sequence: 1 }))
  }
  const settingsFile = join(mkdtempSync(join(tmpdir(), 'hornbeamgap-')), 'settings.toml')
  writeFileSync(settingsFile, [
    'nodeName = "rehearsed"',
    `ip = "${LOOPBACK}"`,
    'zone = "zone-a"',
    `internalPorts = [${peers}, ${metrics}]`,
    'bootstrap = true',
    `listen = { front = "${LOOPBACK}:${front}", ready = "${LOOPBACK}:${ready}", directory = "${LOOPBACK}:${directory}" }`,
    'limits = { maxFds = 4100 }',
    `platform = { address = "${store.address}" }`,
    `cloudApi = { address = "${api.address}", duties = ["usage", "autoscale"] }`
  ].join('\n'))

  async function play (): Promise<number> {
    const statusOf = (port: number, path: string): Promise<number> => send(port, path, 'idempotent', 'probe').catch(() => 0)
    while (await statusOf(ready, NODE_PATH.ready) !== 200 || await statusOf(front, '/idempotent/x') !== 200) await clock.sleep(POLL_INTERVAL)
    await send(directory, `${NODE_PATH.directory}?name=${HOST}&region=region&zone=zone-a`, 'idempotent', 'directory')
    let answered = 0
    for (let index = 0; index < REQUESTS_PER_KIND; index += 1) {
      for (const kind of KINDS) {
        if (await send(front, `/${kind}/x`, kind, `${kind}-${index}`) === 200) answered += 1
      }
    }
    return answered
  }

  return { settingsFile, play }
}

function configuration (): object {
  return {
    version: 1,
    routes: KINDS.map((kind) => ({ name: kind, host: HOST, prefix: `/${kind}/`, kind, timeoutMs: 3_000, targetLatencyMs: 1_000, service: kind === 'streaming' ? 'model' : 'plain', maxAttempts: 2 })),
    services: [{ name: 'plain', maxConns: 100 }, { name: 'model', maxConns: 100, engine: { slots: 64, moves: true }, scaling: { minReplicas: 1, maxReplicas: 3, bootTimeS: 4, spotPrice: 0.2, zonePrices: { 'zone-a': 1 } } }],
    tenants: [{ name: 'rehearsal', apiKeys: ['key'], unit: 'tokens', plainTokens: 200, ratePerS: 1_000_000, burst: 1_000_000 }]
  }
}

/** Sends a request and reads the response to its end. @returns the status code */
function send (port: number, path: string, kind: typeof KINDS[number], id: string): Promise<number> {
  return new Promise((resolve, reject) => {
    const headers: Record<string, string> = { host: HOST, [HEADER.requestId]: id, [HEADER.deadline]: '3000', [HEADER.key]: 'key' }
    if (kind === 'streaming') Object.assign(headers, { [HEADER.tokenUsage]: '1460,80', [HEADER.promptParts]: `5c1e07a2:800,91bd3f06:410,${Buffer.from(id).toString('hex')}:250` })
    const outgoing = sendRequest({ host: LOOPBACK, port, path, method: kind === 'idempotent' ? 'GET' : 'POST', headers }, (response) => {
      response.resume()
      response.on('end', () => resolve(response.statusCode ?? 0))
      response.on('error', reject)
    })
    outgoing.on('error', reject)
    outgoing.end(kind === 'idempotent' ? undefined : 'a body')
  })
}
