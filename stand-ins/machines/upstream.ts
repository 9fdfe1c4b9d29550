/** Stand-in of an upstream on the users' platform. It sends plain answers and event streams, with faults. */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { ENGINE_PATH, HEADER } from '../../platform/names.js'
import type { Clock, Milliseconds } from '../../src/clock.js'

/** A request that the upstream has run. */
export interface Run {
  readonly id: string
  readonly method: string
  readonly path: string
  readonly headers: IncomingMessage['headers']
  readonly body: string
  /** Time at which the request had been read. */
  readonly at: Milliseconds
}

/**
 * What an upstream does with the next request.
 *
 * - `answer`: answers it, as a stream if the request declares its tokens
 * - `full`: refuses it without running it
 * - `error`: runs it and answers 500
 * - `lose`: runs it and closes the connection
 * - `hang`: runs it and never answers
 * - `break`: runs it and closes the connection in the middle of an event
 * - `crash`: runs it, sends the first events, if any, and ends with all its connections
 */
export type Behaviour = 'answer' | 'full' | 'error' | 'lose' | 'hang' | 'break' | 'crash'

/** How the connections of an upstream end when it crashes: as after a complete answer, or by a reset. */
export type CrashEnd = 'close' | 'reset'

/** A running upstream. */
export interface UpstreamStandIn {
  readonly id: string
  readonly address: string
  readonly runs: readonly Run[]
  /** Number of requests in progress. */
  activeRequests (): number
  /** Handles of moved runs, by request id. */
  readonly moved: ReadonlyMap<string, string>
  /** Sets extra headers for all later responses. Replaces the headers set before. */
  setHeaders (headers: Readonly<Record<string, string>>): void
  /** Sets the function that chooses the behaviour for each later request, given the id of the event after which it resumes a stream. */
  setBehaviour (decide: (lastEvent: string | undefined, headers: IncomingMessage['headers']) => Behaviour): void
  /** Ends as a process that dies: it accepts no further connection, and those that are open end. */
  crash (): void
  /** Whether it has crashed. */
  hasCrashed (): boolean
  close (): Promise<void>
}

/** Options of an upstream stand-in. */
export interface UpstreamStandInOptions {
  readonly id: string
  readonly clock: Clock
  /** Number of events in a stream. */
  readonly events?: number
  /** Pause before each event. */
  readonly pause?: Milliseconds
  /** Time for which a plain request runs. */
  readonly work?: Milliseconds
  /** Bytes of a plain answer; those of a short text if omitted. */
  readonly answerBytes?: number
  /** Whether answers have neither a length nor chunks, so that the end of the connection ends them. */
  readonly unframed?: boolean
  /** Whether moves of runs find no room at their destination. */
  readonly movesRefused?: boolean
  /** Number of events that are sent before a crash. */
  readonly eventsBeforeCrash?: number
  readonly crashEnd?: CrashEnd
  /** Called once it has crashed, with the headers of the request that crashed it, if any. */
  readonly onCrash?: (headers: IncomingMessage['headers'] | undefined) => void
}

/** Complete events that an interrupted stream sends before its connection closes. */
const EVENTS_BEFORE_BREAK = 2

/**
 * Starts an upstream on a free port.
 *
 * @example
 * const upstream = await serveUpstream({ id: 'i-1', clock })
 */
export async function serveUpstream ({ id, clock, events = 5, pause = 0, work = 0, answerBytes = 0, unframed = false, movesRefused = false, eventsBeforeCrash = 0, crashEnd = 'close', onCrash }: UpstreamStandInOptions): Promise<UpstreamStandIn> {
  const runs: Run[] = []
  const streaming = new Map<string, ServerResponse>()
  const moved = new Map<string, string>()
  const sockets = new Set<Socket>()
  let extraHeaders: Readonly<Record<string, string>> = {}
  let decide = (_lastEvent: string | undefined, _headers: IncomingMessage['headers']): Behaviour => 'answer'
  let activeRequests = 0
  let isCrashed = false

  async function handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = []
    for await (const chunk of request) chunks.push(chunk as Buffer)
    if (request.url === ENGINE_PATH.move) return move(JSON.parse(Buffer.concat(chunks).toString('utf8')), response)
    const { headers } = request
    const requestId = String(headers[HEADER.requestId])
    response.setHeader(HEADER.requestId, requestId)
    for (const [name, value] of Object.entries(extraHeaders)) response.setHeader(name, value)
    if (headers[HEADER.expectUpstream] !== undefined && headers[HEADER.expectUpstream] !== id) return refuse(response, 421)
    const lastEvent = headers[HEADER.lastEventId] as string | undefined
    const behaviour = decide(lastEvent, headers)
    if (behaviour === 'full') return refuse(response, 503)
    runs.push({ id: requestId, method: request.method ?? '', path: request.url ?? '', headers, body: Buffer.concat(chunks).toString('utf8'), at: clock.now() })
    activeRequests += 1
    response.on('close', () => { activeRequests -= 1 })
    response.setHeader('x-hornbeamgap-server-stamp', id)
    if (unframed) endWithConnection(response)
    switch (behaviour) {
      case 'hang': return
      case 'lose':
        response.socket?.destroy()
        return
      case 'error':
        response.statusCode = 500
        response.end('failed')
        return
      case 'answer':
      case 'break':
      case 'crash':
        if (headers[HEADER.tokenUsage] === undefined) await answer(response)
        else await stream(response, requestId, Number(lastEvent ?? 0), behaviour)
    }
  }

  function crash (headers?: IncomingMessage['headers']): void {
    if (isCrashed) return
    isCrashed = true
    server.close()
    for (const socket of sockets) {
      if (crashEnd === 'reset') socket.resetAndDestroy()
      else socket.destroy()
    }
    onCrash?.(headers)
  }

  /** Stops the run, closes its stream without a final event and answers with the handle of the cache, which is copied unless moves are refused. */
  function move ({ id: requestId }: { id: string }, response: ServerResponse): void {
    const movedResponse = streaming.get(requestId)
    if (movedResponse === undefined) {
      response.statusCode = 404
      response.end()
      return
    }
    streaming.delete(requestId)
    movedResponse.destroy()
    moved.set(requestId, `h${moved.size + 1}`)
    if (movesRefused) response.statusCode = 503
    response.end(JSON.stringify({ handle: moved.get(requestId), created: 1 }))
  }

  async function answer (response: ServerResponse): Promise<void> {
    if (work > 0) await clock.sleep(work)
    response.end(`answer of ${id}`.padEnd(answerBytes))
  }

  async function stream (response: ServerResponse, requestId: string, after: number, behaviour: 'answer' | 'break' | 'crash'): Promise<void> {
    response.setHeader('content-type', 'text/event-stream')
    streaming.set(requestId, response)
    for (let event = after + 1; event <= events; event += 1) {
      if (pause > 0) await clock.sleep(pause)
      if (response.destroyed) return
      if (behaviour === 'crash' && event - after > eventsBeforeCrash) return crash(response.req.headers)
      if (behaviour === 'break' && event - after > EVENTS_BEFORE_BREAK) {
        response.write(`id: ${event}\nda`, () => response.socket?.destroy())
        return
      }
      response.write(`id: ${event}\ndata: token ${event}\n\n`)
    }
    streaming.delete(requestId)
    response.end()
  }

  const server = createServer((request, response) => {
    handle(request, response).catch(() => response.destroy())
  })
  server.on('connection', (socket) => {
    sockets.add(socket)
    socket.on('close', () => sockets.delete(socket))
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return {
    id,
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    runs,
    moved,
    activeRequests: () => activeRequests,
    setHeaders: (headers) => { extraHeaders = headers },
    setBehaviour: (next) => { decide = next },
    crash: () => crash(),
    hasCrashed: () => isCrashed,
    close: () => closeServer(server)
  }
}

/** Sends the answer with neither a length nor chunks. */
function endWithConnection (response: ServerResponse): void {
  response.useChunkedEncodingByDefault = false
  response.shouldKeepAlive = false
}

function refuse (response: ServerResponse, status: number): void {
  response.statusCode = status
  response.setHeader(HEADER.notExecuted, '1')
  response.end()
}

function closeServer (server: Server): Promise<void> {
  if (!server.listening) return Promise.resolve()
  server.closeAllConnections()
  return new Promise((resolve) => server.close(() => resolve()))
}
