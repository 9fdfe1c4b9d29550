/**
 * The home table of a node: which request ids it may dispatch, and what became of them.
 *
 * The incarnation in an id names its home, the only process that may dispatch it. An id is dispatched
 * only when the home can prove that it is new: it is neither in the table nor among the forgotten. The
 * home gives its table away once; from the send on it counts itself without the ids it sent.
 */
import * as z from 'zod'
import type { Milliseconds } from '../clock.js'
import { MINUTE } from '../clock.js'
import { homeOf, organisationNameSchema, requestIdSchema } from '../identifiers.js'
import type { Incarnation, OrganisationName, RequestId } from '../identifiers.js'
import { createSeenFilter } from './seen-filter.js'
import { outcomeSchema } from './types.js'
import type { Request } from './types.js'

/** What identifies a send of a request. */
export type Submission = Pick<Request, 'id' | 'organisation' | 'fingerprint'>

/** How a request ended, as it is remembered after its answer is gone. */
export const endedSchema = z.object({ outcome: outcomeSchema, verdict: z.enum(['not-run', 'may-have-run', 'ran']) })
export type Ended = z.infer<typeof endedSchema>

/** One id of a table on its way to a successor. */
export const homeRecordSchema = z.object({
  id: requestIdSchema,
  organisation: organisationNameSchema,
  fingerprint: z.string().min(1),
  /** Absent while the request is open. */
  ended: endedSchema.optional()
})
export type HomeRecord = z.infer<typeof homeRecordSchema>

/** What to do with a send of an id. */
export type SubmissionDecision =
  /** New here: the id is recorded as open and this node runs it. */
  | { kind: 'run' }
  /** Known, with its answer: open, or ended a short while ago. */
  | { kind: 'attach' }
  /** Known, ended, and its answer is no longer kept. */
  | { kind: 'ended', ended: Ended }
  /** Another incarnation decides. When it cannot be asked, see `homeGoneFailure`. */
  | { kind: 'ask-home', incarnation: Incarnation }
  /** The id was used for another body. */
  | { kind: 'conflict' }
  /** The id belongs to another organisation. */
  | { kind: 'not-visible' }
  /** Not provably new, and nothing is known of it: `may-have-run`, never dispatched. */
  | { kind: 'forgotten' }
  /** Provably new, but this home takes nothing new: `not-run`, and the id stays refused. */
  | { kind: 'stopping' }

/** The ids of one process. */
export interface HomeTable {
  /** Decides on a send; records the id when the decision is `run` or `stopping`. */
  submit (submission: Submission, now: Milliseconds): SubmissionDecision
  /** Decides on a lookup by id; never records anything. */
  find (organisation: OrganisationName, id: RequestId): SubmissionDecision
  /** Whether this node may dispatch the id now. To be asked right before each attempt. */
  mayDispatch (id: RequestId): boolean
  /** Records the end of an open id; the first end stays. Refusals are ends, too: such an id is never run later. */
  end (id: RequestId, ended: Ended, now: Milliseconds): void
  /** Forgets what has passed its time. @returns ids whose answers may be dropped now */
  expire (now: Milliseconds): RequestId[]
  /** Takes nothing new from now on; what is open goes on. */
  close (): void
  /** Closes the home and takes out its table. @returns undefined from the second call on */
  giveAway (): HomeRecord[] | undefined
  /**
   * To be called right before a message with these ids is written.
   *
   * @returns the ids that may be in that message: each id is sent once in the life of this process
   */
  assign (ids: readonly RequestId[], successor: Incarnation): RequestId[]
  /** Takes {@link assign} back. Only for a message of which no byte was written (verdict `not-run`). */
  unsent (ids: readonly RequestId[]): void
  /** Becomes the heir for exactly these ids. @returns the ids that are new here */
  inherit (from: Incarnation, records: readonly HomeRecord[], now: Milliseconds): RequestId[]
  /** Sizes, and the share of new ids that would be answered `may-have-run` by mistake. */
  statistics (): HomeStatistics
}

/** Sizes of a table. */
export interface HomeStatistics {
  readonly open: number
  readonly ended: number
  readonly falsePositives: number
}

/** Bounds of a table. */
export interface HomeOptions {
  readonly own: Incarnation
  /** Secret seed of the forgotten ids. */
  readonly seed: number
  /** How long an ended answer can still be read. */
  readonly answerRetention?: Milliseconds
  /** How long an outcome is remembered; longer than answers. */
  readonly outcomeRetention?: Milliseconds
  /** Most ended ids remembered; beyond it the oldest are forgotten early. */
  readonly mostEnded?: number
  /** Bits of the filter of forgotten ids. */
  readonly forgottenBits?: number
}

interface Entry {
  readonly record: Submission
  ended: Ended | undefined
  endedAt: Milliseconds
  answerKept: boolean
  successor: Incarnation | undefined
}

const ANSWER_RETENTION: Milliseconds = 2 * MINUTE
const OUTCOME_RETENTION: Milliseconds = 30 * MINUTE
const MOST_ENDED = 20_000

/** 2 MB: 350,000 ids, a day's share of one node at the target size, leave fewer than one mistake in a million. */
const FORGOTTEN_BITS = 2 ** 24
const FORGOTTEN_HASHES = 7

/**
 * @example
 * const home = createHomeTable({ own: incarnation, seed: random.integer(2 ** 30) })
 * const decision = home.submit(request, clock.now())
 */
export function createHomeTable (options: HomeOptions): HomeTable {
  const { own, answerRetention = ANSWER_RETENTION, outcomeRetention = OUTCOME_RETENTION, mostEnded = MOST_ENDED } = options
  const entries = new Map<RequestId, Entry>()
  /** Ended ids, oldest end first. */
  const ended = new Map<RequestId, Entry>()
  const answers = new Map<RequestId, Entry>()
  const forgotten = createSeenFilter({ bits: options.forgottenBits ?? FORGOTTEN_BITS, hashes: FORGOTTEN_HASHES, seed: options.seed })
  const inherited = new Set<Incarnation>()
  let closed = false
  let givenAway = false

  function decideKnown (entry: Entry, organisation: OrganisationName, fingerprint: string): SubmissionDecision {
    if (entry.record.organisation !== organisation) return { kind: 'not-visible' }
    if (entry.record.fingerprint !== fingerprint) return { kind: 'conflict' }
    if (entry.successor !== undefined) return { kind: 'ask-home', incarnation: entry.successor }
    if (entry.ended !== undefined && !entry.answerKept) return { kind: 'ended', ended: entry.ended }
    return { kind: 'attach' }
  }

  /**
   * Failure guarded against: a home that died is asked through another node, which takes the id for a
   * new one and runs the booking twice. An id of a foreign incarnation is never recorded as new here;
   * an heir that does not hold it says that it may have run.
   */
  function decideUnknown (id: RequestId): SubmissionDecision {
    const home = homeOf(id)
    if (home !== own) return inherited.has(home) ? { kind: 'forgotten' } : { kind: 'ask-home', incarnation: home }
    if (forgotten.has(id)) return { kind: 'forgotten' }
    return closed ? { kind: 'stopping' } : { kind: 'run' }
  }

  function add (record: Submission): Entry {
    const entry = { record: { id: record.id, organisation: record.organisation, fingerprint: record.fingerprint }, ended: undefined, endedAt: 0, answerKept: false, successor: undefined }
    entries.set(record.id, entry)
    return entry
  }

  function finish (entry: Entry, how: Ended, answerKept: boolean, now: Milliseconds): void {
    entry.ended = how
    entry.endedAt = now
    entry.answerKept = answerKept
    ended.set(entry.record.id, entry)
    if (answerKept) answers.set(entry.record.id, entry)
  }

  function forget (id: RequestId): void {
    entries.delete(id)
    ended.delete(id)
    if (homeOf(id) === own) forgotten.add(id)
  }

  function expireAnswers (now: Milliseconds): RequestId[] {
    const dropped: RequestId[] = []
    for (const [id, entry] of answers) {
      if (now - entry.endedAt < answerRetention && entries.has(id)) break
      answers.delete(id)
      entry.answerKept = false
      dropped.push(id)
    }
    return dropped
  }

  function expireOutcomes (now: Milliseconds): void {
    for (const [id, entry] of ended) {
      if (now - entry.endedAt < outcomeRetention && ended.size <= mostEnded) return
      forget(id)
    }
  }

  function toRecord (entry: Entry): HomeRecord {
    return entry.ended === undefined ? { ...entry.record } : { ...entry.record, ended: entry.ended }
  }

  return {
    submit: (submission, now) => {
      const entry = entries.get(submission.id)
      if (entry !== undefined) return decideKnown(entry, submission.organisation, submission.fingerprint)
      const decision = decideUnknown(submission.id)
      if (decision.kind === 'run') add(submission)
      if (decision.kind === 'stopping') finish(add(submission), { outcome: { kind: 'refused', code: 'stopping' }, verdict: 'not-run' }, false, now)
      return decision
    },
    find: (organisation, id) => {
      const entry = entries.get(id)
      if (entry !== undefined) return decideKnown(entry, organisation, entry.record.fingerprint)
      const decision = decideUnknown(id)
      return decision.kind === 'ask-home' ? decision : { kind: 'forgotten' }
    },
    mayDispatch: (id) => {
      const entry = entries.get(id)
      return entry !== undefined && entry.ended === undefined && entry.successor === undefined
    },
    end: (id, how, now) => {
      const entry = entries.get(id)
      if (entry === undefined || entry.ended !== undefined || entry.successor !== undefined) return
      finish(entry, how, true, now)
      if (ended.size > mostEnded) expireOutcomes(now)
    },
    expire: (now) => {
      const dropped = expireAnswers(now)
      expireOutcomes(now)
      return dropped
    },
    close: () => {
      closed = true
    },
    giveAway: () => {
      if (givenAway) return undefined
      closed = true
      givenAway = true
      return [...entries.values()].filter((entry) => entry.successor === undefined).map(toRecord)
    },
    assign: (ids, successor) => {
      /**
       * Failure guarded against: the reply to a hand-over is lost, the home sends the same id to a second
       * successor, and both run it. Whether the first message arrived cannot be known, so there is no second.
       */
      const free = givenAway ? ids.filter((id) => entries.has(id) && entries.get(id)!.successor === undefined) : []
      for (const id of free) entries.get(id)!.successor = successor
      return free
    },
    unsent: (ids) => {
      for (const id of ids) {
        const entry = entries.get(id)
        if (entry !== undefined) entry.successor = undefined
      }
    },
    inherit: (from, records, now) => {
      inherited.add(from)
      for (const { id } of records) inherited.add(homeOf(id))
      const fresh = records.filter(({ id }) => !entries.has(id) && homeOf(id) !== own)
      for (const record of fresh) {
        const entry = add(record)
        if (record.ended !== undefined) finish(entry, record.ended, false, now)
      }
      return fresh.map(({ id }) => id)
    },
    statistics: () => ({ open: entries.size - ended.size, ended: ended.size, falsePositives: forgotten.falsePositives() })
  }
}
