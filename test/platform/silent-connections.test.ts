/** The store behind connections that fall silent, met through the adapter. */
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

/** Passes bytes on until the connections that are open are silenced; new ones work. */
interface Forgetful {
  readonly address: string
  silence (): void
  close (): Promise<void>
}

async function serveForgetful (target: string): Promise<Forgetful> {
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
    silence: () => { for (const socket of open) socket.unpipe() },
    close: async () => {
      for (const socket of open) socket.destroy()
      await new Promise((resolve) => server.close(resolve))
    }
  }
}

describe('the store', () => {
  const clock = createSystemClock()
  let stand: MetadataStoreStandIn
  let forgetful: Forgetful
  let connections: Connections

  before(async () => {
    stand = await serveMetadataStore(clock, createRandom(1))
    forgetful = await serveForgetful(stand.address)
    connections = createFreshConnections(4)
  })

  after(async () => {
    await connections.destroy()
    await forgetful.close()
    await stand.kill()
  })

  // A change of the configuration is in force at no node for five seconds. All open connections had fallen
  // silent; each call took one of them, waited for its bound, and the next call took another such one.
  it('answers the first call after all open connections have fallen silent', async () => {
    const store = createStore(connections, () => forgetful.address)
    stand.store.put('op/config', 'first')
    assert.deepEqual(await Promise.all([store.get('op/config'), store.get('op/config')].map(async (entry) => (await entry)?.value)), ['first', 'first'])
    forgetful.silence()
    stand.store.put('op/config', 'second')
    assert.equal((await store.get('op/config'))?.value, 'second')
  })
})
