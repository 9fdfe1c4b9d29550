/** A model server that streams plans, and stops a run that is to be moved. */
import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

export interface Engine {
  readonly id: string
  readonly address: string
  /** Ids of the requests that it has run, in order. */
  readonly runs: readonly string[]
  /** Calls of `/kv-move` with their answers. */
  readonly moves: readonly string[]
  close (): void
}

export interface EngineOptions {
  readonly id: string
  readonly events: number
  /** Milliseconds before each event. */
  readonly pause: number
  /** Milliseconds for which a run waits before it is begun, given the number of runs before it; 0 if omitted. */
  readonly wait?: (runs: number) => number
  /** Whether its answers have neither a length nor chunks, so that they end with their connection. */
  readonly isUnframed: boolean
}

interface Run {
  readonly response: ServerResponse
  events: number
  isStopped: boolean
}

/** Starts an engine whose moves find no room at their destination. */
export async function serveEngine ({ id, events, pause, wait = () => 0, isUnframed }: EngineOptions): Promise<Engine> {
  const runs: string[] = []
  const moves: string[] = []
  const running = new Map<string, Run>()

  async function stream (request: string, after: number, response: ServerResponse): Promise<void> {
    await new Promise((resolve) => setTimeout(resolve, wait(runs.length - 1)))
    const run: Run = { response, events: after, isStopped: false }
    running.set(request, run)
    if (isUnframed) {
      response.useChunkedEncodingByDefault = false
      response.shouldKeepAlive = false
    }
    response.writeHead(200, { 'content-type': 'text/event-stream', 'x-hornbeamgap-request-id': request, 'x-hornbeamgap-server-stamp': id })
    while (run.events < events) {
      await new Promise((resolve) => setTimeout(resolve, pause))
      if (run.isStopped || response.destroyed) return
      run.events += 1
      response.write(`id: ${run.events}\ndata: event ${run.events} of ${id}\n\n`)
    }
    running.delete(request)
    response.end()
  }

  /** Stops the run and closes its stream without its end, as a move with `last` does, and refuses for want of room. */
  function move (text: string, response: ServerResponse): void {
    const { id: request, to } = JSON.parse(text) as { id: string, to: string }
    const run = running.get(request)
    if (run !== undefined && !run.isStopped) {
      run.isStopped = true
      run.response.socket?.end()
    }
    const status = run === undefined ? 404 : 503
    moves.push(`${request} to ${to}: ${status}${run === undefined ? '' : ` after ${run.events} of ${events} events`}`)
    response.writeHead(status, { 'content-type': 'application/json' })
    response.end(JSON.stringify(run === undefined ? {} : { handle: `h-${request}`, created: run.events }))
  }

  function handle (request: IncomingMessage, response: ServerResponse): void {
    const chunks: Buffer[] = []
    request.on('data', (chunk: Buffer) => chunks.push(chunk))
    request.on('end', () => {
      if (request.url === '/kv-move') return move(Buffer.concat(chunks).toString('utf8'), response)
      const requestId = String(request.headers['x-hornbeamgap-request-id'])
      if (request.headers['x-hornbeamgap-expect-instance'] !== id || request.headers['kv-from'] !== undefined) {
        response.writeHead(request.headers['kv-from'] === undefined ? 421 : 503, { 'x-hornbeamgap-request-id': requestId, 'x-hornbeamgap-not-executed': '1' })
        response.end()
        return
      }
      runs.push(requestId)
      stream(requestId, Number(request.headers['last-event-id'] ?? 0), response).catch(() => response.destroy())
    })
  }

  const server = createServer(handle)
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return {
    id,
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    runs,
    moves,
    close: () => {
      server.closeAllConnections()
      server.close()
    }
  }
}
