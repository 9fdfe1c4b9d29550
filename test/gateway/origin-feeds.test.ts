import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { connect } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { createSystemClock, SECOND } from '../../src/clock.js'
import type { Clock } from '../../src/clock.js'
import { createOriginFeeds, ORIGIN_FEED_PATH, receiveOriginFeed } from '../../src/gateway/origin-feeds.js'
import type { OriginFeeds, StreamBegan } from '../../src/gateway/origin-feeds.js'
import { createReachablePeers } from '../../src/gateway/reachable-peers.js'
import { closeServer } from '../../src/protocols/listen.js'

const systemClock = createSystemClock()
const TIMEOUT = { timeout: 20_000 }

function message (index: number): StreamBegan {
  return { stream: `s-${index}`, origin: { service: 'plans', version: 'v2' } }
}

describe('a feed of stream origins', () => {
  let server: Server
  let feeds: OriginFeeds
  let received: StreamBegan[]
  let events: string[]
  let confirmations: number
  let connections: number
  let handle: (request: IncomingMessage, response: ServerResponse) => void
  /** Time that the sender's clock is ahead. */
  let ahead: number
  const stop = new AbortController()

  beforeEach(async () => {
    received = []
    // Feeds of the test before may still close, so each test has a list of its own.
    const ownEvents: string[] = []
    events = ownEvents
    confirmations = 0
    connections = 0
    ahead = 0
    handle = (request, response) => receiveOriginFeed(request, response, (one) => { received.push(one) })
    server = createServer((request, response) => handle(request, response))
    server.on('connection', () => { connections += 1 })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    const clock: Clock = { ...systemClock, now: () => systemClock.now() + ahead }
    const reachable = createReachablePeers(clock, { info: (event) => { ownEvents.push(event) }, warn: () => {}, error: () => {} }, stop.signal)
    const noteConfirmation = (peer: string): void => {
      confirmations += 1
      reachable.regained(peer)
    }
    feeds = createOriginFeeds(clock, { ...reachable, regained: noteConfirmation })
  })

  afterEach(async () => {
    feeds.close()
    await closeServer(server)
  })

  function address (): string {
    return `127.0.0.1:${(server.address() as AddressInfo).port}`
  }

  async function until (condition: () => boolean): Promise<void> {
    while (!condition()) await systemClock.sleep(5)
  }

  it('brings all messages over one connection, in order', TIMEOUT, async () => {
    for (let index = 0; index < 100; index += 1) {
      feeds.send(address(), message(index))
      if (index % 10 === 0) await systemClock.sleep(1)
    }
    await until(() => received.length === 100)
    assert.deepEqual(received, Array.from({ length: 100 }, (_, index) => message(index)))
    assert.equal(connections, 1)
  })

  // Guards against a holder that never hears again: its connection was cut silently, or its process was replaced.
  it('opens anew when the holder has confirmed nothing for two seconds', TIMEOUT, async () => {
    const receive = handle
    let isSilent = false
    handle = (request) => {
      request.resume()
      isSilent = true
    }
    feeds.send(address(), message(1))
    await until(() => isSilent)
    handle = receive
    ahead = 3 * SECOND
    feeds.send(address(), message(2))
    await until(() => received.length === 1)
    assert.deepEqual(received, [message(2)])
  })

  // Guards against a holder that is left out for a second every five minutes: its server ends requests that take longer.
  it('is renewed after two minutes, and its end is no failure of the holder', TIMEOUT, async () => {
    feeds.send(address(), message(1))
    await until(() => confirmations === 1)
    ahead = 121 * SECOND
    feeds.send(address(), message(2))
    await until(() => confirmations === 2)
    assert.equal(connections, 2)
    assert.deepEqual(events, [])
  })

  it('opens anew after the holder has closed it', TIMEOUT, async () => {
    feeds.send(address(), message(1))
    await until(() => received.length === 1)
    server.closeAllConnections()
    await systemClock.sleep(50)
    ahead = 3 * SECOND
    feeds.send(address(), message(2))
    await until(() => received.length === 2)
  })

  it('is closed by the holder if it is malformed', TIMEOUT, async () => {
    const { port } = server.address() as AddressInfo
    const socket: Socket = connect({ host: '127.0.0.1', port })
    socket.on('error', () => {})
    const closed = new Promise<void>((resolve) => { socket.once('close', () => resolve()) })
    const line = '{"stream":""}\n'
    socket.write(`POST ${ORIGIN_FEED_PATH} HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n${line.length.toString(16)}\r\n${line}\r\n`)
    await closed
    assert.deepEqual(received, [])
  })
})
