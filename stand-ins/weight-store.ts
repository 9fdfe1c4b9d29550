/**
 * Stand-in of the weight store: concurrent transfers that share its rate equally, and a status report.
 */
import type { Clock, Milliseconds } from '../src/clock.js'
import type { WeightStoreStatus } from '../src/protocols/weight-store.js'
import type { Random } from '../src/random.js'
import { createFaultSwitch } from './faults.js'
import type { FaultSwitch } from './faults.js'
import { serveStandIn, StandInFailure } from './http-server.js'
import type { StandInServer } from './http-server.js'

/** Models in the store and its transfer rate. */
export interface WeightStoreContents {
  /** Bytes sent per millisecond, shared by all transfers. */
  readonly bytesPerMs: number
  readonly models: readonly { readonly model: string, readonly bytes: number }[]
}

/** A running weight store. */
export interface WeightStoreStandIn extends StandInServer {
  readonly faultSwitch: FaultSwitch
  status (): WeightStoreStatus
  /** Transfers a model to an engine. Resolves when the transfer is complete; rejects if the signal aborts. */
  fetch (upstream: string, model: string, signal?: AbortSignal): Promise<void>
}

interface Transfer {
  readonly upstream: string
  readonly model: string
  readonly bytes: number
  received: number
}

/** Maximum time between two updates of a transfer's progress. */
const MAX_UPDATE_INTERVAL: Milliseconds = 50

/**
 * Starts a weight store.
 *
 * @example
 * const store = await serveWeightStore({ port: 0, clock, random, shape })
 * await store.fetch('engine-1', 'assistant-7b')
 */
export async function serveWeightStore (options: { port: number, clock: Clock, random: Random, shape: WeightStoreContents }): Promise<WeightStoreStandIn> {
  const { clock, shape } = options
  const faultSwitch = createFaultSwitch(clock, options.random)
  const transfers = new Set<Transfer>()
  let updatedAt = clock.now()

  function updateProgress (): void {
    const now = clock.now()
    const share = (now - updatedAt) * shape.bytesPerMs / Math.max(1, transfers.size)
    updatedAt = now
    for (const transfer of transfers) transfer.received = Math.min(transfer.bytes, transfer.received + share)
  }

  async function fetch (upstream: string, model: string, signal?: AbortSignal): Promise<void> {
    const bytes = shape.models.find((candidate) => candidate.model === model)?.bytes
    if (bytes === undefined) throw new StandInFailure(404, { error: { message: 'no such model', verdict: 'not-run' } })
    updateProgress()
    const transfer = { upstream, model, bytes, received: 0 }
    transfers.add(transfer)
    try {
      while (transfer.received < bytes) {
        const remaining = (bytes - transfer.received) * transfers.size / shape.bytesPerMs
        await clock.sleep(Math.min(MAX_UPDATE_INTERVAL, remaining), signal)
        updateProgress()
      }
    } finally {
      updateProgress()
      transfers.delete(transfer)
    }
  }

  function status (): WeightStoreStatus {
    updateProgress()
    const open = [...transfers].map(({ upstream, model, bytes, received }) => ({ upstream, model, bytes, receivedBytes: received }))
    return { bytesPerMs: shape.bytesPerMs, models: [...shape.models], transfers: open }
  }

  const server = await serveStandIn(options.port, clock, faultSwitch, async (call) => {
    if (call.method === 'GET' && call.path === '/status') return status()
    if (call.method !== 'POST' || call.path !== '/transfers') throw new StandInFailure(404, { error: { message: 'no such call', verdict: 'not-run' } })
    const { upstream, model } = JSON.parse(call.body.toString('utf8'))
    await fetch(upstream, model)
    return {}
  })

  return { ...server, faultSwitch, status, fetch }
}
