/** Public surface of `hornbeamgap/client`. */
export { createClient } from './client.js'
export type { ChatAnswer, ChatCall, Client, ClientOptions } from './client.js'
export { ServingError } from '../verdict.js'
export type { FailureCode, Verdict } from '../verdict.js'
