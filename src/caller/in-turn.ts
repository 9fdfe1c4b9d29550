/** Handles the requests of each connection one after another. */
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { holdReading, PORTION_BYTES, releaseReading } from './paced-reading.js'
import type { RequestMemory, RequestShare } from './request-memory.js'

/** Memory that the runtime keeps for a request that waits behind another one, in bytes, with a small head and without its body. */
const WAITING_REQUEST_BYTES = 8_192

/** Memory that the runtime keeps for the pieces of a body in chunks of which one portion holds as many as it can, in bytes. */
const MAX_PIECES_BYTES = 327_680

/**
 * Requests that may wait before nothing more is read from their connection. While it is read, a caller that leaves is noticed, and the request
 * in progress is ended.
 */
const MAX_READ_AHEAD = 16

/** Requests of one connection. */
interface Turns {
  latest: ServerResponse | undefined
  waiting: number
  /** Number of those with a body, which may not have come whole. */
  waitingBodies: number
  /** Memory of those that wait, in bytes. */
  waitingBytes: number
  readonly share: RequestShare
}

/**
 * Wraps a handler so that it is called for one request of a connection at a time, and for none behind an answer that ends its connection.
 *
 * Failure guarded against: a pipelined request is run, and its answer can't be sent, since the connection has ended with the answer before
 * it. Nothing tells that its caller has left either, as node:http reports the end of a connection to the answer in progress alone.
 *
 * Failure guarded against: a caller sends requests behind one that isn't answered, or whose answer it doesn't read, and those that wait fill the
 * memory of the process. Nothing more is read from the connection while many wait, or one with a body, and what has been read already takes
 * its part of the memory of all requests. Where there is no room, or others need it after a second, the connection is closed: none of those that wait has
 * been sent on. The answer in progress breaks off with it, and promises nothing.
 *
 * @example
 * const server = createServer(inTurn(handle, memory))
 */
export function inTurn (handle: RequestListener, memory: RequestMemory): RequestListener {
  const connections = new WeakMap<Socket, Turns>()

  function turnsOf (socket: Socket): Turns {
    const turns = connections.get(socket) ?? { latest: undefined, waiting: 0, waitingBodies: 0, waitingBytes: 0, share: memory.open() }
    if (connections.has(socket)) return turns
    connections.set(socket, turns)
    socket.once('close', turns.share.release)
    return turns
  }

  /** @returns whether there is room for one more request that waits */
  function wait (request: IncomingMessage, turns: Turns, bytes: number): boolean {
    const { socket } = request
    turns.waiting += 1
    turns.waitingBytes += bytes
    if (hasBody(request)) turns.waitingBodies += 1
    turns.share.onYield(() => socket.destroy())
    if (!turns.share.hold(turns.waitingBytes)) return false
    // The rest of a body is read once its request has its turn.
    if (turns.waiting >= MAX_READ_AHEAD || turns.waitingBodies > 0) holdReading(socket)
    return true
  }

  function endWait (request: IncomingMessage, turns: Turns, bytes: number): void {
    const { socket } = request
    turns.waiting -= 1
    turns.waitingBytes -= bytes
    if (hasBody(request)) turns.waitingBodies -= 1
    if (!isOpen(socket)) return
    turns.share.hold(turns.waitingBytes)
    if (turns.waiting < MAX_READ_AHEAD && turns.waitingBodies === 0) releaseReading(socket)
  }

  return (request, response) => {
    const { socket } = request
    // The parser goes on with what it has been given after the connection has been closed.
    if (!isOpen(socket)) return
    const turns = turnsOf(socket)
    const previous = turns.latest
    turns.latest = response
    if (previous === undefined || previous.closed) {
      handle(request, response)
      return
    }
    const bytes = waitingBytes(request)
    if (!wait(request, turns, bytes)) {
      socket.destroy()
      return
    }
    previous.once('close', () => {
      endWait(request, turns, bytes)
      if (isOpen(socket)) handle(request, response)
    })
  }
}

/** Memory that a request takes while it waits, with what has been read of its body. Pieces of a body may be of one byte where it comes in chunks. */
function waitingBytes ({ headers }: IncomingMessage): number {
  if (headers['transfer-encoding'] !== undefined) return WAITING_REQUEST_BYTES + MAX_PIECES_BYTES
  return WAITING_REQUEST_BYTES + Math.min(PORTION_BYTES, Number(headers['content-length'] ?? 0))
}

/**
 * Whether a request has a body, which may not have come yet.
 *
 * @example
 * if (hasBody(request)) refuse(response)
 */
export function hasBody ({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0
}

function isOpen (socket: Socket): boolean {
  return !socket.destroyed && !socket.writableEnded
}
