import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import { connect } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { readBody } from '../../src/caller/http.js'
import { createRequestMemory } from '../../src/caller/request-memory.js'
import { createSystemClock } from '../../src/clock.js'
import { closeServer } from '../../src/protocols/listen.js'
import { ServingError } from '../../src/verdict.js'

const HEAD = 'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n'

describe('the body of a caller\'s request', () => {
  const cleanups: (() => Promise<unknown>)[] = []
  afterEach(async () => { for (const close of cleanups.splice(0)) await close() })

  /** Sends bytes to a server that reads the body. @returns the body or the error. `answered` is resolved when the server's answer arrives */
  async function readSent (limit: number, send: (socket: Socket) => void): Promise<{ result: Buffer | ServingError, answered: Promise<void> }> {
    let arrived = (): void => {}
    const answered = new Promise<void>((resolve) => { arrived = resolve })
    const result = new Promise<Buffer | ServingError>((resolve) => {
      const server = createServer((request, response) => {
        readBody(request, limit).then(resolve, resolve).finally(() => response.end('answered'))
      })
      cleanups.push(() => closeServer(server))
      server.listen(0, '127.0.0.1', () => {
        const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
        socket.on('error', () => {})
        socket.on('data', (chunk) => { if (String(chunk).includes('answered')) arrived() })
        send(socket)
      })
    })
    return { result: await result, answered }
  }

  it('is read whole, however it arrives', async () => {
    const { result } = await readSent(10, (socket) => {
      socket.write(`${HEAD}01234`)
      setImmediate(() => socket.write('56789'))
    })
    assert.equal(String(result), '0123456789')
  })

  // Guards against a request whose caller has left and that waits for the rest of its body until its time limit.
  it('is rejected when the connection ends in the middle of it', async () => {
    for (const end of [(socket: Socket) => socket.end(), (socket: Socket) => socket.resetAndDestroy()]) {
      const { result } = await readSent(10, (socket) => socket.write(`${HEAD}01234`, () => end(socket)))
      assert.equal((result as ServingError).code, 'invalid-request')
      assert.equal((result as ServingError).verdict, 'not-run')
    }
  })

  // Guards against memory that is taken by what still comes of a body once its request has ended, and is never given back.
  it('takes no memory any more once its reading has been cancelled', async () => {
    const memory = createRequestMemory(1_000_000, createSystemClock())
    const share = memory.open()
    const controller = new AbortController()
    const server = createServer((request, response) => {
      request.once('data', () => controller.abort())
      readBody(request, 100_000, { share, cancel: { signal: controller.signal, failure: () => new ServingError('stopped', { code: 'stopping', verdict: 'not-run' }) } }).catch(() => {
        share.release()
        request.resume()
        request.once('end', () => response.end())
      })
    })
    cleanups.push(() => closeServer(server))
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    await new Promise<void>((resolve) => {
      const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
      socket.write('POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\nabc')
      setTimeout(() => socket.write(Buffer.alloc(59_997)), 50)
      socket.once('data', () => {
        socket.destroy()
        resolve()
      })
    })
    assert.equal(memory.bytes(), 0)
  })

  // Guards against a body that is read up to the limit, and takes as much memory, although it was announced to be longer.
  it('is rejected from its announced length, before any of it has come', async () => {
    const { result, answered } = await readSent(4, (socket) => { socket.write(HEAD) })
    assert.equal((result as ServingError).code, 'too-large')
    await answered
  })

  it('is rejected beyond the limit, and the caller still gets an answer', async () => {
    const { result, answered } = await readSent(4, (socket) => { socket.write(`${HEAD}0123456789`) })
    assert.equal((result as ServingError).code, 'too-large')
    await answered
  })
})
