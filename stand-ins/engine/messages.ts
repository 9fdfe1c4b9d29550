/** Bodies that come to an engine stand-in, and its refusals. */
import type * as z from 'zod'
import { StandInFailure } from '../http-server.js'
import type { StandInCall } from '../http-server.js'

/**
 * @throws StandInFailure 400 for a body that is not JSON or does not match
 * @example
 * const body = parseCall(engineBodySchema, call)
 */
export function parseCall<T> (schema: z.ZodType<T>, call: StandInCall): T {
  try {
    return schema.parse(JSON.parse(call.body.toString('utf8')))
  } catch (error) {
    throw new StandInFailure(400, { error: { message: `malformed body: ${String(error)}`, verdict: 'not-run' } })
  }
}

/**
 * A refusal of what has not run.
 *
 * @example
 * throw refusal(503, 'leaving')
 */
export function refusal (status: number, message: string): StandInFailure {
  return new StandInFailure(status, { error: { message, verdict: 'not-run' } })
}
