/**
 * A server that answers each question with the same bytes and parses nothing, so that processor time
 * measured against it in the same process is nearly all the caller's.
 */
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { addressSchema } from '../../src/identifiers.js'
import type { Address } from '../../src/identifiers.js'

/** A listening server. */
export interface CannedServer {
  readonly address: Address
  close (): Promise<void>
}

/**
 * @param answer sent as JSON to whatever comes; questions must fit into one piece
 * @example
 * const server = await serveCanned({ upstream: 'engine-1', running: 3 })
 */
export async function serveCanned (answer: unknown): Promise<CannedServer> {
  const body = JSON.stringify(answer)
  const head = `HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: ${Buffer.byteLength(body)}\r\nconnection: keep-alive\r\n\r\n`
  const bytes = Buffer.from(head + body)
  const sockets = new Set<Socket>()
  const server = createServer((socket) => {
    sockets.add(socket)
    socket.on('data', () => socket.write(bytes))
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return {
    address: addressSchema.parse(`127.0.0.1:${(server.address() as AddressInfo).port}`),
    close: async () => {
      for (const socket of sockets) socket.destroy()
      await new Promise((resolve) => server.close(resolve))
    }
  }
}
