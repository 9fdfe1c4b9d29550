/**
 * Notes about open requests. A home sends them in batches to its buddy, a node in another failure domain,
 * so that an unannounced death leaves somebody who can resume its idempotent streams and who says truthfully
 * what became of the rest. Notes are soft state: bounded, lossy, and never a reason to dispatch.
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
  /** The upstream's name for the stream. */
  handle: z.string().optional(),
  /** Tokens received when the note was written; the stream may be further. */
  offset: z.number().int().nonnegative()
})
export type OpenNote = z.infer<typeof openNoteSchema>

/** News from a home, in the order of `sequence`. */
export const noteBatchSchema = z.object({
  from: incarnationSchema,
  /** Rises by one with each batch from this home to this buddy. */
  sequence: z.number().int().positive(),
  /** The buddy forgets what it knew: this batch tells all that is open. */
  whole: z.boolean(),
  open: z.array(openNoteSchema),
  closed: z.array(requestIdSchema)
})
export type NoteBatch = z.infer<typeof noteBatchSchema>

/** Home's side: collects changes until the next batch. */
export interface NoteWriter {
  /** Opens or updates a note; only the latest state travels. */
  open (note: OpenNote): void
  closed (id: RequestId): void
  /** Next batch for a buddy, at most `most` notes; undefined when there is no news. A new buddy is told all. */
  next (buddy: Incarnation, most: number): NoteBatch | undefined
  /** A batch was not delivered, as far as is known: the buddy is told all next time. */
  failed (): void
}

/** What a buddy does about a request of a home that died. */
export type Salvage =
  /** Attach to the stream at the upstream from the beginning, and answer the caller from there. */
  | { kind: 'resume', note: OpenNote, position: StreamPosition }
  /** It cannot be resumed; idempotent work is lost, other work is unknown. */
  | { kind: 'give-up', note: OpenNote, outcome: 'lost' | 'unknown' }

/** Split of what a dead home had open, by class and organisation. It divides a sum that is counted elsewhere. */
export interface DeathAccount {
  readonly incarnation: Incarnation
  readonly rows: readonly DeathRow[]
}

/** One row of a {@link DeathAccount}. */
export interface DeathRow {
  readonly organisation: OrganisationName
  readonly class: ClassName
  readonly resumed: number
  readonly lost: number
  readonly unknown: number
}

/** Buddy's side. */
export interface NoteKeeper {
  /** @returns false when a batch before this one is missing: the home must tell all again */
  receive (batch: NoteBatch, now: Milliseconds): boolean
  /** The home left as announced: it handed its requests over itself. */
  handedOver (home: Incarnation): void
  /** The home died unannounced. Answers once; a second call finds nothing. */
  died (home: Incarnation): { salvage: readonly Salvage[], account: DeathAccount }
  /** Forgets homes that were silent for longer than the retention. */
  expire (now: Milliseconds): void
  size (): number
}

interface HomeNotes {
  sequence: number
  heardAt: Milliseconds
  readonly notes: Map<RequestId, OpenNote>
}

const MOST_NOTES = 20_000
const RETENTION: Milliseconds = 600_000

/**
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

  function tellAll (): void {
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
    failed: tellAll,
    next: (to, most) => {
      if (to !== buddy) tellAll()
      buddy = to
      if (!whole && changed.size === 0 && ended.size === 0) return undefined
      const open = [...changed].slice(0, most)
      const closed = [...ended].slice(0, most)
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
 * @param mostNotes notes of all homes together; beyond it new ones are not taken
 * @example
 * const keeper = createNoteKeeper()
 * if (!keeper.receive(batch, clock.now())) askForAll()
 */
export function createNoteKeeper (mostNotes: number = MOST_NOTES, retention: Milliseconds = RETENTION): NoteKeeper {
  const homes = new Map<Incarnation, HomeNotes>()
  /** Homes whose account was given: a batch that arrives late changes nothing. */
  const settled = new Set<Incarnation>()
  let size = 0

  function drop (home: Incarnation): HomeNotes | undefined {
    const known = homes.get(home)
    homes.delete(home)
    size -= known?.notes.size ?? 0
    return known
  }

  function settle (home: Incarnation): HomeNotes | undefined {
    settled.add(home)
    return drop(home)
  }

  function add (known: HomeNotes, note: OpenNote): void {
    if (!known.notes.has(note.id)) {
      if (size >= mostNotes) return
      size += 1
    }
    known.notes.set(note.id, note)
  }

  return {
    receive: (batch, now) => {
      if (settled.has(batch.from)) return true
      const before = homes.get(batch.from)
      if (before !== undefined && batch.sequence <= before.sequence) return true
      if (!batch.whole && before?.sequence !== batch.sequence - 1) return false
      if (batch.whole) drop(batch.from)
      const known = homes.get(batch.from) ?? { sequence: 0, heardAt: now, notes: new Map() }
      homes.set(batch.from, known)
      known.sequence = batch.sequence
      known.heardAt = now
      for (const note of batch.open) add(known, note)
      for (const id of batch.closed) if (known.notes.delete(id)) size -= 1
      return true
    },
    handedOver: (home) => { settle(home) },
    died: (home) => {
      const notes = [...settle(home)?.notes.values() ?? []]
      const salvage = notes.map(salvageOf)
      return { salvage, account: accountOf(home, salvage) }
    },
    expire: (now) => {
      for (const [home, known] of homes) if (now - known.heardAt > retention) drop(home)
    },
    size: () => size
  }
}

/**
 * Failure guarded against: the home was only paused and its upstream still runs a booking, which the buddy
 * runs again. A buddy only ever attaches to the stream that exists, which starts nothing.
 */
function salvageOf (note: OpenNote): Salvage {
  const { upstream, handle, offset } = note
  if (note.idempotent && upstream !== undefined && handle !== undefined) {
    return { kind: 'resume', note, position: { upstream, handle, offset } }
  }
  return { kind: 'give-up', note, outcome: note.idempotent ? 'lost' : 'unknown' }
}

/**
 * Failure guarded against: a dead home's open requests are counted by the planner, which folds the home's
 * last counters, and again by the buddy. The account names what part of the folded sum ended how; it adds
 * nothing.
 */
function accountOf (incarnation: Incarnation, salvage: readonly Salvage[]): DeathAccount {
  const rows = new Map<string, { organisation: OrganisationName, class: ClassName, resumed: number, lost: number, unknown: number }>()
  for (const one of salvage) {
    const { organisation, class: requestClass } = one.note
    const key = `${organisation}/${requestClass}`
    const row = rows.get(key) ?? { organisation, class: requestClass, resumed: 0, lost: 0, unknown: 0 }
    rows.set(key, row)
    row[one.kind === 'resume' ? 'resumed' : one.outcome] += 1
  }
  return { incarnation, rows: [...rows.values()] }
}
