/** Paths of a node to the upstreams: direct, or relayed by another node. */
export { createRelayPeers, MAX_ASKED_RELAYS } from './relay-peers.js'
export type { RelayNode, RelayPeers } from './relay-peers.js'
export { createUpstreamPaths } from './upstream-paths.js'
export type { LostPath, UpstreamPaths } from './upstream-paths.js'
