/** Connections to plain services, on which half of an answer without a length does not look whole. */
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { buildConnector } from 'undici'
import { startTimeout } from '../clock.js'
import type { Milliseconds } from '../clock.js'
import { failOnReset, RESET_CODE } from '../connection-reset.js'
import { hostPortOf } from '../host-port.js'
import type { Address } from '../identifiers.js'
import { CONNECT_TIMEOUT, createConnections, createFreshConnections } from './http.js'
import type { Connections } from './http.js'

/** Connections to plain services. */
export interface PlainConnections {
  /** Connections that are reused. */
  readonly pooled: Connections
  /** Connections of which each serves a single call. */
  readonly unpooled: Connections
  close (): Promise<void>
}

/** Code that a reset gets here, since undici takes one with the usual code for the end of an answer that ends with its connection. */
const REPORTED_RESET_CODE = 'CONNECTION_RESET'

/** Time within which a service that is alive accepts a connection. */
const ACCEPT_TIMEOUT: Milliseconds = 1_000

/**
 * Creates the connections, none of them open.
 *
 * @param connections maximum number of connections of each kind to one address
 * @example
 * const plain = createPlainConnections(64)
 * const response = await callPlainService(plain.unpooled, address, call, { signal })
 */
export function createPlainConnections (connections: number): PlainConnections {
  const pooled = createConnections(connections, createConnector())
  const unpooled = createFreshConnections(connections, createConnector())
  return {
    pooled,
    unpooled,
    close: async () => { await Promise.all([pooled.destroy(), unpooled.destroy()]) }
  }
}

/**
 * Whether something accepts connections at an address. A service whose process has died doesn't, while the kernel ends its connections
 * as after a complete answer.
 *
 * @example
 * if (!await acceptsConnections(address)) throw failure
 */
export function acceptsConnections (address: Address): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect(hostPortOf(address))
    const finish = (isAccepted: boolean): void => {
      cancel()
      socket.destroy()
      resolve(isAccepted)
    }
    const cancel = startTimeout(ACCEPT_TIMEOUT, () => finish(false))
    socket.once('connect', () => finish(true))
    socket.once('error', () => finish(false))
  })
}

function createConnector (): buildConnector.connector {
  const connector = buildConnector({ timeout: CONNECT_TIMEOUT })
  return (options, callback) => connector(options, (...result) => {
    const [, socket] = result
    if (socket !== null) noteResets(socket)
    callback(...result)
  })
}

function noteResets (socket: Socket): void {
  failOnReset(socket)
  socket.prependListener('error', reportReset)
}

function reportReset (error: NodeJS.ErrnoException): void {
  if (error.code === RESET_CODE) error.code = REPORTED_RESET_CODE
}
