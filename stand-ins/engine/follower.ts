/** Writes a stream of an engine stand-in to one connection as server-sent events. */
import type { ServerResponse } from 'node:http'
import { formatEvent } from '../../src/protocols/server-sent-events.js'
import type { Stream } from './stream.js'
import type { EngineFaults } from './types.js'

/** Faults that affect only the connection that began the answer. */
interface ConnectionFaults {
  readonly silentAfter: number | undefined
  readonly resetAfter: number | undefined
}

/**
 * Writes a stream from an offset on, as its tokens are generated and with backpressure from the reader,
 * until the final event or the end of the connection.
 *
 * @param isFirstConnection whether this connection began the answer
 * @example
 * await writeStream(stream, 0, true, faults, response)
 */
export async function writeStream (stream: Stream, offset: number, isFirstConnection: boolean, faults: EngineFaults, response: ServerResponse): Promise<void> {
  const connectionFaults: ConnectionFaults = isFirstConnection ? faults : { silentAfter: undefined, resetAfter: undefined }
  response.writeHead(200, { 'content-type': 'text/event-stream', 'x-stream-handle': stream.handle })
  response.flushHeaders()
  let next = offset
  while (!response.destroyed) {
    while (next < stream.sent && !response.destroyed) {
      const written = next - offset
      if (hasReached(connectionFaults.silentAfter, written)) return
      if (hasReached(connectionFaults.resetAfter, written)) return reset(response)
      const positions = faults.outOfOrder && next + 1 < stream.sent ? [next + 1, next] : [next]
      for (const position of positions) await writeToken(stream, position, faults, response)
      next += positions.length
    }
    if (stream.state === 'finished' && next >= stream.sent) return writeFinalEvents(stream, response)
    if (stream.state === 'cancelled') return reset(response)
    if (next >= stream.sent) await waitForChange(stream, response)
  }
}

function hasReached (limit: number | undefined, written: number): boolean {
  return limit !== undefined && written >= limit
}

/**
 * Ends the connection without a final event, as a process crash or a network failure does. A socket that
 * is being shut down is destroyed instead: after a reset its handle would stay open and keep the event
 * loop alive forever.
 */
function reset (response: ServerResponse): void {
  const { socket } = response
  if (socket === null) return
  if (socket.writableEnded) socket.destroy()
  else socket.resetAndDestroy()
}

/** Resolves when the stream has changed or the connection has closed. */
function waitForChange (stream: Stream, response: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    const settle = (): void => {
      stream.followers.delete(settle)
      response.off('close', settle)
      resolve()
    }
    stream.followers.add(settle)
    response.once('close', settle)
  })
}

async function writeToken (stream: Stream, offset: number, faults: EngineFaults, response: ServerResponse): Promise<void> {
  if (faults.foreignEvents) await write(response, tokenEvent(`foreign-${stream.handle}`, offset, 'foreign '))
  await write(response, tokenEvent(stream.handle, offset, stream.words[offset] ?? ''))
  if (faults.duplicates && offset > 0) await write(response, tokenEvent(stream.handle, offset - 1, stream.words[offset - 1] ?? ''))
}

function write (response: ServerResponse, text: string): Promise<void> | void {
  if (response.destroyed || response.write(text)) return
  return new Promise((resolve) => {
    const settle = (): void => {
      response.off('drain', settle)
      response.off('close', settle)
      resolve()
    }
    response.once('drain', settle)
    response.once('close', settle)
  })
}

function tokenEvent (id: string, offset: number, content: string): string {
  return formatEvent(JSON.stringify({ id, offset, choices: [{ index: 0, delta: { content }, finish_reason: null }] }), offset)
}

function writeFinalEvents (stream: Stream, response: ServerResponse): void {
  const usage = { prompt_tokens: stream.promptTokens, completion_tokens: stream.words.length, cached_tokens: stream.cachedTokens }
  response.write(formatEvent(JSON.stringify({ id: stream.handle, choices: [{ index: 0, delta: {}, finish_reason: 'stop' }], usage })))
  response.end(formatEvent('[DONE]'))
}
