/** HTTP towards callers and operators: bodies within limits, answers, and failures with their verdict. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Milliseconds } from '../clock.js'
import { ServingError, httpStatusOf, toServingError } from '../verdict.js'

/** Header that carries a request id, both ways. */
export const REQUEST_ID_HEADER = 'hornbeamgap-request-id'

/** Header that carries the verdict of a failure. */
export const VERDICT_HEADER = 'hornbeamgap-verdict'

/** Header that marks a plain service's answer; the system's own failures lack it. */
export const ANSWER_HEADER = 'hornbeamgap-answer'

/** A request as restana hands it over. */
export type ApiRequest = IncomingMessage & { params: Record<string, string>, query: Record<string, string | string[]> }

const STALLED: Milliseconds = 60_000

/**
 * Wraps a route so that whatever it throws becomes a clear error with a verdict.
 *
 * @example
 * service.get('/path', guarded(async (request, response) => sendJson(response, 200, {})))
 */
export function guarded (route: (request: ApiRequest, response: ServerResponse) => Promise<void>): (request: any, response: any) => Promise<void> {
  return async (request, response) => {
    try {
      await route(request, response)
    } catch (error) {
      sendFailure(response, toServingError(error, 'may-have-run'))
    }
  }
}

/**
 * @example
 * sendJson(response, 200, { ok: true })
 */
export function sendJson (response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(body))
}

/**
 * Tells a failure in body and headers. Once the answer has begun there is no status to set any more;
 * the connection is destroyed instead, so that the fragment cannot pass as whole.
 *
 * @example
 * sendFailure(response, new ServingError('too busy', { code: 'overloaded', verdict: 'not-run', retryAfter: 500 }))
 */
export function sendFailure (response: ServerResponse, failure: ServingError): void {
  if (response.headersSent) {
    response.destroy()
    return
  }
  response.setHeader(VERDICT_HEADER, failure.verdict)
  if (failure.retryAfter !== undefined) response.setHeader('retry-after', retryAfterSeconds(failure.retryAfter))
  // An unread rest of the request would be taken for the next one.
  if (failure.code === 'too-large') response.setHeader('connection', 'close')
  sendJson(response, httpStatusOf(failure.code), failureBody(failure))
}

/**
 * Body that tells a failure, in the shape that language-model clients know, with the verdict added.
 *
 * @example
 * failureBody(failure) // { error: { message, type: 'overloaded', verdict: 'not-run', retry_after_ms: 500 } }
 */
export function failureBody (failure: ServingError): object {
  return {
    error: {
      message: failure.message,
      type: failure.code,
      verdict: failure.verdict,
      ...(failure.retryAfter === undefined ? {} : { retry_after_ms: Math.round(failure.retryAfter) })
    }
  }
}

/**
 * Reads a body up to a limit.
 *
 * @param limit bytes
 * @throws ServingError `too-large`
 * @example
 * const bytes = await readBody(request, 1_048_576)
 */
export async function readBody (request: IncomingMessage, limit: number): Promise<Buffer> {
  const chunks: Buffer[] = []
  let size = 0
  try {
    for await (const chunk of request.iterator({ destroyOnReturn: false })) {
      size += (chunk as Buffer).length
      if (size > limit) throw new ServingError(`the body is larger than ${limit} bytes`, { code: 'too-large', verdict: 'not-run' })
      chunks.push(chunk as Buffer)
    }
  } catch (error) {
    if (error instanceof ServingError) throw error
    throw new ServingError('the body ended early', { code: 'invalid-request', verdict: 'not-run', cause: error })
  }
  return Buffer.concat(chunks)
}

/**
 * Writes a piece and waits while the caller's connection is full, so that a slow caller does not fill
 * memory. A caller that takes nothing for a minute is disconnected; it may resume.
 *
 * @param gone aborts when the connection has closed
 * @example
 * await writeSlowly(response, formatEvent(data), gone)
 */
export function writeSlowly (response: ServerResponse, text: string | Buffer, gone: AbortSignal): Promise<void> | void {
  if (response.write(text)) return
  return new Promise((resolve) => {
    const timer = setTimeout(() => response.destroy(), STALLED)
    const finish = (): void => {
      clearTimeout(timer)
      response.removeListener('drain', finish)
      gone.removeEventListener('abort', finish)
      resolve()
    }
    response.once('drain', finish)
    gone.addEventListener('abort', finish, { once: true })
    if (gone.aborted) finish()
  })
}

function retryAfterSeconds (retryAfter: Milliseconds): string {
  return String(Math.max(1, Math.ceil(retryAfter / 1_000)))
}
