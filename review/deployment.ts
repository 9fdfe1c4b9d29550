/** A small deployment of real gateway processes on loopback, for the cases of the review. */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request as sendRequest } from 'node:http'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { NODE_PATH, STORE_KEY } from '../platform/names.js'
import { createSystemClock } from '../src/clock.js'
import { createRandom } from '../src/random.js'
import { serveDutyApi } from '../stand-ins/machines/duty-api.js'
import { serveMetadataStore } from '../stand-ins/machines/metadata-store.js'
import type { MetadataStoreStandIn } from '../stand-ins/machines/metadata-store.js'
import { serveStoreView } from './store-view.js'
import type { StoreView } from './store-view.js'

export const LOOPBACK = '127.0.0.1'

/** Bounds of the small deployments on the users' pages. */
export const BOUNDS = {
  contactMs: 3_000,
  drainMs: 2_000,
  graceS: 8,
  lossSlackMs: 200,
  configApplyMs: 2_000,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  budgetExtra: 58,
  quotaWindowS: 8,
  quotaOvershoot: 0.1,
  quotaSlack: 140_000,
  requireFence: true,
  leaseMs: 3_000,
  reportWindowS: 5,
  usageLateS: 10,
  ttl_max_s: 5
}

/** One gateway process. */
export interface GatewayProcess {
  readonly name: string
  readonly front: string
  readonly directory: string
  readonly peer: string
  readonly process: ChildProcess
  /** Resolves with the exit code or the signal. */
  readonly exited: Promise<string>
  /** Whether the process answers its readiness check with 200. */
  isReady (): Promise<boolean>
}

/** A store, an API and gateway processes. */
export interface Deployment {
  readonly store: MetadataStoreStandIn
  configure (configuration: object): void
  registerServer (id: string, record: object): void
  /**
   * Starts a gateway process with the command of the deploy file and waits until it is ready.
   *
   * @param pathTo returns the address at which the path of this machine to a server begins; that of the server if omitted
   */
  startGateway (name: string, zone: string, pathTo?: (address: string) => string): Promise<GatewayProcess>
  removeServer (id: string): void
  /** Ends all processes that were started here. */
  close (): Promise<void>
}

/** Text of the `run` line of the deploy file. */
function runCommand (): string[] {
  const match = /^run = "(.*)"$/m.exec(readFileSync('deploy/system.toml', 'utf8'))
  if (match === null) throw new Error('deploy/system.toml has no run line')
  return match[1]!.split(' ')
}

/**
 * Starts the store and the API.
 *
 * @param zones zones of the deployment
 */
export async function createDeployment (zones: readonly string[]): Promise<Deployment> {
  const clock = createSystemClock()
  const store = await serveMetadataStore(clock, createRandom(1))
  const api = await serveDutyApi(clock, createRandom(2))
  const folder = mkdtempSync(join(tmpdir(), 'hornbeamgap-review-'))
  const gateways: GatewayProcess[] = []
  const views: StoreView[] = []

  async function startGateway (name: string, zone: string, pathTo?: (address: string) => string): Promise<GatewayProcess> {
    const view = pathTo === undefined ? undefined : await serveStoreView(store.address, pathTo)
    if (view !== undefined) views.push(view)
    const [front, ready, directory, peers, metrics] = await findFreePorts(5)
    const settingsFile = join(folder, `${name}.toml`)
    writeFileSync(settingsFile, [
      `nodeName = "${name}"`,
      'role = "gateway"',
      'machineClass = "front"',
      'serves = ["front", "directory"]',
      `ip = "${LOOPBACK}"`,
      `zone = "${zone}"`,
      'region = "region-a"',
      `internalPorts = [${peers}, ${metrics}]`,
      'bootstrap = true',
      'heartbeatMs = 1200',
      '[zones]',
      ...zones.map((one) => `${one} = "region-a"`),
      '[listen]',
      `front = "${LOOPBACK}:${front}"`,
      `ready = "${LOOPBACK}:${ready}"`,
      `directory = "${LOOPBACK}:${directory}"`,
      '[limits]',
      'cpuShare = 0.675',
      'cpuCores = 1',
      'memoryMb = 350',
      'maxFds = 4100',
      '[bounds]',
      ...Object.entries(BOUNDS).map(([key, value]) => `${key} = ${value}`),
      '[platform]',
      `address = "${view?.address ?? store.address}"`,
      'form = "kv"',
      '[cloudApi]',
      `address = "${api.address}"`,
      'duties = ["usage"]'
    ].join('\n'))
    const [program, ...parameters] = runCommand()
    const child = spawn(program!, parameters, { env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: 'C.UTF-8', HORNBEAMGAP_CONFIG: settingsFile }, stdio: ['ignore', 'pipe', 'pipe'] })
    // However this process ends, none that it has started outlives it.
    process.once('exit', () => child.kill('SIGKILL'))
    const output = createWriteStream(join(folder, `${name}.log`), { flags: 'a' })
    child.stdout!.pipe(output, { end: false })
    child.stderr!.pipe(output, { end: false })
    const gateway: GatewayProcess = {
      name,
      front: `${LOOPBACK}:${front}`,
      directory: `${LOOPBACK}:${directory}`,
      peer: `${LOOPBACK}:${peers}`,
      process: child,
      exited: new Promise((resolve) => child.on('exit', (code, signal) => resolve(String(signal ?? code)))),
      isReady: async () => await statusOf(ready!, NODE_PATH.ready) === 200
    }
    gateways.push(gateway)
    for (let tries = 0; !await gateway.isReady(); tries += 1) {
      if (tries > 500) throw new Error(`${name} is not ready`)
      await clock.sleep(20)
    }
    return gateway
  }

  return {
    store,
    configure: (configuration) => { store.store.put(STORE_KEY.configuration, JSON.stringify(configuration)) },
    registerServer: (id, record) => { store.store.put(STORE_KEY.upstreams + id, JSON.stringify({ state: 'ready', sequence: 1, ...record })) },
    removeServer: (id) => {
      const entry = store.store.get(STORE_KEY.upstreams + id)
      if (entry !== undefined) store.store.compareAndDelete(entry.key, entry.revision)
    },
    startGateway,
    close: async () => {
      for (const { process: child } of gateways) child.kill('SIGKILL')
      await Promise.all(gateways.map(({ exited }) => exited))
      for (const view of views) view.close()
      await Promise.all([store.kill(), api.kill()])
      if (process.env.KEEP_LOGS === undefined) rmSync(folder, { recursive: true, force: true })
      else console.log(`logs in ${folder}`)
    }
  }
}

/** Status of a GET request, 0 if there is no answer. */
export function statusOf (port: number, path: string): Promise<number> {
  return new Promise((resolve) => {
    const outgoing = sendRequest({ host: LOOPBACK, port, path, agent: false }, (response) => {
      response.resume()
      resolve(response.statusCode ?? 0)
    })
    outgoing.on('error', () => resolve(0))
    outgoing.end()
  })
}

/** Finds distinct free ports. */
export async function findFreePorts (count: number): Promise<number[]> {
  const servers = await Promise.all(Array.from({ length: count }, () => new Promise<ReturnType<typeof createServer>>((resolve) => {
    const server = createServer()
    server.listen(0, LOOPBACK, () => resolve(server))
  })))
  const ports = servers.map((server) => (server.address() as AddressInfo).port)
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))))
  return ports
}
