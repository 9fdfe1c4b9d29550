/**
 * Home table of a node: the request ids that the node may dispatch, and the outcomes of these requests.
 *
 * The incarnation in a request id names its home, the only process that may dispatch the request. The home dispatches
 * a request only if it can prove that the id is new, which means that the id is neither in the table nor in the
 * filter of forgotten ids. The table is handed over once. The home no longer dispatches the ids that it has assigned
 * to a successor.
 */
import * as z from 'zod'
import type { Milliseconds } from '../clock.js'
import { MINUTE } from '../clock.js'
import { homeOf, organisationNameSchema, requestIdSchema } from '../identifiers.js'
import type { Incarnation, OrganisationName, RequestId } from '../identifiers.js'
import { createSeenFilter } from './seen-filter.js'
import { outcomeSchema } from './types.js'
import type { Request } from './types.js'

/** Identifies a submission of a request. */
export type Submission = Pick<Request, 'id' | 'organisation' | 'fingerprint'>

/** How a request ended. Remembered for longer than its answer. */
export const endedRequestSchema = z.object({ outcome: outcomeSchema, verdict: z.enum(['not-run', 'may-have-run', 'ran']) })
export type EndedRequest = z.infer<typeof endedRequestSchema>

/** Record of one id that is handed over to a successor. */
export const homeRecordSchema = z.object({
  id: requestIdSchema,
  organisation: organisationNameSchema,
  fingerprint: z.string().min(1),
  /** Missing while the request is open. */
  ended: endedRequestSchema.optional()
})
export type HomeRecord = z.infer<typeof homeRecordSchema>

/** What to do with a submission. */
export type SubmissionDecision =
  /** The id is new. It is recorded as open, and this node runs the request. */
  | { kind: 'run' }
  /** The request is open or ended recently, and its answer is available. */
  | { kind: 'attach' }
  /** The request has ended, and its answer is no longer available. */
  | { kind: 'ended', ended: EndedRequest }
  /** Another incarnation decides. If it cannot be asked, see `homeUnreachableFailure`. */
  | { kind: 'ask-home', incarnation: Incarnation }
  /** The id was used with a different body. */
  | { kind: 'conflict' }
  /** The id belongs to another organisation. */
  | { kind: 'not-visible' }
  /**
   * The id is not provably new and nothing is known of the request. It counts as `may-have-run` and is never
   * dispatched.
   */
  | { kind: 'forgotten' }
  /**
   * The id is provably new, but this home accepts no new requests. The request is refused as `not-run`, and stays
   * refused.
   */
  | { kind: 'stopping' }

/** The request ids of one process. */
export interface HomeTable {
  /** Decides on a submission. Records the id if the decision is `run` or `stopping`. */
  submit (submission: Submission, now: Milliseconds): SubmissionDecision
  /** Decides on a lookup by id. Records nothing. */
  find (organisation: OrganisationName, id: RequestId): SubmissionDecision
  /** Whether this node may dispatch the request now. Must be checked immediately before each attempt. */
  mayDispatch (id: RequestId): boolean
  /**
   * Records how an open request ended. Only the first call has an effect. A refusal is recorded as well, so a refused
   * request is never run later.
   */
  end (id: RequestId, ended: EndedRequest, now: Milliseconds): void
  /**
   * Forgets answers and outcomes that are older than their retention periods.
   *
   * @returns the ids whose answers may be dropped
   */
  expire (now: Milliseconds): RequestId[]
  /** Accepts no new requests from now on. Open requests continue. */
  close (): void
  /**
   * Closes the home and returns the records to hand over.
   *
   * @returns undefined from the second call on
   */
  beginHandOver (): HomeRecord[] | undefined
  /**
   * Assigns ids to a successor. Must be called immediately before the message with these ids is written.
   *
   * @returns the ids that the message may contain. Each id is returned only once during the lifetime of this process.
   */
  assign (ids: readonly RequestId[], successor: Incarnation): RequestId[]
  /** Reverts {@link assign}. Allowed only for a message of which no byte was written (verdict `not-run`). */
  unassign (ids: readonly RequestId[]): void
  /**
   * Takes over exactly these ids from another home.
   *
   * @returns the ids that were not known here
   */
  takeOver (from: Incarnation, records: readonly HomeRecord[], now: Milliseconds): RequestId[]
  /** Sizes of the table, and the probability that a new id is mistaken for a forgotten one. */
  statistics (): HomeStatistics
}

/** Sizes of a home table. */
export interface HomeStatistics {
  readonly open: number
  readonly ended: number
  readonly falsePositiveRate: number
}

/** Options of a home table. */
export interface HomeOptions {
  readonly own: Incarnation
  /** Secret seed of the filter of forgotten ids. */
  readonly seed: number
  /** Time for which the answer of an ended request can be read. */
  readonly answerRetention?: Milliseconds
  /** Time for which an outcome is remembered. Must be longer than the retention of answers. */
  readonly outcomeRetention?: Milliseconds
  /** Maximum number of ended requests remembered. Beyond it the oldest are forgotten early. */
  readonly maxEnded?: number
  /** Size of the filter of forgotten ids in bits. */
  readonly forgottenFilterBits?: number
}

interface Entry {
  readonly record: Submission
  ended: EndedRequest | undefined
  endedAt: Milliseconds
  answerRetained: boolean
  successor: Incarnation | undefined
}

const ANSWER_RETENTION: Milliseconds = 2 * MINUTE
const OUTCOME_RETENTION: Milliseconds = 30 * MINUTE
const MAX_ENDED = 20_000

/**
 * Two megabytes. After 350,000 ids, the daily number per node at the target size, fewer than one in a million new ids
 * is mistaken for a forgotten one.
 */
const FORGOTTEN_FILTER_BITS = 2 ** 24
const FORGOTTEN_FILTER_HASHES = 7

/**
 * Creates the home table of a process.
 *
 * @example
 * const home = createHomeTable({ own: incarnation, seed: random.integer(2 ** 30) })
 * const decision = home.submit(request, clock.now())
 */
export function createHomeTable (options: HomeOptions): HomeTable {
  const { own, answerRetention = ANSWER_RETENTION, outcomeRetention = OUTCOME_RETENTION, maxEnded = MAX_ENDED } = options
  const entries = new Map<RequestId, Entry>()
  /** Ended requests, in the order of their ends. */
  const ended = new Map<RequestId, Entry>()
  const retainedAnswers = new Map<RequestId, Entry>()
  const forgotten = createSeenFilter({ bits: options.forgottenFilterBits ?? FORGOTTEN_FILTER_BITS, hashes: FORGOTTEN_FILTER_HASHES, seed: options.seed })
  const predecessors = new Set<Incarnation>()
  let closed = false
  let handOverBegun = false

  function decideKnown (entry: Entry, organisation: OrganisationName, fingerprint: string): SubmissionDecision {
    if (entry.record.organisation !== organisation) return { kind: 'not-visible' }
    if (entry.record.fingerprint !== fingerprint) return { kind: 'conflict' }
    if (entry.successor !== undefined) return { kind: 'ask-home', incarnation: entry.successor }
    if (entry.ended !== undefined && !entry.answerRetained) return { kind: 'ended', ended: entry.ended }
    return { kind: 'attach' }
  }

  /**
   * Decides on an id that is not in the table.
   *
   * Failure guarded against: the home of a request has died, the caller repeats the request at another node, and that
   * node takes the id for a new one and runs a booking twice. An id of another incarnation is therefore never
   * recorded as new here. A successor that did not receive the id answers that the request may have run.
   */
  function decideUnknown (id: RequestId): SubmissionDecision {
    const home = homeOf(id)
    if (home !== own) return predecessors.has(home) ? { kind: 'forgotten' } : { kind: 'ask-home', incarnation: home }
    if (forgotten.has(id)) return { kind: 'forgotten' }
    return closed ? { kind: 'stopping' } : { kind: 'run' }
  }

  function add (record: Submission): Entry {
    const entry = { record: { id: record.id, organisation: record.organisation, fingerprint: record.fingerprint }, ended: undefined, endedAt: 0, answerRetained: false, successor: undefined }
    entries.set(record.id, entry)
    return entry
  }

  function finish (entry: Entry, end: EndedRequest, answerRetained: boolean, now: Milliseconds): void {
    entry.ended = end
    entry.endedAt = now
    entry.answerRetained = answerRetained
    ended.set(entry.record.id, entry)
    if (answerRetained) retainedAnswers.set(entry.record.id, entry)
  }

  function forget (id: RequestId): void {
    entries.delete(id)
    ended.delete(id)
    if (homeOf(id) === own) forgotten.add(id)
  }

  function expireAnswers (now: Milliseconds): RequestId[] {
    const dropped: RequestId[] = []
    for (const [id, entry] of retainedAnswers) {
      if (now - entry.endedAt < answerRetention && entries.has(id)) break
      retainedAnswers.delete(id)
      entry.answerRetained = false
      dropped.push(id)
    }
    return dropped
  }

  function expireOutcomes (now: Milliseconds): void {
    for (const [id, entry] of ended) {
      if (now - entry.endedAt < outcomeRetention && ended.size <= maxEnded) return
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
    end: (id, end, now) => {
      const entry = entries.get(id)
      if (entry === undefined || entry.ended !== undefined || entry.successor !== undefined) return
      finish(entry, end, true, now)
      if (ended.size > maxEnded) expireOutcomes(now)
    },
    expire: (now) => {
      const dropped = expireAnswers(now)
      expireOutcomes(now)
      return dropped
    },
    close: () => {
      closed = true
    },
    beginHandOver: () => {
      if (handOverBegun) return undefined
      closed = true
      handOverBegun = true
      return [...entries.values()].filter((entry) => entry.successor === undefined).map(toRecord)
    },
    assign: (ids, successor) => {
      /**
       * Failure guarded against: the reply to a hand-over is lost, the home sends the same id to a second successor,
       * and both run the request. Whether the first message arrived cannot be known, so an id is never sent a second
       * time.
       */
      const assignable = handOverBegun ? ids.filter((id) => entries.has(id) && entries.get(id)!.successor === undefined) : []
      for (const id of assignable) entries.get(id)!.successor = successor
      return assignable
    },
    unassign: (ids) => {
      for (const id of ids) {
        const entry = entries.get(id)
        if (entry !== undefined) entry.successor = undefined
      }
    },
    takeOver: (from, records, now) => {
      predecessors.add(from)
      for (const { id } of records) predecessors.add(homeOf(id))
      const added = records.filter(({ id }) => !entries.has(id) && homeOf(id) !== own)
      for (const record of added) {
        const entry = add(record)
        if (record.ended !== undefined) finish(entry, record.ended, false, now)
      }
      return added.map(({ id }) => id)
    },
    statistics: () => ({ open: entries.size - ended.size, ended: ended.size, falsePositiveRate: forgotten.falsePositiveRate() })
  }
}
