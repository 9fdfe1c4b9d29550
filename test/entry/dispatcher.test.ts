/** Dispatcher: decisions are based on the configuration in force and on the current upstreams. */
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createScheduler } from '../../src/admission/index.js'
import type { PendingAttempt } from '../../src/admission/index.js'
import { configurationSchema } from '../../src/configuration/index.js'
import type { Configuration } from '../../src/configuration/index.js'
import { createDispatcher } from '../../src/entry/dispatcher.js'
import type { UpstreamDirectory } from '../../src/entry/upstream-directory.js'
import { classNameSchema, organisationNameSchema, requestIdSchema } from '../../src/identifiers.js'
import { createRandom } from '../../src/random.js'
import type { UpstreamView } from '../../src/upstream/index.js'
import { createManualClock } from '../../stand-ins/manual-clock.js'

const configuration = configurationSchema.parse({
  deployment: { name: 'test', target: { cost_per_thousand_answers: 1, recomputed_per_thousand_tokens: 1 } },
  services: [{ kind: 'plain', name: 'depot' }],
  organisations: [{ name: 'hakata', key_sha256: ['0'.repeat(64)] }],
  classes: [{ name: 'coach-order', service: 'depot', idempotent: false, target: { whole_answer_ms: 2_000, quantile: 0.99, reliability: 0.999 } }]
})

const view = { name: 'depot-1', service: 'depot', failureDomain: 'zone-a', address: '127.0.0.1:1', protocol: 'plain', leaving: false, inFlight: 0 } as unknown as UpstreamView

const attempt: PendingAttempt = {
  id: requestIdSchema.parse('entry-1.0123456789abcdef'),
  organisation: organisationNameSchema.parse('hakata'),
  class: classNameSchema.parse('coach-order'),
  attempt: 1,
  arrivedAt: 0,
  promptTokens: 0,
  maxTokens: 0,
  tokensSoFar: 0,
  prefixBlocks: [],
  adapter: undefined,
  excluded: [],
  apart: false,
  accepted: false
}

/*
 * Failure guarded against: an operator applies the first configuration, and it is confirmed as in force. A request that
 * arrives at the same moment is refused with `no-upstream`, although three upstreams are live. The cause was that the
 * scheduler received the revision only with its next tick. It affected 1 of 231 requests.
 */
test('a request that arrives right after a new revision is decided with that revision', async () => {
  const inForce: { configuration?: Configuration } = {}
  const directory = { find: () => view } as unknown as UpstreamDirectory
  const dispatcher = createDispatcher({ scheduler: createScheduler({ random: createRandom(1) }), directory, configuration: () => inForce.configuration, clock: createManualClock() })
  dispatcher.notify({ kind: 'upstreams', upstreams: [view] })
  inForce.configuration = configuration
  const placement = await dispatcher.place(attempt, new AbortController().signal)
  assert.equal(placement.upstream.name, 'depot-1')
})

/*
 * Failure guarded against: an engine dies during an answer. The scheduler chooses another engine, which disappears from
 * the directory at the same moment, and the rest of the answer is refused. The cause was that the dispatcher dropped
 * the attempt instead of submitting it to the scheduler again.
 */
test('an accepted attempt whose upstream disappears before the dispatch is scheduled again', async () => {
  const other = { ...view, name: 'depot-2' } as UpstreamView
  const directory = { find: (name: string) => name === other.name ? other : undefined, views: () => [other] } as unknown as UpstreamDirectory
  const dispatcher = createDispatcher({ scheduler: createScheduler({ random: createRandom(1) }), directory, configuration: () => configuration, clock: createManualClock() })
  dispatcher.notify({ kind: 'upstreams', upstreams: [view] })
  const placement = await dispatcher.place({ ...attempt, accepted: true }, new AbortController().signal)
  assert.equal(placement.upstream.name, 'depot-2')
})
