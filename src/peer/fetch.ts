/**
 * The subset of `fetch` that the links of tRPC use, implemented with undici. A complete `fetch` needs several times the
 * processor time.
 */
import type { Dispatcher } from 'undici'
import type { Connections } from '../protocols/http.js'

/** Total bytes of message bodies. */
export interface ByteCounter {
  sent: number
  received: number
}

/** Options that a tRPC link passes to `fetch`. */
export interface LinkRequest {
  readonly method?: 'GET' | 'POST'
  readonly headers?: Record<string, string>
  readonly body?: string
  readonly signal?: AbortSignal
}

/**
 * Sends the request of a tRPC link and returns the response before its body is read.
 *
 * @example
 * const response = await sendLinkRequest(connections, counter, url, options)
 */
export function sendLinkRequest (connections: Connections, counter: ByteCounter, url: unknown, options: object): Promise<Dispatcher.ResponseData> {
  const { method, headers, body, signal } = options as LinkRequest
  counter.sent += body?.length ?? 0
  const { origin, pathname, search } = new URL(String(url))
  return connections.request({ origin, path: pathname + search, method: method ?? 'GET', headers: headers ?? {}, body: body ?? null, signal: signal ?? null })
}

/**
 * Creates a `fetch` function for tRPC links. The function reads the complete response body into memory, so it suits
 * links with short responses only.
 *
 * @example
 * httpBatchLink({ url, fetch: createLinkFetch(connections, counter) })
 */
export function createLinkFetch (connections: Connections, counter: ByteCounter): (url: unknown, options?: object) => Promise<any> {
  return async (url, options = {}) => {
    const response = await sendLinkRequest(connections, counter, url, options)
    const text = await response.body.text()
    counter.received += text.length
    return { ok: isSuccess(response), status: response.statusCode, headers: response.headers, json: async () => JSON.parse(text) }
  }
}

/**
 * Returns whether the status is 2xx.
 *
 * @example
 * if (!isSuccess(response)) return
 */
export function isSuccess (response: Dispatcher.ResponseData): boolean {
  return response.statusCode >= 200 && response.statusCode < 300
}
