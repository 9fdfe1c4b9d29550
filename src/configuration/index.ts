/** The operators' configuration: its schema, the check of a document, differences and acceptance. */
export * from './schema.js'
export * from './change.js'
export * from './difference.js'
export * from './accept.js'
export * from './delivery.js'
