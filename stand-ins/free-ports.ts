/** Ports for processes that are told where to listen. */
import { createServer } from 'node:net'

/**
 * The ports lie below those that the kernel gives to connections and listeners that name none.
 *
 * Failure guarded against: the kernel gives such a port to another socket before its process listens there, or while it doesn't for a moment.
 */
export const MIN_PORT = 10_000
export const MAX_PORT = 32_000

/**
 * Finds distinct free ports on the loopback address.
 *
 * @example
 * const [front, ready] = await findFreePorts(2)
 */
export async function findFreePorts (count: number): Promise<number[]> {
  const ports = new Set<number>()
  while (ports.size < count) {
    const port = MIN_PORT + Math.floor(Math.random() * (MAX_PORT - MIN_PORT))
    if (await isFree(port)) ports.add(port)
  }
  return [...ports]
}

function isFree (port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
  })
}
