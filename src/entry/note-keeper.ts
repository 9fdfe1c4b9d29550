/**
 * Notes about open requests: this node's to its buddy, and those of the nodes whose buddy it is. When a
 * node dies unannounced, its buddy goes on with the streams that exist and tells what became of the rest.
 */
import { createTimeoutSignal } from '../bound-signal.js'
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

/** Notes of one node. */
export interface Notes {
  readonly journal: NoteJournal
  readonly handlers: NoteHandlers
  /** Begins to send batches, once the membership is known. */
  start (options: NoteOptions): void
  /** A node left as announced; it handed its requests over itself. */
  handedOver (home: Incarnation): void
  /** Sends what has not been sent. */
  flush (): Promise<void>
}

/** What notes need besides the clock. */
export interface NoteOptions {
  readonly buddy: () => NodeRecord | undefined
  readonly peers: Peers
  readonly home: HomeTable
  readonly executions: Executions
  /** Calls back for each incarnation that has gone for good. */
  readonly onGone: (listener: (incarnation: Incarnation) => void) => void
  /** Told what was open at a node that died. */
  readonly onAccount: (account: DeadHomeCounts) => void
  readonly log: Log
  readonly signal: AbortSignal
}

/** A note is at most this old when it leaves: shorter than most answers, long enough to fill a batch. */
const PERIOD: Milliseconds = SECOND / 4

const MOST_NOTES = 500

/**
 * @example
 * const notes = createNotes(incarnation, clock)
 * notes.journal.open(execution)
 */
export function createNotes (own: Incarnation, clock: Clock): Notes {
  const writer = createNoteWriter(own)
  const keeper = createNoteReceiver()
  let options: NoteOptions | undefined

  async function send (): Promise<void> {
    const buddy = options?.buddy()
    const batch = buddy && writer.next(buddy.incarnation, MOST_NOTES)
    if (options === undefined || buddy === undefined || batch === undefined) return
    try {
      const signal = createTimeoutSignal(PEER_TIMEOUT, options.signal)
      const { complete } = await options.peers.at(buddy.peerAddress).notes.receive.mutate(batch, { signal })
      if (!complete) writer.failed()
    } catch {
      writer.failed()
    }
  }

  function settle (home: Incarnation): void {
    if (options === undefined) return
    const { decisions: salvage, counts: account } = keeper.died(home)
    if (salvage.length === 0) return
    options.onAccount(account)
    const inherited = new Set(options.home.takeOver(home, salvage.map(toRecord), clock.now()))
    for (const one of salvage) {
      if (one.kind === 'resume' && inherited.has(one.note.id)) resume(options.executions, one, home)
    }
    for (const row of account.rows) {
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
    handlers: { receive: (batch) => ({ complete: keeper.receive(batch, clock.now()) }) },
    handedOver: keeper.handedOver,
    start: (given) => {
      options = given
      given.onGone(settle)
      every(clock, PERIOD, given.signal, send, () => {}).catch(() => {})
      every(clock, PEER_TIMEOUT, given.signal, () => keeper.expire(clock.now()), () => {}).catch(() => {})
    },
    flush: send
  }
}

function toNote (execution: Execution): OpenNote {
  const { request, attempt, answer } = execution
  const named = attempt !== undefined && attempt.handle !== ''
  return {
    id: request.id,
    organisation: request.organisation,
    class: request.class,
    idempotent: request.idempotent,
    fingerprint: request.fingerprint,
    offset: answer.offset(),
    ...(named ? { upstream: attempt.upstream, handle: attempt.handle } : {})
  }
}

function toRecord (salvage: RecoveryDecision): HomeRecord {
  const { id, organisation, fingerprint } = salvage.note
  if (salvage.kind === 'resume') return { id, organisation, fingerprint }
  const outcome = salvage.outcome === 'lost' ? { kind: 'lost' as const, verdict: 'may-have-run' as const } : { kind: 'unknown' as const }
  return { id, organisation, fingerprint, ended: { outcome, verdict: 'may-have-run' } }
}

/** The prompt died with the home: the stream can be followed, from its beginning, and never run again. */
function resume (executions: Executions, salvage: Extract<RecoveryDecision, { kind: 'resume' }>, home: Incarnation): void {
  const { id, organisation, class: requestClass, idempotent, fingerprint } = salvage.note
  const request: Request = {
    id,
    organisation,
    class: requestClass,
    idempotent,
    fingerprint,
    work: { kind: 'model', body: { model: requestClass, messages: [], stream: true, max_tokens: 1 } }
  }
  executions.takeOver({ request, position: salvage.position, attachOnly: true, accepted: true, dispatched: true, countedElsewhere: true }, home)
}
