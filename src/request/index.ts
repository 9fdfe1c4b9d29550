/** Requests: identity, at-most-once, hand-over and outcome. */
export * from './types.js'
export * from './answer.js'
