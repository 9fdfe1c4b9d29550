/** Resets of TCP connections, those of this process and those of the other end. */
import type { Socket } from 'node:net'

/** Code of the error of a connection that the other end has reset. */
export const RESET_CODE = 'ECONNRESET'

/**
 * Whether the other end has reset a connection, while its event `end` is handled. The socket must not have been asked for its addresses
 * before, as it keeps them.
 *
 * Failure guarded against: libuv reports a reset that comes together with bytes as the end of a connection, and half an answer without
 * a length looks whole. A connection that was ended in order still has the address of its other end, and a reset one has none.
 *
 * @example
 * socket.once('end', () => report(hasBeenReset(socket) ? 'reset' : 'ended'))
 */
export function hasBeenReset (socket: Socket): boolean {
  return socket.remoteAddress === undefined
}

/**
 * Makes a reset of the other end an error of the socket also where it comes together with bytes, see {@link hasBeenReset}.
 *
 * @example
 * failOnReset(socket)
 * socket.on('error', ({ code }) => report(code)) // ECONNRESET
 */
export function failOnReset (socket: Socket): void {
  const push = socket.push.bind(socket)
  socket.push = (chunk, encoding) => {
    if (chunk !== null || !hasBeenReset(socket)) return push(chunk, encoding)
    // The bytes are read first: they may be the rest of an answer that tells its own end.
    setImmediate(() => socket.destroy(Object.assign(new Error('the connection was reset'), { code: RESET_CODE })))
    return false
  }
}

/**
 * Resets a connection, and destroys its socket at once. One that has sent its last byte is closed in the usual way.
 *
 * Failure guarded against: a connection that is closed is still sent what the kernel holds for it. Where its path is cut, a request
 * that was given up arrives at its upstream seconds later, once the path is whole. A reset drops what was not sent.
 *
 * @param error told to the listeners of the socket, as by `destroy`
 * @example
 * resetConnection(socket, new Error('the caller has left'))
 */
export function resetConnection (socket: Socket, error?: Error): void {
  if (socket.destroyed || socket.connecting || socket.writableEnded) {
    socket.destroy(error)
    return
  }
  const destroy = socket.destroy.bind(socket)
  // `resetAndDestroy` destroys the socket without an error, and an exchange on it would look complete.
  socket.destroy = () => destroy(error)
  socket.resetAndDestroy()
}

/**
 * Resets the connection of a socket when it is destroyed with an error that is not of the connection itself, as when an exchange on
 * it is given up.
 *
 * @returns the same socket
 * @example
 * const socket = resetOnError(await connected)
 */
export function resetOnError (socket: Socket): Socket {
  const destroy = socket.destroy.bind(socket)
  socket.destroy = (error) => {
    socket.destroy = destroy
    if (error === undefined || 'syscall' in error) return destroy(error)
    resetConnection(socket, error)
    return socket
  }
  return socket
}
