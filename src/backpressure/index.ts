/** Upstreams that ask for less work, or for none. */
export type { UpstreamSignals } from './types.js'
