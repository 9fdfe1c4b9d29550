/** Membership of entry nodes: the view of all nodes, failure suspicion, and the choice of nodes for callers and roles. */
export { addressAnswerSchema, nodeRecordSchema, rumourSchema, viewChangesSchema } from './types.js'
export type { AddressAnswer, NodeRecord, PeerState, ViewChange } from './types.js'
export { selectAddressNodes, isWatcher, successorsOf, watchers, WATCHERS_PER_DOMAIN } from './places.js'
export { createMembershipView, LAPSE_GRACE, LAPSE_GRACE_UNREACHABLE } from './view.js'
export type { MembershipView, RevisionedRecord } from './view.js'
export { createSuspicions, MAX_RUMOURS } from './suspicion.js'
export type { Suspicions } from './suspicion.js'
export { rank, score } from './rendezvous.js'
