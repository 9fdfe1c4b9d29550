/** The agreement's calls to peers, each with a bound. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Address } from '../identifiers.js'
import type { AgreementMessage, Delivery, DeliveryReceipt, DeliveryTarget, ProbeAnswer } from '../peer/agreement.js'
import { createPeers } from '../peer/client.js'
import type { Peers } from '../peer/client.js'
import { createConnections } from '../platform/http.js'

/** Calls to peers as the agreement makes them. Every method rejects when the peer does not answer in time. */
export interface AgreementPeers {
  exchange (address: Address, message: AgreementMessage, signal: AbortSignal): Promise<AgreementMessage>
  /** The same on a connection of its own that nothing between the ends can have forgotten. */
  exchangeAnew (address: Address, message: AgreementMessage, signal: AbortSignal): Promise<AgreementMessage>
  deliver (address: Address, delivery: Delivery, signal: AbortSignal): Promise<DeliveryReceipt>
  probe (address: Address, target: DeliveryTarget, signal: AbortSignal): Promise<ProbeAnswer>
}

/** Bound on an exchange: peers are milliseconds away, other regions some tens. */
export const EXCHANGE_TIMEOUT: Milliseconds = 1.5 * SECOND

/** Bound on a probe: the helper itself waits for an exchange. */
export const PROBE_TIMEOUT: Milliseconds = 2 * EXCHANGE_TIMEOUT

/**
 * @param peers the node's connections to peers
 * @param peerKey shared secret, for connections of their own
 * @example
 * const agreementPeers = createAgreementPeers(peers, settings.peer_key)
 */
export function createAgreementPeers (peers: Peers, peerKey: string): AgreementPeers {
  const exchangeWith = (through: Peers, address: Address, message: AgreementMessage, signal: AbortSignal): Promise<AgreementMessage> =>
    through.at(address).agreement.exchange.mutate(message, { signal: bounded(signal, EXCHANGE_TIMEOUT) })

  return {
    exchange: (address, message, signal) => exchangeWith(peers, address, message, signal),
    exchangeAnew: async (address, message, signal) => {
      const connections = createConnections(1)
      try {
        return await exchangeWith(createPeers(connections, peerKey), address, message, signal)
      } finally {
        await connections.destroy()
      }
    },
    deliver: (address, delivery, signal) =>
      peers.at(address).agreement.deliver.mutate(delivery, { signal: bounded(signal, delivery.within_ms) }),
    probe: (address, target, signal) =>
      peers.at(address).agreement.probe.mutate(target, { signal: bounded(signal, PROBE_TIMEOUT) })
  }
}

function bounded (signal: AbortSignal, timeout: Milliseconds): AbortSignal {
  return AbortSignal.any([signal, AbortSignal.timeout(Math.ceil(timeout))])
}
