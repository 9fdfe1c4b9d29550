/** Final answers to callers. */
import type { ServerResponse } from 'node:http'
import type { Milliseconds } from '../clock.js'
import { ServingError, statusOf } from '../verdict.js'
import type { FailureCode } from '../verdict.js'
import type { RequestFormat } from './ports.js'

/** Codes after which the connection is closed: its unread rest could be taken for the next request. */
const CLOSING: ReadonlySet<FailureCode> = new Set(['too-large', 'stopping'])

/** Status of a request that was given up on at its limit and was never sent: it promises that it hasn't run. */
const NEVER_SENT_STATUS = 503

/**
 * Answers with a failure. Once an answer has begun there is no status to set any more; the connection is
 * destroyed instead, so that the fragment can't pass as whole.
 *
 * @param id of the request, if it has one
 * @example
 * answerFailure(response, format, id, refusal('overloaded', 'all upstreams are busy', 200))
 */
export function answerFailure (response: ServerResponse, format: RequestFormat, id: string | undefined, failure: ServingError): void {
  if (response.headersSent) {
    response.destroy()
    return
  }
  const body = Buffer.from(JSON.stringify({ error: { message: failure.message, type: failure.code, verdict: failure.verdict } }))
  const headers = [...format.ownHeaders(id), 'content-type', 'application/json', 'content-length', String(body.length)]
  if (failure.retryAfter !== undefined) headers.push('retry-after', seconds(failure.retryAfter))
  if (CLOSING.has(failure.code) || !response.req.complete) headers.push('connection', 'close')
  response.writeHead(statusFor(failure), headers)
  response.end(body)
}

/** A status of 429 or 503 promises that the request hasn't run; one that may have run gets neither. */
function statusFor (failure: ServingError): number {
  const status = statusOf(failure.code)
  if (failure.verdict === 'not-run') return failure.code === 'timeout' ? NEVER_SENT_STATUS : status
  return status === 503 || status === 429 || status === 421 || status === 408 ? statusOf('upstream-failed') : status
}

/** Retry-After in seconds; callers on this path take fractions. */
function seconds (time: Milliseconds): string {
  return (Math.max(1, time) / 1_000).toFixed(3)
}
