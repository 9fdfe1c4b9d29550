/**
 * Resets connections whose request has been given up.
 *
 * Failure guarded against: a connection that is closed is still sent what the kernel holds for it. Where its path is cut, a
 * request that was given up arrives at its upstream seconds later, once the path is whole. A reset drops what was not sent.
 */
import type { Socket } from 'node:net'

/**
 * Resets a connection, and destroys its socket at once. One that has sent its last byte is closed in the usual way.
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
