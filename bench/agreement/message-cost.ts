/**
 * What one exchange costs on the wire and in processor time, against the running peers' server:
 * bytes counted at the sockets, headers included, and processor time of both ends together, which is
 * what a node pays for one exchange that it begins and one that it answers.
 */
import type { AddressInfo, Socket } from 'node:net'
import { createTRPCClient, httpBatchLink, httpLink } from '@trpc/client'
import { fetch } from 'undici'
import { addressSchema, incarnationSchema } from '../../src/identifiers.js'
import type { AgreementMessage } from '../../src/peer/agreement.js'
import { createAgreementClient } from '../../src/peer/agreement-client.js'
import { createPeers } from '../../src/peer/client.js'
import type { PeerHandlers, PeerRouter } from '../../src/peer/router.js'
import { createPeerServer } from '../../src/peer/server.js'
import { createConnections } from '../../src/protocols/http.js'
import type { Connections } from '../../src/protocols/http.js'

/** Cost of one exchange. */
export interface MessageCost {
  readonly way: string
  /** Bytes in both directions, HTTP headers and bodies, without TCP and IP. */
  readonly bytes: number
  /** The bodies' part as tRPC writes them, answer and question. */
  readonly bodyBytes: number
  /** Processor time of both ends, in microseconds. */
  readonly processorMicroseconds: number
}

/** Ways to carry an exchange that are compared: this topic's own, that of requests, and two of tRPC's links with `fetch`. */
export type CarrierName = 'agreement' | 'requests' | 'batch' | 'single'

const PEER_KEY = 'peer-key-for-measurement'
const WARM_UP = 300
const EXCHANGES = 2_000

/** TCP and IP headers of one exchange on a new connection: handshake, data, acknowledgements and closing. */
export const PACKET_BYTES = 11 * 52

const MESSAGE: AgreementMessage = {
  from: incarnationSchema.parse('entry-123-0123456789ab'),
  revision: 1_234,
  seen: 1_234_567,
  digest: 2_345_678_901,
  rumours: []
}

/**
 * Measures one way to carry an exchange.
 *
 * @param newConnections whether each exchange opens a connection, as between rarely met peers
 * @example
 * const cost = await measureExchange('agreement', true)
 */
export async function measureExchange (carrier: CarrierName, newConnections: boolean): Promise<MessageCost> {
  const server = createPeerServer(PEER_KEY, { agreement: { exchange: async () => MESSAGE, deliver: unused, probe: unused } } as unknown as PeerHandlers, {} as never)
  const sockets: Socket[] = []
  server.on('connection', (socket: Socket) => sockets.push(socket))
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const address = addressSchema.parse(`127.0.0.1:${(server.address() as AddressInfo).port}`)
  const shared = createConnections(1)

  const sharedClient = clientOf(carrier, shared, address)

  async function exchange (): Promise<void> {
    if (!newConnections) {
      await sharedClient.agreement.exchange.mutate(MESSAGE)
      return
    }
    const connections = createConnections(1)
    await clientOf(carrier, connections, address).agreement.exchange.mutate(MESSAGE)
    await connections.close()
  }

  try {
    for (let count = 0; count < WARM_UP; count += 1) await exchange()
    const before = process.cpuUsage()
    const bytesBefore = totalBytes(sockets)
    for (let count = 0; count < EXCHANGES; count += 1) await exchange()
    const used = process.cpuUsage(before)
    await new Promise((resolve) => setTimeout(resolve, 20))
    return {
      way: `${carrier}, ${newConnections ? 'new connections' : 'one connection'}`,
      bytes: (totalBytes(sockets) - bytesBefore) / EXCHANGES,
      bodyBytes: 2 * JSON.stringify(MESSAGE).length,
      processorMicroseconds: (used.user + used.system) / EXCHANGES
    }
  } finally {
    await shared.destroy()
    server.closeAllConnections()
    await new Promise((resolve) => server.close(resolve))
  }
}

function clientOf (carrier: CarrierName, connections: Connections, address: string): ReturnType<typeof createTRPCClient<PeerRouter>> {
  if (carrier === 'agreement') return createAgreementClient(connections, PEER_KEY, addressSchema.parse(address))
  if (carrier === 'requests') return createPeers(connections, PEER_KEY).at(addressSchema.parse(address))
  const options = {
    url: `http://${address}`,
    headers: { authorization: `Bearer ${PEER_KEY}` },
    fetch: (url: unknown, init: unknown) => fetch(url as string, { ...init as object, dispatcher: connections }) as never
  }
  switch (carrier) {
    case 'batch': return createTRPCClient<PeerRouter>({ links: [httpBatchLink(options)] })
    case 'single': return createTRPCClient<PeerRouter>({ links: [httpLink(options)] })
  }
}

function totalBytes (sockets: readonly Socket[]): number {
  return sockets.reduce((total, socket) => total + socket.bytesRead + socket.bytesWritten, 0)
}

async function unused (): Promise<never> {
  throw new Error('not part of this measurement')
}
