/** Connections whose bytes are counted at the sockets: HTTP headers and bodies, without TCP and IP. */
import type { Socket } from 'node:net'
import { Agent, buildConnector } from 'undici'
import type { Connections } from '../../src/protocols/http.js'

/** Connections with a count. */
export interface CountedConnections {
  readonly connections: Connections
  /** Bytes in both directions since the start. */
  bytes (): number
}

/** What a number of exchanges cost on average. */
export interface Cost {
  readonly bytes: number
  /** Processor time of both ends, in microseconds: the stand-in or the peer runs in this process. */
  readonly processorMicroseconds: number
}

/** TCP and IP headers of an exchange on an open connection: question, answer, one acknowledgement. */
export const OPEN_CONNECTION_PACKET_BYTES = 3 * 52

/**
 * @param most most connections to one address
 * @example
 * const counted = createCountedConnections(1)
 */
export function createCountedConnections (most: number): CountedConnections {
  const sockets: Socket[] = []
  const connect = buildConnector({})
  const connections = new Agent({
    connections: most,
    pipelining: 1,
    connect: (options, callback) => connect(options, (...result) => {
      if (result[1] !== null) sockets.push(result[1] as Socket)
      callback(...result)
    })
  })
  return { connections, bytes: () => sockets.reduce((total, socket) => total + socket.bytesRead + socket.bytesWritten, 0) }
}

/**
 * Average cost of a call that is made again and again, after a warm-up of a fifth of the calls.
 *
 * @example
 * const cost = await measureCost(counted, 1_000, () => engine.load())
 */
export async function measureCost (counted: CountedConnections, count: number, call: () => Promise<unknown>): Promise<Cost> {
  for (let index = 0; index < count / 5; index += 1) await call()
  const bytes = counted.bytes()
  const processor = process.cpuUsage()
  for (let index = 0; index < count; index += 1) await call()
  const used = process.cpuUsage(processor)
  return { bytes: (counted.bytes() - bytes) / count, processorMicroseconds: (used.user + used.system) / count }
}
