/**
 * Notes about open requests.
 *
 * A home sends notes in batches to its buddy, which is its first successor, in another failure domain if there is
 * one. If the home dies unannounced, the buddy resumes the idempotent streams and reports the correct outcome of the
 * other requests. Notes are soft state: their number is bounded, they may be lost, and a request is never dispatched
 * because of a note.
 */
import * as z from 'zod'
import type { Milliseconds } from '../clock.js'
import { classNameSchema, incarnationSchema, organisationNameSchema, requestIdSchema, upstreamNameSchema } from '../identifiers.js'
import type { ClassName, Incarnation, OrganisationName, RequestId } from '../identifiers.js'
import type { StreamPosition } from './types.js'

/** What a buddy knows of an open request. */
export const openNoteSchema = z.object({
  id: requestIdSchema,
  organisation: organisationNameSchema,
  class: classNameSchema,
  idempotent: z.boolean(),
  fingerprint: z.string(),
  upstream: upstreamNameSchema.optional(),
  /** The upstream's identifier of the stream. */
  handle: z.string().optional(),
  /** Number of tokens received when the note was written. The stream may have progressed since. */
  offset: z.number().int().nonnegative()
})
export type OpenNote = z.infer<typeof openNoteSchema>

/** Changes at a home since the previous batch. */
export const noteBatchSchema = z.object({
  from: incarnationSchema,
  /** Increases by one with each batch from this home. */
  sequence: z.number().int().positive(),
  /**
   * Whether the buddy must drop all earlier notes of this home. Such a batch begins a transfer of all open requests.
   */
  whole: z.boolean(),
  open: z.array(openNoteSchema),
  closed: z.array(requestIdSchema)
})
export type NoteBatch = z.infer<typeof noteBatchSchema>

/** The home's side: collects changes until the next batch. */
export interface NoteWriter {
  /** Adds or updates a note. Only its latest state is sent. */
  open (note: OpenNote): void
  closed (id: RequestId): void
  /**
   * Next batch for a buddy, with at most `maxNotes` open and `maxNotes` closed requests. Undefined if nothing has
   * changed. A new buddy is sent all notes.
   */
  next (buddy: Incarnation, maxNotes: number): NoteBatch | undefined
  /** Must be called if a batch may not have been delivered. All notes are sent again. */
  failed (): void
}

/** What a buddy does about an open request of a home that died. */
export type RecoveryDecision =
  /** Attach to the stream at the upstream, read it from the beginning, and serve the caller from it. */
  | { kind: 'resume', note: OpenNote, position: StreamPosition }
  /** The request cannot be resumed. Idempotent work is lost, and the outcome of other work is unknown. */
  | { kind: 'give-up', note: OpenNote, outcome: 'lost' | 'unknown' }

/**
 * Counts of a dead home's open requests by organisation, class and what became of them. These requests are already
 * part of a total that is counted elsewhere, so the counts must not be added to it.
 */
export interface DeadHomeCounts {
  readonly incarnation: Incarnation
  readonly rows: readonly DeadHomeCountsRow[]
}

/** One row of {@link DeadHomeCounts}. */
export interface DeadHomeCountsRow {
  readonly organisation: OrganisationName
  readonly class: ClassName
  readonly resumed: number
  readonly lost: number
  readonly unknown: number
}

/** The buddy's side. */
export interface NoteReceiver {
  /**
   * Applies a batch.
   *
   * @returns false if an earlier batch is missing, in which case the home must send all notes again
   */
  receive (batch: NoteBatch, now: Milliseconds): boolean
  /** Drops the notes of a home that left as announced, since it has handed its requests over itself. */
  handedOver (home: Incarnation): void
  /** Returns the decisions on the open requests of a home that died unannounced. A second call returns none. */
  died (home: Incarnation): { decisions: readonly RecoveryDecision[], counts: DeadHomeCounts }
  /** Drops the notes of homes that have sent no batch within the retention period. */
  expire (now: Milliseconds): void
  size (): number
}

interface HomeNotes {
  sequence: number
  receivedAt: Milliseconds
  readonly notes: Map<RequestId, OpenNote>
}

const MAX_NOTES = 20_000
const RETENTION: Milliseconds = 600_000

/**
 * Creates the sending side of a home.
 *
 * @param own incarnation of the home
 * @example
 * const notes = createNoteWriter(incarnation)
 * notes.open(note)
 * const batch = notes.next(buddy, 200)
 */
export function createNoteWriter (own: Incarnation): NoteWriter {
  const current = new Map<RequestId, OpenNote>()
  let changed = new Set<RequestId>()
  let ended = new Set<RequestId>()
  let buddy: Incarnation | undefined
  let sequence = 0
  let whole = true

  function sendAllNext (): void {
    whole = true
    changed = new Set(current.keys())
    ended = new Set()
  }

  return {
    open: (note) => {
      current.set(note.id, note)
      ended.delete(note.id)
      changed.add(note.id)
    },
    closed: (id) => {
      current.delete(id)
      if (changed.delete(id) && whole) return
      ended.add(id)
    },
    failed: sendAllNext,
    next: (to, maxNotes) => {
      if (to !== buddy) sendAllNext()
      buddy = to
      if (!whole && changed.size === 0 && ended.size === 0) return undefined
      const open = [...changed].slice(0, maxNotes)
      const closed = [...ended].slice(0, maxNotes)
      for (const id of open) changed.delete(id)
      for (const id of closed) ended.delete(id)
      sequence += 1
      const batch = { from: own, sequence, whole, open: open.flatMap((id) => current.get(id) ?? []), closed }
      whole = false
      return batch
    }
  }
}

/**
 * Creates the receiving side of a buddy.
 *
 * @param maxNotes maximum number of notes of all homes together. Further notes are dropped.
 * @param retention time after which the notes of a silent home are dropped
 * @example
 * const receiver = createNoteReceiver()
 * if (!receiver.receive(batch, clock.now())) requestAllNotes()
 */
export function createNoteReceiver (maxNotes: number = MAX_NOTES, retention: Milliseconds = RETENTION): NoteReceiver {
  const homes = new Map<Incarnation, HomeNotes>()
  /** Homes that have left or died. Delayed batches from them are ignored. */
  const finishedHomes = new Set<Incarnation>()
  let size = 0

  function removeHome (home: Incarnation): HomeNotes | undefined {
    const known = homes.get(home)
    homes.delete(home)
    size -= known?.notes.size ?? 0
    return known
  }

  function finishHome (home: Incarnation): HomeNotes | undefined {
    finishedHomes.add(home)
    return removeHome(home)
  }

  function add (known: HomeNotes, note: OpenNote): void {
    if (!known.notes.has(note.id)) {
      if (size >= maxNotes) return
      size += 1
    }
    known.notes.set(note.id, note)
  }

  return {
    receive: (batch, now) => {
      if (finishedHomes.has(batch.from)) return true
      const before = homes.get(batch.from)
      if (before !== undefined && batch.sequence <= before.sequence) return true
      if (!batch.whole && before?.sequence !== batch.sequence - 1) return false
      if (batch.whole) removeHome(batch.from)
      const known = homes.get(batch.from) ?? { sequence: 0, receivedAt: now, notes: new Map() }
      homes.set(batch.from, known)
      known.sequence = batch.sequence
      known.receivedAt = now
      for (const note of batch.open) add(known, note)
      for (const id of batch.closed) if (known.notes.delete(id)) size -= 1
      return true
    },
    handedOver: (home) => { finishHome(home) },
    died: (home) => {
      const notes = [...finishHome(home)?.notes.values() ?? []]
      const decisions = notes.map(decideRecovery)
      return { decisions, counts: countDecisions(home, decisions) }
    },
    expire: (now) => {
      for (const [home, known] of homes) if (now - known.receivedAt > retention) removeHome(home)
    },
    size: () => size
  }
}

/**
 * Decides what a buddy does about an open request of a home that died.
 *
 * Failure guarded against: a home was only paused and its upstream still runs a booking, and the buddy runs the
 * booking again. A buddy therefore only attaches to existing streams, which starts no work.
 */
function decideRecovery (note: OpenNote): RecoveryDecision {
  const { upstream, handle, offset } = note
  if (note.idempotent && upstream !== undefined && handle !== undefined) {
    return { kind: 'resume', note, position: { upstream, handle, offset } }
  }
  return { kind: 'give-up', note, outcome: note.idempotent ? 'lost' : 'unknown' }
}

/**
 * Counts decisions by organisation and class.
 *
 * Failure guarded against: a dead home's open requests are counted twice, by the planner, which includes the home's
 * last counters in its totals, and by the buddy. The counts only split the part of the planner's total that was open,
 * and add nothing to it.
 */
function countDecisions (incarnation: Incarnation, decisions: readonly RecoveryDecision[]): DeadHomeCounts {
  const rows = new Map<string, { organisation: OrganisationName, class: ClassName, resumed: number, lost: number, unknown: number }>()
  for (const decision of decisions) {
    const { organisation, class: requestClass } = decision.note
    const key = `${organisation}/${requestClass}`
    const row = rows.get(key) ?? { organisation, class: requestClass, resumed: 0, lost: 0, unknown: 0 }
    rows.set(key, row)
    row[decision.kind === 'resume' ? 'resumed' : decision.outcome] += 1
  }
  return { incarnation, rows: [...rows.values()] }
}
