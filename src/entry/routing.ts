/** Routes submissions and lookups to the node that decides about the request id. */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import { sha256 } from '../credentials.js'
import type { OrganisationName, RequestId } from '../identifiers.js'
import { claimKey } from '../request/index.js'
import type { AnswerPart, Request } from '../request/index.js'
import { ServingError, toServingError } from '../verdict.js'
import { localSource } from './answer-source.js'
import type { AnswerSource } from './answer-source.js'
import type { ClaimStore } from './claim-store.js'
import type { ExecutionContext } from './context.js'
import type { Relay } from './relay.js'
import type { Executions, RequestLocation, Reservation } from './submission.js'

/** A request as received from a caller. */
export interface ReceivedRequest {
  readonly request: Request
  /** Set if the caller identified the request by an idempotency key instead of an id. */
  readonly idempotencyKey: string | undefined
  readonly traceparent: string | undefined
}

/** Submissions and lookups of callers that are connected to this node. */
export interface Routing {
  /**
   * Runs a request, or finds its existing answer.
   *
   * @throws ServingError with the verdict if the request is neither run nor known
   */
  submit (received: ReceivedRequest): Promise<AnswerSource>
  /**
   * Finds the answer of a request.
   *
   * @throws ServingError with the verdict if the answer is not available
   */
  attach (organisation: OrganisationName, id: RequestId, offset: number): Promise<AnswerSource>
}

/** Maximum number of claims per submission. More are needed only if others keep replacing refused owners of the key. */
const MAX_CLAIMS = 3

/** Delay after which a caller may retry if too many keys are claimed. */
const RETRY_AFTER: Milliseconds = SECOND

/**
 * Creates the routing of a node.
 *
 * @example
 * const source = await createRouting({ context, executions, relay, claims }).submit(received)
 */
export function createRouting (options: { context: ExecutionContext, executions: Executions, relay: Relay, claims: ClaimStore }): Routing {
  const { context, executions, relay, claims } = options

  function submit ({ request, traceparent }: ReceivedRequest): AnswerSource {
    return sourceOf(executions.submit(request, traceparent), { kind: 'send', request, traceparent })
  }

  function attach (organisation: OrganisationName, id: RequestId): AnswerSource {
    return sourceOf(executions.find(organisation, id), { kind: 'lookup', organisation, id })
  }

  function sourceOf (located: RequestLocation, operation: Parameters<Relay['source']>[0]): AnswerSource {
    switch (located.kind) {
      case 'here': return localSource(located.execution, context.clock)
      case 'elsewhere': return relay.source(operation, located.incarnation)
    }
  }

  /**
   * Submits a request that is identified by a key. A key has no home and may arrive at several nodes, so the key is
   * claimed in the key-value service before the request runs. The id is recorded in the home table before the claim.
   * Every node that reads the claim can therefore find the id there.
   */
  async function submitKeyed (received: ReceivedRequest, key: string): Promise<AnswerSource> {
    const { request, traceparent } = received
    const reservation = executions.reserve(request, traceparent)
    try {
      return await claimAndStart(reservation, request, claimKey(request.organisation, key, sha256))
    } catch (error) {
      const failure = toServingError(error, 'not-run')
      reservation.abandon(failure)
      throw failure
    }
  }

  /** Claims the key and starts the request. If another request owns the key, returns the answer of the owner. */
  async function claimAndStart (reservation: Reservation, request: Request, key: string): Promise<AnswerSource> {
    let replaces: RequestId | undefined
    for (let round = 1; ; round += 1) {
      const claim = { key, id: request.id, fingerprint: request.fingerprint, ...(replaces === undefined ? {} : { replaces }) }
      const result = await claims.claim(claim)
      switch (result.kind) {
        case 'won': return localSource(reservation.start(), context.clock)
        case 'conflict': throw new ServingError('this Idempotency-Key was used with another body', { code: 'conflict', verdict: 'not-run' })
        case 'full': throw new ServingError('too many keys are claimed now', { code: 'overloaded', verdict: 'not-run', retryAfter: RETRY_AFTER })
        case 'owned': {
          const owner = attach(request.organisation, result.id)
          if (round >= MAX_CLAIMS || !await isProvenNotRun(owner, context.signal)) {
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

/** Whether the owner of a key is proven not to have run. The key may then be claimed again. */
async function isProvenNotRun (owner: AnswerSource, signal: AbortSignal): Promise<boolean> {
  const first = await firstPart(owner, signal)
  return first?.kind === 'failed' && first.failure.verdict === 'not-run'
}

async function firstPart (source: AnswerSource, signal: AbortSignal): Promise<AnswerPart | undefined> {
  const parts = source.read(0, signal)[Symbol.asyncIterator]()
  const first = await parts.next()
  await parts.return?.()
  return first.done === true ? undefined : first.value
}
