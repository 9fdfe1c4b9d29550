/** Stand-in of the instance list. Changes become visible to readers after a lag. */
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
  /** Replaces the list. Readers see the new list after the lag; the first one is visible at once. */
  set (instances: readonly Instance[]): void
  /** Latest list, regardless of the lag. */
  current (): readonly Instance[]
}

interface Snapshot {
  readonly at: Milliseconds
  readonly instances: readonly Instance[]
}

/**
 * Starts an instance list that is empty.
 *
 * @param options.lag time until a change is visible to readers
 * @example
 * const list = await serveInstanceList({ port: 0, clock, random, lag: 2_000 })
 */
export async function serveInstanceList (options: { port: number, clock: Clock, random: Random, lag: Milliseconds }): Promise<InstanceListStandIn> {
  const { clock, lag } = options
  const faultSwitch = createFaultSwitch(clock, options.random)
  let snapshots: Snapshot[] = [{ at: -Infinity, instances: [] }]

  function visibleInstances (): readonly Instance[] {
    const latest = snapshots.findLastIndex((snapshot) => snapshot.at <= clock.now() - lag)
    snapshots = snapshots.slice(Math.max(0, latest))
    return snapshots[0]?.instances ?? []
  }

  const server = await serveStandIn(options.port, clock, faultSwitch, (call) => {
    if (call.path !== '/instances') throw new StandInFailure(404, { error: { message: 'no such call', verdict: 'not-run' } })
    return { instances: visibleInstances() }
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
