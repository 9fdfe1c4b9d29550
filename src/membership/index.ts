/** Membership: which entry nodes there are and which of them a caller uses. */
export * from './types.js'
export * from './places.js'
export * from './view.js'
export * from './suspicion.js'
export { rank, score } from './rendezvous.js'
