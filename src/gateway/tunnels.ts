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
import { hasBeenReset, resetConnection } from '../connection-reset.js'
import { hostPortOf } from '../host-port.js'
import type { UpstreamIncarnation, UpstreamRecord } from '../placement/index.js'
import { openFramedStream, relayInFrames } from './tunnel-frames.js'

/** Names the incarnation of the upstream that the connection is for. Nodes of a build without frames know another name, and refuse. */
const UPSTREAM_HEADER = 'hornbeamgap-framed-upstream'

/** Time within which a relaying node must reach the upstream. */
const RELAY_CONNECT_TIMEOUT: Milliseconds = 300

/** Maximum number of connections that a node relays at a time. Each takes two descriptors. */
const MAX_TUNNELS = 250

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
  /** Tells the other nodes that this one stops. They close each tunnel once it carries no answer, and open no others. */
  leave (): void
  /** Breaks off all tunnels. */
  close (): void
}

interface Tunnel {
  readonly ends: readonly Socket[]
  /** Undefined until the upstream is connected. */
  announceLeaving: (() => void) | undefined
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
  let isLeaving = false

  server.on('connect', (asked: IncomingMessage, peer: Socket, head: Buffer) => {
    peer.on('error', () => peer.destroy())
    const upstream = find(String(asked.headers[UPSTREAM_HEADER] ?? '') as UpstreamIncarnation)
    if (upstream === undefined || tunnels.size >= MAX_TUNNELS) {
      refuse(peer)
      return
    }
    const outbound = openSocket(upstream)
    if (outbound === undefined) refuse(peer)
    else relay(peer, head, outbound)
  })

  function relay (peer: Socket, head: Buffer, outbound: Socket): void {
    const tunnel: Tunnel = { ends: [peer, outbound], announceLeaving: undefined }
    tunnels.add(tunnel)
    const cancelTimeout = clock.schedule(RELAY_CONNECT_TIMEOUT, () => outbound.destroy())
    outbound.on('error', () => outbound.destroy())
    outbound.once('connect', () => {
      cancelTimeout()
      if (isLeaving) {
        refuse(peer)
        outbound.destroy()
        return
      }
      peer.write(`HTTP/1.1 ${ESTABLISHED} Connection Established\r\n\r\n`)
      if (head.length > 0) outbound.write(head)
      peer.pipe(outbound)
      tunnel.announceLeaving = relayInFrames(outbound, peer)
    })
    outbound.once('close', () => {
      cancelTimeout()
      tunnels.delete(tunnel)
      // Otherwise the other node is told of the end, after all that the upstream has sent.
      if (tunnel.announceLeaving === undefined) peer.destroySoon()
    })
    peer.once('end', () => {
      if (hasBeenReset(peer)) resetConnection(outbound)
      else outbound.destroySoon()
    })
    peer.once('close', (isReset) => {
      if (isReset) resetConnection(outbound)
      else outbound.destroy()
    })
  }

  return {
    open: () => tunnels.size,
    leave: () => {
      isLeaving = true
      for (const { announceLeaving } of tunnels) announceLeaving?.()
    },
    close: () => {
      for (const { ends } of tunnels) for (const end of ends) end.destroy()
    }
  }
}

/** Failure guarded against: opening a connection to an odd address throws, within an event, which ends the process. */
function openSocket ({ address }: UpstreamRecord): Socket | undefined {
  try {
    return connectSocket(address)
  } catch {
    return undefined
  }
}

function refuse (peer: Socket): void {
  peer.end('HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n')
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
