/** A gateway process with stand-ins around it that answers some requests of each kind, so that its code is compiled. */
import { mkdtempSync, writeFileSync } from 'node:fs'
import { request as sendRequest } from 'node:http'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { HEADER, NODE_PATH, STORE_KEY } from '../../platform/names.js'
import { createSystemClock } from '../../src/clock.js'
import type { Milliseconds } from '../../src/clock.js'
import { createRandom } from '../../src/random.js'
import { serveDutyApi } from './duty-api.js'
import { serveMetadataStore } from './metadata-store.js'
import { serveUpstream } from './upstream.js'

/** A gateway process about to be started. */
export interface Rehearsal {
  /** Settings file that the process is to be started with. */
  readonly settingsFile: string
  /** Waits for the process and sends the requests. @returns the number of answers with status 200 */
  play (): Promise<number>
}

const HOST = 'api.example'
const LOOPBACK = '127.0.0.1'
const KINDS = ['non_idempotent', 'idempotent', 'streaming'] as const

/** Requests of each kind: functions that are called so often are compiled, and not yet optimised. */
const REQUESTS = 40

/** Pause between two looks whether the process serves. */
const PERIOD: Milliseconds = 20

/**
 * Starts the stand-ins. Their servers end with the process.
 *
 * @example
 * const rehearsal = await prepareRehearsal()
 */
export async function prepareRehearsal (): Promise<Rehearsal> {
  const clock = createSystemClock()
  const [front, ready, directory, peers, metrics] = await freePorts(5) as [number, number, number, number, number]
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
    const statusOf = (port: number, path: string): Promise<number> => ask(port, path, 'idempotent', 'probe').catch(() => 0)
    while (await statusOf(ready, NODE_PATH.ready) !== 200 || await statusOf(front, '/idempotent/x') !== 200) await clock.sleep(PERIOD)
    await ask(directory, `${NODE_PATH.directory}?name=${HOST}&region=region&zone=zone-a`, 'idempotent', 'directory')
    let answered = 0
    for (let index = 0; index < REQUESTS; index += 1) {
      for (const kind of KINDS) {
        if (await ask(front, `/${kind}/x`, kind, `${kind}-${index}`) === 200) answered += 1
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

/** @returns the status, once the answer is read to its end */
function ask (port: number, path: string, kind: typeof KINDS[number], id: string): Promise<number> {
  return new Promise((resolve, reject) => {
    const headers: Record<string, string> = { host: HOST, [HEADER.requestId]: id, [HEADER.deadline]: '3000', [HEADER.key]: 'key' }
    if (kind === 'streaming') Object.assign(headers, { [HEADER.tokenUsage]: '1460,80', [HEADER.promptParts]: `5c1e07a2:800,91bd3f06:410,${Buffer.from(id).toString('hex')}:250` })
    const sent = sendRequest({ host: LOOPBACK, port, path, method: kind === 'idempotent' ? 'GET' : 'POST', headers }, (response) => {
      response.resume()
      response.on('end', () => resolve(response.statusCode ?? 0))
      response.on('error', reject)
    })
    sent.on('error', reject)
    sent.end(kind === 'idempotent' ? undefined : 'a body')
  })
}

/** Ports that were free a moment ago, one apart from the other. */
async function freePorts (count: number): Promise<number[]> {
  const servers = await Promise.all(Array.from({ length: count }, () => new Promise<ReturnType<typeof createServer>>((resolve) => {
    const server = createServer()
    server.listen(0, LOOPBACK, () => resolve(server))
  })))
  const ports = servers.map((server) => (server.address() as AddressInfo).port)
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))))
  return ports
}
