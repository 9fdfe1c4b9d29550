/** Start and end of HTTP servers. */
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
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
  const separator = address.lastIndexOf(':')
  const host = address.slice(0, separator)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(Number(address.slice(separator + 1)), host.replace(/^\[|\]$/g, ''), resolve)
  })
  return addressSchema.parse(`${host}:${(server.address() as AddressInfo).port}`)
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
