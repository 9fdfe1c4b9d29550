/** Stand-in of a faulty upstream whose answers never end, until the caller closes the connection. */
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { HEADER } from '../../platform/names.js'

/** A running faulty upstream. */
export interface EndlessUpstream {
  readonly id: string
  readonly address: string
  /** Bytes that it has handed to its connections, for each request that it has read. */
  readonly sent: readonly number[]
  /** Number of requests that are still being answered. */
  open (): number
  close (): Promise<void>
}

/** What an answer consists of: bytes that are sent once, and bytes that are repeated without end. */
export interface EndlessAnswer {
  /** @param request id of the request */
  readonly begin: (request: string) => string
  readonly repeated: string
}

/** Size of a write. Shorter repeated texts are repeated within it, unless it is smaller than they are. */
const WRITE_BYTES = 65_536

/**
 * Starts an upstream that answers each request in this way.
 *
 * @param writeBytes size of each write; small writes come in as many reads
 * @example
 * const upstream = await serveEndlessUpstream('i-1', { begin: () => 'HTTP/1.1 200 OK\r\n', repeated: 'x: y\r\n' })
 */
export async function serveEndlessUpstream (id: string, { begin, repeated }: EndlessAnswer, writeBytes = WRITE_BYTES): Promise<EndlessUpstream> {
  const filler = Buffer.from(repeated.repeat(Math.max(1, Math.floor(writeBytes / repeated.length))))
  const sockets = new Set<Socket>()
  const sent: number[] = []
  let open = 0

  const server = createServer({ noDelay: true }, (socket) => {
    sockets.add(socket)
    let head = ''
    socket.on('error', () => {})
    socket.on('close', () => sockets.delete(socket))
    socket.on('data', (chunk) => {
      head += String(chunk)
      const request = requestId(head)
      if (request === undefined) return
      head = ''
      answer(socket, request)
    })
  })

  function answer (socket: Socket, request: string): void {
    const index = sent.push(0) - 1
    open += 1
    socket.on('close', () => { open -= 1 })
    const write = (bytes: Buffer): boolean => {
      sent[index]! += bytes.length
      return socket.write(bytes)
    }
    const repeat = (): void => {
      // Other connections get their turn after each write.
      if (!socket.destroyed && write(filler)) setImmediate(repeat)
    }
    socket.on('drain', repeat)
    write(Buffer.from(begin(request)))
    repeat()
  }

  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return {
    id,
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    sent,
    open: () => open,
    close: async () => {
      for (const socket of sockets) socket.destroy()
      await new Promise((resolve) => server.close(resolve))
    }
  }
}

/** Id of a request whose head and body have come. */
function requestId (text: string): string | undefined {
  const end = text.indexOf('\r\n\r\n')
  if (end < 0) return undefined
  const length = Number(/\r\ncontent-length: (\d+)/i.exec(text)?.[1] ?? 0)
  if (text.length - end - 4 < length) return undefined
  return new RegExp(`\\r\\n${HEADER.requestId}: (\\S+)`, 'i').exec(text)?.[1] ?? 'none'
}
