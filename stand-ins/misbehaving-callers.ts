/** Callers that send what no well-behaved one does, or unusual forms that are allowed. All of them stay connected until they are told to leave. */
import { connect } from 'node:net'
import type { Socket } from 'node:net'

/** Where callers connect and what their requests begin with. */
export interface CallerTarget {
  readonly port: number
  /** Request line and headers of a request with a body, each line ended, without framing and the empty line. `index` makes its id. */
  readonly head: (index: number) => string
}

/** How callers behave. */
export interface CallerBehaviour {
  /** Bytes that one caller sends, piece by piece. */
  readonly bytes: (target: CallerTarget, index: number) => Iterable<Buffer>
  /** Whether it reads what it is sent. Default true. */
  readonly reads?: boolean
  /** Whether each piece is sent by itself, so that it arrives by itself. */
  readonly apart?: boolean
}

/** Callers that are connected. */
export interface Crowd {
  /** Resolves when all have sent everything, have been cut off, or are no longer read from. */
  sent (): Promise<void>
  /** Statuses of the answers that were received. */
  statuses (): readonly number[]
  /** Closes the connections of all. */
  leave (): void
}

/** Time after which a caller whose bytes are not read sends no more, in milliseconds. */
const UNREAD_TIMEOUT_MS = 2_000

const KEPT_ANSWER_BYTES = 1_000

const LARGE_CHUNK_BYTES = 16_384

const PIECE_BYTES = 65_536

const END_OF_HEAD = '\r\n'

/**
 * Connects callers, which begin to send at once.
 *
 * @example
 * const crowd = openCrowd(target, 48, BEHAVIOURS.shortOfLength(4_194_304))
 * await crowd.sent()
 */
export function openCrowd (target: CallerTarget, callers: number, behaviour: CallerBehaviour): Crowd {
  const members = Array.from({ length: callers }, (_, index) => openMember(target, index, behaviour))
  return {
    sent: async () => { await Promise.all(members.map(({ sent }) => sent)) },
    statuses: () => members.flatMap(({ answer }) => [...answer().matchAll(/^HTTP\/1\.1 (\d{3}) /gm)].map((match) => Number(match[1]))),
    leave: () => { for (const { socket } of members) socket.destroy() }
  }
}

interface Member {
  readonly socket: Socket
  readonly sent: Promise<void>
  readonly answer: () => string
}

function openMember (target: CallerTarget, index: number, { bytes, reads = true, apart = false }: CallerBehaviour): Member {
  const socket = connect({ host: '127.0.0.1', port: target.port, noDelay: true, allowHalfOpen: true })
  let answer = ''
  // Being cut off is expected.
  socket.on('error', () => {})
  if (reads) socket.on('data', (received: Buffer) => { answer = (answer + received.toString('latin1')).slice(0, KEPT_ANSWER_BYTES) })
  return { socket, sent: send(socket, bytes(target, index), apart), answer: () => answer }
}

async function send (socket: Socket, bytes: Iterable<Buffer>, apart: boolean): Promise<void> {
  for (const piece of bytes) {
    if (socket.destroyed) return
    const isTaken = socket.write(piece)
    if (apart) await new Promise<void>((resolve) => setImmediate(resolve))
    if (!isTaken && !await isDrained(socket)) return
  }
}

function isDrained (socket: Socket): Promise<boolean> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => finish(false), UNREAD_TIMEOUT_MS)
    const onDrain = (): void => finish(true)
    const onClose = (): void => finish(false)
    socket.once('drain', onDrain)
    socket.once('close', onClose)
    function finish (drained: boolean): void {
      clearTimeout(timer)
      socket.removeListener('drain', onDrain)
      socket.removeListener('close', onClose)
      resolve(drained)
    }
  })
}

function * repeat (piece: Buffer, times: number): Iterable<Buffer> {
  for (let sent = 0; sent < times; sent += 1) yield piece
}

function * inPieces (unit: string, times: number): Iterable<Buffer> {
  const perPiece = Math.max(1, Math.floor(PIECE_BYTES / unit.length))
  yield * repeat(Buffer.from(unit.repeat(perPiece), 'latin1'), Math.floor(times / perPiece))
  yield Buffer.from(unit.repeat(times % perPiece), 'latin1')
}

function chunkOf (bytes: number): string {
  return `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`
}

function chunkedHead ({ head }: CallerTarget, index: number): Buffer {
  return Buffer.from(`${head(index)}transfer-encoding: chunked\r\n${END_OF_HEAD}`)
}

function lengthHead ({ head }: CallerTarget, index: number, length: number): Buffer {
  return Buffer.from(`${head(index)}content-length: ${length}\r\n${END_OF_HEAD}`)
}

/** Behaviours by name. */
export const BEHAVIOURS = {
  /** Large chunks, one short of the limit, and the end doesn't come. */
  shortOfLimitInLargeChunks: (limit: number): CallerBehaviour => ({
    bytes: function * (target, index) {
      yield chunkedHead(target, index)
      yield * inPieces(chunkOf(LARGE_CHUNK_BYTES), Math.floor(limit / LARGE_CHUNK_BYTES) - 1)
    }
  }),
  /** Chunks of one byte, and the end doesn't come. */
  oneByteChunks: (chunks: number): CallerBehaviour => ({
    bytes: function * (target, index) {
      yield chunkedHead(target, index)
      yield * inPieces(chunkOf(1), chunks)
    }
  }),
  /** Chunks of one byte that arrive one by one, and the end doesn't come. */
  oneByteChunksApart: (chunks: number): CallerBehaviour => ({
    apart: true,
    bytes: function * (target, index) {
      yield chunkedHead(target, index)
      yield * repeat(Buffer.from(chunkOf(1)), chunks)
    }
  }),
  /** A whole request, and behind it one in chunks of one byte whose end doesn't come. */
  oneByteChunksBehindAnother: (chunks: number): CallerBehaviour => ({
    bytes: function * (target, index) {
      yield Buffer.concat([lengthHead(target, index, 1), Buffer.from('x'), chunkedHead(target, index)])
      yield * inPieces(chunkOf(1), chunks)
    }
  }),
  /** The announced length but for the last byte. */
  shortOfLength: (length: number): CallerBehaviour => ({
    bytes: function * (target, index) {
      yield lengthHead(target, index, length)
      yield * inPieces('x', length - 1)
    }
  }),
  /** Announces a body and sends it, whatever is answered, and reads nothing. */
  overAnnounced: (length: number): CallerBehaviour => ({
    reads: false,
    bytes: function * (target, index) {
      yield lengthHead(target, index, length)
      yield * inPieces('x', length)
    }
  }),
  /** Sends chunks beyond any limit, whatever is answered, and reads nothing. */
  overInChunks: (length: number): CallerBehaviour => ({
    reads: false,
    bytes: function * (target, index) {
      yield chunkedHead(target, index)
      yield * inPieces(chunkOf(LARGE_CHUNK_BYTES), Math.floor(length / LARGE_CHUNK_BYTES))
    }
  }),
  /** Whole requests with bodies of this length, one after the other. */
  whole: (length: number): CallerBehaviour => ({
    bytes: function * (target, index) {
      yield lengthHead(target, index, length)
      yield * inPieces('x', length)
    }
  }),
  /** A whole body in chunks of this size, which divides its length. */
  wholeInChunks: (length: number, chunkBytes: number): CallerBehaviour => ({
    bytes: function * (target, index) {
      yield chunkedHead(target, index)
      yield * inPieces(chunkOf(chunkBytes), length / chunkBytes)
      yield Buffer.from('0\r\n\r\n')
    }
  }),
  /** Requests behind one another, whose answers are not read. */
  pipelined: (requests: number): CallerBehaviour => ({
    reads: false,
    bytes: ({ head }, index) => inPieces(`${head(index)}content-length: 1\r\n${END_OF_HEAD}x`, requests)
  }),
  /** Requests without a body behind one another, whose answers are not read. */
  pipelinedWithoutBody: (requests: number): CallerBehaviour => ({
    reads: false,
    bytes: ({ head }, index) => inPieces(`${head(index).replace('POST', 'GET')}${END_OF_HEAD}`, requests)
  }),
  /** The smallest requests behind one another, for nothing that exists, whose answers are not read. */
  smallest: (requests: number): CallerBehaviour => ({
    reads: false,
    bytes: () => inPieces(`GET /x HTTP/1.1\r\nhost: a\r\n${END_OF_HEAD}`, requests)
  }),
  /** Whole requests, whose answers are not read. */
  unreadAnswers: (): CallerBehaviour => ({
    reads: false,
    bytes: function * (target, index) { yield lengthHead(target, index, 0) }
  }),
  /** Part of a head. */
  halfHead: (bytes: number): CallerBehaviour => ({
    bytes: function * ({ head }, index) { yield Buffer.from(`${head(index)}x-filler: ${'x'.repeat(bytes)}`) }
  }),
  /** A chunk whose extension doesn't end. */
  endlessExtension: (bytes: number): CallerBehaviour => ({
    bytes: function * (target, index) {
      yield chunkedHead(target, index)
      yield Buffer.from('1;')
      yield * inPieces('x', bytes)
    }
  }),
  /** A whole body, whose trailers don't end. */
  endlessTrailers: (bytes: number): CallerBehaviour => ({
    bytes: function * (target, index) {
      yield chunkedHead(target, index)
      yield Buffer.from('1\r\nx\r\n0\r\n')
      yield * inPieces('x: y\r\n', Math.floor(bytes / 6))
    }
  }),
  /** Nothing at all. */
  silent: (): CallerBehaviour => ({ bytes: () => [] })
} as const
