/** An entry node: the parts of one process put together. */
import { randomBytes } from 'node:crypto'
import { setMaxListeners } from 'node:events'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import restana from 'restana'
import { createScheduler } from '../admission/index.js'
import { registerCallerApi } from '../caller/api.js'
import type { Clock } from '../clock.js'
import { addressSchema, incarnationSchema } from '../identifiers.js'
import type { Address, Incarnation } from '../identifiers.js'
import { createLog } from '../log.js'
import type { AddressAnswer } from '../membership/index.js'
import { createConnections, createFreshConnections } from '../platform/http.js'
import { createInstanceList } from '../platform/instance-list.js'
import { createKeyValue } from '../platform/key-value.js'
import { createEntryMetrics } from '../metrics.js'
import type { Random } from '../random.js'
import { createFactStore, createLedger } from '../report/index.js'
import type { EntrySettings } from '../settings.js'
import { createTracing } from '../tracing.js'
import { createConfigurationKeeper } from './configuration-keeper.js'
import { createBookkeeping } from './bookkeeping.js'
import { createDispatcher } from './dispatcher.js'
import { startSchedulerFeed } from './scheduler-feed.js'
import { createExecutions } from './submission.js'
import { createMembershipKeeper } from './membership-keeper.js'
import { createUpstreamDirectory } from './upstream-directory.js'

/** A running entry node. */
export interface EntryNode {
  readonly incarnation: Incarnation
  /** Where callers connect; the port is the bound one. */
  readonly address: Address
  /** Ends at once, as the death of the process would. */
  kill (): Promise<void>
}

const CONNECTIONS_PER_UPSTREAM = 256

/** Memory for facts about recent requests. */
const FACT_BYTES = 8_388_608

/**
 * Starts an entry node and waits until it has read the platform once.
 *
 * @throws ServingError when the address cannot be listened on
 * @example
 * const node = await startEntryNode({ settings, clock, random })
 */
export async function startEntryNode (options: { settings: EntrySettings, clock: Clock, random: Random }): Promise<EntryNode> {
  const { settings, clock, random } = options
  const owner = new AbortController()
  const { signal } = owner
  setMaxListeners(0, signal)
  const log = createLog(settings.instance, settings.log_level, clock.wall)
  const incarnation = incarnationSchema.parse(`${settings.instance}-${randomBytes(6).toString('hex')}`)
  const connections = createConnections(CONNECTIONS_PER_UPSTREAM)
  const keyValue = createKeyValue(connections, settings.platform.key_value)
  const directory = createUpstreamDirectory({ instanceList: createInstanceList(connections, settings.platform.instance_list), clock, log, signal })
  const configuration = createConfigurationKeeper({ keyValue, clock, log, signal })
  const current = () => configuration.current()?.configuration
  const freshConnections = createFreshConnections(CONNECTIONS_PER_UPSTREAM)
  const metrics = createEntryMetrics()
  const tracing = createTracing(settings.instance, settings.trace_collector)
  const ledger = createLedger({ wall: clock.wall })
  const facts = createFactStore({ bytes: FACT_BYTES })
  const bookkeeping = createBookkeeping({ ledger, facts, metrics, clock, configuration: current })
  const dispatcher = createDispatcher({ scheduler: createScheduler({ random }), directory, clock })
  const executions = createExecutions({ directory, dispatcher, bookkeeping, tracing, connections, freshConnections, configuration: current, clock, random, signal })

  const service = restana()
  const server = service.getServer()
  registerCallerApi(service, { incarnation, executions, configuration: current, addresses, bodyLimit: settings.limits.body_bytes })
  const address = await listen(server, settings.listen)
  const record = { instance: settings.instance, incarnation, failureDomain: settings.failure_domain, address, peerAddress: settings.peer_listen, leaving: false }
  const membership = createMembershipKeeper({ record, keyValue, clock, log, signal })
  await Promise.allSettled([directory.refresh(), configuration.refresh(), membership.refresh()])
  startSchedulerFeed({ dispatcher, directory, connections, configuration: current, nodeCount: () => membership.nodes().length, clock, signal })
  log.info('started', { address, incarnation })

  function addresses (): AddressAnswer {
    const nodes = membership.nodes().filter((node) => !node.leaving)
    return {
      nodes: nodes.map((node) => ({ address: node.address, incarnation: node.incarnation, failure_domain: node.failureDomain })),
      lifetime_ms: settings.addresses.lifetime_ms
    }
  }

  return {
    incarnation,
    address,
    kill: async () => {
      owner.abort()
      await Promise.all([connections.destroy(), freshConnections.destroy(), tracing.close()])
      server.closeAllConnections()
      await new Promise((resolve) => server.close(resolve))
    }
  }
}

async function listen (server: Server, address: Address): Promise<Address> {
  const separator = address.lastIndexOf(':')
  const host = address.slice(0, separator)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(Number(address.slice(separator + 1)), host, resolve)
  })
  return addressSchema.parse(`${host}:${(server.address() as AddressInfo).port}`)
}
