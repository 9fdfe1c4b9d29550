/**
 * Relay of connections between nodes: a node that has lost its path to an upstream asks another node by CONNECT
 * (RFC 9110, 9.3.6) for a connection to it. The bytes are relayed unread, so the asking node remains the only one that decides
 * and accounts for the requests. Those of the upstream are relayed in frames, which tell the asking node how its connection ended.
 */
import { request } from 'node:http'
import type { IncomingMessage, Server } from 'node:http'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { onAbort } from '../abort-listeners.js'
import type { Clock, Milliseconds } from '../clock.js'
import { hostPortOf } from '../host-port.js'
import type { UpstreamIncarnation, UpstreamRecord } from '../placement/index.js'
import { openFramedStream, relayInFrames } from './tunnel-frames.js'

/** Names the incarnation of the upstream that the connection is for. Nodes of a build without frames know another name, and refuse. */
const UPSTREAM_HEADER = 'hornbeamgap-framed-upstream'

/** Time within which a relaying node must reach the upstream. */
const RELAY_CONNECT_TIMEOUT: Milliseconds = 300

/** Maximum number of connections that a node relays at a time. Each takes two descriptors. */
const MAX_TUNNELS = 250

/** A tunnel counts as busy for this time after its last byte, so that a stop does not cut a stream in a pause between events. */
const BUSY_PERIOD: Milliseconds = 1_000

/** Idle time after which the kernel begins to probe a connection. */
const KEEP_ALIVE_DELAY: Milliseconds = 60_000

const ESTABLISHED = 200

/** Options of {@link serveTunnels}. */
export interface TunnelServerOptions {
  readonly clock: Clock
  /** The upstream with this incarnation, if this node reaches it and may open connections to it now. */
  readonly find: (incarnation: UpstreamIncarnation) => UpstreamRecord | undefined
}

/** Connections that this node relays. */
export interface TunnelServer {
  /** Number of tunnels. */
  open (): number
  /** Number of tunnels whose upstream owes an answer or has sent something recently. */
  busy (): number
  close (): void
}

interface Tunnel {
  readonly ends: readonly Socket[]
  isAwaitingAnswer: boolean
  lastByteAt: Milliseconds
}

/**
 * Answers requests of other nodes to relay connections.
 *
 * @param server for requests of other nodes
 * @example
 * const tunnels = serveTunnels(peerServer, { clock, find: (incarnation) => upstreams.find(incarnation) })
 */
export function serveTunnels (server: Server, { clock, find }: TunnelServerOptions): TunnelServer {
  const tunnels = new Set<Tunnel>()

  server.on('connect', (asked: IncomingMessage, peer: Socket, head: Buffer) => {
    peer.on('error', () => peer.destroy())
    const upstream = find(String(asked.headers[UPSTREAM_HEADER] ?? '') as UpstreamIncarnation)
    if (upstream === undefined || tunnels.size >= MAX_TUNNELS) {
      peer.end('HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n')
      return
    }
    relay(peer, head, upstream)
  })

  function relay (peer: Socket, head: Buffer, upstream: UpstreamRecord): void {
    const outbound = connectSocket(upstream.address)
    const tunnel: Tunnel = { ends: [peer, outbound], isAwaitingAnswer: false, lastByteAt: clock.now() }
    let isEstablished = false
    tunnels.add(tunnel)
    const cancelTimeout = clock.schedule(RELAY_CONNECT_TIMEOUT, () => outbound.destroy())
    outbound.on('error', () => outbound.destroy())
    outbound.once('connect', () => {
      isEstablished = true
      cancelTimeout()
      peer.write(`HTTP/1.1 ${ESTABLISHED} Connection Established\r\n\r\n`)
      if (head.length > 0) outbound.write(head)
      peer.pipe(outbound)
      relayInFrames(outbound, peer)
      peer.on('data', () => noteByte(tunnel, true))
      outbound.on('data', () => noteByte(tunnel, false))
    })
    outbound.once('close', () => {
      cancelTimeout()
      tunnels.delete(tunnel)
      // Otherwise the other node is told of the end, after all that the upstream has sent.
      if (!isEstablished) peer.destroy()
    })
    peer.once('end', () => outbound.destroySoon())
    peer.once('close', () => outbound.destroy())
  }

  function noteByte (tunnel: Tunnel, isAwaitingAnswer: boolean): void {
    tunnel.lastByteAt = clock.now()
    tunnel.isAwaitingAnswer = isAwaitingAnswer
  }

  return {
    open: () => tunnels.size,
    busy: () => [...tunnels].filter(({ isAwaitingAnswer, lastByteAt }) => isAwaitingAnswer || clock.now() - lastByteAt < BUSY_PERIOD).length,
    close: () => {
      for (const { ends } of tunnels) for (const end of ends) end.destroy()
    }
  }
}

/**
 * Opens a connection to an upstream through another node.
 *
 * @param peer address of the other node for requests of nodes
 * @throws if the other node refuses, cannot be reached, or the signal aborts
 * @example
 * const stream = await openTunnel('10.1.0.16:7500', upstream, signal)
 */
export function openTunnel (peer: string, upstream: UpstreamRecord, signal: AbortSignal): Promise<Duplex> {
  const { host, port } = hostPortOf(peer)
  return new Promise((resolve, reject) => {
    const outgoing = request({ host, port, method: 'CONNECT', path: upstream.address, headers: { [UPSTREAM_HEADER]: upstream.incarnation }, agent: false })
    const stopListening = onAbort(signal, () => outgoing.destroy(new Error('the connection is no longer needed')))
    outgoing.once('connect', (answer, socket: Socket, head) => {
      stopListening()
      if (answer.statusCode === ESTABLISHED) {
        if (head.length > 0) socket.unshift(head)
        socket.setKeepAlive(true, KEEP_ALIVE_DELAY)
        resolve(openFramedStream(socket))
        return
      }
      socket.destroy()
      reject(new Error(`${peer} does not relay to ${upstream.id}: status ${answer.statusCode}`))
    })
    outgoing.on('error', (error) => {
      stopListening()
      reject(error)
    })
    outgoing.end()
  })
}

/**
 * Starts a TCP connection, which the kernel probes when it is idle.
 *
 * @param address host and port
 * @example
 * const socket = connectSocket('10.1.64.8:8106')
 */
export function connectSocket (address: string): Socket {
  return connect({ ...hostPortOf(address), noDelay: true, keepAlive: true, keepAliveInitialDelay: KEEP_ALIVE_DELAY })
}
