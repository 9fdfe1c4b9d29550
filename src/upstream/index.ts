/** Upstreams: what is known of them and which one a request goes to. */
export * from './types.js'
export * from './quantile.js'
export * from './estimate.js'
export * from './fleet.js'
export * from './partial-view.js'
