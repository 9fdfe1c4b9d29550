/** Measures what an idle gateway process costs: alone, as a member, and as an aggregator. */
import { STORE_KEY } from '../../platform/names.js'
import { SECOND } from '../../src/clock.js'
import type { Clock, Milliseconds } from '../../src/clock.js'
import { MAX_FULL_MESH_NODES, pickAggregators } from '../../src/gossip/index.js'
import { createMachineDeployment } from '../../stand-ins/machines/deployment.js'
import { startGatewayProcess } from './gateway.js'

/** A fleet and the role of the measured node in it. */
export interface IdleRole {
  readonly name: string
  readonly nodes: number
  readonly isAggregator: boolean
}

/** Roles that are measured. */
export const IDLE_ROLES: readonly IdleRole[] = [
  { name: 'alone', nodes: 1, isAggregator: true },
  { name: 'member of 17', nodes: MAX_FULL_MESH_NODES + 1, isAggregator: false },
  { name: 'aggregator of 17', nodes: MAX_FULL_MESH_NODES + 1, isAggregator: true },
  { name: 'member of 77', nodes: 77, isAggregator: false },
  { name: 'aggregator of 77', nodes: 77, isAggregator: true }
]

/** Time over which an idle node is measured. */
export const IDLE_SPAN: Milliseconds = 20 * SECOND

/** Time for the other nodes, which run in this process, to find each other. */
const FLEET_SETTLING_TIME: Milliseconds = 5 * SECOND

/** Time for the measured node to take up its role. */
const SETTLING_TIME: Milliseconds = 5 * SECOND

const ORGANISATIONS = 19
const UPSTREAMS = 12

/**
 * Starts a fleet without requests, of which one node is a process of its own.
 *
 * @returns processor time of that node per second, in milliseconds
 * @example
 * const perSecond = await measureIdle(clock, 'deploy/gateway.cjs', IDLE_ROLES[0]!)
 */
export async function measureIdle (clock: Clock, program: string, role: IdleRole): Promise<Milliseconds> {
  const deployment = await createMachineDeployment(clock)
  try {
    deployment.configure(configuration())
    for (let index = 0; index < UPSTREAMS; index += 1) {
      deployment.store.store.put(`${STORE_KEY.upstreams}u-${index}`, JSON.stringify({ service: 'model', address: `127.0.0.1:${index + 1}`, zone: 'zone-a', slots: 16, state: 'ready', sequence: 1 }))
    }
    const others = Array.from({ length: role.nodes - 1 }, (_, index) => `node-${index}`)
    for (const name of others) await deployment.startNode(name)
    if (others.length > 0) await clock.sleep(FLEET_SETTLING_TIME)
    const gateway = await startGatewayProcess({ program, name: nameWithRole(others, role), deployment, clock, counting: false })
    try {
      await clock.sleep(SETTLING_TIME)
      const before = await gateway.usage()
      await clock.sleep(IDLE_SPAN)
      const after = await gateway.usage()
      return (after.processor - before.processor) / (IDLE_SPAN / SECOND)
    } finally {
      await gateway.stop()
    }
  } finally {
    await deployment.close()
  }
}

/** Names decide which nodes are aggregators. */
function nameWithRole (others: readonly string[], role: IdleRole): string {
  const candidate = (name: string) => ({ name, failureDomain: 'zone-a', processor: 1 })
  for (let index = 0; ; index += 1) {
    const name = `measured-${index}`
    const aggregators = pickAggregators([...others, name].map(candidate))
    if (aggregators.some((node) => node.name === name) === role.isAggregator) return name
  }
}

function configuration (): object {
  return {
    version: 1,
    routes: [{ name: 'model', host: 'api.example', prefix: '/model/', kind: 'streaming', timeoutMs: 3_000, targetLatencyMs: 1_000, service: 'model', maxAttempts: 2 }],
    services: [{ name: 'model', maxConns: 100, engine: { slots: 16, moves: true } }],
    tenants: Array.from({ length: ORGANISATIONS }, (_, index) => ({ name: `tenant-${index}`, apiKeys: [`key-${index}`], unit: 'tokens', plainTokens: 200, ratePerS: 1_000_000, burst: 1_000_000 }))
  }
}
