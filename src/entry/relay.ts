/** Reads answers from the nodes that hold them, for callers that are connected here. */
import { createTimeoutSignal } from '../bound-signal.js'
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
import { FORWARD_KEEP_ALIVE } from './request-handlers.js'

/** What a caller wants from another node. */
export type Wanted =
  | { kind: 'send', request: Request, traceparent: string | undefined }
  | { kind: 'lookup', id: RequestId, organisation: OrganisationName }

/** Answers held by other nodes. */
export interface Relay {
  /** @param incarnation the node that decides about the id, as far as this node knows */
  source (wanted: Wanted, incarnation: Incarnation): AnswerSource
}

/** What is needed of the membership. */
export interface RelayMembership {
  nodes (): readonly NodeRecord[]
  record (incarnation: Incarnation): NodeRecord | undefined
  peerOf (incarnation: Incarnation): PeerState
}

/** A peer that sends nothing for this long has been lost track of: several keep-alives are missing. */
const SILENCE: Milliseconds = 3 * FORWARD_KEEP_ALIVE

/** Connections tried in a row without a part in between. */
const MOST_CONNECTIONS = 4

/** Reason of an abort; without one each would build an exception with its stack. */
const CLOSED = 'closed'

const PAUSE: Milliseconds = SECOND / 4

/** Nodes asked whether they inherited the table of a home that is gone. */
const MOST_HEIRS = 12

/** Nodes that send on to each other; more would be a circle. */
const MOST_HOPS = 6

/**
 * @param freshPeers calls on connections of their own, for use after a silence
 * @example
 * const source = createRelay({ peers, freshPeers, membership, clock }).source(wanted, homeOf(id))
 */
export function createRelay (options: { own: Incarnation, peers: Peers, freshPeers: Peers, membership: () => RelayMembership, clock: Clock }): Relay {
  const { peers, freshPeers, membership, clock } = options

  async function * read (wanted: Wanted, first: Incarnation, offset: number, signal: AbortSignal, learn: (part: Learnt) => void): AsyncIterable<AnswerPart> {
    let holder = first
    let next = offset
    let failures = 0
    let heir: Address | undefined
    for (let hops = 0; !signal.aborted && hops <= MOST_HOPS;) {
      const address = heir ?? addressOf(holder) ?? await findHeir(wanted, holder, signal)
      if (address === undefined) throw homeUnreachableFailure(holder)
      const watch = createWatch(signal)
      try {
        const client = (failures === 0 ? peers : freshPeers).streamAt(address)
        let elsewhere: Incarnation | undefined
        for await (const part of await open(client, wanted, next, watch.signal)) {
          watch.progress()
          failures = 0
          if (part.kind === 'elsewhere') elsewhere = part.incarnation
          else if (part.kind === 'accepted' || part.kind === 'found') learn(part)
          else if (part.kind !== 'waiting') {
            yield toAnswerPart(part)
            if (part.kind !== 'token') return
            next = part.offset + 1
          }
        }
        if (elsewhere === undefined) throw new ServingError(`${address}: the answer ended without its final mark`, { code: 'connection-lost', verdict: 'may-have-run' })
        holder = elsewhere
        heir = undefined
        hops += 1
      } catch (error) {
        failures += 1
        if (signal.aborted) return
        if (failures >= MOST_CONNECTIONS) {
          heir = heir === undefined ? await findHeir(wanted, holder, signal) : undefined
          if (heir === undefined) throw unreachable(holder, error, address)
          failures = 1
        }
        await clock.sleep(PAUSE, signal).catch(() => {})
      } finally {
        watch.end()
      }
    }
    if (!signal.aborted) throw homeUnreachableFailure(holder)
  }

  function addressOf (incarnation: Incarnation): Address | undefined {
    const state = membership().peerOf(incarnation)
    return state === 'live' || state === 'leaving' ? membership().record(incarnation)?.peerAddress : undefined
  }

  /**
   * Failure guarded against: a home left after it gave its table away, and a caller asks a node that was
   * not told. The heir holds the id; nodes that do not hold it say so, and nobody runs it anew.
   */
  async function findHeir (wanted: Wanted, gone: Incarnation, signal: AbortSignal): Promise<Address | undefined> {
    const lookup = lookupOf(wanted)
    const candidates = rankNodes(gone, membership().nodes()).filter((node) => node.incarnation !== options.own).slice(0, MOST_HEIRS)
    const answers = await Promise.allSettled(candidates.map(async (node) => {
      const { holds } = await peers.at(node.peerAddress).request.locate.mutate(lookup, { signal: createTimeoutSignal(PEER_TIMEOUT, signal) })
      return holds ? node.peerAddress : undefined
    }))
    return answers.flatMap((answer) => answer.status === 'fulfilled' && answer.value !== undefined ? [answer.value] : [])[0]
  }

  return {
    source: (wanted, incarnation) => {
      let markAccepted = (): void => {}
      const accepted = new Promise<void>((resolve) => { markAccepted = resolve })
      let requestClass = wanted.kind === 'send' ? wanted.request.class : UNKNOWN_CLASS
      const learn = (part: Learnt): void => {
        if (part.kind === 'found') requestClass = part.class
        else markAccepted()
      }
      return {
        id: lookupOf(wanted).id,
        get class () { return requestClass },
        accepted,
        read: (offset, signal) => read(wanted, incarnation, offset, signal, learn)
      }
    }
  }
}

/** What the holder tells about the request besides its answer. */
type Learnt = Extract<ForwardedPart, { kind: 'accepted' | 'found' }>

/** Class of a looked-up request until its holder has told it. */
const UNKNOWN_CLASS = 'unknown' as ClassName

function open (client: ReturnType<Peers['streamAt']>, wanted: Wanted, offset: number, signal: AbortSignal): Promise<AsyncIterable<ForwardedPart>> {
  switch (wanted.kind) {
    case 'send': return client.request.submit.mutate({ request: wanted.request, offset, ...(wanted.traceparent === undefined ? {} : { traceparent: wanted.traceparent }) }, { signal })
    case 'lookup': return client.request.attach.mutate({ organisation: wanted.organisation, id: wanted.id, offset }, { signal })
  }
}

function lookupOf (wanted: Wanted): { id: RequestId, organisation: OrganisationName, offset: number } {
  return wanted.kind === 'send'
    ? { id: wanted.request.id, organisation: wanted.request.organisation, offset: 0 }
    : { id: wanted.id, organisation: wanted.organisation, offset: 0 }
}

/**
 * A home that cannot be asked may only be paused, and an earlier send of the id may have reached it
 * through another node. So it is never replaced, and the verdict is that it may have run.
 */
function unreachable (holder: Incarnation, error: unknown, address: Address): ServingError {
  const failure = peerFailure(error, address)
  if (failure.code !== 'connection-lost' && failure.code !== 'timeout' && failure.code !== 'cancelled') return failure
  return homeUnreachableFailure(holder)
}

interface Watch {
  readonly signal: AbortSignal
  progress (): void
  end (): void
}

/** Aborts a connection that shows no progress, or when the caller has gone. */
function createWatch (parent: AbortSignal): Watch {
  const controller = new AbortController()
  const abort = (): void => controller.abort(CLOSED)
  let timer = setTimeout(abort, SILENCE)
  parent.addEventListener('abort', abort, { once: true })
  return {
    signal: controller.signal,
    progress: () => {
      clearTimeout(timer)
      timer = setTimeout(abort, SILENCE)
    },
    end: () => {
      clearTimeout(timer)
      parent.removeEventListener('abort', abort)
      controller.abort()
    }
  }
}
