/** An entry node as a process of its own, started from the built binary, with a sample deployment for it. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { get } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { Clock } from '../src/clock.js'
import { sha256 } from '../src/credentials.js'
import { startDeployment } from './deployment.js'
import type { Deployment } from './deployment.js'
import { findFreePorts } from './free-ports.js'
import { observeProcess } from './observed-process.js'
import type { ObservedProcess } from './observed-process.js'

/** Limits of the machine and of the settings. */
export interface EntryProcessLimits {
  readonly descriptors: number
  readonly connections: number
  readonly bodyBytes: number
}

/** An entry process and the deployment that it serves. */
export interface EntryProcess extends ObservedProcess {
  readonly port: number
  readonly deployment: Deployment
  /** Request line and headers of a POST to the path of a plain class, without framing. */
  head (className: string, path: string): string
  close (): Promise<void>
}

const BINARY = 'dist/src/bin/hornbeamgap-entry.js'

/** As in the binary's first line. */
const HEAP_LIMIT = '--max-old-space-size=192'

/**
 * Starts a process before one engine and one plain service, and waits until it serves.
 *
 * @example
 * const entry = await startEntryProcess(clock, { descriptors: 500, connections: 200, bodyBytes: 4_194_304 })
 */
export async function startEntryProcess (clock: Clock, { descriptors, connections, bodyBytes }: EntryProcessLimits): Promise<EntryProcess> {
  const deployment = await startDeployment({ clock, seed: 1, entries: 0, engines: 1, plainServices: 1, logLevel: 'silent' })
  const { platform } = deployment
  const [port, peerPort] = await findFreePorts(2) as [number, number]
  const folder = mkdtempSync(join(tmpdir(), 'hornbeamgap-'))
  const settingsFile = join(folder, 'entry.toml')
  writeFileSync(settingsFile, [
    'instance = "entry-1"',
    'failure_domain = "zone-a"',
    `listen = "127.0.0.1:${port}"`,
    `peer_listen = "127.0.0.1:${peerPort}"`,
    'log_level = "warn"',
    `operator_key_sha256 = "${sha256(deployment.operatorKey)}"`,
    'peer_key = "peer-key-for-tests"',
    '[platform]',
    `key_value = ["${platform.keyValue.address}"]`,
    `instance_list = "${platform.instanceList.address}"`,
    `cloud = "${platform.cloud.address}"`,
    '[limits]',
    `body_bytes = ${bodyBytes}`,
    `connections = ${connections}`
  ].join('\n'))
  const observed = observeProcess({ command: [process.execPath, HEAP_LIMIT, BINARY, '--settings', settingsFile], descriptors })
  while (await statusOf(port, deployment.key) !== 200) {
    if (observed.endedWith() !== undefined) throw new Error(`the entry process has ended: ${observed.output()}`)
    await clock.sleep(20)
  }
  return {
    ...observed,
    port,
    deployment,
    head: (className, path) => `POST /v1/services/${className}${path} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer ${deployment.key}\r\n`,
    close: async () => {
      await observed.kill()
      await deployment.kill()
      rmSync(folder, { recursive: true, force: true })
    }
  }
}

/** @returns 0 if there is no answer */
function statusOf (port: number, key: string): Promise<number> {
  return new Promise((resolve) => {
    get({ host: '127.0.0.1', port, path: '/v1/addresses', headers: { authorization: `Bearer ${key}` }, agent: false }, (response) => {
      response.resume()
      resolve(response.statusCode ?? 0)
    }).on('error', () => resolve(0))
  })
}
