/** Whether an upstream still takes connections, after one of them broke. */
import type { Milliseconds } from '../clock.js'
import { send } from '../protocols/http.js'
import type { UpstreamView } from '../upstream/index.js'
import { toServingError } from '../verdict.js'
import type { ExecutionContext } from './context.js'

const PATIENCE: Milliseconds = 1_000

/**
 * Opens a new connection to an upstream.
 *
 * Failure guarded against: one lost connection passes for the death of its upstream, and everything that
 * ran there is suspected of having crashed it. Only an upstream that takes no new connection is dead.
 *
 * @returns true when no connection can be opened
 * @example
 * if (await isDead(context, upstream)) releasePermit('crashed')
 */
export async function isDead (context: ExecutionContext, upstream: UpstreamView): Promise<boolean> {
  const path = upstream.protocol === 'model' ? '/v1/load' : '/'
  try {
    const response = await send(context.unpooledConnections, { address: upstream.address, method: 'HEAD', path, idleTimeout: PATIENCE, signal: context.signal })
    await response.body.dump()
    return false
  } catch (error) {
    return toServingError(error, 'may-have-run').verdict === 'not-run'
  }
}
