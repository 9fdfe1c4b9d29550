/**
 * Watches the instances that the planner drains before it returns them to the cloud. They get no new requests, and
 * their running requests complete normally. The planner waits at least 10 s between marking an instance and returning
 * it, which is several times the poll period.
 */
import * as z from 'zod'
import type { Clock, Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import { instanceNameSchema } from '../identifiers.js'
import type { Log } from '../log.js'
import type { KeyValue } from '../protocols/key-value.js'
import { LEAVING_KEY } from '../planner/keys.js'
import { repeat } from '../repeat.js'
import type { UpstreamDirectory } from './upstream-directory.js'

/** Options of {@link startDrainWatcher}. */
export interface DrainWatcherOptions {
  readonly keyValue: Pick<KeyValue, 'get'>
  readonly directory: UpstreamDirectory
  readonly clock: Clock
  readonly log: Log
  readonly signal: AbortSignal
}

/** Stored list of the instances that the planner drains. */
export const leavingInstancesSchema = z.object({ instances: z.array(instanceNameSchema) })

const POLL_PERIOD: Milliseconds = 3 * SECOND

/**
 * Starts marking upstreams on drained instances as leaving, until `signal` is aborted. No reclaim is planned for them,
 * because their running requests have time to complete.
 *
 * @example
 * startDrainWatcher({ keyValue, directory, clock, log, signal })
 */
export function startDrainWatcher (options: DrainWatcherOptions): void {
  const { keyValue, directory, signal } = options

  async function poll (): Promise<void> {
    const entry = await keyValue.get(LEAVING_KEY, signal)
    if (entry === undefined) return
    const drained = new Set(leavingInstancesSchema.parse(JSON.parse(entry.value)).instances)
    for (const instance of directory.instances()) {
      if (drained.has(instance.name) && instance.role.kind === 'upstream') directory.markLeaving(instance.role.upstream, 'peer')
    }
  }

  repeat(options, 'drained-instances', POLL_PERIOD, poll)
}
