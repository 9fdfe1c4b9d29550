/** A client of the system: one request on a new connection, with a record of how its connection ends. */
import { request as sendRequest } from 'node:http'
import type { IncomingMessage } from 'node:http'

/** Outcome of one request as its client sees it. */
export interface Outcome {
  /** Undefined if the connection ended before the head of an answer. */
  readonly status: number | undefined
  readonly headers: IncomingMessage['headers']
  readonly body: string
  /** Whether the answer has a length or chunks and ended as these say. */
  readonly isComplete: boolean
  readonly error: string | undefined
  /** Milliseconds from the sending to the end. */
  readonly took: number
}

export interface ClientRequest {
  readonly address: string
  readonly method: 'GET' | 'POST'
  readonly path: string
  readonly headers: Readonly<{ [name: string]: string }>
  readonly body?: string
  /** Called with each part of the body. */
  readonly onData?: (chunk: Buffer) => void
  /** Called once the whole request has been handed to the kernel. */
  readonly onSent?: () => void
}

/** Sends a request on a connection of its own. Never rejects. */
export function send ({ address, method, path, headers, body, onData, onSent }: ClientRequest): Promise<Outcome> {
  const [host, port] = address.split(':')
  const start = performance.now()
  return new Promise((resolve) => {
    const chunks: Buffer[] = []
    let answer: IncomingMessage | undefined
    const end = (isComplete: boolean, error?: Error): void => resolve({
      status: answer?.statusCode,
      headers: answer?.headers ?? {},
      body: Buffer.concat(chunks).toString('utf8'),
      isComplete,
      error: error === undefined ? undefined : error.message,
      took: Math.round(performance.now() - start)
    })
    const outgoing = sendRequest({ host: host!, port: Number(port), method, path, headers: { ...headers, ...(body === undefined ? {} : { 'content-length': String(Buffer.byteLength(body)) }) }, agent: false }, (response) => {
      answer = response
      response.on('data', (chunk: Buffer) => {
        chunks.push(chunk)
        onData?.(chunk)
      })
      const isFramed = response.headers['content-length'] !== undefined || response.headers['transfer-encoding'] !== undefined
      response.on('end', () => end(response.complete && isFramed))
      response.on('error', (error) => end(false, error))
    })
    outgoing.on('error', (error) => end(false, error))
    outgoing.on('finish', () => onSent?.())
    outgoing.end(body)
  })
}
