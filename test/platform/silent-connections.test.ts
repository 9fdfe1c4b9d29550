/** Store client on connections that stop transferring data without an error. */
import assert from 'node:assert/strict'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { after, before, describe, it } from 'node:test'
import { createStore } from '../../platform/store.js'
import { createSystemClock } from '../../src/clock.js'
import { createFreshConnections } from '../../src/protocols/http.js'
import type { Connections } from '../../src/protocols/http.js'
import { createRandom } from '../../src/random.js'
import { serveMetadataStore } from '../../stand-ins/machines/metadata-store.js'
import type { MetadataStoreStandIn } from '../../stand-ins/machines/metadata-store.js'

/** Forwards bytes to the store. Open connections can be made to transfer nothing more, while new ones work. */
interface SilencingProxy {
  readonly address: string
  silenceOpenConnections (): void
  close (): Promise<void>
}

async function serveSilencingProxy (target: string): Promise<SilencingProxy> {
  const open = new Set<Socket>()
  const [host, port] = target.split(':')
  const server: Server = createServer((caller) => {
    const store = connect(Number(port), host)
    for (const socket of [caller, store]) {
      open.add(socket)
      socket.on('error', () => {})
      socket.on('close', () => open.delete(socket))
    }
    caller.pipe(store)
    store.pipe(caller)
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    silenceOpenConnections: () => { for (const socket of open) socket.unpipe() },
    close: async () => {
      for (const socket of open) socket.destroy()
      await new Promise((resolve) => server.close(resolve))
    }
  }
}

describe('the store client', () => {
  const clock = createSystemClock()
  let storeServer: MetadataStoreStandIn
  let proxy: SilencingProxy
  let connections: Connections

  before(async () => {
    storeServer = await serveMetadataStore(clock, createRandom(1))
    proxy = await serveSilencingProxy(storeServer.address)
    connections = createFreshConnections(4)
  })

  after(async () => {
    await connections.destroy()
    await proxy.close()
    await storeServer.kill()
  })

  // Guards against a configuration change that takes effect only after five seconds: the network has dropped the state of all
  // open connections. Each call uses one of them and times out, and the next call uses another one.
  it('gets an answer to the first call after all open connections have gone silent', async () => {
    const store = createStore(connections, () => proxy.address)
    storeServer.store.put('op/config', 'first')
    assert.deepEqual(await Promise.all([store.get('op/config'), store.get('op/config')].map(async (entry) => (await entry)?.value)), ['first', 'first'])
    proxy.silenceOpenConnections()
    storeServer.store.put('op/config', 'second')
    assert.equal((await store.get('op/config'))?.value, 'second')
  })
})
