/** One attempt of a call to a plain service. */
import { callPlainService } from '../protocols/plain-service.js'
import type { PlainCall } from '../request/index.js'
import { ServingError, toServingError } from '../verdict.js'
import type { AttemptEnd } from './attempt-end.js'
import type { ExecutionContext } from './context.js'
import type { Placement } from './dispatcher.js'
import type { Execution } from './execution.js'

const NO_TOKENS = { prompt_tokens: 0, completion_tokens: 0, cached_tokens: 0 }

/**
 * Forwards a call to a plain service.
 *
 * Failure guarded against: a call is sent on a pooled connection that the network has silently dropped, so its outcome
 * remains unknown. Calls that must not be repeated therefore use a new connection each.
 *
 * @example
 * const end = await callPlain(context, execution, placement, call, traceparent)
 */
export async function callPlain (context: ExecutionContext, execution: Execution, placement: Placement, call: PlainCall, traceparent: string): Promise<AttemptEnd> {
  const { upstream } = placement
  const connections = execution.request.idempotent ? context.plainConnections.pooled : context.plainConnections.unpooled
  execution.attempt = { upstream: upstream.name, handle: '', startedAt: context.clock.now(), redirect: () => {} }
  try {
    const response = await callPlainService(connections, upstream.address, call, { signal: execution.runController.signal, traceparent })
    return { kind: 'whole', end: { kind: 'plain', response }, result: { kind: 'whole', usage: NO_TOKENS } }
  } catch (error) {
    const failure = execution.runController.signal.aborted ? abortedFailure() : toServingError(error, 'may-have-run')
    return { kind: 'failed', failure, upstreamDied: false }
  }
}

function abortedFailure (): ServingError {
  return new ServingError('this node ended before the call did', { code: 'outcome-unknown', verdict: 'may-have-run' })
}
