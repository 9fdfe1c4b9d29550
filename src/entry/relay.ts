/** Reads answers from the nodes that hold them, for callers that are connected to this node. */
import { createTimeoutSignal } from '../timeout-signal.js'
import type { Clock, Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Address, ClassName, Incarnation, OrganisationName, RequestId } from '../identifiers.js'
import type { NodeRecord, PeerState } from '../membership/index.js'
import { PEER_TIMEOUT, peerFailure } from '../peer/client.js'
import type { Peers } from '../peer/client.js'
import type { ForwardedPart } from '../peer/request.js'
import { homeUnreachableFailure, rankNodes } from '../request/index.js'
import type { AnswerPart, Request } from '../request/index.js'
import { ServingError } from '../verdict.js'
import type { AnswerSource } from './answer-source.js'
import { toAnswerPart } from './forwarded.js'
import { FORWARD_KEEP_ALIVE_PERIOD } from './request-handlers.js'

/** Operation of a caller that another node has to answer. */
export type RelayOperation =
  | { kind: 'send', request: Request, traceparent: string | undefined }
  | { kind: 'lookup', id: RequestId, organisation: OrganisationName }

/** Access to the answers that other nodes hold. */
export interface Relay {
  /**
   * Creates the source of an answer. The connection is opened when the source is read.
   *
   * @param incarnation the node that decides about the id, as far as this node knows
   */
  source (operation: RelayOperation, incarnation: Incarnation): AnswerSource
}

/** Part of the membership that the relay uses. */
export interface RelayMembership {
  nodes (): readonly NodeRecord[]
  record (incarnation: Incarnation): NodeRecord | undefined
  peerOf (incarnation: Incarnation): PeerState
}

/** Maximum silence of a peer. Three keep-alives are missing by then, and the connection counts as lost. */
const MAX_SILENCE: Milliseconds = 3 * FORWARD_KEEP_ALIVE_PERIOD

/** Maximum number of consecutive connections without a message, before a successor of the holder is looked for. */
const MAX_CONNECTION_ATTEMPTS = 4

/** Reason of an abort. Without a reason, each abort would create an exception with a stack trace. */
const CLOSED_REASON = 'closed'

/** Pause before the next connection after a failure. */
const RETRY_DELAY: Milliseconds = SECOND / 4

/** Maximum number of nodes that are asked whether they have taken over the table of a home that left. */
const MAX_SUCCESSORS_ASKED = 12

/** Maximum number of nodes that redirect to a further node. More of them indicate a cycle. */
const MAX_HOPS = 6

/**
 * Creates the relay of a node.
 *
 * @param options `own` is the incarnation of this node. `unpooledPeers` makes each call on a new connection. It is used
 *   after a failure, because the pooled connection may be dead.
 * @example
 * const source = createRelay({ own, peers, unpooledPeers, membership, clock }).source(operation, homeOf(id))
 */
export function createRelay (options: { own: Incarnation, peers: Peers, unpooledPeers: Peers, membership: () => RelayMembership, clock: Clock }): Relay {
  const { peers, unpooledPeers, membership, clock } = options

  /**
   * Yields the answer from an offset on. Follows redirections, reconnects after a lost or silent connection, and turns to
   * the successor of a home that left.
   */
  async function * read (operation: RelayOperation, home: Incarnation, offset: number, signal: AbortSignal, onInfo: (part: RequestInfo) => void): AsyncIterable<AnswerPart> {
    let holder = home
    let nextOffset = offset
    let failures = 0
    let successor: Address | undefined
    for (let hops = 0; !signal.aborted && hops <= MAX_HOPS;) {
      const address = successor ?? addressOf(holder) ?? await findSuccessor(operation, holder, signal)
      if (address === undefined) throw homeUnreachableFailure(holder)
      const watchdog = createSilenceWatchdog(signal)
      try {
        const client = (failures === 0 ? peers : unpooledPeers).separateAt(address)
        let elsewhere: Incarnation | undefined
        for await (const part of await openAnswer(client, operation, nextOffset, watchdog.signal)) {
          watchdog.progress()
          failures = 0
          if (part.kind === 'elsewhere') elsewhere = part.incarnation
          else if (part.kind === 'accepted' || part.kind === 'found') onInfo(part)
          else if (part.kind !== 'waiting') {
            yield toAnswerPart(part)
            if (part.kind !== 'token') return
            nextOffset = part.offset + 1
          }
        }
        if (elsewhere === undefined) throw new ServingError(`${address}: the answer ended without its final mark`, { code: 'connection-lost', verdict: 'may-have-run' })
        holder = elsewhere
        successor = undefined
        hops += 1
      } catch (error) {
        failures += 1
        if (signal.aborted) return
        if (failures >= MAX_CONNECTION_ATTEMPTS) {
          successor = successor === undefined ? await findSuccessor(operation, holder, signal) : undefined
          if (successor === undefined) throw relayFailure(holder, error, address)
          failures = 1
        }
        await clock.sleep(RETRY_DELAY, signal).catch(() => {})
      } finally {
        watchdog.end()
      }
    }
    if (!signal.aborted) throw homeUnreachableFailure(holder)
  }

  function addressOf (incarnation: Incarnation): Address | undefined {
    const state = membership().peerOf(incarnation)
    return state === 'live' || state === 'leaving' ? membership().record(incarnation)?.peerAddress : undefined
  }

  /**
   * Finds the node that took over the table of a home that left.
   *
   * Failure guarded against: a home left after its hand-over, and a caller asks a node that was not notified of the
   * successor. The nodes ranked as possible successors are asked whether they hold the id. A lookup never runs the
   * request, so it cannot run twice.
   *
   * @returns undefined if no node that answered holds the id
   */
  async function findSuccessor (operation: RelayOperation, formerHome: Incarnation, signal: AbortSignal): Promise<Address | undefined> {
    const lookup = lookupOf(operation)
    const candidates = rankNodes(formerHome, membership().nodes()).filter((node) => node.incarnation !== options.own).slice(0, MAX_SUCCESSORS_ASKED)
    const answers = await Promise.allSettled(candidates.map(async (node) => {
      const { holds } = await peers.at(node.peerAddress).request.locate.mutate(lookup, { signal: createTimeoutSignal(PEER_TIMEOUT, signal) })
      return holds ? node.peerAddress : undefined
    }))
    return answers.flatMap((answer) => answer.status === 'fulfilled' && answer.value !== undefined ? [answer.value] : [])[0]
  }

  return {
    source: (operation, incarnation) => {
      let markAccepted = (): void => {}
      const accepted = new Promise<void>((resolve) => { markAccepted = resolve })
      let requestClass = operation.kind === 'send' ? operation.request.class : UNKNOWN_CLASS
      const onInfo = (part: RequestInfo): void => {
        if (part.kind === 'found') requestClass = part.class
        else markAccepted()
      }
      return {
        id: lookupOf(operation).id,
        get class () { return requestClass },
        accepted,
        read: (offset, signal) => read(operation, incarnation, offset, signal, onInfo)
      }
    }
  }
}

/** Messages of the holder about the request that are not part of its answer. */
type RequestInfo = Extract<ForwardedPart, { kind: 'accepted' | 'found' }>

/** Class of a looked-up request until its holder has reported the class. */
const UNKNOWN_CLASS = 'unknown' as ClassName

function openAnswer (client: ReturnType<Peers['separateAt']>, operation: RelayOperation, offset: number, signal: AbortSignal): Promise<AsyncIterable<ForwardedPart>> {
  switch (operation.kind) {
    case 'send': return client.request.submit.mutate({ request: operation.request, offset, ...(operation.traceparent === undefined ? {} : { traceparent: operation.traceparent }) }, { signal })
    case 'lookup': return client.request.attach.mutate({ organisation: operation.organisation, id: operation.id, offset }, { signal })
  }
}

function lookupOf (operation: RelayOperation): { id: RequestId, organisation: OrganisationName, offset: number } {
  return operation.kind === 'send'
    ? { id: operation.request.id, organisation: operation.request.organisation, offset: 0 }
    : { id: operation.id, organisation: operation.organisation, offset: 0 }
}

/**
 * Failure of a request whose home cannot be reached. The home may only be paused, and the request may have reached it
 * earlier through another node. The request is therefore not run elsewhere, and its verdict is `may-have-run`.
 */
function relayFailure (holder: Incarnation, error: unknown, address: Address): ServingError {
  const failure = peerFailure(error, address)
  if (failure.code !== 'connection-lost' && failure.code !== 'timeout' && failure.code !== 'cancelled') return failure
  return homeUnreachableFailure(holder)
}

interface SilenceWatchdog {
  readonly signal: AbortSignal
  /** Restarts the timeout. */
  progress (): void
  end (): void
}

/** Creates a watchdog that aborts a connection without progress, and any connection whose caller has left. */
function createSilenceWatchdog (parent: AbortSignal): SilenceWatchdog {
  const controller = new AbortController()
  const abort = (): void => controller.abort(CLOSED_REASON)
  let timer = setTimeout(abort, MAX_SILENCE)
  parent.addEventListener('abort', abort, { once: true })
  return {
    signal: controller.signal,
    progress: () => {
      clearTimeout(timer)
      timer = setTimeout(abort, MAX_SILENCE)
    },
    end: () => {
      clearTimeout(timer)
      parent.removeEventListener('abort', abort)
      controller.abort()
    }
  }
}
