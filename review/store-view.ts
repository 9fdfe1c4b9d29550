/**
 * The store as one machine sees it: a proxy before the store that names, for each server, the address at which this machine's
 * path to the server begins. On loopback all machines share one address, so that a cut between one machine and one server
 * needs a path of its own.
 */
import { createServer, request as sendRequest } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { STORE_KEY } from '../platform/names.js'

export interface StoreView {
  readonly address: string
  close (): void
}

interface Item {
  readonly key: string
  readonly value?: string
}

/** @param pathTo returns the address for this machine, given the address that the server has registered */
export async function serveStoreView (store: string, pathTo: (address: string) => string): Promise<StoreView> {
  const [host, port] = store.split(':')

  function rewrite (item: Item): Item {
    if (!item.key.startsWith(STORE_KEY.upstreams) || item.value === undefined || item.value === '') return item
    const entry = JSON.parse(Buffer.from(item.value, 'base64').toString('utf8')) as { address: string }
    return { ...item, value: Buffer.from(JSON.stringify({ ...entry, address: pathTo(entry.address) })).toString('base64') }
  }

  function rewriteAnswer (text: string): string {
    const answer = JSON.parse(text) as { key?: string, items?: Item[], events?: Item[] }
    if (answer.items !== undefined) return JSON.stringify({ ...answer, items: answer.items.map(rewrite) })
    if (answer.events !== undefined) return JSON.stringify({ ...answer, events: answer.events.map(rewrite) })
    return answer.key === undefined ? text : JSON.stringify(rewrite(answer as Item))
  }

  function forward (request: IncomingMessage, response: ServerResponse): void {
    const outgoing = sendRequest({ host: host!, port: Number(port), method: request.method!, path: request.url!, headers: { ...request.headers, connection: 'close' }, agent: false }, (answer) => {
      const chunks: Buffer[] = []
      answer.on('data', (chunk: Buffer) => chunks.push(chunk))
      answer.on('error', () => response.destroy())
      answer.on('end', () => {
        const text = Buffer.concat(chunks).toString('utf8')
        const body = answer.statusCode === 200 && text.startsWith('{') ? rewriteAnswer(text) : text
        const { 'transfer-encoding': _chunked, 'content-length': _length, connection: _connection, 'keep-alive': _kept, ...headers } = answer.headers
        response.writeHead(answer.statusCode!, { ...headers, 'content-length': Buffer.byteLength(body) })
        response.end(body)
      })
    })
    outgoing.on('error', () => response.destroy())
    response.on('close', () => outgoing.destroy())
    request.pipe(outgoing)
  }

  const server = createServer(forward)
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    close: () => {
      server.closeAllConnections()
      server.close()
    }
  }
}
