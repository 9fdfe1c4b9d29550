/** One connection that follows a stream of an engine stand-in as server-sent events. */
import type { ServerResponse } from 'node:http'
import { formatEvent } from '../../src/protocols/server-sent-events.js'
import type { Stream } from './stream.js'
import type { EngineFaults } from './types.js'

/** Faults that concern only the connection that began the answer. */
interface ConnectionFaults {
  readonly silentAfter: number | undefined
  readonly resetAfter: number | undefined
}

/**
 * Writes a stream from an offset on, as fast as it grows and the reader takes it, until its final
 * mark or the end of the connection.
 *
 * @param first whether this connection began the answer
 * @example
 * await follow(stream, 0, true, faults, response)
 */
export async function follow (stream: Stream, offset: number, first: boolean, faults: EngineFaults, response: ServerResponse): Promise<void> {
  const connectionFaults: ConnectionFaults = first ? faults : { silentAfter: undefined, resetAfter: undefined }
  response.writeHead(200, { 'content-type': 'text/event-stream', 'x-stream-handle': stream.handle })
  response.flushHeaders()
  let next = offset
  while (!response.destroyed) {
    while (next < stream.sent && !response.destroyed) {
      const written = next - offset
      if (reached(connectionFaults.silentAfter, written)) return
      if (reached(connectionFaults.resetAfter, written)) return reset(response)
      const pair = faults.outOfOrder && next + 1 < stream.sent ? [next + 1, next] : [next]
      for (const position of pair) await writeToken(stream, position, faults, response)
      next += pair.length
    }
    if (stream.state === 'finished' && next >= stream.sent) return finish(stream, response)
    if (stream.state === 'cancelled') return reset(response)
    if (next >= stream.sent) await changed(stream, response)
  }
}

function reached (bound: number | undefined, written: number): boolean {
  return bound !== undefined && written >= bound
}

/**
 * Ends the connection without a final mark, as the death of a process or of a path does. A socket that
 * is being shut down cannot be reset: its handle would stay open and keep the event loop busy for good.
 */
function reset (response: ServerResponse): void {
  const { socket } = response
  if (socket === null) return
  if (socket.writableEnded) socket.destroy()
  else socket.resetAndDestroy()
}

/** Resolves when the stream has changed or the connection has closed. */
function changed (stream: Stream, response: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    const finish = (): void => {
      stream.followers.delete(finish)
      response.off('close', finish)
      resolve()
    }
    stream.followers.add(finish)
    response.once('close', finish)
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
    const finish = (): void => {
      response.off('drain', finish)
      response.off('close', finish)
      resolve()
    }
    response.once('drain', finish)
    response.once('close', finish)
  })
}

function tokenEvent (id: string, offset: number, content: string): string {
  return formatEvent(JSON.stringify({ id, offset, choices: [{ index: 0, delta: { content }, finish_reason: null }] }), offset)
}

function finish (stream: Stream, response: ServerResponse): void {
  const usage = { prompt_tokens: stream.promptTokens, completion_tokens: stream.words.length, cached_tokens: stream.cachedTokens }
  response.write(formatEvent(JSON.stringify({ id: stream.handle, choices: [{ index: 0, delta: {}, finish_reason: 'stop' }], usage })))
  response.end(formatEvent('[DONE]'))
}
