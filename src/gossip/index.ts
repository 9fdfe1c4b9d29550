/** Soft state that nodes pass on to each other. */
export { gossipMessageSchema, nodeStateSchema } from './types.js'
export type { GossipMessage, NodeState, Versions } from './types.js'
export { createGossipTable, SILENT_AFTER } from './table.js'
export type { GossipPart, GossipTable } from './table.js'
export { createSharedWall } from './shared-wall.js'
export type { SharedWall } from './shared-wall.js'
