/**
 * Refuses requests with a message that crashes upstreams, whatever else they hold.
 *
 * Failure guarded against: no two requests are alike, and all of them hold one message that crashes each upstream which reads it. The
 * permits, which know whole requests, let each of them crash two upstreams. A request that crashes an upstream while it runs there alone
 * is the cause for sure; what such requests share and no answered one holds is the message.
 */
import type { Clock, Milliseconds } from '../clock.js'
import { createCrashCauses } from '../crash-causes/index.js'
import type { CrashEvidence, Moment, PartId } from '../crash-causes/index.js'
import { sha256 } from '../credentials.js'
import type { UpstreamName } from '../identifiers.js'
import { incarnationOf } from '../placement/index.js'
import type { Request } from '../request/index.js'
import { ServingError } from '../verdict.js'

/** Messages that crash upstreams, as one node knows them. */
export interface CrashingMessages {
  /**
   * Admits a new dispatch.
   *
   * @returns the message that the request probes, if any
   * @throws ServingError `quarantined`, `not-run`, if it holds a message that crashes upstreams
   */
  admit (request: Request): PartId | undefined
  /** Admits a dispatch that has waited. @throws as {@link admit} */
  admitAgain (request: Request, probed: PartId | undefined): void
  /** The request crashed an upstream where it ran alone, or that it probed. @returns evidence for all other nodes */
  crashed (request: Request, upstream: UpstreamName, probed: PartId | undefined): CrashEvidence
  /** The request, which was dispatched at `since`, has been answered completely. */
  answered (request: Request, since: Milliseconds): void
  /** Merges evidence from another node. */
  observe (evidence: CrashEvidence): void
  /** What the refusals rest on, from which any node finds the same messages. */
  supporting (): CrashEvidence
}

/** Options of {@link createCrashingMessages}. */
export interface CrashingMessagesOptions {
  readonly clock: Clock
  /** Whether this node is the one that tries again whether a message is sound. */
  readonly isProber: (message: PartId) => boolean
}

/** Length of the hash that names a message. */
const HASH_LENGTH = 16

/** Time after which a caller may retry. */
const RETRY_AFTER: Milliseconds = 60_000

/**
 * Creates the state of a node that knows of no such message.
 *
 * @example
 * const crashing = createCrashingMessages({ clock, isProber: (message) => fingerprintOwner(message, nodes())?.incarnation === own })
 * const probed = crashing.admit(request)
 */
export function createCrashingMessages ({ clock, isProber }: CrashingMessagesOptions): CrashingMessages {
  const causes = createCrashCauses({ isProber })

  function moment (): Moment {
    return { now: clock.now(), wall: clock.wall() }
  }

  return {
    admit: (request) => {
      const verdict = causes.admit(sharedMessages(request), moment())
      switch (verdict.kind) {
        case 'admitted': return undefined
        case 'probe': return verdict.part
        case 'refused': throw refusal()
      }
    },
    admitAgain: (request, probed) => {
      if (causes.causeAmong(sharedMessages(request), probed) !== undefined) throw refusal()
    },
    crashed: (request, upstream, probed) => {
      const now = moment()
      // The instance list does not tell the incarnations of an upstream apart, and each crash ends one.
      causes.crashed(incarnationOf(upstream, Math.round(now.wall)), sharedMessages(request), undefined, now, probed)
      return causes.told(now.now)
    },
    answered: (request, since) => causes.survived(sharedMessages(request), since, clock.now()),
    observe: (evidence) => { causes.observe([evidence], moment()) },
    supporting: causes.supporting
  }
}

/** Hashes of all messages but the last one, which belongs to the request. */
function sharedMessages ({ work }: Request): PartId[] {
  if (work.kind !== 'model') return []
  return work.body.messages.slice(0, -1).map(({ role, content }) => sha256(`${role}\n${content}`).slice(0, HASH_LENGTH))
}

function refusal (): ServingError {
  return new ServingError('a message of this request has crashed upstreams and is not run again', { code: 'quarantined', verdict: 'not-run', retryAfter: RETRY_AFTER })
}
