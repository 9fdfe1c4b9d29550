/**
 * Framing of what a relaying node passes on from an upstream, so that the end of the upstream's connection differs from any other end.
 *
 * Failure guarded against: the kernel ends the connections of a killed process in the usual way. Without frames this looks like
 * the end of an answer that ends with its connection, and half of it like the whole.
 *
 * A frame is a header of four bytes, a number with its highest byte first, and as many bytes of the upstream as it says. Three
 * numbers carry no bytes: {@link END_HEADER}, {@link RESET_HEADER} and {@link LEAVING_HEADER}.
 */
import { Duplex, Transform } from 'node:stream'
import type { Socket } from 'node:net'
import { hasBeenReset, RESET_CODE, resetConnection } from '../connection-reset.js'

/** The upstream has ended its connection, and all that it sent precedes this header. */
const END_HEADER = 0

/** The upstream has reset its connection. */
const RESET_HEADER = 0xffffffff

/** The relaying node stops. What is in progress goes on, and nothing further should be sent. */
const LEAVING_HEADER = 0xfffffffe

/** Event of a stream of {@link openFramedStream}: the relaying node stops. */
export const RELAY_LEAVING = 'relay-leaving'

const HEADER_BYTES = 4

/** Code of the error of a relayed connection that ended although its upstream had not ended it. */
const RELAY_LOST_CODE = 'RELAY_LOST'

/**
 * Relays what an upstream sends in frames.
 *
 * @param upstream connection to the upstream; ended in order or not, the node at the other end of `peer` is told
 * @returns function that tells the other node that this one stops
 * @example
 * const announceLeaving = relayInFrames(outbound, peer)
 */
export function relayInFrames (upstream: Socket, peer: Socket): () => void {
  let endHeader = END_HEADER
  const encoder = new Transform({
    transform: (chunk: Buffer, _encoding, done) => done(null, Buffer.concat([createHeader(chunk.length), chunk])),
    flush: (done) => done(null, createHeader(endHeader))
  })
  upstream.once('end', () => { if (hasBeenReset(upstream)) endHeader = RESET_HEADER })
  upstream.pipe(encoder).pipe(peer)
  upstream.once('close', () => {
    if (upstream.readableEnded) return
    encoder.push(createHeader(RESET_HEADER))
    encoder.push(null)
  })
  return () => { if (!upstream.readableEnded && !upstream.closed) encoder.push(createHeader(LEAVING_HEADER)) }
}

/** Receives the content of frames. */
interface FrameHandler {
  data (bytes: Buffer): void
  ended (): void
  reset (): void
  leaving (): void
}

/**
 * Creates the connection to an upstream from one to a relaying node: bytes of the upstream are read from its frames, and bytes to it
 * are written as they are. Where the upstream did not end its connection, it fails once all that came before has been read: with
 * `ECONNRESET` if the upstream reset it, otherwise with an error that {@link isRelayLost} recognises. It emits {@link RELAY_LEAVING}
 * when the relaying node stops.
 *
 * @example
 * const stream = openFramedStream(socket)
 */
export function openFramedStream (socket: Socket): Duplex {
  let isEnded = false
  let failure: Error | undefined
  const stream = new Duplex({
    // Nothing is read before the user of the stream reads, so that none of its events precede the listeners of that user.
    read: () => {
      if (socket.listenerCount('data') === 0) socket.on('data', (chunk: Buffer) => { if (!isEnded) decode(chunk) })
      socket.resume()
    },
    write: (chunk: Buffer, _encoding, done) => { socket.write(chunk, done) },
    final: (done) => { socket.end(done) },
    destroy: (error, done) => {
      if (error === null) socket.destroy()
      else resetConnection(socket)
      done(error)
    }
  })
  // A connection that fails before anyone listens must not end the process.
  stream.on('error', () => {})
  const read = stream.read.bind(stream)
  stream.read = (size) => {
    const chunk = read(size)
    if (failure !== undefined) process.nextTick(failOnceRead)
    return chunk
  }

  function failOnceRead (): void {
    if (stream.readableLength === 0) stream.destroy(failure)
  }

  function fail (error: Error): void {
    if (isEnded || failure !== undefined || stream.destroyed) return
    failure = error
    failOnceRead()
  }

  const decode = createFrameDecoder({
    data: (bytes) => { if (!stream.push(bytes)) socket.pause() },
    ended: () => {
      isEnded = true
      stream.push(null)
    },
    reset: () => fail(createError('the upstream reset its connection', RESET_CODE)),
    leaving: () => stream.emit(RELAY_LEAVING)
  })
  socket.on('error', (error) => fail(createError(`the connection to the relaying node failed: ${error.message}`, RELAY_LOST_CODE)))
  socket.on('close', () => fail(createError('the relaying node ended the connection', RELAY_LOST_CODE)))
  return stream
}

/**
 * Whether an exchange failed since the relaying node ended its connection. It says nothing about the upstream.
 *
 * @example
 * if (isRelayLost(error)) return // the upstream is not to blame
 */
export function isRelayLost (error: unknown): boolean {
  return (error as NodeJS.ErrnoException | undefined)?.code === RELAY_LOST_CODE
}

/** @returns function that takes the bytes of a connection in any division */
function createFrameDecoder ({ data, ended, reset, leaving }: FrameHandler): (chunk: Buffer) => void {
  let header = Buffer.alloc(0)
  /** Bytes of the present frame that have not come yet. */
  let missing = 0

  function takeHeader (chunk: Buffer): Buffer {
    const taken = chunk.subarray(0, HEADER_BYTES - header.length)
    header = Buffer.concat([header, taken])
    if (header.length === HEADER_BYTES) endHeader(header.readUInt32BE())
    return chunk.subarray(taken.length)
  }

  function endHeader (value: number): void {
    header = Buffer.alloc(0)
    switch (value) {
      case END_HEADER: return ended()
      case RESET_HEADER: return reset()
      case LEAVING_HEADER: return leaving()
      default: missing = value
    }
  }

  function takeContent (chunk: Buffer): Buffer {
    const content = chunk.subarray(0, missing)
    missing -= content.length
    data(content)
    return chunk.subarray(content.length)
  }

  return (chunk) => {
    let rest = chunk
    while (rest.length > 0) rest = missing > 0 ? takeContent(rest) : takeHeader(rest)
  }
}

function createHeader (value: number): Buffer {
  const header = Buffer.alloc(HEADER_BYTES)
  header.writeUInt32BE(value)
  return header
}

function createError (message: string, code: string): Error {
  return Object.assign(new Error(message), { code })
}
