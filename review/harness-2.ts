/**
 * Shared parts of the scripts of the second review: the platform's store and duty API (stand-ins of the project), gateway
 * processes started with the command of the deploy file, and the record of a run. Everything listens on loopback.
 */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { get } from 'node:http'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createSystemClock } from '../src/clock.js'
import { createRandom } from '../src/random.js'
import { serveDutyApi } from '../stand-ins/machines/duty-api.js'
import { serveMetadataStore } from '../stand-ins/machines/metadata-store.js'

export const LOOPBACK = '127.0.0.1'

/** Host of all routes. */
export const HOST = 'api.example'

/** Exit codes of a script. */
export const EXIT = { held: 0, broken: 1, impossible: 2 } as const

export const clock = createSystemClock()

const startedAt = clock.now()
const processes = new Set<ChildProcess>()
const folder = mkdtempSync(join(tmpdir(), 'review-'))

/** Addresses of one gateway process. */
export interface Gateway {
  readonly name: string
  readonly process: ChildProcess
  readonly front: number
  readonly ready: number
  readonly directory: number
  /** Resolves with the exit code or the signal once the process has ended. */
  readonly ended: Promise<string>
}

/** Whether the disruption is left out. */
export const isCalm = process.env.TROUBLE === '0'

/** Writes one line to the record of the run, with the time since its start in seconds. */
export function note (text: string): void {
  const line = `${((clock.now() - startedAt) / 1_000).toFixed(3)} s  ${text}\n`
  appendFileSync(recordFile(), line)
  process.stdout.write(line)
}

function recordFile (): string {
  const file = process.env.RECORD
  if (file === undefined) throw new Error('RECORD names no file')
  return file
}

/** Starts the store and the duty API. */
export async function startPlatform (): Promise<{ store: Awaited<ReturnType<typeof serveMetadataStore>>, api: Awaited<ReturnType<typeof serveDutyApi>> }> {
  const store = await serveMetadataStore(clock, createRandom(1))
  const api = await serveDutyApi(clock, createRandom(2))
  // The store answers in some 4 ms.
  store.faultSwitch.faults.latency = 4
  return { store, api }
}

/** The command of the deploy file, split at spaces as the platform does. */
function runCommand (): string[] {
  const line = /^run = "(.*)"$/m.exec(readFileSync('deploy/system.toml', 'utf8'))?.[1]
  if (line === undefined) throw new Error('deploy/system.toml has no run line')
  return line.split(' ')
}

/** Starts a gateway process with the settings of a small deployment. */
export async function startGateway (name: string, zone: string, storeAddress: string, apiAddress: string): Promise<Gateway> {
  const ports = await findFreePorts(5)
  writeSettings(name, zone, ports, storeAddress, apiAddress, true)
  return startProcess(name, ports)
}

/** Starts a gateway process again with the settings that it had, but for `bootstrap`. */
export function startAgain (gateway: Gateway): Gateway {
  const file = settingsFile(gateway.name)
  writeFileSync(file, readFileSync(file, 'utf8').replace('bootstrap = true', 'bootstrap = false'))
  return startProcess(gateway.name, [gateway.front, gateway.ready, gateway.directory])
}

function settingsFile (name: string): string {
  return join(folder, `${name}.toml`)
}

function writeSettings (name: string, zone: string, [front, ready, directory, peers, metrics]: readonly number[], storeAddress: string, apiAddress: string, bootstrap: boolean): void {
  const bounds = { drainMs: 2_000, contactMs: 3_000, graceS: 8, configApplyMs: 2_000, leaseMs: 3_000, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetExtra: 58, quotaWindowS: 8, quotaOvershoot: 0.1, quotaSlack: 140_000, requireFence: true, reportWindowS: 5, usageLateS: 10, ttl_max_s: 5 }
  writeFileSync(settingsFile(name), [
    `nodeName = "${name}"`,
    'role = "gateway"',
    'machineClass = "front"',
    'serves = ["front", "directory"]',
    `ip = "${LOOPBACK}"`,
    `zone = "${zone}"`,
    'region = "region"',
    `internalPorts = [${peers}, ${metrics}]`,
    `bootstrap = ${bootstrap}`,
    'discovery = "platform"',
    'entry = "directory"',
    'heartbeatMs = 1200',
    '[zones]',
    'zone-a = "region"',
    'zone-b = "region"',
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
    ...Object.entries(bounds).map(([key, value]) => `${key} = ${value}`),
    '[platform]',
    `address = "${storeAddress}"`,
    '[cloudApi]',
    `address = "${apiAddress}"`,
    'duties = ["usage"]'
  ].join('\n'))
}

function startProcess (name: string, [front, ready, directory]: readonly number[]): Gateway {
  const [program, ...parameters] = runCommand() as [string, ...string[]]
  const child = spawn(program === 'node' ? process.execPath : program, parameters, { env: { ...process.env, HORNBEAMGAP_CONFIG: settingsFile(name) }, stdio: ['ignore', 'pipe', 'pipe'] })
  processes.add(child)
  const logFile = process.env.GATEWAY_LOG
  for (const stream of [child.stdout, child.stderr]) stream?.on('data', (bytes: Buffer) => { if (logFile !== undefined) appendFileSync(logFile, bytes) })
  const ended = new Promise<string>((resolve) => child.once('exit', (code, signal) => {
    processes.delete(child)
    resolve(signal ?? `exit code ${code}`)
  }))
  return { name, process: child, front: front!, ready: ready!, directory: directory!, ended }
}

/** Waits until `condition` holds. @throws if it does not within the time */
export async function until (what: string, condition: () => boolean | Promise<boolean>, timeout = 15_000): Promise<void> {
  const end = clock.now() + timeout
  while (!await condition()) {
    if (clock.now() > end) throw new Error(`not in time: ${what}`)
    await clock.sleep(20)
  }
}

/** Status of a GET; 0 if there is no answer. */
export function statusOf (port: number, path: string): Promise<number> {
  return new Promise((resolve) => {
    const outgoing = get({ host: LOOPBACK, port, path, agent: false }, (response) => {
      response.resume()
      resolve(response.statusCode ?? 0)
    })
    outgoing.on('error', () => resolve(0))
  })
}

/** Addresses that a node tells its callers; undefined if it gives no answer. */
export function resolveAddresses (port: number, zone: string): Promise<{ addresses: string[], ttlS: number } | undefined> {
  return new Promise((resolve) => {
    const outgoing = get({ host: LOOPBACK, port, path: `/resolve?name=${HOST}&region=region&zone=${zone}`, agent: false }, (response) => {
      let text = ''
      response.setEncoding('utf8')
      response.on('data', (chunk: string) => { text += chunk })
      response.on('end', () => resolve(response.statusCode === 200 ? JSON.parse(text) : undefined))
      response.on('error', () => resolve(undefined))
    })
    outgoing.on('error', () => resolve(undefined))
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

/** Runs a case and ends this process, with all that it started, with the code that the case returns. */
export function runCase (main: () => Promise<number>): void {
  const timeout = setTimeout(() => finish(EXIT.impossible, 'the case took too long'), 110_000)
  function finish (code: number, text: string): void {
    clearTimeout(timeout)
    note(text)
    for (const child of processes) child.kill('SIGKILL')
    rmSync(folder, { recursive: true, force: true })
    process.exit(code)
  }
  // A script that fails by itself, or is stopped, must not look as if the rule were broken, and leaves no process behind.
  process.on('uncaughtException', (error) => finish(EXIT.impossible, `could not run: ${String(error.stack)}`))
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'] as const) process.on(signal, () => finish(EXIT.impossible, `stopped by ${signal}`))
  writeFileSync(recordFile(), '')
  main().then((code) => finish(code, code === EXIT.broken ? 'BROKEN' : 'held'), (error) => finish(EXIT.impossible, `could not run: ${String((error as Error).stack)}`))
}
