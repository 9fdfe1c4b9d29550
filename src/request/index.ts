/** Requests: identity, at-most-once, hand-over and outcome. */
export * from './types.js'
export * from './answer.js'
export * from './hash.js'
export * from './home.js'
export * from './seen-filter.js'
export * from './retry.js'
export * from './claim.js'
