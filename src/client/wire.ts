/** Parsing of the responses of entry nodes. */
import * as z from 'zod'
import { usageSchema } from '../upstream/index.js'
import { ServingError } from '../verdict.js'
import type { FailureCode } from '../verdict.js'

/** Request and response header with the request id. */
export const REQUEST_ID_HEADER = 'hornbeamgap-request-id'

/** Response header that marks the answer of a plain service. Failures of the system itself do not have this header. */
export const ANSWER_HEADER = 'hornbeamgap-answer'

/** Data of the final event of a stream. */
export const STREAM_END = '[DONE]'

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

/** Parsed event of a stream. */
export type StreamMessage =
  | { kind: 'chunk', chunk: z.infer<typeof chunkSchema> }
  | { kind: 'failure', failure: ServingError }
  | { kind: 'moved', retryAfter: number }

/**
 * Parses the data of one event of a stream.
 *
 * @throws ZodError or SyntaxError for data of any other format
 * @example
 * parseStreamMessage('{"moved":{"retry_after_ms":200}}') // { kind: 'moved', retryAfter: 200 }
 */
export function parseStreamMessage (data: string): StreamMessage {
  const json: unknown = JSON.parse(data)
  const failure = failureSchema.safeParse(json)
  if (failure.success) return { kind: 'failure', failure: toFailure(failure.data) }
  const moved = movedSchema.safeParse(json)
  if (moved.success) return { kind: 'moved', retryAfter: moved.data.moved.retry_after_ms }
  return { kind: 'chunk', chunk: chunkSchema.parse(json) }
}

/**
 * Parses the failure in a complete response body.
 *
 * @returns undefined if the body is not a failure of the system
 * @example
 * parseFailure(await readBody(response, address))?.verdict
 */
export function parseFailure (text: string): ServingError | undefined {
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
