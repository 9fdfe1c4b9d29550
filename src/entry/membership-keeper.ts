/** This node's own record under a lease, and the records of the others. */
import type { Clock, Milliseconds } from '../clock.js'
import { every, SECOND } from '../clock.js'
import type { Log } from '../log.js'
import { nodeRecordSchema } from '../membership/index.js'
import type { NodeRecord } from '../membership/index.js'
import type { KeyValue, LeaseId } from '../platform/key-value.js'

/** The nodes that are known. */
export interface MembershipKeeper {
  nodes (): readonly NodeRecord[]
  refresh (): Promise<void>
  /** Marks this node as leaving, so that callers are not given its address any more. */
  leave (): Promise<void>
}

const NODE_PREFIX = 'hornbeamgap/nodes/'
const LEASE_TIME: Milliseconds = 10 * SECOND
const REFRESH_PERIOD: Milliseconds = 2 * SECOND

/**
 * @example
 * const membership = createMembershipKeeper({ record, keyValue, clock, log, signal })
 */
export function createMembershipKeeper (options: { record: NodeRecord, keyValue: KeyValue, clock: Clock, log: Log, signal: AbortSignal }): MembershipKeeper {
  const { keyValue, clock, log, signal } = options
  let own = options.record
  let lease: LeaseId | undefined
  let nodes: readonly NodeRecord[] = [own]

  async function announce (): Promise<void> {
    lease = await keyValue.grantLease(LEASE_TIME, signal)
    await keyValue.put(NODE_PREFIX + own.instance, JSON.stringify(own), { lease, signal })
  }

  async function refresh (): Promise<void> {
    const remaining = lease === undefined ? 0 : await keyValue.keepAlive(lease, signal)
    if (remaining === 0) await announce()
    const listing = await keyValue.list(NODE_PREFIX, signal)
    nodes = listing.entries.map((entry) => nodeRecordSchema.parse(JSON.parse(entry.value)))
  }

  every(clock, REFRESH_PERIOD, signal, refresh, (error) => log.warn('membership-unavailable', { error: String(error) })).catch(() => {})

  return {
    refresh,
    nodes: () => nodes,
    leave: async () => {
      own = { ...own, leaving: true }
      await announce()
    }
  }
}
