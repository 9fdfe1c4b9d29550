/**
 * Permits for dispatches. A node requests them from the owner of the request's fingerprint, and grants permits for the
 * fingerprints that it owns itself.
 */
import type { Clock, Milliseconds } from '../clock.js'
import type { CrashEvidence, PartId } from '../crash-causes/index.js'
import type { Incarnation, UpstreamName } from '../identifiers.js'
import type { NodeRecord } from '../membership/index.js'
import { answerSuspicion } from '../peer/suspicion.js'
import type { SuspicionAnswer, SuspicionHandlers, SuspicionMessage } from '../peer/suspicion.js'
import type { SuspicionClient, Urgency } from '../peer/suspicion-client.js'
import { createCrashGuard, createIsolation, fingerprintOwner, isolationSubject, permitName, rankNodes } from '../request/index.js'
import type { Evidence, PermitDecision, PermitEnd, Request } from '../request/index.js'
import { ServingError, toServingError } from '../verdict.js'
import { createCrashingMessages } from './crashing-messages.js'

/** How a permitted dispatch ended. */
export type DispatchEnd = PermitEnd['how']

/** A permit in force. */
export interface Permit {
  /** Whether the request is suspected of crashing upstreams and must run in isolation. */
  readonly apart: boolean
  /**
   * Requests admission of the dispatch to an upstream.
   *
   * @returns false if another suspected request is running there
   */
  enter (upstream: UpstreamName): Promise<boolean>
  /**
   * Releases the permit.
   *
   * @param progressed whether tokens were received before the dispatch ended
   */
  end (how: DispatchEnd, progressed: boolean): void
}

/** Permits of one node. */
export interface Permits {
  /**
   * Waits for a permit.
   *
   * @throws ServingError `quarantined`, `not-run`, for a request that has crashed upstreams, or holds a message that does
   * @throws ServingError `cancelled`, `not-run`, if the signal is aborted while the request waits
   */
  acquire (request: Request, attempt: number, signal: AbortSignal): Promise<Permit>
  /** Releases the permits and the isolation of a node that has died without a stop. */
  releaseHolder (holder: Incarnation): void
  /** Tells the nodes that are new among these which messages crash upstreams. */
  tellNewNodes (nodes: readonly NodeRecord[]): void
  /** Transfers the permits of the fingerprints that this node owns to their next owners. */
  transferToSuccessors (): Promise<void>
  /** Handlers of calls from peers. */
  readonly handlers: SuspicionHandlers
}

/** Options of {@link createPermits}. */
export interface PermitOptions {
  readonly own: Incarnation
  readonly nodes: () => readonly NodeRecord[]
  readonly client: SuspicionClient
  readonly clock: Clock
}

/** Minimum and maximum pause before a permit is requested again. The pause doubles after each request. */
const MIN_RETRY_PAUSE: Milliseconds = 25
const MAX_RETRY_PAUSE: Milliseconds = 400

/** Minimum pause between two probes of a node that holds a permit for which other nodes wait. */
const PROBE_PERIOD: Milliseconds = 1_000

/**
 * Length of the suffix of the incarnation that is part of a permit's name. It distinguishes an attempt on this node
 * from one on the previous home before a hand-over.
 */
const INCARNATION_SUFFIX_LENGTH = 12

/** Nodes that tell a new one which messages crash upstreams. Some of them may be new as well. */
const TELLERS = 3

/** Time after which the caller of a quarantined request may retry. */
const QUARANTINE_RETRY_AFTER: Milliseconds = 60_000

/**
 * Creates the permits of one node.
 *
 * @example
 * const permit = await permits.acquire(request, 1, signal)
 */
export function createPermits (options: PermitOptions): Permits {
  const { own, client, clock } = options
  const guard = createCrashGuard()
  const isolation = createIsolation()
  const crashing = createCrashingMessages({ clock, isProber: (message) => fingerprintOwner(message, options.nodes())?.incarnation === own })
  const probing = new Set<Incarnation>()
  let knownNodes: ReadonlySet<Incarnation> = new Set()

  /**
   * Sends a message to the owner of a subject.
   *
   * Failure guarded against: the owner has died and its death is not detected yet, so that every request with its
   * fingerprints waits. If the owner does not answer, this node decides from its own records. They are sufficient
   * because evidence of crashes is broadcast to all nodes.
   */
  async function askOwner (subject: string, message: SuspicionMessage, urgency: Urgency): Promise<SuspicionAnswer> {
    const owner = fingerprintOwner(subject, options.nodes())
    if (owner === undefined || owner.incarnation === own) return answerSuspicion(handlers, message)
    return client.send(owner.peerAddress, message, urgency).catch(() => answerSuspicion(handlers, message))
  }

  function broadcastEvidence (evidence: readonly Evidence[], crashes: CrashEvidence = {}): void {
    for (const node of options.nodes()) {
      if (node.incarnation !== own) client.send(node.peerAddress, { kind: 'observe', evidence: [...evidence], crashes }, 'now').catch(() => {})
    }
  }

  function release (end: PermitEnd): void {
    const evidence = guard.release(end, clock.now())
    if (evidence !== undefined) broadcastEvidence([evidence])
  }

  async function requestDecision (request: Request, attempt: number): Promise<PermitDecision> {
    const { fingerprint } = request
    if (guard.isQuarantined(fingerprint, clock.now())) return { kind: 'quarantined' }
    const permitRequest = { permit: permitName(`${request.id}/${own.slice(-INCARNATION_SUFFIX_LENGTH)}`, attempt), holder: own, evidence: guard.evidence(fingerprint) }
    const answer = await askOwner(fingerprint, { kind: 'acquire', request: permitRequest }, 'now')
    return answer.kind === 'decided' ? answer.decision : guard.acquire(permitRequest, clock.now())
  }

  function createPermit (request: Request, attempt: number, granted: Extract<PermitDecision, { kind: 'granted' }>, probed: PartId | undefined): Permit {
    const since = clock.now()
    const permit = permitName(`${request.id}/${own.slice(-INCARNATION_SUFFIX_LENGTH)}`, attempt)
    let dispatchedTo: UpstreamName | undefined
    let entered: UpstreamName | undefined

    /** Counts where the request ran alone, so that it is the cause, and where it was to tell whether a message is sound. */
    function recordCrash (): void {
      if (dispatchedTo === undefined || (entered === undefined && probed === undefined)) return
      broadcastEvidence([], crashing.crashed(request, dispatchedTo, probed))
    }

    return {
      apart: granted.apart,
      enter: async (upstream) => {
        dispatchedTo = upstream
        if (!granted.apart) return true
        const answer = await askOwner(isolationSubject(upstream), { kind: 'enter', isolation: { upstream, permit, holder: own } }, 'now')
        const admitted = answer.kind === 'admitted' && answer.admitted
        if (admitted) entered = upstream
        return admitted
      },
      end: (how, progressed) => {
        const end = { permit, fingerprint: request.fingerprint, how, suspectedFor: granted.suspectedFor, progressed }
        askOwner(request.fingerprint, { kind: 'release', end }, how === 'crashed' ? 'now' : 'soon').catch(() => {})
        if (how === 'answered') crashing.answered(request, since)
        if (how === 'crashed') recordCrash()
        if (entered === undefined) return
        askOwner(isolationSubject(entered), { kind: 'leave', isolation: { upstream: entered, permit, holder: own } }, 'soon').catch(() => {})
      }
    }
  }

  /**
   * Checks whether a holder still runs, and releases its permits if it accepts no connection.
   *
   * Failure guarded against: a home dies and its callers repeat their requests immediately. These requests would wait
   * for the home's permits until its lease expires on the platform.
   */
  function probeHolder (holder: Incarnation): void {
    const record = options.nodes().find((node) => node.incarnation === holder)
    if (holder === own || record === undefined || probing.has(holder)) return
    probing.add(holder)
    client.send(record.peerAddress, { kind: 'observe', evidence: [], crashes: {} }, 'now')
      .catch((error) => {
        if (toServingError(error, 'may-have-run').verdict === 'not-run') guard.releaseHolder(holder)
      })
      .finally(() => clock.sleep(PROBE_PERIOD))
      .finally(() => probing.delete(holder))
      .catch(() => {})
  }

  /** Failure guarded against: a node that starts lets each message crash upstreams again that the others refuse. */
  function tellNewNodes (nodes: readonly NodeRecord[]): void {
    const crashes = crashing.supporting()
    const newNodes = nodes.filter(({ incarnation }) => incarnation !== own && !knownNodes.has(incarnation))
    knownNodes = new Set(nodes.map(({ incarnation }) => incarnation))
    if (Object.keys(crashes).length === 0) return
    for (const { incarnation, peerAddress } of newNodes) {
      const tellers = rankNodes(incarnation, nodes.filter((node) => node.incarnation !== incarnation)).slice(0, TELLERS)
      if (tellers.some((node) => node.incarnation === own)) client.send(peerAddress, { kind: 'observe', evidence: [], crashes }, 'now').catch(() => {})
    }
  }

  const handlers: SuspicionHandlers = {
    acquire: (request) => {
      const decision = guard.acquire(request, clock.now())
      if (decision.kind === 'wait') for (const holder of guard.blockingHolders(request.evidence.fingerprint)) probeHolder(holder)
      return decision
    },
    release,
    observe: (evidence, crashes) => {
      guard.observe(evidence, clock.now())
      crashing.observe(crashes)
    },
    adopt: (permits) => guard.adopt(permits),
    enter: ({ upstream, permit, holder }) => isolation.enter(upstream, permit, holder),
    leave: ({ upstream, permit }) => isolation.leave(upstream, permit)
  }

  return {
    handlers,
    tellNewNodes,
    acquire: async (request, attempt, signal) => {
      const probed = crashing.admit(request)
      /**
       * Failure guarded against: the same request is sent twice, and the second one asks for its permit 40 times per
       * second until the answer to the first one is complete. The pause doubles up to its maximum.
       */
      for (let pause = MIN_RETRY_PAUSE; ; pause = Math.min(MAX_RETRY_PAUSE, 2 * pause)) {
        crashing.admitAgain(request, probed)
        const decision = await requestDecision(request, attempt)
        switch (decision.kind) {
          case 'granted': return createPermit(request, attempt, decision, probed)
          case 'quarantined': throw new ServingError('this request has crashed upstreams and is not run again', { code: 'quarantined', verdict: 'not-run', retryAfter: QUARANTINE_RETRY_AFTER })
          case 'wait':
            await clock.sleep(pause, signal).catch(() => {})
            if (signal.aborted) throw new ServingError('withdrawn before it was dispatched', { code: 'cancelled', verdict: 'not-run' })
        }
      }
    },
    releaseHolder: (holder) => {
      isolation.releaseHolder(holder)
      guard.releaseHolder(holder)
    },
    transferToSuccessors: async () => {
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
