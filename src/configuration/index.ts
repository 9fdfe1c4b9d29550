/** The operators' configuration: its schema and its rules. */
export * from './schema.js'
