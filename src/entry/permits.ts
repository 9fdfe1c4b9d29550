/** Permits for dispatches: asks the node that owns a request's fingerprint, and answers as such a node. */
import type { Clock, Milliseconds } from '../clock.js'
import type { Incarnation, UpstreamName } from '../identifiers.js'
import type { NodeRecord } from '../membership/index.js'
import type { PeerClient, Peers } from '../peer/client.js'
import type { SuspicionHandlers } from '../peer/suspicion.js'
import { createCrashGuard, createIsolation, fingerprintOwner, isolationSubject, permitName } from '../request/index.js'
import type { Evidence, PermitDecision, PermitEnd, Request } from '../request/index.js'
import { ServingError } from '../verdict.js'

/** How a permitted dispatch ended. */
export type DispatchEnd = PermitEnd['how']

/** A permit in force. */
export interface Permit {
  /** Suspected of crashing upstreams: it must run where nothing else runs. */
  readonly apart: boolean
  /** Admits the dispatch to an upstream. @returns false when another suspect is there */
  enter (upstream: UpstreamName): Promise<boolean>
  end (how: DispatchEnd): void
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
  readonly peers: Peers
  readonly freshPeers: Peers
  readonly clock: Clock
  readonly signal: AbortSignal
}

/** Bound on one question to an owner; it is answered from memory. */
const ANSWER_TIMEOUT: Milliseconds = 500

const WAIT: Milliseconds = 25

/** Letters of the incarnation that tell an attempt here from one at the node before a hand-over. */
const OWN_LENGTH = 12

const QUARANTINE_RETRY: Milliseconds = 60_000

/**
 * @example
 * const permit = await permits.acquire(request, 1, signal)
 */
export function createPermits (options: PermitOptions): Permits {
  const { own, peers, freshPeers, clock, signal } = options
  const guard = createCrashGuard()
  const isolation = createIsolation()

  /**
   * Asks the owner of a subject; on silence once more on a new connection.
   *
   * Failure guarded against: the owner has died and is not known to be gone yet, and every request with
   * its fingerprints waits. What this node knows itself then decides; evidence of crashes is everywhere.
   */
  async function ask<T> (subject: string, here: () => T, there: (peer: PeerClient, signal: AbortSignal) => Promise<T>): Promise<T> {
    const owner = fingerprintOwner(subject, options.nodes())
    if (owner === undefined || owner.incarnation === own) return here()
    for (const through of [peers, freshPeers]) {
      try {
        return await there(through.at(owner.peerAddress), AbortSignal.any([signal, AbortSignal.timeout(ANSWER_TIMEOUT)]))
      } catch {
        if (signal.aborted) break
      }
    }
    return here()
  }

  function spread (evidence: Evidence | undefined): void {
    if (evidence === undefined) return
    for (const node of options.nodes()) {
      if (node.incarnation !== own) peers.at(node.peerAddress).suspicion.observe.mutate([evidence], { signal }).catch(() => {})
    }
  }

  function release (end: PermitEnd): void {
    spread(guard.release(end, clock.now()))
  }

  async function decide (request: Request, attempt: number): Promise<PermitDecision> {
    const { fingerprint } = request
    if (guard.isQuarantined(fingerprint, clock.now())) return { kind: 'quarantined' }
    const wanted = { permit: permitName(`${request.id}/${own.slice(-OWN_LENGTH)}`, attempt), holder: own, evidence: guard.evidence(fingerprint) }
    return ask(fingerprint, () => guard.acquire(wanted, clock.now()), (peer, within) => peer.suspicion.acquire.mutate(wanted, { signal: within }))
  }

  function toPermit (request: Request, attempt: number, granted: Extract<PermitDecision, { kind: 'granted' }>): Permit {
    const permit = permitName(`${request.id}/${own.slice(-OWN_LENGTH)}`, attempt)
    let entered: UpstreamName | undefined
    return {
      apart: granted.apart,
      enter: async (upstream) => {
        if (!granted.apart) return true
        const message = { upstream, permit, holder: own }
        const { admitted } = await ask(isolationSubject(upstream), () => handlers.enter(message), (peer, within) => peer.suspicion.enter.mutate(message, { signal: within }))
        if (admitted) entered = upstream
        return admitted
      },
      end: (how) => {
        const end = { permit, fingerprint: request.fingerprint, how, suspectedFor: granted.suspectedFor }
        ask(request.fingerprint, () => release(end), (peer, within) => peer.suspicion.release.mutate(end, { signal: within })).catch(() => {})
        if (entered === undefined) return
        const message = { upstream: entered, permit, holder: own }
        ask(isolationSubject(entered), () => handlers.leave(message), (peer, within) => peer.suspicion.leave.mutate(message, { signal: within })).catch(() => {})
      }
    }
  }

  const handlers: SuspicionHandlers = {
    acquire: (request) => guard.acquire(request, clock.now()),
    release,
    observe: (evidence) => guard.observe(evidence, clock.now()),
    adopt: (permits) => guard.adopt(permits),
    enter: ({ upstream, permit, holder }) => ({ admitted: isolation.enter(upstream, permit, holder) }),
    leave: ({ upstream, permit }) => isolation.leave(upstream, permit)
  }

  return {
    handlers,
    acquire: async (request, attempt, within) => {
      for (;;) {
        const decision = await decide(request, attempt)
        switch (decision.kind) {
          case 'granted': return toPermit(request, attempt, decision)
          case 'quarantined': throw new ServingError('this request has crashed upstreams and is not run again', { code: 'quarantined', verdict: 'not-run', retryAfter: QUARANTINE_RETRY })
          case 'wait':
            await clock.sleep(WAIT, within).catch(() => {})
            if (within.aborted) throw new ServingError('withdrawn before it was dispatched', { code: 'cancelled', verdict: 'not-run' })
        }
      }
    },
    holderGone: (holder) => {
      isolation.holderGone(holder)
      for (const evidence of guard.holderGone(holder, clock.now())) spread(evidence)
    },
    giveAway: async () => {
      const others = options.nodes().filter((node) => node.incarnation !== own)
      const groups = new Map<NodeRecord, ReturnType<typeof guard.permits>>()
      for (const permit of guard.permits()) {
        const next = fingerprintOwner(permit.fingerprint, others)
        if (next !== undefined) groups.set(next, [...(groups.get(next) ?? []), permit])
      }
      await Promise.allSettled([...groups].map(([node, permits]) => peers.at(node.peerAddress).suspicion.adopt.mutate(permits, { signal })))
    }
  }
}
