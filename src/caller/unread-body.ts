/** Ends answers to requests whose bodies haven't been read whole. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Milliseconds } from '../clock.js'

/** Longest time for which the rest of a body is read and dropped. */
const DROP_TIMEOUT: Milliseconds = 1_000

/** Bytes of the connection after which no more of the body is dropped. */
const MAX_DROPPED_BYTES = 1_048_576

/**
 * Ends an answer. Its head, with its length and `Connection: close`, has been set, or written.
 *
 * Failure guarded against: the connection is closed while its caller still sends. The kernel resets it then, and the caller loses the answer
 * that tells it whether the request was run. So the answer is sent at once, and the rest of the body is dropped for a while
 * before the connection is closed.
 *
 * @example
 * response.writeHead(413, { 'content-length': body.length, connection: 'close' })
 * endUnread(response, body)
 */
export function endUnread (response: ServerResponse, body: string | Buffer): void {
  const request = response.req
  if (request.complete || request.destroyed) {
    response.end(body)
    return
  }
  if (body.length > 0) response.write(body)
  else response.flushHeaders()
  dropRest(request, () => response.end())
}

function dropRest (request: IncomingMessage, done: () => void): void {
  const { socket } = request
  const most = socket.bytesRead + MAX_DROPPED_BYTES
  const timer = setTimeout(finish, DROP_TIMEOUT)
  request.on('data', drop)
  request.once('close', finish)
  request.resume()

  function drop (): void {
    if (socket.bytesRead > most) finish()
  }

  function finish (): void {
    clearTimeout(timer)
    request.removeListener('data', drop)
    request.removeListener('close', finish)
    done()
  }
}
