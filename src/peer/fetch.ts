/** The part of `fetch` that tRPC's links use, over undici; a whole one costs several times the processor time. */
import type { Dispatcher } from 'undici'
import type { Connections } from '../protocols/http.js'

/** Counts the bytes of bodies. */
export interface ByteCounter {
  sent: number
  received: number
}

/** What tRPC's links pass to `fetch`. */
export interface LinkRequest {
  readonly method?: 'GET' | 'POST'
  readonly headers?: Record<string, string>
  readonly body?: string
  readonly signal?: AbortSignal
}

/**
 * Sends what a link asks for and returns the response with its body unread.
 *
 * @example
 * const response = await linkExchange(connections, counter, url, options)
 */
export function linkExchange (connections: Connections, counter: ByteCounter, url: unknown, options: object): Promise<Dispatcher.ResponseData> {
  const { method, headers, body, signal } = options as LinkRequest
  counter.sent += body?.length ?? 0
  const { origin, pathname, search } = new URL(String(url))
  return connections.request({ origin, path: pathname + search, method: method ?? 'GET', headers: headers ?? {}, body: body ?? null, signal: signal ?? null })
}

/**
 * A `fetch` for links whose answers are short.
 *
 * @example
 * httpBatchLink({ url, fetch: createLinkFetch(connections, counter) })
 */
export function createLinkFetch (connections: Connections, counter: ByteCounter): (url: unknown, options?: object) => Promise<any> {
  return async (url, options = {}) => {
    const response = await linkExchange(connections, counter, url, options)
    const text = await response.body.text()
    counter.received += text.length
    return { ok: isOk(response), status: response.statusCode, headers: response.headers, json: async () => JSON.parse(text) }
  }
}

/**
 * @example
 * if (!isOk(response)) return
 */
export function isOk (response: Dispatcher.ResponseData): boolean {
  return response.statusCode >= 200 && response.statusCode < 300
}
