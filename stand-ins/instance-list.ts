/** The instance list's stand-in: shows changes only after a lag. */
import type { Clock, Milliseconds } from '../src/clock.js'
import type { Random } from '../src/random.js'
import type { Instance } from '../src/upstream/index.js'
import { createFaultSwitch } from './faults.js'
import type { FaultSwitch } from './faults.js'
import { serveStandIn, StandInFailure } from './http-server.js'
import type { StandInServer } from './http-server.js'

/** A running instance list. */
export interface InstanceListStandIn extends StandInServer {
  readonly faultSwitch: FaultSwitch
  /** Replaces the true list; readers see it after the lag. */
  set (instances: readonly Instance[]): void
  /** The true list. */
  current (): readonly Instance[]
}

interface Snapshot {
  readonly at: Milliseconds
  readonly instances: readonly Instance[]
}

/**
 * @param options.lag age of what readers see, in milliseconds
 * @example
 * const list = await serveInstanceList({ port: 0, clock, random, lag: 2_000 })
 */
export async function serveInstanceList (options: { port: number, clock: Clock, random: Random, lag: Milliseconds }): Promise<InstanceListStandIn> {
  const { clock, lag } = options
  const faultSwitch = createFaultSwitch(clock, options.random)
  let snapshots: Snapshot[] = [{ at: -Infinity, instances: [] }]

  function visible (): readonly Instance[] {
    const latest = snapshots.findLastIndex((snapshot) => snapshot.at <= clock.now() - lag)
    snapshots = snapshots.slice(Math.max(0, latest))
    return snapshots[0]?.instances ?? []
  }

  const server = await serveStandIn(options.port, clock, faultSwitch, (call) => {
    if (call.path !== '/instances') throw new StandInFailure(404, { error: { message: 'no such call', verdict: 'not-run' } })
    return { instances: visible() }
  })

  return {
    ...server,
    faultSwitch,
    current: () => snapshots.at(-1)?.instances ?? [],
    set: (instances) => {
      snapshots.push({ at: snapshots.length === 1 && snapshots[0]?.instances.length === 0 ? -Infinity : clock.now(), instances })
    }
  }
}
