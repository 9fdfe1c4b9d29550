/** A path from one machine to one server that counts its open connections. */
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'

export interface Path {
  readonly address: string
  /** Number of connections that are open now and have carried a request. */
  busy (): number
  close (): void
}

export async function openPath (target: string): Promise<Path> {
  const [host, port] = target.split(':')
  const sockets = new Set<Socket>()
  const busy = new Set<Socket>()
  const server = createServer({ allowHalfOpen: true }, (inbound) => {
    const outbound = connect({ host: host!, port: Number(port), allowHalfOpen: true })
    for (const [from, to] of [[inbound, outbound], [outbound, inbound]] as const) {
      sockets.add(from)
      from.on('error', () => to.resetAndDestroy())
      from.on('close', () => {
        sockets.delete(from)
        busy.delete(inbound)
        to.destroySoon()
      })
      from.pipe(to)
    }
    inbound.on('data', () => busy.add(inbound))
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    busy: () => busy.size,
    close: () => {
      for (const socket of sockets) socket.destroy()
      server.close()
    }
  }
}
