/**
 * Reads connections whose bytes come in very small pieces one after another.
 *
 * Failure guarded against: a process stands still for as long as many callers send bodies in chunks of one byte. Each chunk costs microseconds,
 * a read holds ten thousand of them, and the event loop would read each connection up to 32 times, and all of them, before it turns to
 * anything else. In each of its turns one such connection is read once. A caller that is alone is not held up.
 *
 * The state is that of the process, which has one event loop.
 */
import type { Socket } from 'node:net'

/** Size, in bytes, below which a piece is small. */
const SMALL_PIECE_BYTES = 64

/** Small pieces of one connection after which it waits for its turn. */
const MAX_SMALL_PIECES = 512

const smallPieces = new WeakMap<Socket, number>()
const waiting: Socket[] = []

/**
 * Counts a piece that has been read. Once there are many small ones, nothing more is read from the connection until its turn has come.
 *
 * @example
 * request.on('data', (piece) => notePiece(request.socket, piece.length))
 */
export function notePiece (socket: Socket, bytes: number): void {
  if (bytes >= SMALL_PIECE_BYTES) return
  const pieces = (smallPieces.get(socket) ?? 0) + 1
  smallPieces.set(socket, pieces)
  if (pieces === MAX_SMALL_PIECES) wait(socket)
}

function wait (socket: Socket): void {
  waiting.push(socket)
  socket.on('resume', pauseAgain)
  socket.pause()
  if (waiting.length === 1) setImmediate(giveTurn)
}

/** A body that is read resumes its connection as soon as it has been told of all that came. */
function pauseAgain (this: Socket): void {
  this.pause()
}

function giveTurn (): void {
  const socket = waiting.shift()
  if (waiting.length > 0) setImmediate(giveTurn)
  if (socket === undefined) return
  smallPieces.delete(socket)
  socket.removeListener('resume', pauseAgain)
  socket.resume()
}
