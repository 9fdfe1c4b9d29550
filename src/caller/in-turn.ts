/** Handles the requests of each connection one after another. */
import type { RequestListener, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { RequestMemory, RequestShare } from './request-memory.js'

/** Memory that the runtime keeps for a request that waits behind another one, in bytes, with a small head. */
const WAITING_REQUEST_BYTES = 8_192

/**
 * Requests that may wait before nothing more is read from their connection. While it is read, a caller that leaves is noticed, and the request
 * in progress is ended.
 */
const MAX_READ_AHEAD = 16

/** Requests of one connection. */
interface Turns {
  latest: ServerResponse | undefined
  waiting: number
  readonly share: RequestShare
}

/**
 * Wraps a handler so that it is called for one request of a connection at a time, and for none behind an answer that ends its connection.
 *
 * Failure guarded against: a pipelined request is run, and its answer can't be sent, since the connection has ended with the answer before
 * it. Nothing tells that its caller has left either, as node:http reports the end of a connection to the answer in progress alone.
 *
 * Failure guarded against: a caller sends requests behind one that isn't answered, or whose answer it doesn't read, and those that wait fill the
 * memory of the process. Nothing more is read from the connection while some wait, and what has been read already takes its part of
 * the memory of all requests. Where there is no room the connection is closed: none of those that wait has been sent on.
 *
 * @example
 * const server = createServer(inTurn(handle, memory))
 */
export function inTurn (handle: RequestListener, memory: RequestMemory): RequestListener {
  const connections = new WeakMap<Socket, Turns>()

  function turnsOf (socket: Socket): Turns {
    const turns = connections.get(socket) ?? { latest: undefined, waiting: 0, share: memory.open() }
    if (connections.has(socket)) return turns
    connections.set(socket, turns)
    socket.once('close', turns.share.release)
    return turns
  }

  /** @returns whether there is room for one more request that waits */
  function wait (socket: Socket, turns: Turns): boolean {
    turns.waiting += 1
    turns.share.onYield(() => socket.destroy())
    if (!turns.share.hold(turns.waiting * WAITING_REQUEST_BYTES)) return false
    if (turns.waiting >= MAX_READ_AHEAD) socket.pause()
    return true
  }

  function endWait (socket: Socket, turns: Turns): void {
    turns.waiting -= 1
    if (!isOpen(socket)) return
    turns.share.hold(turns.waiting * WAITING_REQUEST_BYTES)
    if (turns.waiting < MAX_READ_AHEAD && socket.isPaused()) socket.resume()
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
    if (!wait(socket, turns)) {
      socket.destroy()
      return
    }
    previous.once('close', () => {
      endWait(socket, turns)
      if (isOpen(socket)) handle(request, response)
    })
  }
}

function isOpen (socket: Socket): boolean {
  return !socket.destroyed && !socket.writableEnded
}
