/** tRPC protocol between gateway nodes: exchange of states, reports of members, prefill notices, and the configuration. */
import type { Server } from 'node:http'
import * as z from 'zod'
import { createTRPCClient, httpLink } from '@trpc/client'
import type { TRPCClient } from '@trpc/client'
import { initTRPC } from '@trpc/server'
import { createHTTPServer } from '@trpc/server/adapters/standalone'
import { gossipMessageSchema, memberMessageSchema } from '../gossip/index.js'
import type { AggregatorAnswer, GossipMessage, MemberMessage } from '../gossip/index.js'
import { upstreamIncarnationSchema } from '../placement/index.js'
import { createLinkFetch } from '../peer/fetch.js'
import type { ByteCounter } from '../peer/fetch.js'
import type { Connections } from '../protocols/http.js'
import { MAX_MESSAGE_BYTES, pack, unpack } from './packing.js'

const prefillNoticeSchema = z.object({
  /** Incarnation of the sender. */
  from: z.string(),
  upstream: upstreamIncarnationSchema,
  /** Milliseconds of prefill that the prompt needs at the upstream. */
  reading: z.number(),
  /** Nodes that the receiver forwards the notice to: none, its members, or all nodes. */
  passTo: z.enum(['nobody', 'members', 'all'])
})

/** Notice of a long prompt that was dispatched to an upstream. */
export type PrefillNotice = z.infer<typeof prefillNoticeSchema>

/** Handlers for the requests of other nodes. */
export interface PeerHandlers {
  /** Applies a peer's message and returns this node's message. */
  readonly exchange: (message: GossipMessage) => GossipMessage
  /** Applies a member's report and returns the sums of the other nodes and store updates. */
  readonly report: (message: MemberMessage) => AggregatorAnswer
  /** Handles the notice of a long prompt that a peer has just dispatched to an upstream. */
  readonly reading: (notice: PrefillNotice) => void
  /** Text of the configuration in force; undefined while there is none. */
  readonly configuration: () => string | undefined
}

const trpc = initTRPC.create()

/** @internal exported because the type of the clients is derived from the router's type */
export function createPeerRouter (handlers: PeerHandlers) {
  return trpc.router({
    exchange: trpc.procedure.input(z.string()).mutation(({ input }) => pack(handlers.exchange(unpack(gossipMessageSchema, input)))),
    report: trpc.procedure.input(z.string()).mutation(({ input }) => pack(handlers.report(unpack(memberMessageSchema, input)))),
    reading: trpc.procedure.input(prefillNoticeSchema).mutation(({ input }) => handlers.reading(input)),
    configuration: trpc.procedure.query(() => ({ text: handlers.configuration() ?? null }))
  })
}

/** Client for one peer. */
export type PeerLink = TRPCClient<ReturnType<typeof createPeerRouter>>

/**
 * Creates the server for requests of other nodes.
 *
 * @returns a server that the caller starts and closes
 * @example
 * const server = createPeerLinkServer({ exchange, report, reading, configuration })
 */
export function createPeerLinkServer (handlers: PeerHandlers): Server {
  return createHTTPServer({ router: createPeerRouter(handlers), maxBodySize: MAX_MESSAGE_BYTES })
}

/**
 * Creates clients for peers, one per address, over shared connections.
 *
 * @returns a function that returns the client for a peer's address
 * @example
 * const reply = await createPeerLinks(connections, counter)('10.1.0.16:7500').exchange.mutate(pack(message), { signal })
 */
export function createPeerLinks (connections: Connections, counter: ByteCounter): (address: string) => PeerLink {
  const links = new Map<string, PeerLink>()
  const fetch = createLinkFetch(connections, counter)
  return (address) => {
    const link = links.get(address) ?? createTRPCClient<ReturnType<typeof createPeerRouter>>({ links: [httpLink({ url: `http://${address}`, fetch })] })
    links.set(address, link)
    return link
  }
}
