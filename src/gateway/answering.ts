/** Answers to callers that are sent whole: those of upstreams, and failures. */
import type { ServerResponse } from 'node:http'
import { endUnread } from '../caller/unread-body.js'
import type { Milliseconds } from '../clock.js'
import { resetConnection } from '../connection-reset.js'
import { ServingError, httpStatusOf } from '../verdict.js'
import type { FailureCode } from '../verdict.js'
import type { RequestFormat } from './ports.js'

/**
 * Codes after which the connection is closed. Otherwise the unread rest of the body could be parsed as the next
 * request.
 */
const CLOSING_CODES: ReadonlySet<FailureCode> = new Set(['too-large', 'stopping'])

/** Status of a request that reached its time limit without having been sent. It promises that the request was not run. */
const NEVER_DISPATCHED_STATUS = 503

/**
 * Largest answer that is passed on without a length, in bytes. The kernel takes as many at once, and delivers them also if this process is
 * killed.
 */
const MAX_LENGTHLESS_BYTES = 16_384

/**
 * Sends the whole answer of an upstream.
 *
 * Failure guarded against: an upstream breaks off an answer without a length and closes its connection, as it does at the end of one. With
 * a length of the node's own, the truncated answer would look complete. It ends with its connection here as well.
 *
 * Failure guarded against: this process is killed while it holds what its caller has not read of a longer answer. The kernel ends the
 * connection as after the whole answer, which would look complete. It is sent in chunks, which tell their end.
 *
 * @param headers names and values in turn
 * @param body in the pieces that it came in
 * @param isFramed whether the upstream's answer itself told where it ended
 * @example
 * answerWhole(response, 200, ['content-type', 'text/plain'], [body], answer.isFramed)
 */
export function answerWhole (response: ServerResponse, status: number, headers: readonly string[], body: readonly Buffer[], isFramed: boolean): void {
  const length = body.reduce((sum, chunk) => sum + chunk.length, 0)
  if (!isFramed) {
    response.useChunkedEncodingByDefault = length > MAX_LENGTHLESS_BYTES
    response.shouldKeepAlive = false
  }
  response.writeHead(status, isFramed ? [...headers, 'content-length', String(length)] : [...headers])
  for (const chunk of body.slice(0, -1)) response.write(chunk)
  response.end(body.at(-1))
}

/**
 * Answers with a failure. If the headers have already been sent, the status can no longer be changed. The connection is
 * then ended within the answer, so that the caller does not take a truncated answer for a complete one.
 *
 * @param id of the request, if it has one
 * @example
 * answerFailure(response, format, id, refusal('overloaded', 'all upstreams are busy', 200))
 */
export function answerFailure (response: ServerResponse, format: RequestFormat, id: string | undefined, failure: ServingError): void {
  if (response.headersSent) return breakOff(response)
  const body = Buffer.from(JSON.stringify({ error: { message: failure.message, type: failure.code, verdict: failure.verdict } }))
  const headers = [...format.ownHeaders(id), 'content-type', 'application/json', 'content-length', String(body.length)]
  if (failure.retryAfter !== undefined) headers.push('retry-after', retryAfterSeconds(failure.retryAfter))
  if (CLOSING_CODES.has(failure.code) || !response.req.complete) headers.push('connection', 'close')
  response.writeHead(statusFor(failure), headers)
  endUnread(response, body)
}

/**
 * Failure guarded against: a caller of HTTP/1.0 gets streams without chunks, and the end of its connection ends them. Half of one would
 * look whole, so that its connection is reset.
 */
function breakOff (response: ServerResponse): void {
  if (response.chunkedEncoding || response.socket === null) response.destroy()
  else resetConnection(response.socket)
}

/**
 * The statuses 408, 421, 429 and 503 promise that the request was not run. A request that may have run gets 502
 * instead.
 */
function statusFor (failure: ServingError): number {
  const status = httpStatusOf(failure.code)
  if (failure.verdict === 'not-run') return failure.code === 'timeout' ? NEVER_DISPATCHED_STATUS : status
  return status === 503 || status === 429 || status === 421 || status === 408 ? httpStatusOf('upstream-failed') : status
}

/** Formats a `Retry-After` value. Fractions of a second are allowed here. */
function retryAfterSeconds (time: Milliseconds): string {
  return (Math.max(1, time) / 1_000).toFixed(3)
}
