/**
 * Sends the notes about open requests of this node to its buddy and receives those of the nodes whose buddy it is.
 *
 * If a node dies unannounced, its buddy resumes the existing streams and reports the outcome of the other requests.
 */
import { createTimeoutSignal } from '../timeout-signal.js'
import type { Clock, Milliseconds } from '../clock.js'
import { every, SECOND } from '../clock.js'
import type { Incarnation } from '../identifiers.js'
import type { Log } from '../log.js'
import type { NodeRecord } from '../membership/index.js'
import { PEER_TIMEOUT } from '../peer/client.js'
import type { Peers } from '../peer/client.js'
import type { NoteHandlers } from '../peer/notes.js'
import { createNoteReceiver, createNoteWriter } from '../request/index.js'
import type { DeadHomeCounts, HomeRecord, HomeTable, OpenNote, Request, RecoveryDecision } from '../request/index.js'
import type { Execution } from './execution.js'
import type { NoteJournal } from './note-journal.js'
import type { Executions } from './submission.js'

/** Notes that one node sends and receives. */
export interface Notes {
  /** Records the open executions of this node. */
  readonly journal: NoteJournal
  /** Handlers of the calls from nodes whose buddy this node is. */
  readonly handlers: NoteHandlers
  /** Starts to send batches and to handle the deaths of nodes. Called once the membership is known. */
  start (options: NoteOptions): void
  /** Records that a node has handed its requests over itself in a planned stop. */
  handedOver (home: Incarnation): void
  /** Sends the changes that have not been sent, up to one batch. */
  flush (): Promise<void>
}

/** Options of {@link Notes.start}. */
export interface NoteOptions {
  /** Present buddy of this node. Undefined if there is none. */
  readonly buddy: () => NodeRecord | undefined
  readonly peers: Peers
  readonly home: HomeTable
  readonly executions: Executions
  /** Registers a listener for incarnations that have gone. */
  readonly onGone: (listener: (incarnation: Incarnation) => void) => void
  /** Receives the number of requests that were open at a node that died. */
  readonly onCounts: (counts: DeadHomeCounts) => void
  readonly log: Log
  readonly signal: AbortSignal
}

/** Interval between two batches. It is shorter than most answers and long enough to collect several notes in a batch. */
const SEND_INTERVAL: Milliseconds = SECOND / 4

/** Maximum number of open and of closed requests in one batch. */
const MAX_NOTES_PER_BATCH = 500

/**
 * Creates the notes of a node. Executions are recorded at once and sent after {@link Notes.start}.
 *
 * @param own incarnation of this node
 * @example
 * const notes = createNotes(incarnation, clock)
 * notes.journal.open(execution)
 */
export function createNotes (own: Incarnation, clock: Clock): Notes {
  const writer = createNoteWriter(own)
  const receiver = createNoteReceiver()
  let options: NoteOptions | undefined

  async function send (): Promise<void> {
    const buddy = options?.buddy()
    const batch = buddy && writer.next(buddy.incarnation, MAX_NOTES_PER_BATCH)
    if (options === undefined || buddy === undefined || batch === undefined) return
    try {
      const signal = createTimeoutSignal(PEER_TIMEOUT, options.signal)
      const { complete } = await options.peers.at(buddy.peerAddress).notes.receive.mutate(batch, { signal })
      if (!complete) writer.failed()
    } catch {
      writer.failed()
    }
  }

  function recoverRequests (home: Incarnation): void {
    if (options === undefined) return
    const { decisions, counts } = receiver.died(home)
    if (decisions.length === 0) return
    options.onCounts(counts)
    const takenOver = new Set(options.home.takeOver(home, decisions.map(toRecord), clock.now()))
    for (const decision of decisions) {
      if (decision.kind === 'resume' && takenOver.has(decision.note.id)) resume(options.executions, decision, home)
    }
    for (const row of counts.rows) {
      options.log.warn('requests-of-dead-node', { incarnation: home, organisation: row.organisation, class: row.class, resumed: row.resumed, lost: row.lost, unknown: row.unknown })
    }
  }

  return {
    journal: {
      open: (execution) => {
        if (!execution.countedElsewhere) writer.open(toNote(execution))
      },
      closed: (execution) => {
        if (execution.accepted && !execution.countedElsewhere) writer.closed(execution.request.id)
      }
    },
    handlers: { receive: (batch) => ({ complete: receiver.receive(batch, clock.now()) }) },
    handedOver: receiver.handedOver,
    start: (startOptions) => {
      options = startOptions
      startOptions.onGone(recoverRequests)
      every(clock, SEND_INTERVAL, startOptions.signal, send, () => {}).catch(() => {})
      every(clock, PEER_TIMEOUT, startOptions.signal, () => receiver.expire(clock.now()), () => {}).catch(() => {})
    },
    flush: send
  }
}

function toNote (execution: Execution): OpenNote {
  const { request, attempt, answer } = execution
  const hasHandle = attempt !== undefined && attempt.handle !== ''
  return {
    id: request.id,
    organisation: request.organisation,
    class: request.class,
    idempotent: request.idempotent,
    fingerprint: request.fingerprint,
    offset: answer.offset(),
    ...(hasHandle ? { upstream: attempt.upstream, handle: attempt.handle } : {})
  }
}

function toRecord (decision: RecoveryDecision): HomeRecord {
  const { id, organisation, fingerprint } = decision.note
  if (decision.kind === 'resume') return { id, organisation, fingerprint }
  const outcome = decision.outcome === 'lost' ? { kind: 'lost' as const, verdict: 'may-have-run' as const } : { kind: 'unknown' as const }
  return { id, organisation, fingerprint, ended: { outcome, verdict: 'may-have-run' } }
}

/**
 * Attaches to the stream of a request and reads it from the beginning. Only the dead home had the prompt, so the request
 * can't be executed again and its work is a placeholder.
 */
function resume (executions: Executions, decision: Extract<RecoveryDecision, { kind: 'resume' }>, home: Incarnation): void {
  const { id, organisation, class: requestClass, idempotent, fingerprint } = decision.note
  const request: Request = {
    id,
    organisation,
    class: requestClass,
    idempotent,
    fingerprint,
    work: { kind: 'model', body: { model: requestClass, messages: [], stream: true, max_tokens: 1 } }
  }
  executions.takeOver({ request, position: decision.position, attachOnly: true, accepted: true, dispatched: true, countedElsewhere: true }, home)
}
