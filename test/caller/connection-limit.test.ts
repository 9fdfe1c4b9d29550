import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import type { ServerResponse } from 'node:http'
import { connect } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { limitCallerConnections } from '../../src/caller/connection-limit.js'
import { createSystemClock } from '../../src/clock.js'
import { closeServer } from '../../src/protocols/listen.js'
import { waitUntil } from '../wait-until.js'

const MAX = 3
const clock = createSystemClock()

describe('the limit on connections', () => {
  let now = 0
  let full: string[] = []
  let held: ServerResponse[] = []
  let opened: Socket[] = []
  const server = () => createServer((request, response) => {
    request.resume()
    if (request.url === '/held') held.push(response)
    else request.once('end', () => response.end('answer'))
  })
  let listening: ReturnType<typeof server>

  beforeEach(async () => {
    now = 0
    full = []
    held = []
    opened = []
    listening = server()
    limitCallerConnections(listening, { max: MAX, clock: { now: () => now }, onFull: (what) => full.push(what) })
    await new Promise<void>((resolve) => listening.listen(0, '127.0.0.1', resolve))
  })

  afterEach(async () => {
    for (const socket of opened) socket.destroy()
    await closeServer(listening)
  })

  interface Caller { readonly socket: Socket, received (): string, isClosed (): boolean }

  async function open (text: string): Promise<Caller> {
    const socket = connect((listening.address() as AddressInfo).port, '127.0.0.1')
    let received = ''
    let isClosed = false
    opened.push(socket)
    socket.on('error', () => {})
    socket.on('data', (bytes) => { received += String(bytes) })
    socket.on('close', () => { isClosed = true })
    const before = await countAtServer()
    if (text !== '') socket.write(text)
    await waitUntil(async () => isClosed || await countAtServer() > before || full.length > 0, { clock, what: 'the connection' })
    return { socket, received: () => received, isClosed: () => isClosed }
  }

  function countAtServer (): Promise<number> {
    return new Promise((resolve) => listening.getConnections((_error, count) => resolve(count)))
  }

  // Guards against callers that take all connections and send nothing, so that all others are turned away.
  it('closes one without a request before others, and none whose request waits for its answer', async () => {
    const waiting = await open('GET /held HTTP/1.1\r\nhost: a\r\n\r\n')
    const idle = await open('GET / HTTP/1.1\r\nhost: a\r\n\r\n')
    await waitUntil(() => held.length === 1 && idle.received().includes('answer'), { clock, what: 'the answer' })
    const silent = await open('')
    now += 2_000
    const first = await open('GET / HTTP/1.1\r\nhost: a\r\n\r\n')
    await waitUntil(() => first.received().includes('answer') && silent.isClosed(), { clock, what: 'the place of the silent one' })
    assert.deepEqual([waiting.isClosed(), idle.isClosed()], [false, false])
    assert.deepEqual(full, ['closed'])
  })

  it('turns a connection away while none has waited for its caller for long', async () => {
    const others = [await open(''), await open('POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nabc'), await open('GET /held HTTP/1.1\r\nhost: a\r\n\r\n')]
    now += 500
    const late = await open('')
    await waitUntil(() => late.isClosed(), { clock, what: 'its end' })
    assert.ok(others.every((other) => !other.isClosed()))
    assert.deepEqual(full, ['turned-away'])
  })
})
