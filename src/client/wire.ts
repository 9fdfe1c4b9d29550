/** What entry nodes send to callers, as this module reads it. */
import * as z from 'zod'
import { usageSchema } from '../upstream/index.js'
import { ServingError } from '../verdict.js'
import type { FailureCode } from '../verdict.js'

/** Header that carries a request id, both ways. */
export const REQUEST_ID_HEADER = 'hornbeamgap-request-id'

/** Header that marks a plain service's answer; the system's own failures lack it. */
export const ANSWER_HEADER = 'hornbeamgap-answer'

/** Final mark of a stream. */
export const DONE = '[DONE]'

const chunkSchema = z.object({
  choices: z.array(z.object({
    delta: z.object({ content: z.string().optional() }),
    finish_reason: z.enum(['stop', 'length']).nullable()
  })).length(1),
  usage: usageSchema.optional()
})

const failureSchema = z.object({
  error: z.object({
    message: z.string(),
    type: z.string(),
    verdict: z.enum(['not-run', 'may-have-run', 'ran']),
    retry_after_ms: z.number().optional()
  })
})

const movedSchema = z.object({ moved: z.object({ retry_after_ms: z.number() }) })

/** One event of a stream. */
export type StreamMessage =
  | { kind: 'chunk', chunk: z.infer<typeof chunkSchema> }
  | { kind: 'failure', failure: ServingError }
  | { kind: 'moved', retryAfter: number }

/**
 * Reads one event of a stream.
 *
 * @throws ZodError or SyntaxError for anything that is none
 * @example
 * readMessage('{"moved":{"retry_after_ms":200}}') // { kind: 'moved', retryAfter: 200 }
 */
export function readMessage (data: string): StreamMessage {
  const json: unknown = JSON.parse(data)
  const failure = failureSchema.safeParse(json)
  if (failure.success) return { kind: 'failure', failure: toFailure(failure.data) }
  const moved = movedSchema.safeParse(json)
  if (moved.success) return { kind: 'moved', retryAfter: moved.data.moved.retry_after_ms }
  return { kind: 'chunk', chunk: chunkSchema.parse(json) }
}

/**
 * Failure told by a whole response.
 *
 * @returns undefined when the body is no failure of the system's own
 * @example
 * readFailure(await readBody(response, address))?.verdict
 */
export function readFailure (text: string): ServingError | undefined {
  try {
    return toFailure(failureSchema.parse(JSON.parse(text)))
  } catch {
    return undefined
  }
}

function toFailure ({ error }: z.infer<typeof failureSchema>): ServingError {
  const { message, type, verdict, retry_after_ms: retryAfter } = error
  return new ServingError(message, { code: type as FailureCode, verdict, ...(retryAfter === undefined ? {} : { retryAfter }) })
}
