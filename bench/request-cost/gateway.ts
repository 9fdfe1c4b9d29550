/** Starts a built gateway node in a process of its own, as `deploy/system.toml` does, and reads what the process has used. */
import { fork } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request as sendRequest } from 'node:http'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { NODE_PATH } from '../../platform/names.js'
import type { Clock, Milliseconds } from '../../src/clock.js'
import type { MachineDeployment } from '../../stand-ins/machines/deployment.js'

/** What a process has used since its start. */
export interface Usage {
  /** Processor time of all threads. */
  readonly processor: Milliseconds
  /** Objects and calls by kind; empty unless the process counts. */
  readonly counts: Readonly<Record<string, number>>
  /** Warnings of Node.js. */
  readonly warnings: readonly string[]
}

/** A running gateway process. */
export interface GatewayProcess {
  readonly frontPort: number
  readonly pid: number
  usage (): Promise<Usage>
  stop (): Promise<void>
}

/** Options of `startGatewayProcess`. */
export interface GatewayProcessOptions {
  /** Path of the program, `deploy/gateway.cjs` of a built tree. */
  readonly program: string
  readonly name: string
  readonly deployment: MachineDeployment
  readonly clock: Clock
  /** Whether the process counts objects and calls, which makes it several times slower. */
  readonly counting: boolean
}

/** Command of `system.toml` that starts the program, with the flags of Node.js. */
const COMMAND = /^run = "node (.*) deploy\/gateway\.cjs"$/m

const LOOPBACK = '127.0.0.1'
const PROBE = fileURLToPath(new URL('./probe.cjs', import.meta.url))
const POLL_INTERVAL: Milliseconds = 20

/**
 * Starts a gateway process and waits until it is ready.
 *
 * @example
 * const gateway = await startGatewayProcess({ program: 'deploy/gateway.cjs', name: 'node-1', deployment, clock, counting: false })
 * const before = await gateway.usage()
 */
export async function startGatewayProcess ({ program, name, deployment, clock, counting }: GatewayProcessOptions): Promise<GatewayProcess> {
  const [front, ready, directory, peers, metrics] = await findFreePorts(5) as [number, number, number, number, number]
  const folder = mkdtempSync(join(tmpdir(), 'hornbeamgap-request-cost-'))
  const settingsFile = join(folder, 'settings.toml')
  writeFileSync(settingsFile, [
    `nodeName = "${name}"`,
    `ip = "${LOOPBACK}"`,
    'zone = "zone-a"',
    `internalPorts = [${peers}, ${metrics}]`,
    'bootstrap = true',
    `listen = { front = "${LOOPBACK}:${front}", ready = "${LOOPBACK}:${ready}", directory = "${LOOPBACK}:${directory}" }`,
    'limits = { maxFds = 4100 }',
    `platform = { address = "${deployment.store.address}" }`,
    `cloudApi = { address = "${deployment.api.address}", duties = ["usage", "autoscale"] }`
  ].join('\n'))
  const child = fork(program, ['--settings', settingsFile], {
    execArgv: [...readFlags(program), '--require', PROBE],
    env: { ...process.env, NODE_OPTIONS: '', ...(counting ? { REQUEST_COST_COUNTS: '1' } : {}) },
    stdio: ['ignore', 'pipe', 'inherit', 'ipc']
  })
  child.stdout?.resume()
  const exited = new Promise<void>((resolve) => child.once('exit', () => resolve()))

  while (await statusOf(ready, NODE_PATH.ready) !== 200) {
    if (child.exitCode !== null) throw new Error(`${program} ended with ${child.exitCode}`)
    await clock.sleep(POLL_INTERVAL)
  }

  return {
    frontPort: front,
    pid: child.pid ?? 0,
    usage: () => new Promise((resolve) => {
      child.once('message', (usage) => resolve(usage as Usage))
      child.send('usage')
    }),
    stop: async () => {
      child.kill('SIGKILL')
      await exited
      rmSync(folder, { recursive: true })
    }
  }
}

/** Flags with which the build is started. V8 rejects the code cache under other flags. */
function readFlags (program: string): string[] {
  const text = readFileSync(join(dirname(program), 'system.toml'), 'utf8')
  const flags = COMMAND.exec(text)?.[1]
  if (flags === undefined) throw new Error(`no command in the system.toml of ${program}`)
  return flags.split(' ')
}

function statusOf (port: number, path: string): Promise<number> {
  return new Promise((resolve) => {
    const outgoing = sendRequest({ host: LOOPBACK, port, path }, (response) => {
      response.resume()
      response.on('end', () => resolve(response.statusCode ?? 0))
    })
    outgoing.on('error', () => resolve(0))
    outgoing.end()
  })
}

/** Finds distinct free ports. Another process can take a port before it is used. */
async function findFreePorts (count: number): Promise<number[]> {
  const servers = await Promise.all(Array.from({ length: count }, () => new Promise<ReturnType<typeof createServer>>((resolve) => {
    const server = createServer()
    server.listen(0, LOOPBACK, () => resolve(server))
  })))
  const ports = servers.map((server) => (server.address() as AddressInfo).port)
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))))
  return ports
}
