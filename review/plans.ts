/** Configuration and requests for plans: long streams that may not be repeated, as the sheets of the users have them. */
import type { ClientRequest } from './client.js'

const HOST = 'plans.example'
const KEY = '3d3zji9n73hh2b9wu3fe'

/** Milliseconds that the clients of plans wait. */
export const TIME_BUDGET = 15_000

/** Events of a plan, and tokens of an event. */
export const EVENTS = 76
const TOKENS_OF_EVENT = 5

/** The configuration with the one route of plans. */
export const CONFIGURATION = {
  version: 3,
  routes: [{ name: 'plan', host: HOST, prefix: '/plan/', kind: 'streaming', timeoutMs: TIME_BUDGET, targetLatencyMs: 1_200, targetGapMs: 800, service: 'models', maxAttempts: 1, priority: 1, sticky: true }],
  services: [{ name: 'models', healthPath: '/health', maxConns: 370, engine: { slots: 64, kvCapacityTokens: 681_860 } }],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
  tenants: [{ name: 'huka270', apiKeys: [KEY], unit: 'tokens', plainTokens: 200, ratePerS: 2_000_000, burst: 2_000_000 }]
}

/** Query with which a client asks for the addresses of the host. */
export const RESOLVE_PATH = `/resolve?name=${HOST}&region=region-a&zone=zone-a`

/**
 * A request for a plan.
 *
 * @param subject hexadecimal id of the shared part of the prompt, which decides on the server
 */
export function planRequest (address: string, id: string, subject: string): ClientRequest {
  return {
    address,
    method: 'POST',
    path: `/plan/${id}`,
    headers: {
      host: HOST,
      'x-hornbeamgap-request-id': id,
      'x-hornbeamgap-deadline-ms': String(TIME_BUDGET),
      'x-hornbeamgap-model': 'm',
      'x-hornbeamgap-token-usage': `11992,${EVENTS * TOKENS_OF_EVENT}`,
      'x-hornbeamgap-prompt-prefix': `5c1e07a2:512,${subject}:4870,${Buffer.from(id).toString('hex')}:6610`,
      'api-key': KEY
    },
    body: 'a plan'.repeat(2_000)
  }
}

/** Number of complete events in a body. */
export function countEvents (body: string): number {
  return body.split('\n\n').length - 1
}
