/** Start and end of HTTP servers. */
import type { Server } from 'node:http'
import { Server as SocketServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { hostPortOf } from '../host-port.js'
import { addressSchema } from '../identifiers.js'
import type { Address } from '../identifiers.js'

/**
 * Starts listening on an address. Port 0 selects any free port.
 *
 * @returns the bound address
 * @throws the error of `server.listen` if the address cannot be bound
 * @example
 * const address = await listen(server, settings.listen)
 */
export async function listen (server: Server, address: Address): Promise<Address> {
  const { host, port } = hostPortOf(address)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  const boundPort = (server.address() as AddressInfo).port
  return addressSchema.parse(address.replace(/\d+$/, String(boundPort)))
}

/**
 * Closes the listener of a server and leaves its connections open.
 *
 * Failure guarded against: `close` of an HTTP server also closes connections whose answers have been written and not been received yet.
 *
 * @example
 * stopAccepting(server)
 */
export function stopAccepting (server: Server): void {
  SocketServer.prototype.close.call(server)
}

/**
 * Closes a server and all its connections immediately.
 *
 * @example
 * await closeServer(server)
 */
export function closeServer (server: Server): Promise<void> {
  const closed = new Promise<void>((resolve) => server.close(() => resolve()))
  server.closeAllConnections()
  return closed
}
