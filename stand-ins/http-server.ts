/** The small HTTP server that all stand-ins share: JSON bodies, faults, and an end by signal. */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Clock } from '../src/clock.js'
import { addressSchema } from '../src/identifiers.js'
import type { Address } from '../src/identifiers.js'
import type { FaultSwitch } from './faults.js'

/** One call of a stand-in. */
export interface StandInCall {
  readonly method: string
  readonly path: string
  readonly query: URLSearchParams
  readonly headers: IncomingMessage['headers']
  readonly body: Buffer
  readonly response: ServerResponse
}

/** Answers a call: with JSON by returning a value, or by writing to the response and returning undefined. */
export type StandInHandler = (call: StandInCall) => Promise<unknown> | unknown

/** A listening stand-in. */
export interface StandInServer {
  readonly address: Address
  /** Destroys every connection, as the death of the process would. */
  kill (): Promise<void>
}

/** Thrown by handlers to answer with a status and a JSON body. */
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
 * @param port 0 for any free port
 * @example
 * const server = await serveStandIn(0, clock, faultSwitch, handle)
 */
export async function serveStandIn (port: number, clock: Clock, faultSwitch: FaultSwitch, handle: StandInHandler): Promise<StandInServer> {
  const server = createServer((request, response) => {
    answer(request, response, clock, faultSwitch, handle).catch(() => response.destroy())
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

async function answer (request: IncomingMessage, response: ServerResponse, clock: Clock, faultSwitch: FaultSwitch, handle: StandInHandler): Promise<void> {
  const body = await readAll(request)
  const fate = faultSwitch.next()
  if (faultSwitch.faults.latency > 0) await clock.sleep(faultSwitch.faults.latency)
  switch (fate) {
    case 'silence': return
    case 'refuse': return sendJson(response, 503, { error: { message: 'unavailable', verdict: 'not-run' } })
    case 'over-rate': return sendJson(response, 429, { error: { message: 'over rate', verdict: 'not-run' } })
    case 'lose-reply':
      await run(request, response, body, handle, false)
      response.destroy()
      return
    case 'answer': return run(request, response, body, handle, true)
  }
}

async function run (request: IncomingMessage, response: ServerResponse, body: Buffer, handle: StandInHandler, reply: boolean): Promise<void> {
  const url = new URL(request.url ?? '/', 'http://stand-in')
  const call = { method: request.method ?? 'GET', path: url.pathname, query: url.searchParams, headers: request.headers, body, response }
  try {
    const result = await handle(call)
    if (result !== undefined && reply) sendJson(response, 200, result)
  } catch (error) {
    if (!(error instanceof StandInFailure)) throw error
    if (reply) sendJson(response, error.status, error.body)
  }
}

/**
 * @example
 * sendJson(response, 200, { instances: [] })
 */
export function sendJson (response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(body))
}

async function readAll (request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks)
}

function close (server: Server): Promise<void> {
  server.closeAllConnections()
  return new Promise((resolve) => server.close(() => resolve()))
}
