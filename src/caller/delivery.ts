/** Writes answers to callers: as a stream of events, as one JSON body, or as a plain service's response. */
import type { ServerResponse } from 'node:http'
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { AnswerSource } from '../entry/answer-source.js'
import { formatEvent } from '../protocols/server-sent-events.js'
import type { AnswerEnd, PlainResponse } from '../request/index.js'
import { ServingError } from '../verdict.js'
import { ANSWER_HEADER, failureBody, sendFailure, sendJson, writeSlowly } from './http.js'

/** A stream without tokens shows this often that it is alive. */
export const KEEP_ALIVE_PERIOD: Milliseconds = 5 * SECOND

/** Reason of an abort; without one each would build an exception with its stack. */
const CLOSED = 'closed'

const KEEP_ALIVE = ': waiting\n\n'

/**
 * Streams an answer from an offset on. The head is sent when the request is accepted: from then on the
 * caller holds the id and a stream whose only proof of wholeness is its final mark.
 *
 * @example
 * await streamAnswer(source, 0, response)
 */
export async function streamAnswer (source: AnswerSource, offset: number, response: ServerResponse): Promise<void> {
  const gone = closeSignal(response)
  source.accepted.then(() => begin(response, gone), () => {})
  const keepAlive = setInterval(() => {
    if (response.headersSent && !response.writableNeedDrain) response.write(KEEP_ALIVE)
  }, KEEP_ALIVE_PERIOD)
  try {
    for await (const part of source.read(offset, gone)) {
      if (part.kind !== 'token') return endStream(source, part, response, gone)
      begin(response, gone)
      await writeSlowly(response, formatEvent(tokenChunk(source, part.token.text), part.token.offset), gone)
    }
  } finally {
    clearInterval(keepAlive)
  }
}

/**
 * Sends an answer as one body, when it is whole.
 *
 * @example
 * await sendWhole(source, response)
 */
export async function sendWhole (source: AnswerSource, response: ServerResponse): Promise<void> {
  const texts: string[] = []
  for await (const part of source.read(0, closeSignal(response))) {
    switch (part.kind) {
      case 'token': texts.push(part.token.text); break
      case 'finished': sendJson(response, 200, wholeOf(source, texts, part)); break
      case 'plain': sendPlain(part.response, response); break
      case 'failed': sendFailure(response, part.failure); break
      case 'moved': sendFailure(response, movedFailure(part.retryAfter))
    }
  }
}

function begin (response: ServerResponse, gone: AbortSignal): void {
  if (response.headersSent || gone.aborted) return
  response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store' })
  response.flushHeaders()
}

function endStream (source: AnswerSource, end: AnswerEnd, response: ServerResponse, gone: AbortSignal): void {
  if (gone.aborted) return
  switch (end.kind) {
    case 'finished':
      begin(response, gone)
      response.write(formatEvent(JSON.stringify({ ...envelope(source), choices: [{ index: 0, delta: {}, finish_reason: end.finish }], usage: end.usage })))
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

function sendPlain (plain: PlainResponse, response: ServerResponse): void {
  const headers = new Map<string, string[]>()
  for (const [name, value] of plain.headers) headers.set(name, [...(headers.get(name) ?? []), value])
  for (const [name, values] of headers) response.setHeader(name, values.length === 1 ? values[0] as string : values)
  response.setHeader(ANSWER_HEADER, 'whole')
  response.writeHead(plain.status)
  response.end(Buffer.from(plain.body, 'base64'))
}

function wholeOf (source: AnswerSource, texts: readonly string[], end: Extract<AnswerEnd, { kind: 'finished' }>): object {
  return {
    id: source.id,
    object: 'chat.completion',
    model: source.class,
    choices: [{ index: 0, message: { role: 'assistant', content: texts.join('') }, finish_reason: end.finish }],
    usage: end.usage
  }
}

function tokenChunk (source: AnswerSource, content: string): string {
  return JSON.stringify({ ...envelope(source), choices: [{ index: 0, delta: { content }, finish_reason: null }] })
}

function envelope (source: AnswerSource): { id: string, object: string, model: string } {
  return { id: source.id, object: 'chat.completion.chunk', model: source.class }
}

function movedFailure (retryAfter: Milliseconds): ServingError {
  return new ServingError('the request continues at another node; ask there with its id', { code: 'moved', verdict: 'may-have-run', retryAfter })
}

function closeSignal (response: ServerResponse): AbortSignal {
  const gone = new AbortController()
  response.once('close', () => gone.abort(CLOSED))
  if (response.destroyed) gone.abort()
  return gone.signal
}
