/** Admission: order, limits and refusal under load. */
export * from './types.js'
export * from './scheduler.js'
