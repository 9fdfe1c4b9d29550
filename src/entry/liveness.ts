/** Checks whether an upstream still accepts connections after one of its connections has failed. */
import type { Milliseconds } from '../clock.js'
import { send } from '../protocols/http.js'
import type { UpstreamView } from '../upstream/index.js'
import { toServingError } from '../verdict.js'
import type { ExecutionContext } from './context.js'

/** Maximum time without data on the new connection. */
const CHECK_TIMEOUT: Milliseconds = 1_000

/**
 * Checks an upstream with a request on a new connection.
 *
 * Failure guarded against: a single failed connection is regarded as a crash of the upstream, and all requests that ran
 * there are suspected of having caused it. Only an upstream that accepts no new connection is regarded as crashed.
 *
 * @returns true if no connection can be opened. An upstream that accepts the connection but does not answer is reachable
 * @example
 * if (await isUnreachable(context, upstream)) releasePermit('crashed')
 */
export async function isUnreachable (context: ExecutionContext, upstream: UpstreamView): Promise<boolean> {
  const path = upstream.protocol === 'model' ? '/v1/load' : '/'
  try {
    const response = await send(context.unpooledConnections, { address: upstream.address, method: 'HEAD', path, idleTimeout: CHECK_TIMEOUT, signal: context.signal })
    await response.body.dump()
    return false
  } catch (error) {
    return toServingError(error, 'may-have-run').verdict === 'not-run'
  }
}
