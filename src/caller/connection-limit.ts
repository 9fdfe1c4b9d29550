/**
 * Limits the connections of a server.
 *
 * Failure guarded against: callers take all connections and send nothing, or stop in the middle of a request or an answer. All others are
 * turned away for as long as these stay.
 *
 * Where there is no room for a new connection, one that has waited for its caller for a while is closed: first those on which no request ever
 * came, then those whose request or answer stands still, then those that are idle. One whose request waits for this process is never closed.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Clock, Milliseconds } from '../clock.js'

/** Options of {@link limitCallerConnections}. */
export interface ConnectionLimitOptions {
  readonly max: number
  readonly clock: Pick<Clock, 'now'>
  /** Called when a connection was closed to make room, and when one was turned away as none could be. */
  readonly onFull: (what: 'closed' | 'turned-away') => void
}

/** Time for which a connection must have waited for its caller before it may be closed. */
const MIN_WAIT: Milliseconds = 1_000

/** Time after which connections are looked through again once none could be closed. */
const SEARCH_PAUSE: Milliseconds = 50

interface Connection {
  readonly socket: Socket
  readonly openedAt: Milliseconds
  request: IncomingMessage | undefined
  response: ServerResponse | undefined
  /** Bytes that had been read and written at {@link Connection.movedAt}. */
  moved: number
  movedAt: Milliseconds
}

/** What a connection waits for, if not for this process. */
type Wait = 'first-request' | 'caller' | 'next-request'

/** The order in which connections are closed. */
const ORDER: readonly Wait[] = ['first-request', 'caller', 'next-request']

/**
 * Limits the connections of a server that isn't listening yet.
 *
 * @example
 * limitCallerConnections(server, { max: 2_660, clock, onFull: (what) => metrics.count('connections_full', { what }) })
 */
export function limitCallerConnections (server: Server, { max, clock, onFull }: ConnectionLimitOptions): void {
  const connections = new Map<Socket, Connection>()
  let nextSearchAt = -Infinity

  server.on('connection', (socket) => {
    const now = clock.now()
    if (connections.size >= max && !closeOne(now)) {
      socket.destroy()
      onFull('turned-away')
      return
    }
    connections.set(socket, { socket, openedAt: now, request: undefined, response: undefined, moved: 0, movedAt: now })
    socket.once('close', () => connections.delete(socket))
  })
  server.on('request', (request, response) => {
    const connection = connections.get(request.socket)
    if (connection === undefined) return
    connection.request = request
    connection.response = response
  })

  /** @returns whether a connection has been closed */
  function closeOne (now: Milliseconds): boolean {
    if (now < nextSearchAt) return false
    const closed = findLongestWaiting(now)
    if (closed === undefined) {
      nextSearchAt = now + SEARCH_PAUSE
      return false
    }
    connections.delete(closed.socket)
    closed.socket.destroy()
    onFull('closed')
    return true
  }

  function findLongestWaiting (now: Milliseconds): Connection | undefined {
    let found: { readonly connection: Connection, readonly rank: number, readonly since: Milliseconds } | undefined
    for (const connection of connections.values()) {
      noteMoved(connection, now)
      const wait = waitOf(connection)
      if (wait === undefined) continue
      const rank = ORDER.indexOf(wait)
      const since = wait === 'first-request' ? connection.openedAt : connection.movedAt
      if (now - since < MIN_WAIT) continue
      if (found === undefined || rank < found.rank || (rank === found.rank && since < found.since)) found = { connection, rank, since }
    }
    return found?.connection
  }
}

function noteMoved (connection: Connection, now: Milliseconds): void {
  const { bytesRead, bytesWritten, writableLength } = connection.socket
  const moved = bytesRead + bytesWritten - writableLength
  if (moved === connection.moved) return
  connection.moved = moved
  connection.movedAt = now
}

function waitOf ({ socket, request, response }: Connection): Wait | undefined {
  // What has come and isn't read yet waits for this process.
  if (socket.readableLength > 0 && socket.writableLength === 0) return undefined
  if (response === undefined) return 'first-request'
  if (response.closed) return 'next-request'
  return request?.complete === false || socket.writableLength > 0 ? 'caller' : undefined
}
