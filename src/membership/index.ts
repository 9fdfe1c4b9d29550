/** Membership: which entry nodes there are and which of them a caller uses. */
export { addressAnswerSchema, nodeRecordSchema, rumourSchema, viewChangesSchema } from './types.js'
export type { AddressAnswer, NodeRecord, PeerState, ViewChange } from './types.js'
export { answerNodes, isWatcher, successorsOf, watchers, WATCHERS_PER_DOMAIN } from './places.js'
export { createMembershipView, LAPSE_GRACE, LAPSE_GRACE_DOWN } from './view.js'
export type { MembershipView, Stamped } from './view.js'
export { createSuspicions, MOST_RUMOURS } from './suspicion.js'
export type { Suspicions } from './suspicion.js'
export { rank, score } from './rendezvous.js'
