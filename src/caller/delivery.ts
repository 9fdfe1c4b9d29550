/** Writes answers to callers: as an event stream, as one JSON body, or as the response of a plain service. */
import type { ServerResponse } from 'node:http'
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { AnswerSource } from '../entry/answer-source.js'
import { formatEvent } from '../protocols/server-sent-events.js'
import type { AnswerEnd, PlainResponse } from '../request/index.js'
import { ServingError } from '../verdict.js'
import { ANSWER_HEADER, failureBody, sendFailure, sendJson, writeWithBackpressure } from './http.js'

/** Interval at which a comment is written to open event streams, so that callers can detect lost connections. */
export const KEEP_ALIVE_PERIOD: Milliseconds = 5 * SECOND

/** Abort reason. Without a reason each abort would create an exception with a stack trace. */
const CLOSE_REASON = 'closed'

const KEEP_ALIVE_COMMENT = ': waiting\n\n'

/**
 * Streams an answer from an offset on. The response head is sent as soon as the request is accepted, so that the caller
 * receives the request id early. The answer is complete only if the stream ends with the event `[DONE]`.
 *
 * @example
 * await streamAnswer(source, 0, response)
 */
export async function streamAnswer (source: AnswerSource, offset: number, response: ServerResponse): Promise<void> {
  const closed = createCloseSignal(response)
  source.accepted.then(() => beginStream(response, closed), () => {})
  const keepAlive = setInterval(() => {
    if (response.headersSent && !response.writableNeedDrain) response.write(KEEP_ALIVE_COMMENT)
  }, KEEP_ALIVE_PERIOD)
  try {
    for await (const part of source.read(offset, closed)) {
      if (part.kind !== 'token') return endStream(source, part, response, closed)
      beginStream(response, closed)
      await writeWithBackpressure(response, formatEvent(tokenChunk(source, part.token.text), part.token.offset), closed)
    }
  } finally {
    clearInterval(keepAlive)
  }
}

/**
 * Sends a complete answer as one body. Nothing is sent before the answer has ended.
 *
 * @example
 * await sendCompleteAnswer(source, response)
 */
export async function sendCompleteAnswer (source: AnswerSource, response: ServerResponse): Promise<void> {
  const texts: string[] = []
  for await (const part of source.read(0, createCloseSignal(response))) {
    switch (part.kind) {
      case 'token': texts.push(part.token.text); break
      case 'finished': sendJson(response, 200, toChatCompletion(source, texts, part)); break
      case 'plain': sendPlain(part.response, response); break
      case 'failed': sendFailure(response, part.failure); break
      case 'moved': sendFailure(response, movedFailure(part.retryAfter))
    }
  }
}

/** Sends the response head of the event stream, unless it was sent before. */
function beginStream (response: ServerResponse, closed: AbortSignal): void {
  if (response.headersSent || closed.aborted) return
  response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store' })
  response.flushHeaders()
}

/** Ends the event stream. A failure before the response head is sent as a response with an error status. */
function endStream (source: AnswerSource, end: AnswerEnd, response: ServerResponse, closed: AbortSignal): void {
  if (closed.aborted) return
  switch (end.kind) {
    case 'finished':
      beginStream(response, closed)
      response.write(formatEvent(JSON.stringify({ ...chunkEnvelope(source), choices: [{ index: 0, delta: {}, finish_reason: end.finish }], usage: end.usage })))
      response.end(formatEvent('[DONE]'))
      return
    case 'plain': return sendPlain(end.response, response)
    case 'failed':
      if (!response.headersSent) return sendFailure(response, end.failure)
      response.end(formatEvent(JSON.stringify(failureBody(end.failure))))
      return
    case 'moved':
      if (!response.headersSent) return sendFailure(response, movedFailure(end.retryAfter))
      response.end(formatEvent(JSON.stringify({ moved: { retry_after_ms: end.retryAfter } })))
  }
}

/**
 * Failure guarded against: a service breaks off a response without a length in the way in which it ends one, and the part is told to the caller
 * as the whole. The body is sent in chunks all the same, so that the end of this node does not look like its own.
 */
function sendPlain (plain: PlainResponse, response: ServerResponse): void {
  const headers = new Map<string, string[]>()
  for (const [name, value] of plain.headers) headers.set(name, [...(headers.get(name) ?? []), value])
  for (const [name, values] of headers) response.setHeader(name, values.length === 1 ? values[0] as string : values)
  response.setHeader(ANSWER_HEADER, plain.endedWithConnection ? 'ended-with-connection' : 'whole')
  response.writeHead(plain.status)
  response.end(Buffer.from(plain.body, 'base64'))
}

function toChatCompletion (source: AnswerSource, texts: readonly string[], end: Extract<AnswerEnd, { kind: 'finished' }>): object {
  return {
    id: source.id,
    object: 'chat.completion',
    model: source.class,
    choices: [{ index: 0, message: { role: 'assistant', content: texts.join('') }, finish_reason: end.finish }],
    usage: end.usage
  }
}

function tokenChunk (source: AnswerSource, content: string): string {
  return JSON.stringify({ ...chunkEnvelope(source), choices: [{ index: 0, delta: { content }, finish_reason: null }] })
}

function chunkEnvelope (source: AnswerSource): { id: string, object: string, model: string } {
  return { id: source.id, object: 'chat.completion.chunk', model: source.class }
}

function movedFailure (retryAfter: Milliseconds): ServingError {
  return new ServingError('the request continues at another node; ask there with its id', { code: 'moved', verdict: 'may-have-run', retryAfter })
}

/** Signal that aborts when the caller's connection closes. */
function createCloseSignal (response: ServerResponse): AbortSignal {
  const closed = new AbortController()
  response.once('close', () => closed.abort(CLOSE_REASON))
  if (response.destroyed) closed.abort()
  return closed.signal
}
