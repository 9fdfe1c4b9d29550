/**
 * Instances that the planner is about to give back: they get no new work, and what runs there ends
 * in peace. The planner waits at least ten seconds between marking and giving back, several times the
 * pause between two looks here.
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

/** What the keeper needs. */
export interface DrainOptions {
  readonly keyValue: Pick<KeyValue, 'get'>
  readonly directory: UpstreamDirectory
  readonly clock: Clock
  readonly log: Log
  readonly signal: AbortSignal
}

/** The planner's list of instances that it drains. */
export const leavingInstancesSchema = z.object({ instances: z.array(instanceNameSchema) })

const LOOK_PERIOD: Milliseconds = 3 * SECOND

/**
 * Marks upstreams on drained instances as leaving. No reclaim is planned for them: nothing has to be
 * moved in haste.
 *
 * @example
 * followDrains({ keyValue, directory, clock, log, signal })
 */
export function followDrains (options: DrainOptions): void {
  const { keyValue, directory, signal } = options

  async function look (): Promise<void> {
    const entry = await keyValue.get(LEAVING_KEY, signal)
    if (entry === undefined) return
    const drained = new Set(leavingInstancesSchema.parse(JSON.parse(entry.value)).instances)
    for (const instance of directory.instances()) {
      if (drained.has(instance.name) && instance.role.kind === 'upstream') directory.markLeaving(instance.role.upstream, 'peer')
    }
  }

  repeat(options, 'drained-instances', LOOK_PERIOD, look)
}
