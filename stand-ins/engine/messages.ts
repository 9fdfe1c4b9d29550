/** Parsing of request bodies and creation of refusals for engine stand-ins. */
import type * as z from 'zod'
import { StandInFailure } from '../http-server.js'
import type { StandInCall } from '../http-server.js'

/**
 * Parses the body of a call.
 *
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
 * Creates a failure with the verdict `not-run`.
 *
 * @example
 * throw refusal(503, 'leaving')
 */
export function refusal (status: number, message: string): StandInFailure {
  return new StandInFailure(status, { error: { message, verdict: 'not-run' } })
}
