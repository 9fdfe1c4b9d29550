/** Public exports of `hornbeamgap/client`. */
export { createClient } from './client.js'
export type { Client, ClientOptions } from './client.js'
export type { ChatAnswer, ChatCall } from './chat.js'
export type { ServiceAnswer, ServiceCall } from './plain.js'
export { ServingError } from '../verdict.js'
export type { FailureCode, Verdict } from '../verdict.js'
