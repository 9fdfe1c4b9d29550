/** HTTP server shared by all stand-ins: JSON answers, network faults, and an abrupt end. */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Clock } from '../src/clock.js'
import { addressSchema } from '../src/identifiers.js'
import type { Address } from '../src/identifiers.js'
import type { FaultSwitch } from './faults.js'

/** An HTTP call of a stand-in. */
export interface StandInCall {
  readonly method: string
  readonly path: string
  readonly query: URLSearchParams
  readonly headers: IncomingMessage['headers']
  readonly body: Buffer
  readonly response: ServerResponse
}

/** Handles a call. A returned value is sent as JSON; a handler that writes the response itself returns undefined. */
export type StandInHandler = (call: StandInCall) => Promise<unknown> | unknown

/** A listening stand-in. */
export interface StandInServer {
  readonly address: Address
  /** Stops the server and destroys every connection, as a crash of the process would. */
  kill (): Promise<void>
}

/** Error that a handler throws to answer with a status and a JSON body. */
export class StandInFailure extends Error {
  readonly status: number
  readonly body: object

  constructor (status: number, body: object) {
    super(`status ${status}`)
    this.status = status
    this.body = body
  }
}

/**
 * Starts a server on a loopback port.
 *
 * @param port 0 for any free port
 * @example
 * const server = await serveStandIn(0, clock, faultSwitch, handle)
 */
export async function serveStandIn (port: number, clock: Clock, faultSwitch: FaultSwitch, handle: StandInHandler): Promise<StandInServer> {
  const server = createServer((request, response) => {
    handleRequest(request, response, clock, faultSwitch, handle).catch(() => response.destroy())
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, '127.0.0.1', resolve)
  })
  const bound = server.address() as AddressInfo
  return {
    address: addressSchema.parse(`127.0.0.1:${bound.port}`),
    kill: () => close(server)
  }
}

async function handleRequest (request: IncomingMessage, response: ServerResponse, clock: Clock, faultSwitch: FaultSwitch, handle: StandInHandler): Promise<void> {
  const body = await readBody(request)
  const decision = faultSwitch.next()
  if (faultSwitch.faults.latency > 0) await clock.sleep(faultSwitch.faults.latency)
  switch (decision) {
    case 'silence': return
    case 'refuse': return sendJson(response, 503, { error: { message: 'unavailable', verdict: 'not-run' } })
    case 'over-rate': return sendJson(response, 429, { error: { message: 'over rate', verdict: 'not-run' } })
    case 'lose-reply':
      await runHandler(request, response, body, handle, false)
      response.destroy()
      return
    case 'answer': return runHandler(request, response, body, handle, true)
  }
}

async function runHandler (request: IncomingMessage, response: ServerResponse, body: Buffer, handle: StandInHandler, sendReply: boolean): Promise<void> {
  const url = new URL(request.url ?? '/', 'http://stand-in')
  const call = { method: request.method ?? 'GET', path: url.pathname, query: url.searchParams, headers: request.headers, body, response }
  try {
    const result = await handle(call)
    if (result !== undefined && sendReply) sendJson(response, 200, result)
  } catch (error) {
    if (!(error instanceof StandInFailure)) throw error
    if (sendReply) sendJson(response, error.status, error.body)
  }
}

/**
 * Sends a complete JSON response.
 *
 * @example
 * sendJson(response, 200, { instances: [] })
 */
export function sendJson (response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(body))
}

async function readBody (request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks)
}

function close (server: Server): Promise<void> {
  server.closeAllConnections()
  return new Promise((resolve) => server.close(() => resolve()))
}
