/** Permits for dispatches: asks the node that owns a request's fingerprint, and answers as such a node. */
import type { Clock, Milliseconds } from '../clock.js'
import type { Incarnation, UpstreamName } from '../identifiers.js'
import type { NodeRecord } from '../membership/index.js'
import { answerSuspicion } from '../peer/suspicion.js'
import type { SuspicionAnswer, SuspicionHandlers, SuspicionMessage } from '../peer/suspicion.js'
import type { SuspicionClient, Urgency } from '../peer/suspicion-client.js'
import { createCrashGuard, createIsolation, fingerprintOwner, isolationSubject, permitName } from '../request/index.js'
import type { Evidence, PermitDecision, PermitEnd, Request } from '../request/index.js'
import { ServingError, toServingError } from '../verdict.js'

/** How a permitted dispatch ended. */
export type DispatchEnd = PermitEnd['how']

/** A permit in force. */
export interface Permit {
  /** Suspected of crashing upstreams: it must run where nothing else runs. */
  readonly apart: boolean
  /** Admits the dispatch to an upstream. @returns false when another suspect is there */
  enter (upstream: UpstreamName): Promise<boolean>
  /** @param progressed tokens came before it ended */
  end (how: DispatchEnd, progressed: boolean): void
}

/** Permits of one node. */
export interface Permits {
  /**
   * Waits for a permit.
   *
   * @throws ServingError `quarantined`, `not-run`, for a request that has crashed upstreams
   */
  acquire (request: Request, attempt: number, signal: AbortSignal): Promise<Permit>
  /** A node died unannounced. */
  holderGone (holder: Incarnation): void
  /** Gives the permits that this node keeps to their next owners. */
  giveAway (): Promise<void>
  readonly handlers: SuspicionHandlers
}

/** What permits need. */
export interface PermitOptions {
  readonly own: Incarnation
  readonly nodes: () => readonly NodeRecord[]
  readonly client: SuspicionClient
  readonly clock: Clock
}

/** First pause before a permit that others hold is asked for again, and the longest after doubling. */
const FIRST_WAIT: Milliseconds = 25
const LONGEST_WAIT: Milliseconds = 400

/** A holder whose permit makes others wait is looked at this often. */
const PROBE_PERIOD: Milliseconds = 1_000

/** Letters of the incarnation that tell an attempt here from one at the node before a hand-over. */
const OWN_LENGTH = 12

const QUARANTINE_RETRY: Milliseconds = 60_000

/**
 * @example
 * const permit = await permits.acquire(request, 1, signal)
 */
export function createPermits (options: PermitOptions): Permits {
  const { own, client, clock } = options
  const guard = createCrashGuard()
  const isolation = createIsolation()
  const probing = new Set<Incarnation>()

  /**
   * Asks the owner of a subject.
   *
   * Failure guarded against: the owner has died and is not known to be gone yet, and every request with
   * its fingerprints waits. What this node knows itself then decides; evidence of crashes is everywhere.
   */
  async function ask (subject: string, message: SuspicionMessage, urgency: Urgency): Promise<SuspicionAnswer> {
    const owner = fingerprintOwner(subject, options.nodes())
    if (owner === undefined || owner.incarnation === own) return answerSuspicion(handlers, message)
    return client.send(owner.peerAddress, message, urgency).catch(() => answerSuspicion(handlers, message))
  }

  function spread (evidence: Evidence | undefined): void {
    if (evidence === undefined) return
    for (const node of options.nodes()) {
      if (node.incarnation !== own) client.send(node.peerAddress, { kind: 'observe', evidence: [evidence] }, 'now').catch(() => {})
    }
  }

  function release (end: PermitEnd): void {
    spread(guard.release(end, clock.now()))
  }

  async function decide (request: Request, attempt: number): Promise<PermitDecision> {
    const { fingerprint } = request
    if (guard.isQuarantined(fingerprint, clock.now())) return { kind: 'quarantined' }
    const wanted = { permit: permitName(`${request.id}/${own.slice(-OWN_LENGTH)}`, attempt), holder: own, evidence: guard.evidence(fingerprint) }
    const answer = await ask(fingerprint, { kind: 'acquire', request: wanted }, 'now')
    return answer.kind === 'decided' ? answer.decision : guard.acquire(wanted, clock.now())
  }

  function toPermit (request: Request, attempt: number, granted: Extract<PermitDecision, { kind: 'granted' }>): Permit {
    const permit = permitName(`${request.id}/${own.slice(-OWN_LENGTH)}`, attempt)
    let entered: UpstreamName | undefined
    return {
      apart: granted.apart,
      enter: async (upstream) => {
        if (!granted.apart) return true
        const answer = await ask(isolationSubject(upstream), { kind: 'enter', isolation: { upstream, permit, holder: own } }, 'now')
        const admitted = answer.kind === 'admitted' && answer.admitted
        if (admitted) entered = upstream
        return admitted
      },
      end: (how, progressed) => {
        const end = { permit, fingerprint: request.fingerprint, how, suspectedFor: granted.suspectedFor, progressed }
        ask(request.fingerprint, { kind: 'release', end }, how === 'crashed' ? 'now' : 'soon').catch(() => {})
        if (entered === undefined) return
        ask(isolationSubject(entered), { kind: 'leave', isolation: { upstream: entered, permit, holder: own } }, 'soon').catch(() => {})
      }
    }
  }

  /**
   * Failure guarded against: a home dies, its callers send again at once, and their requests wait for its
   * permits until the platform's lease tells of the death. A holder that takes no new connection has none.
   */
  function probe (holder: Incarnation): void {
    const record = options.nodes().find((node) => node.incarnation === holder)
    if (holder === own || record === undefined || probing.has(holder)) return
    probing.add(holder)
    client.send(record.peerAddress, { kind: 'observe', evidence: [] }, 'now')
      .catch((error) => {
        if (toServingError(error, 'may-have-run').verdict === 'not-run') guard.releaseHolder(holder)
      })
      .finally(() => clock.sleep(PROBE_PERIOD))
      .finally(() => probing.delete(holder))
      .catch(() => {})
  }

  const handlers: SuspicionHandlers = {
    acquire: (request) => {
      const decision = guard.acquire(request, clock.now())
      if (decision.kind === 'wait') for (const holder of guard.blockingHolders(request.evidence.fingerprint)) probe(holder)
      return decision
    },
    release,
    observe: (evidence) => guard.observe(evidence, clock.now()),
    adopt: (permits) => guard.adopt(permits),
    enter: ({ upstream, permit, holder }) => isolation.enter(upstream, permit, holder),
    leave: ({ upstream, permit }) => isolation.leave(upstream, permit)
  }

  return {
    handlers,
    acquire: async (request, attempt, within) => {
      /**
       * Failure guarded against: a plan is sent twice and the second send asks for its permit forty times a
       * second for as long as the first one is written. The pauses double.
       */
      for (let wait = FIRST_WAIT; ; wait = Math.min(LONGEST_WAIT, 2 * wait)) {
        const decision = await decide(request, attempt)
        switch (decision.kind) {
          case 'granted': return toPermit(request, attempt, decision)
          case 'quarantined': throw new ServingError('this request has crashed upstreams and is not run again', { code: 'quarantined', verdict: 'not-run', retryAfter: QUARANTINE_RETRY })
          case 'wait':
            await clock.sleep(wait, within).catch(() => {})
            if (within.aborted) throw new ServingError('withdrawn before it was dispatched', { code: 'cancelled', verdict: 'not-run' })
        }
      }
    },
    holderGone: (holder) => {
      isolation.releaseHolder(holder)
      guard.releaseHolder(holder)
    },
    giveAway: async () => {
      const others = options.nodes().filter((node) => node.incarnation !== own)
      const groups = new Map<NodeRecord, ReturnType<typeof guard.permits>>()
      for (const permit of guard.permits()) {
        const next = fingerprintOwner(permit.fingerprint, others)
        if (next !== undefined) groups.set(next, [...(groups.get(next) ?? []), permit])
      }
      await Promise.allSettled([...groups].map(([node, permits]) => client.send(node.peerAddress, { kind: 'adopt', permits }, 'now')))
    }
  }
}
