/** Answers of plain services with neither a length nor chunks, which end with their connection, over real sockets. */
import assert from 'node:assert/strict'
import { createServer as createHttpServer } from 'node:http'
import { createServer } from 'node:net'
import type { Server, Socket } from 'node:net'
import { afterEach, describe, it } from 'node:test'
import { sendCompleteAnswer } from '../../src/caller/delivery.js'
import type { AnswerSource } from '../../src/entry/answer-source.js'
import { toAnswerPart, toForwardedPart } from '../../src/entry/forwarded.js'
import { addressSchema } from '../../src/identifiers.js'
import { forwardedPartSchema } from '../../src/peer/request.js'
import { createPlainConnections } from '../../src/protocols/plain-connections.js'
import { callPlainService } from '../../src/protocols/plain-service.js'
import type { PlainResponse } from '../../src/request/index.js'
import { listenOnFreePort } from '../listening.js'

const HEAD = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n'

describe('an answer of a plain service without a length', () => {
  const cleanups: (() => unknown)[] = []
  afterEach(async () => { for (const close of cleanups.splice(0)) await close() })

  for (const kind of ['pooled', 'unpooled'] as const) {
    /** Calls a service that does this with its connection once it has sent the first half of its answer. */
    async function callEnding (end: (socket: Socket, server: Server) => void, head = HEAD): Promise<PlainResponse> {
      const server = createServer((socket) => {
        socket.on('error', () => {})
        socket.once('data', () => socket.write(`${head}half`, () => setTimeout(() => end(socket, server), 20)))
      })
      const address = addressSchema.parse(await listenOnFreePort(server))
      const connections = createPlainConnections(4)
      cleanups.push(() => connections.close(), () => server.close())
      return callPlainService(connections[kind], address, { method: 'GET', path: '/', headers: [], body: '' }, { signal: new AbortController().signal })
    }

    /** Sends the answer to a caller of another node. @returns what the header of a service's own answer says */
    async function markOf (response: PlainResponse): Promise<string | null> {
      const part = toAnswerPart(forwardedPartSchema.parse(JSON.parse(JSON.stringify(toForwardedPart({ kind: 'plain', response })))) as Parameters<typeof toAnswerPart>[0])
      const source = { read: async function * () { yield part } } as unknown as AnswerSource
      const server = createHttpServer((_request, answer) => { sendCompleteAnswer(source, answer).catch(() => answer.destroy()) })
      cleanups.push(() => server.close(), () => server.closeAllConnections())
      return (await fetch(`http://${await listenOnFreePort(server)}`)).headers.get('hornbeamgap-answer')
    }

    // Guards against a part of an answer that the entry node calls whole: a service that breaks off ends its connection in the same way.
    it(`is not called whole if only the end of its connection ended it (${kind})`, async () => {
      assert.equal(await markOf(await callEnding((socket) => socket.end())), 'ended-with-connection')
      assert.equal(await markOf(await callEnding((socket) => socket.end(), 'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n')), 'whole')
    })

    it(`is whole if the service ends its connection (${kind})`, async () => {
      const { body } = await callEnding((socket) => socket.end(' and half'))
      assert.equal(Buffer.from(body, 'base64').toString(), 'half and half')
    })

    // Guards against half an answer that looks whole: its connection is reset.
    it(`fails if its connection is reset (${kind})`, async () => {
      await assert.rejects(callEnding((socket) => socket.resetAndDestroy()), { code: 'connection-lost', verdict: 'may-have-run' })
    })

    // Guards against half an answer that looks whole: libuv reports a reset that comes together with bytes as the end of the connection.
    it(`fails if its connection is reset together with its bytes (${kind})`, async () => {
      await assert.rejects(callEnding((socket) => {
        socket.write(' and more')
        socket.resetAndDestroy()
      }), { code: 'connection-lost', verdict: 'may-have-run' })
    })

    // Guards against a whole answer that is thrown away, since the reset comes together with its last bytes.
    it(`is whole if it has a length after all, and its connection is reset together with its last bytes (${kind})`, async () => {
      const { body } = await callEnding((socket) => {
        socket.write(' and half')
        socket.resetAndDestroy()
      }, 'HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n')
      assert.equal(Buffer.from(body, 'base64').toString(), 'half and half')
    })

    // Guards against half an answer that looks whole: the process of the service dies, and the kernel ends its connections.
    it(`fails if the service ends with it (${kind})`, async () => {
      await assert.rejects(callEnding((socket, server) => {
        server.close()
        socket.destroy()
      }), { code: 'connection-lost', verdict: 'may-have-run' })
    })

    // Guards against bytes that are not the body: their transfer coding is not one that is read, and is not told to the caller either.
    it(`fails if it has a transfer coding but chunks (${kind})`, async () => {
      for (const coding of ['gzip', 'x-chunked', 'chunked\t']) {
        await assert.rejects(callEnding((socket) => socket.end(), `HTTP/1.1 200 OK\r\nTransfer-Encoding: ${coding}\r\n\r\n`), { code: 'upstream-failed', verdict: 'may-have-run' }, coding)
      }
    })
  }
})
