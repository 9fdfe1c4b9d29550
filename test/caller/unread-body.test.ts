import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import { connect } from 'node:net'
import type { AddressInfo } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { endUnread } from '../../src/caller/unread-body.js'
import { closeServer } from '../../src/protocols/listen.js'

const BODY = 'refused'

describe('an answer to a request whose body has not been read', () => {
  const cleanups: (() => Promise<unknown>)[] = []
  afterEach(async () => { for (const close of cleanups.splice(0)) await close() })

  /** Sends a request and so many bytes of its body, and reads what comes once they are sent. */
  async function send (announced: number, sent: number): Promise<string> {
    const server = createServer((_request, response) => {
      response.writeHead(413, { 'content-length': BODY.length, connection: 'close' })
      endUnread(response, BODY)
    })
    cleanups.push(() => closeServer(server))
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    return new Promise((resolve) => {
      const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
      let received = ''
      socket.on('error', () => {})
      socket.on('close', () => resolve(received))
      socket.write(`POST / HTTP/1.1\r\nhost: a\r\ncontent-length: ${announced}\r\n\r\n`)
      // The answer is on its way before the body is.
      setTimeout(() => {
        socket.write(Buffer.alloc(sent), () => { setTimeout(() => { socket.on('data', (bytes) => { received += String(bytes) }) }, 50) })
      }, 50)
    })
  }

  // Guards against a reset that eats the refusal: its caller can't tell whether the request was run.
  it('is received by a caller that sends its whole body first', async () => {
    assert.match(await send(600_000, 600_000), /413 [^]*refused$/)
  })

  // Guards against a connection that is kept for the rest of a body that doesn't come.
  it('is received, and its connection closed, where the rest does not come', async () => {
    assert.match(await send(600_000, 300_000), /413 [^]*refused$/)
  })
})
