/** HTTP helpers for the APIs of callers and operators: request bodies with a size limit, responses, and failures. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { onAbort } from '../abort-listeners.js'
import type { Milliseconds } from '../clock.js'
import { ServingError, httpStatusOf, toServingError } from '../verdict.js'
import { createBodyBlocks } from './body-blocks.js'
import type { RequestShare } from './request-memory.js'
import { endUnread } from './unread-body.js'

/** Request and response header with the request id. */
export const REQUEST_ID_HEADER = 'hornbeamgap-request-id'

/** Response header with the verdict of a failure. */
export const VERDICT_HEADER = 'hornbeamgap-verdict'

/** Response header that marks the answer of a plain service. Failures of the system itself do not have this header. */
export const ANSWER_HEADER = 'hornbeamgap-answer'

/** Request as passed to a handler by restana. */
export type ApiRequest = IncomingMessage & { params: Record<string, string>, query: Record<string, string | string[]> }

const EMPTY = Buffer.alloc(0)

/** Maximum time for which a caller may accept no data before its connection is destroyed. */
const STALL_TIMEOUT: Milliseconds = 60_000

/** Time after which a request that found no room may be sent again. Those that stand still have yielded by then. */
const FULL_RETRY_AFTER: Milliseconds = 1_000

/**
 * Wraps a handler so that any error it throws is sent as a failure with a verdict.
 *
 * @example
 * service.get('/path', withErrorResponse(async (request, response) => sendJson(response, 200, {})))
 */
export function withErrorResponse (handler: (request: ApiRequest, response: ServerResponse) => Promise<void>): (request: any, response: any) => Promise<void> {
  return async (request, response) => {
    try {
      await handler(request, response)
    } catch (error) {
      sendFailure(response, toServingError(error, 'may-have-run'))
    }
  }
}

/**
 * Sends a JSON response.
 *
 * @example
 * sendJson(response, 200, { ok: true })
 */
export function sendJson (response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(body))
}

/**
 * Sends a failure in the status, headers and body of the response. If the response head has already been sent, the
 * connection is destroyed instead, so that the caller does not take the incomplete answer for a complete one.
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
  if (response.req.complete) return sendJson(response, httpStatusOf(failure.code), failureBody(failure))
  const body = JSON.stringify(failureBody(failure))
  response.writeHead(httpStatusOf(failure.code), { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body), connection: 'close' })
  endUnread(response, body)
}

/**
 * Response body of a failure, in the format of common language-model APIs extended by the verdict.
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

/** Options of {@link readBody}. */
export interface BodyOptions {
  /** Where the memory of the body comes from; the caller gives it back. Without one, only the limit bounds the body. */
  readonly share?: RequestShare
  /** Ends the reading, with this failure. */
  readonly cancel?: { readonly signal: AbortSignal, readonly failure: () => ServingError }
}

/**
 * Reads a request body.
 *
 * @param limit maximum size in bytes
 * @throws ServingError `too-large` for a larger body, `overloaded` if there is no memory for it, `invalid-request` for a body that ends early
 * @example
 * const bytes = await readBody(request, 1_048_576, { share })
 */
export function readBody (request: IncomingMessage, limit: number, { share, cancel }: BodyOptions = {}): Promise<Buffer> {
  const announced = announcedLength(request)
  const blocks = createBodyBlocks(announced)
  return new Promise((resolve, reject) => {
    let stopWatching = (): void => {}
    if (announced !== undefined && announced > limit) return reject(tooLargeFailure(limit))
    if (request.readableEnded) return resolve(EMPTY)
    if (cancel?.signal.aborted === true) return reject(cancel.failure())
    if (request.destroyed) return endEarly()
    if (cancel !== undefined) stopWatching = onAbort(cancel.signal, () => refuse(cancel.failure()))
    share?.onYield(() => refuse(fullFailure()))
    request.on('data', take)
    request.on('end', finish)
    request.on('error', endEarly)
    request.on('close', endEarly)

    function take (chunk: Buffer): void {
      if (blocks.size() + chunk.length > limit) return refuse(tooLargeFailure(limit))
      if (share?.hold(blocks.allocatedAfter(chunk.length)) === false) return refuse(fullFailure())
      share?.arrived(chunk.length)
      blocks.append(chunk)
    }

    function refuse (failure: ServingError): void {
      request.pause()
      stopListening()
      reject(failure)
    }

    function finish (): void {
      stopListening()
      share?.settle()
      if (!blocks.isSplit()) return resolve(blocks.whole())
      if (share?.hold(blocks.allocatedAfter(0) + blocks.size()) === false) return reject(fullFailure())
      const body = blocks.whole()
      share?.hold(body.length)
      resolve(body)
    }

    function endEarly (error?: Error): void {
      stopListening()
      reject(new ServingError('the body ended early', { code: 'invalid-request', verdict: 'not-run', ...(error === undefined ? {} : { cause: error }) }))
    }

    function stopListening (): void {
      request.removeListener('data', take)
      request.removeListener('end', finish)
      request.removeListener('close', endEarly)
      request.removeListener('error', endEarly)
      // Without a listener, an error after this is thrown and ends the process. This one keeps nothing of the body.
      request.on('error', ignoreError)
      stopWatching()
    }
  })
}

function ignoreError (): void {}

function tooLargeFailure (limit: number): ServingError {
  return new ServingError(`the body is larger than ${limit} bytes`, { code: 'too-large', verdict: 'not-run' })
}

function fullFailure (): ServingError {
  return new ServingError('this node holds too many requests', { code: 'overloaded', verdict: 'not-run', retryAfter: FULL_RETRY_AFTER })
}

function announcedLength ({ headers }: IncomingMessage): number | undefined {
  const length = headers['content-length']
  return length === undefined ? undefined : Number(length)
}

/**
 * Writes a chunk and waits until the write buffer of the connection has drained, so that a slow caller does not fill
 * the memory of the node. A caller that accepts no data for a minute is disconnected, and may resume later.
 *
 * @param closed aborts when the connection closes
 * @example
 * await writeWithBackpressure(response, formatEvent(data), closed)
 */
export function writeWithBackpressure (response: ServerResponse, text: string | Buffer, closed: AbortSignal): Promise<void> | void {
  if (response.write(text)) return
  return new Promise((resolve) => {
    const timer = setTimeout(() => response.destroy(), STALL_TIMEOUT)
    const finish = (): void => {
      clearTimeout(timer)
      response.removeListener('drain', finish)
      closed.removeEventListener('abort', finish)
      resolve()
    }
    response.once('drain', finish)
    closed.addEventListener('abort', finish, { once: true })
    if (closed.aborted) finish()
  })
}

function retryAfterSeconds (retryAfter: Milliseconds): string {
  return String(Math.max(1, Math.ceil(retryAfter / 1_000)))
}
