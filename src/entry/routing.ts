/** Brings every send and every lookup to the node that may decide about it. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import { sha256 } from '../credentials.js'
import type { OrganisationName, RequestId } from '../identifiers.js'
import { claimKey } from '../request/index.js'
import type { AnswerPart, Request } from '../request/index.js'
import { ServingError, toServingError } from '../verdict.js'
import { localSource } from './answer-source.js'
import type { AnswerSource } from './answer-source.js'
import type { ClaimKeeper } from './claim-keeper.js'
import type { ExecutionContext } from './context.js'
import type { Relay } from './relay.js'
import type { Executions, Located, Reservation } from './submission.js'

/** A request as it was received. */
export interface Received {
  readonly request: Request
  /** Set when the caller named the request by a key and not by an id. */
  readonly idempotencyKey: string | undefined
  readonly traceparent: string | undefined
}

/** Sends and lookups of callers that are connected to this node. */
export interface Routing {
  /** @throws ServingError with its verdict when the request is neither run nor known */
  submit (received: Received): Promise<AnswerSource>
  attach (organisation: OrganisationName, id: RequestId, offset: number): Promise<AnswerSource>
}

/** Claims of one send; more mean that others keep replacing refused owners of the same key. */
const MOST_CLAIMS = 3

const RETRY_AFTER: Milliseconds = SECOND

/**
 * @example
 * const source = await createRouting({ context, executions, relay, claims }).submit(received)
 */
export function createRouting (options: { context: ExecutionContext, executions: Executions, relay: Relay, claims: ClaimKeeper }): Routing {
  const { context, executions, relay, claims } = options

  function submit ({ request, traceparent }: Received): AnswerSource {
    return sourceOf(executions.submit(request, traceparent), { kind: 'send', request, traceparent })
  }

  function attach (organisation: OrganisationName, id: RequestId): AnswerSource {
    return sourceOf(executions.find(organisation, id), { kind: 'lookup', organisation, id })
  }

  function sourceOf (located: Located, wanted: Parameters<Relay['source']>[0]): AnswerSource {
    switch (located.kind) {
      case 'here': return localSource(located.execution, context.clock)
      case 'elsewhere': return relay.source(wanted, located.incarnation)
    }
  }

  /**
   * A key without a home may arrive at any node, so it is claimed in the key-value service before its
   * request runs. The id is in the home table first: whoever reads the claim finds it there.
   */
  async function submitKeyed (received: Received, key: string): Promise<AnswerSource> {
    const { request, traceparent } = received
    const reservation = executions.reserve(request, traceparent)
    try {
      return await claimFor(reservation, request, claimKey(request.organisation, key, sha256))
    } catch (error) {
      const failure = toServingError(error, 'not-run')
      reservation.abandon(failure)
      throw failure
    }
  }

  async function claimFor (reservation: Reservation, request: Request, key: string): Promise<AnswerSource> {
    let replaces: RequestId | undefined
    for (let round = 1; ; round += 1) {
      const wanted = { key, id: request.id, fingerprint: request.fingerprint, ...(replaces === undefined ? {} : { replaces }) }
      const result = await claims.claim(wanted)
      switch (result.kind) {
        case 'won': return localSource(reservation.start(), context.clock)
        case 'conflict': throw new ServingError('this Idempotency-Key was used with another body', { code: 'conflict', verdict: 'not-run' })
        case 'full': throw new ServingError('too many keys are claimed now', { code: 'overloaded', verdict: 'not-run', retryAfter: RETRY_AFTER })
        case 'owned': {
          const owner = attach(request.organisation, result.id)
          if (round >= MOST_CLAIMS || !await isRefused(owner, context.signal)) {
            reservation.abandon(undefined)
            return owner
          }
          replaces = result.id
        }
      }
    }
  }

  return {
    submit: async (received) => {
      const { request, idempotencyKey } = received
      if (idempotencyKey === undefined || request.idempotent) return submit(received)
      return submitKeyed(received, idempotencyKey)
    },
    attach: async (organisation, id) => attach(organisation, id)
  }
}

/** Whether the owner of a key is proven not to have run, so that the key is free again. */
async function isRefused (owner: AnswerSource, signal: AbortSignal): Promise<boolean> {
  const first = await firstPart(owner, signal)
  return first?.kind === 'failed' && first.failure.verdict === 'not-run'
}

async function firstPart (source: AnswerSource, signal: AbortSignal): Promise<AnswerPart | undefined> {
  const parts = source.read(0, signal)[Symbol.asyncIterator]()
  const first = await parts.next()
  await parts.return?.()
  return first.done === true ? undefined : first.value
}
