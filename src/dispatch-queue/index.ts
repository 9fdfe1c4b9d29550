/** Order, dispatch and refusal of the requests of one service that wait at a gateway node. */
export { createDispatchQueue } from './queue.js'
export type { DispatchQueueOptions } from './queue.js'
export { createQueueSpace } from './space.js'
export type { QueueSpace, QueueSpaceBounds } from './space.js'
export type { DispatchQueue, Offer, QueuedRequest, QueueEffect, QueuePosition, RefusalCause } from './types.js'
