/** Client library against entry nodes that close connections, refuse requests and move requests. */
import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { test } from 'node:test'
import fc from 'fast-check'
import { createClient } from '../../src/client/index.js'
import { decideRetry } from '../../src/client/decision.js'
import { addressSchema } from '../../src/identifiers.js'
import { createRandom } from '../../src/random.js'
import { ServingError } from '../../src/verdict.js'
import type { FailureCode, Verdict } from '../../src/verdict.js'

type Route = (request: IncomingMessage, response: ServerResponse) => void

const TOKENS = ['Rinse ', 'the ', 'resin ', 'twice.']

/** Entry node that returns its own address, and answers consecutive attempts with the given routes in order. */
async function serveNode (routes: Route[]): Promise<{ server: Server, address: ReturnType<typeof addressSchema.parse>, seen: string[] }> {
  const seen: string[] = []
  const server = createServer((request, response) => {
    if (request.url === '/v1/addresses') {
      response.end(JSON.stringify({ nodes: [{ address, incarnation: 'entry-1-abc', failure_domain: 'zone-a' }], lifetime_ms: 60_000 }))
      return
    }
    seen.push(`${request.method} ${request.url} ${String(request.headers['hornbeamgap-request-id'])}`)
    request.resume()
    const route = routes.shift()
    if (route === undefined) response.destroy()
    else route(request, response)
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const address = addressSchema.parse(`127.0.0.1:${(server.address() as AddressInfo).port}`)
  return { server, address, seen }
}

function writeTokens (response: ServerResponse, from: number, to: number): void {
  response.writeHead(200, { 'content-type': 'text/event-stream' })
  for (let index = from; index < to; index += 1) {
    response.write(`id: ${index}\ndata: ${JSON.stringify({ choices: [{ delta: { content: TOKENS[index] }, finish_reason: null }] })}\n\n`)
  }
}

function writeEnd (response: ServerResponse): void {
  const usage = { prompt_tokens: 1, completion_tokens: TOKENS.length, cached_tokens: 0 }
  response.write(`data: ${JSON.stringify({ choices: [{ delta: {}, finish_reason: 'stop' }], usage })}\n\n`)
  response.end('data: [DONE]\n\n')
}

function refuse (status: number, type: string, verdict: Verdict): Route {
  return (_request, response) => {
    response.writeHead(status, { 'content-type': 'application/json' })
    response.end(JSON.stringify({ error: { message: type, type, verdict, retry_after_ms: 5 } }))
  }
}

const idOf = (line: string): string => line.split(' ')[2] as string

test('an interrupted stream is resumed at its offset under the same id, and no token is delivered twice', async () => {
  // Failure guarded against: the connection breaks in the middle of an answer, and the incomplete answer is returned as
  // complete, or tokens are repeated. The client requests the rest of the answer from the next token on.
  const node = await serveNode([
    (_request, response) => {
      writeTokens(response, 0, 2)
      setTimeout(() => response.destroy(), 20)
    },
    (_request, response) => {
      writeTokens(response, 2, 3)
      response.end(`data: ${JSON.stringify({ moved: { retry_after_ms: 5 } })}\n\n`)
    },
    (_request, response) => {
      writeTokens(response, 3, 4)
      writeEnd(response)
    }
  ])
  const client = createClient({ addresses: [node.address], key: 'key', random: createRandom(1) })
  const offsets: number[] = []
  try {
    const answer = await client.chat({ class: 'short-question', messages: [{ role: 'user', content: '?' }], onToken: (_text, offset) => offsets.push(offset) })
    assert.equal(answer.text, TOKENS.join(''))
    assert.deepEqual(offsets, [0, 1, 2, 3])
    assert.deepEqual(node.seen.map((line) => line.replace(/\/[^/]+\?/, '/ID?').split(' ').slice(0, 2).join(' ')), [
      'POST /v1/chat/completions', 'GET /v1/requests/ID?offset=2', 'GET /v1/requests/ID?offset=3'
    ])
    assert.equal(new Set(node.seen.map(idOf)).size, 1)
  } finally {
    await client.close()
    node.server.closeAllConnections()
    node.server.close()
  }
})

test('a non-idempotent call is retried under its id after a lost connection, and under a new id only after not-run', async () => {
  const node = await serveNode([
    (_request, response) => response.destroy(),
    refuse(503, 'stopping', 'not-run'),
    refuse(502, 'outcome-unknown', 'may-have-run')
  ])
  const client = createClient({ addresses: [node.address], key: 'key', random: createRandom(1) })
  try {
    await assert.rejects(client.call({ class: 'booking', method: 'POST', path: '/bookings', body: '{}' }), (error: ServingError) => error.verdict === 'may-have-run')
    const [firstId, secondId, thirdId, ...otherIds] = node.seen.map(idOf)
    assert.equal(firstId, secondId)
    assert.notEqual(secondId, thirdId)
    assert.deepEqual(otherIds, [])
  } finally {
    await client.close()
    node.server.closeAllConnections()
    node.server.close()
  }
})

test('after any failure, a request that may run only once gets a new id only if it has provably not run', () => {
  const codes: FailureCode[] = ['overloaded', 'stopping', 'moved', 'outcome-unknown', 'connection-lost', 'timeout', 'conflict', 'no-configuration']
  fc.assert(fc.property(
    fc.constantFrom(...codes), fc.constantFrom<Verdict>('not-run', 'may-have-run', 'ran'), fc.boolean(), fc.boolean(), fc.nat(10), fc.nat(4), fc.integer(),
    (code, verdict, reportedBySystem, maybeReceived, brokenConnections, idReplacements, seed) => {
      const failure = new ServingError(code, { code, verdict, retryAfter: 100 })
      const decision = decideRetry({ failure, reportedBySystem, maybeReceived, idempotent: false, brokenConnections, idReplacements }, createRandom(seed))
      if (decision.kind === 'new-id') assert.ok(verdict === 'not-run' && (reportedBySystem || !maybeReceived))
      if (decision.kind !== 'fail' && reportedBySystem && code === 'overloaded') assert.ok(decision.delay >= 100)
    }
  ), { seed: 1, numRuns: 2_000 })
})
