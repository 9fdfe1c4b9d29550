/** Limits of the HTTP server for callers against connections that are kept open. */
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { test } from 'node:test'
import { createRequestMemory } from '../../src/caller/request-memory.js'
import { createSystemClock } from '../../src/clock.js'
import { createCallerServer } from '../../src/entry/listener.js'
import { closeServer, listen } from '../../src/protocols/listen.js'
import { listenAddressSchema } from '../../src/identifiers.js'
import { createEntryMetrics } from '../../src/metrics.js'
import { entrySettingsSchema } from '../../src/settings.js'

const limits = entrySettingsSchema.shape.limits.parse({ header_bytes: 2_048, connections: 3, header_timeout_ms: 200, request_timeout_ms: 400 })

async function withServer (body: (open: (text: string) => Promise<Socket>, metrics: ReturnType<typeof createEntryMetrics>) => Promise<void>): Promise<void> {
  const metrics = createEntryMetrics()
  const server = createCallerServer(limits, metrics, createRequestMemory(limits.request_memory_bytes, createSystemClock()), (_request, response) => response.end('ok'))
  const address = await listen(server, listenAddressSchema.parse('127.0.0.1:0'))
  const open = async (text: string): Promise<Socket> => {
    const socket = connect({ host: '127.0.0.1', port: Number(address.split(':')[1]) })
    socket.on('error', () => {})
    await once(socket, 'connect')
    if (text !== '') socket.write(text)
    return socket
  }
  try {
    await body(open, metrics)
  } finally {
    await closeServer(server)
  }
}

async function readAll (socket: Socket): Promise<string> {
  const chunks: Buffer[] = []
  socket.on('data', (chunk: Buffer) => chunks.push(chunk))
  if (!socket.closed) await new Promise((resolve) => socket.once('close', resolve))
  return Buffer.concat(chunks).toString('utf8')
}

test('connections that send nothing or an incomplete request are refused and closed', { timeout: 20_000 }, async () => {
  // Failure guarded against: a client opens all connections of a node and sends nothing, so that other callers are
  // refused. Once the connections exceed their time limit they are closed, and callers are served again.
  await withServer(async (open, metrics) => {
    const held = await Promise.all([open(''), open('POST /v1/chat'), open('POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nabc')])
    const refused = await open('GET / HTTP/1.1\r\nhost: x\r\n\r\n')
    assert.equal(await readAll(refused), '')
    assert.match(metrics.text(), /connections_refused_total 1/)
    const texts = await Promise.all(held.map(readAll))
    assert.match(texts[1] as string, /^HTTP\/1\.1 408 .*"verdict":"not-run"/s)
    const served = await open('GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n')
    assert.match(await readAll(served), /200 OK/)
  })
})

test('headers beyond the limit and malformed HTTP are refused as not-run', { timeout: 20_000 }, async () => {
  await withServer(async (open) => {
    const large = await open(`GET / HTTP/1.1\r\nhost: x\r\nx-large: ${'x'.repeat(4_096)}\r\n\r\n`)
    assert.match(await readAll(large), /^HTTP\/1\.1 431 .*"verdict":"not-run"/s)
    const malformed = await open('\u0016\u0003\u0001 rubbish\r\n\r\n')
    assert.match(await readAll(malformed), /^HTTP\/1\.1 400 .*"verdict":"not-run"/s)
  })
})
