/** Endpoints for operators and monitoring: `/metrics` and `/healthz`. */
import type restana from 'restana'
import { sendJson } from '../caller/http.js'
import type { EntryParts } from './parts.js'

/**
 * Registers the endpoints and their gauges. The endpoints require no key, so their answers contain neither names of
 * organisations nor ids.
 *
 * @example
 * registerObservationApi(service, parts)
 */
export function registerObservationApi (service: ReturnType<typeof restana>, parts: EntryParts): void {
  const { metrics, executions, context, membership, home, facts, peers, configuration, clock } = parts
  metrics.gauge('open_requests', () => executions.usage().open)
  metrics.gauge('kept_answers', () => executions.usage().answers)
  metrics.gauge('kept_answer_bytes', () => executions.usage().bytes)
  metrics.gauge('waiting_attempts', () => context.dispatcher.waiting())
  metrics.gauge('remembered_ids', () => home.statistics().ended)
  metrics.gauge('fact_bytes', () => facts.usage().bytes)
  metrics.gauge('peer_bytes_sent', () => peers.bytes().sent)
  metrics.gauge('peer_bytes_received', () => peers.bytes().received)
  metrics.gauge('configuration_revision', () => configuration.revision())
  metrics.gauge('entry_nodes', () => membership.count())

  service.get('/metrics', (_request: unknown, response: any) => {
    response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' })
    response.end(metrics.text())
  })
  service.get('/healthz', (_request: unknown, response: any) => {
    const usable = configuration.usable(clock.now())
    sendJson(response, usable ? 200 : 503, {
      ready: usable,
      leaving: membership.own().leaving,
      incarnation: membership.own().incarnation,
      revision: configuration.revision()
    })
  })
}
