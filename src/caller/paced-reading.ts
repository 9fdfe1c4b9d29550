/**
 * Reads the connections of callers in portions, a bounded number of bytes in each turn of the event loop.
 *
 * Failure guarded against: what callers send costs many times its bytes once it is parsed, as an object for each request and each piece of a
 * body. The event loop reads all connections, and each up to 32 times, before it closes those that were refused and gives back what they took.
 * With a few hundred full ones the memory of the process runs out in one turn, and it answers nobody meanwhile. Here the rest stays unparsed,
 * and takes part in the memory of all requests.
 *
 * Failure guarded against: node:http resumes a paused connection at the end of each message, and reads on for a request that must wait. What is
 * held here stays unread until it is released.
 *
 * The queues are those of the process, which has one event loop.
 */
import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import type { RequestMemory, RequestShare } from './request-memory.js'

/** Most bytes of a connection that are parsed at once. What is held in the middle has parsed no more than these. */
export const PORTION_BYTES = 4_096

/** Bytes that are parsed as they arrive, of all connections, before the others wait for the next turn. */
const DIRECT_BYTES = 32_768

/** Bytes of one connection that are parsed as they arrive before it waits for the next turn. */
const DIRECT_CONNECTION_BYTES = 8_192

/** Bytes that are parsed in a turn of the connections that wait and had nothing pending before, and of one of them: most requests without a body. */
const NEWCOMERS_BYTES = 16_384
const NEWCOMER_PORTION_BYTES = 1_024

/** Bytes that are parsed in a turn of the other connections that wait. */
const OTHERS_BYTES = 8_192

interface Connection {
  readonly socket: Socket
  /** Hands bytes to the parser of node:http. */
  readonly parse: (bytes: Buffer) => void
  /** Memory of the bytes that are not parsed yet. */
  readonly unread: RequestShare
  /** By node:http, while a body or an answer isn't taken. */
  isPaused: boolean
  /** By {@link holdReading}. */
  isHeld: boolean
  isQueued: boolean
}

const connections = new WeakMap<Socket, Connection>()

/** Connections that wait for a turn and had nothing pending before: an ordinary request is read before the rest of large ones. */
const newcomers: Connection[] = []
const others: Connection[] = []

let parsedDirectly = 0
let isTurnDue = false

/**
 * Paces the reading of a server that isn't listening yet.
 *
 * @param memory for what has come and is not parsed yet
 * @example
 * paceReading(createServer(handle), memory)
 */
export function paceReading (server: Server, memory: RequestMemory): void {
  server.on('connection', (socket) => {
    // The listener that node:http has just added is its only one, and takes bytes in any portions.
    const parse = socket.listeners('data')[0] as Connection['parse']
    const connection: Connection = { socket, parse, unread: memory.open(), isPaused: false, isHeld: false, isQueued: false }
    connections.set(socket, connection)
    takeOver(connection)
  })
}

/**
 * Parses nothing more of a connection until {@link releaseReading}.
 *
 * @example
 * if (waiting >= MAX_READ_AHEAD) holdReading(socket)
 */
export function holdReading (socket: Socket): void {
  const connection = connections.get(socket)
  if (connection !== undefined) connection.isHeld = true
}

/**
 * Reads on after {@link holdReading}.
 *
 * @example
 * releaseReading(socket)
 */
export function releaseReading (socket: Socket): void {
  const connection = connections.get(socket)
  if (connection?.isHeld !== true) return
  connection.isHeld = false
  process.nextTick(readDirectly, connection)
}

/** Reads in place of node:http, whose calls to pause and to resume are obeyed. */
function takeOver (connection: Connection): void {
  const { socket, parse, unread } = connection
  socket.removeListener('data', parse)
  socket.pause = () => {
    connection.isPaused = true
    return socket
  }
  socket.resume = () => {
    if (connection.isPaused) process.nextTick(readDirectly, connection)
    connection.isPaused = false
    return socket
  }
  unread.onYield(() => socket.destroy())
  socket.on('readable', () => readDirectly(connection))
  socket.once('close', unread.release)
}

function mayRead ({ socket, isPaused, isHeld }: Connection): boolean {
  return !isPaused && !isHeld && !socket.destroyed
}

/** Reads what has just come. */
function readDirectly (connection: Connection): void {
  if (connection.isQueued) return
  const start = parsedDirectly
  while (mayRead(connection)) {
    if (parsedDirectly >= DIRECT_BYTES) return enqueue(parsedDirectly === start ? newcomers : others, connection)
    if (parsedDirectly - start >= DIRECT_CONNECTION_BYTES) return enqueue(others, connection)
    const bytes = readPortion(connection)
    if (bytes === 0) break
    parsedDirectly += bytes
  }
  countUnread(connection)
}

/** @returns the number of bytes that were parsed; 0 if there are none */
function readPortion ({ socket, parse }: Connection, most = PORTION_BYTES): number {
  const length = Math.min(most, socket.readableLength)
  // Without a length, a read tells of the end of the connection.
  const bytes = (length === 0 ? socket.read() : socket.read(length)) as Buffer | null
  if (bytes === null) return 0
  // After the last answer, and after what is no request, the rest means nothing.
  if (socket.writable) parse(bytes)
  return bytes.length
}

/** Where there is no room for a connection that waits for its turn, it is read soon, and its request is refused. */
function countUnread ({ socket, unread, isHeld }: Connection): void {
  if (socket.destroyed) return
  const hasRoom = unread.hold(socket.readableLength)
  if (!hasRoom && isHeld) socket.destroy()
}

function enqueue (queue: Connection[], connection: Connection): void {
  countUnread(connection)
  connection.isQueued = true
  queue.push(connection)
  if (isTurnDue) return
  isTurnDue = true
  setImmediate(takeTurn)
}

function takeTurn (): void {
  isTurnDue = false
  parsedDirectly = 0
  // The queues grow again while they are read.
  const read = [...takePortions(newcomers, NEWCOMERS_BYTES, NEWCOMER_PORTION_BYTES), ...takePortions(others, OTHERS_BYTES, PORTION_BYTES)]
  for (const connection of read) {
    if (connection.socket.readableLength > 0 && mayRead(connection)) enqueue(others, connection)
    else readDirectly(connection)
  }
  if (!isTurnDue && newcomers.length + others.length > 0) {
    isTurnDue = true
    setImmediate(takeTurn)
  }
}

/** @returns the connections of which a portion was read */
function takePortions (queue: Connection[], bytes: number, portion: number): Connection[] {
  const read: Connection[] = []
  for (let left = bytes; left > 0 && queue.length > 0;) {
    const connection = queue.shift()!
    connection.isQueued = false
    read.push(connection)
    if (mayRead(connection)) left -= readPortion(connection, portion)
    connection.unread.arrived(PORTION_BYTES)
  }
  return read
}
