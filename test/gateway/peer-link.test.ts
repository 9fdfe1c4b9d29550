import assert from 'node:assert/strict'
import type { Server } from 'node:http'
import { after, before, describe, it } from 'node:test'
import { createTRPCClient, httpLink } from '@trpc/client'
import { createHTTPServer } from '@trpc/server/adapters/standalone'
import { createPeerLinks, createPeerLinkServer, createPeerRouter } from '../../src/gateway/peer-link.js'
import type { PeerHandlers, PeerLink, PrefillNotice } from '../../src/gateway/peer-link.js'
import { MAX_MESSAGE_BYTES } from '../../src/gateway/packing.js'
import { createConnections } from '../../src/protocols/http.js'
import { closeServer, listen } from '../../src/protocols/listen.js'
import { listenAddressSchema } from '../../src/identifiers.js'
import type { UpstreamIncarnation } from '../../src/placement/index.js'
import type { StreamOrigin } from '../../src/stream-origins/index.js'

const notice: PrefillNotice = { from: 'n', upstream: 'u' as UpstreamIncarnation, reading: 5, passTo: 'nobody' }

// Guards against nodes of two builds that do not understand each other during a roll-out of the gateway: earlier builds use
// the server and the client of the tRPC library.
describe('the link between nodes', () => {
  const notices: PrefillNotice[] = []
  const origins = new Map<string, StreamOrigin>()
  const handlers: PeerHandlers = {
    exchange: (message) => message,
    report: () => { throw new Error('the report failed') },
    reading: (heard) => { notices.push(heard) },
    streamBegan: ({ stream, origin }) => { origins.set(stream, origin) },
    streamOrigin: (stream) => origins.get(stream),
    configuration: () => 'text'
  }
  const connections = createConnections(4)
  const servers: Server[] = [createPeerLinkServer(handlers), createHTTPServer({ router: createPeerRouter(handlers), maxBodySize: MAX_MESSAGE_BYTES })]
  const clients: PeerLink[] = []

  before(async () => {
    const link = createPeerLinks(connections, { sent: 0, received: 0 })
    for (const server of servers) clients.push(link(await listen(server, listenAddressSchema.parse('127.0.0.1:0'))))
    const { port } = servers[0]!.address() as { port: number }
    clients.push(createTRPCClient<ReturnType<typeof createPeerRouter>>({ links: [httpLink({ url: `http://127.0.0.1:${port}` })] }))
  })

  after(async () => {
    await connections.destroy()
    for (const server of servers) await closeServer(server)
  })

  it('carries queries, mutations without a result and errors, also to and from the client and server of tRPC', async () => {
    for (const client of clients) {
      assert.deepEqual(await client.configuration.query(), { text: 'text' })
      assert.equal(await client.reading.mutate(notice), undefined)
      origins.set('s-1', { service: 'plans', version: 'v2' })
      assert.deepEqual(await client.streamOrigin.mutate({ stream: 's-1' }), { origin: { service: 'plans', version: 'v2' } })
      assert.deepEqual(await client.streamOrigin.mutate({ stream: 's-2' }), { origin: null })
      await assert.rejects(client.report.mutate('no message'), /malformed message/)
      await assert.rejects(client.reading.mutate({ ...notice, passTo: 'strangers' as 'all' }), /passTo/)
    }
    assert.deepEqual(notices, clients.map(() => notice))
  })

  it('refuses a message that is too long and an unknown procedure', async () => {
    const { port } = servers[0]!.address() as { port: number }
    await assert.rejects(clients[0]!.exchange.mutate('x'.repeat(MAX_MESSAGE_BYTES + 1)))
    const post = (path: string) => fetch(`http://127.0.0.1:${port}/${path}`, { method: 'POST', body: '{}' })
    assert.equal((await post('unknown')).status, 404)
    assert.equal((await post('constructor')).status, 404)
    assert.equal((await post('configuration')).status, 405)
    assert.equal((await post('reading')).status, 400)
  })
})
