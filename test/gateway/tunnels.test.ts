/** Connections that one node relays for another, over real sockets. */
import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import { createServer as createTcpServer } from 'node:net'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { once } from 'node:events'
import { afterEach, describe, it } from 'node:test'
import { createSystemClock } from '../../src/clock.js'
import type { Clock } from '../../src/clock.js'
import { hasBeenReset, RESET_CODE } from '../../src/connection-reset.js'
import { RELAY_LEAVING } from '../../src/gateway/tunnel-frames.js'
import { openTunnel, serveTunnels } from '../../src/gateway/tunnels.js'
import type { TunnelServer } from '../../src/gateway/tunnels.js'
import type { UpstreamRecord } from '../../src/placement/index.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'
import { listenOnFreePort } from '../listening.js'
import { upstreamRecord } from '../placement/records.js'

/** A node that relays to one upstream. */
interface Relay {
  readonly peer: string
  readonly upstream: UpstreamRecord
  readonly tunnels: TunnelServer
}

const never = new AbortController().signal

describe('a relayed connection', () => {
  const cleanups: (() => void)[] = []
  afterEach(() => { for (const close of cleanups.splice(0)) close() })

  /** Starts an upstream that does this with each connection, and a node that relays to it. */
  async function relayTo (accept: (socket: Socket) => void, clock: Clock = createSystemClock()): Promise<Relay> {
    const sockets = new Set<Socket>()
    const server = createTcpServer((socket) => {
      sockets.add(socket)
      socket.on('error', () => {})
      accept(socket)
    })
    cleanups.push(() => {
      for (const socket of sockets) socket.destroy()
      server.close()
    })
    return relayToAddress(await listenOnFreePort(server), clock)
  }

  async function relayToAddress (address: string, clock: Clock = createSystemClock()): Promise<Relay> {
    const upstream = upstreamRecord('u-1', { address })
    const peerServer = createServer()
    const tunnels = serveTunnels(peerServer, { clock, find: (incarnation) => incarnation === upstream.incarnation ? upstream : undefined })
    const peer = await listenOnFreePort(peerServer)
    cleanups.push(() => {
      tunnels.close()
      peerServer.close()
    })
    return { peer, upstream, tunnels }
  }

  async function readAll (socket: Duplex): Promise<string> {
    let text = ''
    for await (const chunk of socket) text += String(chunk)
    return text
  }

  it('carries bytes in both directions', async () => {
    const { peer, upstream, tunnels } = await relayTo((socket) => socket.on('data', (data) => socket.end(`echo ${String(data)}`)))
    const socket = await openTunnel(peer, upstream, never)
    assert.equal(tunnels.open(), 1)
    socket.write('hello')
    assert.equal(await readAll(socket), 'echo hello')
    while (tunnels.open() > 0) await new Promise((resolve) => setImmediate(resolve))
  })

  // Guards against the end of the process that relays: opening a connection throws within the server's event.
  it('is refused if opening a connection to the upstream throws', async () => {
    const { peer, upstream, tunnels } = await relayToAddress('127.0.0.1:65536')
    await assert.rejects(openTunnel(peer, upstream, never), /status 503/)
    assert.equal(tunnels.open(), 0)
  })

  // Guards against a truncated answer: the upstream closes its connection after an answer that the other node reads slowly.
  it('delivers all that the upstream sent before it closed the connection', async () => {
    const bytes = 4_000_000
    const { peer, upstream } = await relayTo((socket) => socket.end('x'.repeat(bytes)))
    const socket = await openTunnel(peer, upstream, never)
    socket.pause()
    await createSystemClock().sleep(100)
    assert.equal((await readAll(socket)).length, bytes)
  })

  // Guards against an answer that looks complete since it ends with its connection: the upstream has reset that connection.
  it('is reset if the upstream resets its connection', async () => {
    const { peer, upstream } = await relayTo((socket) => {
      socket.write('half')
      setTimeout(() => socket.resetAndDestroy(), 20)
    })
    const socket = await openTunnel(peer, upstream, never)
    await assert.rejects(readAll(socket), { code: 'ECONNRESET' })
  })

  // Guards against half an answer that looks whole: libuv reports a reset that comes together with bytes as the end of the connection.
  it('is reset if the upstream resets its connection together with its bytes', async () => {
    const { peer, upstream } = await relayTo((socket) => {
      socket.once('data', () => {
        socket.write('half')
        socket.resetAndDestroy()
      })
    })
    const socket = await openTunnel(peer, upstream, never)
    socket.write('a request')
    await assert.rejects(readAll(socket), { code: 'ECONNRESET' })
  })

  // Guards against a request that goes on running after its caller has left: its node has closed the connection.
  it('ends at the upstream when the other node closes it', async () => {
    let reportClosed = (): void => {}
    const closed = new Promise<void>((resolve) => { reportClosed = resolve })
    const { peer, upstream } = await relayTo((accepted) => accepted.resume().once('close', () => reportClosed()))
    const socket = await openTunnel(peer, upstream, never)
    socket.destroy()
    await closed
  })

  // Guards against a request that arrives seconds after it was given up: the path of its relaying node was cut.
  it('is reset at the upstream when the other node gives up its request', async () => {
    let connected = (_accepted: Socket): void => {}
    const accepting = new Promise<Socket>((resolve) => { connected = resolve })
    const { peer, upstream } = await relayTo((accepted) => connected(accepted))
    const socket = await openTunnel(peer, upstream, never)
    socket.write('a request')
    const accepted = await accepting
    await once(accepted, 'data')
    const ended = new Promise<string>((resolve) => {
      accepted.once('end', () => resolve('closed'))
      accepted.once('error', (error: NodeJS.ErrnoException) => resolve(String(error.code)))
    })
    socket.destroy(new Error('given up'))
    assert.equal(await ended, 'ECONNRESET')
  })

  // Guards against the same, where the relaying node reads the reset together with bytes of the request, as the end of the connection.
  it('is reset at the upstream when the other node gives up its request as it sends it', async () => {
    const ended = new Promise<string>((resolve) => {
      relayTo((accepted) => {
        accepted.resume()
        accepted.once('end', () => resolve(hasBeenReset(accepted) ? RESET_CODE : 'closed'))
        accepted.once('error', (error: NodeJS.ErrnoException) => resolve(String(error.code)))
      }).then(async ({ peer, upstream }) => {
        const socket = await openTunnel(peer, upstream, never)
        socket.write('a request')
        socket.destroy(new Error('given up'))
      }, () => {})
    })
    assert.equal(await ended, RESET_CODE)
  })

  it('is refused for an upstream that the node does not reach or know', async () => {
    const { peer, upstream } = await relayTo(() => {})
    await assert.rejects(openTunnel(peer, upstreamRecord('u-2', { address: upstream.address }), never), /status 503/)
  })

  it('fails if the upstream refuses the connection of the relaying node', async () => {
    const closed = createTcpServer()
    const address = await listenOnFreePort(closed)
    closed.close()
    const { peer, upstream, tunnels } = await relayToAddress(address)
    await assert.rejects(openTunnel(peer, upstream, never))
    assert.equal(tunnels.open(), 0)
  })

  // Guards against a planned stop that cuts off an answer to a caller of another node, and against one that waits for idle connections.
  it('tells the other node of a stop, and stays open until that node closes it; no other one opens', async () => {
    const clock = createManualClock()
    let answer = (): void => {}
    const { peer, upstream, tunnels } = await relayTo((socket) => socket.on('data', () => { answer = () => socket.write('answer') }), clock)
    const socket = await openTunnel(peer, upstream, never)
    const asked = once(socket.resume(), RELAY_LEAVING)
    socket.write('question')
    tunnels.leave()
    await asked
    await assert.rejects(openTunnel(peer, upstream, never), /status 503/)
    await clock.advance(60_000)
    assert.equal(tunnels.open(), 1)
    const answered = once(socket, 'data')
    answer()
    assert.equal(String((await answered)[0]), 'answer')
    socket.destroy()
    while (tunnels.open() > 0) await new Promise((resolve) => setImmediate(resolve))
  })
})
