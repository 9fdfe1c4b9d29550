/** Hands over the requests of a leaving node to its successors, and continues requests that other nodes hand over. */
import { createTimeoutSignal } from '../timeout-signal.js'
import type { Clock, Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Incarnation, RequestId } from '../identifiers.js'
import type { Log } from '../log.js'
import type { NodeRecord } from '../membership/index.js'
import { PEER_TIMEOUT, peerFailure } from '../peer/client.js'
import type { Peers } from '../peer/client.js'
import type { ForwardedPart, HandedOverExecution, HandOver } from '../peer/request.js'
import type { HomeRecord, HomeTable, StreamPosition } from '../request/index.js'
import { decideContinuation, decideHandOver, splitIntoMessages, verdictForOutcome } from '../request/index.js'
import type { Execution } from './execution.js'
import { toAnswerPart, toForwardedPart } from './forwarded.js'
import type { Executions } from './submission.js'

/** Options of {@link handOverAll}. */
export interface HandOverOptions {
  readonly own: Incarnation
  readonly home: HomeTable
  readonly executions: Executions
  readonly peers: Peers
  /** Clients that open a new connection for each call, for use after a failure. */
  readonly freshPeers: Peers
  /** Nodes to which requests can be handed over, in order of preference. */
  readonly successors: () => readonly NodeRecord[]
  /**
   * Time of the clock at which this node ends. If undefined, it ends when all calls have ended. The deadline may be
   * brought forward during the hand-over.
   */
  readonly deadline: () => Milliseconds | undefined
  readonly clock: Clock
  readonly log: Log
  readonly signal: AbortSignal
}

/** Limits of one message. A peer accepts messages of four times this size. */
const MESSAGE_BOUNDS = { bytes: 4_194_304, items: 64 }

/** Estimated size of a request without its texts. */
const OVERHEAD_BYTES = 512

/** Estimated size of a character of text. */
const BYTES_PER_CHARACTER = 2

/** Maximum number of home records in one message of {@link handOverRemaining}. */
const MAX_RECORDS_PER_MESSAGE = 2_000

/** Maximum number of times that one message is sent to one successor. */
const MAX_SENDS = 3

/** Time before the deadline that is reserved for notifying a successor of the requests that cannot be moved. */
const DEADLINE_MARGIN: Milliseconds = SECOND / 2

/** Pause before requests that could not be moved are tried again. */
const RETRY_PERIOD: Milliseconds = 100

/**
 * Hands over all requests, each id once. Streams are moved immediately. A call in flight that cannot be moved may
 * finish until shortly before the deadline, and is then handed over with an unknown outcome. Requests that no successor
 * takes continue on this node until then.
 *
 * @example
 * await handOverAll({ ...options, deadline: () => undefined })
 */
export async function handOverAll (options: HandOverOptions): Promise<void> {
  const { home, executions, clock, signal } = options
  const records = new Map(home.beginHandOver()?.map((record) => [record.id, record]))
  const isOutOfTime = (): boolean => clock.now() >= (options.deadline() ?? Infinity) - DEADLINE_MARGIN
  while (!signal.aborted) {
    // Without a successor, the requests continue here until they end or the deadline is near.
    if (options.successors().length > 0) await handOverMovable(options, records)
    if (executions.open().length === 0 || isOutOfTime()) break
    await clock.sleep(RETRY_PERIOD, signal).catch(() => {})
  }
  await handOverRemaining(options, records)
  await abandonOpen(executions.open())
}

/**
 * Ends the executions that are still open.
 *
 * Failure guarded against: the process exits during a call, and the caller sees only a broken connection. Each caller
 * receives an answer that says that the call may have run.
 */
async function abandonOpen (open: readonly Execution[]): Promise<void> {
  for (const execution of open) execution.runController.abort('abandoned')
  await Promise.all(open.map((execution) => execution.running))
}

/**
 * Continues a request that another node has handed over.
 *
 * @example
 * for (const handed of handOver.executions) continueHandedOver(executions, handed, handOver.from)
 */
export function continueHandedOver (executions: Executions, handed: HandedOverExecution, from: Incarnation): void {
  const start = {
    request: handed.request,
    traceparent: handed.traceparent,
    tokens: handed.tokens,
    position: handed.position,
    accepted: handed.accepted,
    dispatched: handed.dispatched,
    age: handed.age,
    firstTokenAge: handed.firstTokenAge,
    recomputedTokens: handed.recomputedTokens
  }
  const end = handed.end && toAnswerEnd(handed.end)
  if (end !== undefined) return executions.retainEnded(start, end)
  const continuation = decideContinuation({ request: handed.request, dispatched: handed.dispatched, tokens: handed.tokens, position: handed.position })
  switch (continuation.kind) {
    case 'run':
    case 'restart':
      executions.takeOver({ ...start, position: undefined }, from)
      return
    case 'attach':
      executions.takeOver(start, from)
      return
    case 'give-up':
      executions.endWithUnknownOutcome(start, from)
  }
}

/** Hands over the streams and the requests that have not been dispatched. Successors can continue them at any time. */
async function handOverMovable (options: HandOverOptions, records: Map<RequestId, HomeRecord>): Promise<void> {
  const movable = options.executions.open().filter((execution) => records.has(execution.request.id) && isMovable(execution))
  for (const batch of splitIntoMessages(movable, estimateSize, MESSAGE_BOUNDS)) await handOverBatch(options, records, batch)
}

function isMovable (execution: Execution): boolean {
  const { request, attempt, dispatched } = execution
  const handle = attempt?.handle === '' ? undefined : attempt?.handle
  return decideHandOver({ request, dispatched: dispatched && attempt !== undefined, handle }) === 'move'
}

async function handOverBatch (options: HandOverOptions, records: Map<RequestId, HomeRecord>, batch: readonly Execution[]): Promise<void> {
  const { executions } = options
  const positions = new Map(batch.map((execution) => [execution, streamPositionOf(execution)]))
  await Promise.all(batch.map((execution) => executions.suspend(execution)))
  const frozen = batch.filter((execution) => execution.answer.end() === undefined)
  const handed = await Promise.all(frozen.map((execution) => toHandedExecution(options, execution, positions.get(execution))))
  const batchRecords = takeRecords(records, frozen.map((execution) => execution.request.id))
  const result = await sendToSuccessor(options, batchRecords, handed)
  // No successor has received these requests, so they can be handed over again.
  if (result.kind === 'nobody') for (const record of batchRecords) records.set(record.id, record)
  for (const execution of frozen) {
    if (result.kind === 'taken') executions.handedOver(execution, result.by)
    else executions.resume(execution, positions.get(execution))
  }
}

/**
 * Hands over the remaining records: ended requests, answers that callers are still reading, and calls whose outcome
 * will not be known in time.
 */
async function handOverRemaining (options: HandOverOptions, records: Map<RequestId, HomeRecord>): Promise<void> {
  const readable = new Map(options.executions.readable().map((execution) => [execution.request.id, execution]))
  const open = new Set(options.executions.open().map((execution) => execution.request.id))
  const remaining = [...records.values()].map((record) => withEnd(record, readable.get(record.id), open.has(record.id)))
  for (let start = 0; start < remaining.length && !options.signal.aborted; start += MAX_RECORDS_PER_MESSAGE) {
    const batch = remaining.slice(start, start + MAX_RECORDS_PER_MESSAGE)
    const answers = batch.flatMap((record) => readable.get(record.id) ?? [])
    const handed = await Promise.all(answers.map((execution) => toHandedExecution(options, execution, undefined)))
    await sendToSuccessor(options, batch, handed)
  }
}

/** Adds the outcome to a record that has none. The outcome of an open call is unknown. */
function withEnd (record: HomeRecord, ended: Execution | undefined, open: boolean): HomeRecord {
  if (record.ended !== undefined) return record
  if (open) return { ...record, ended: { outcome: { kind: 'unknown' }, verdict: 'may-have-run' } }
  const outcome = ended?.outcome ?? { kind: 'unknown' as const }
  const end = ended?.answer.end()
  return { ...record, ended: { outcome, verdict: end?.kind === 'failed' ? end.failure.verdict : verdictForOutcome(outcome) } }
}

/** Result of a hand-over message. After `doubtful`, a successor may have taken the requests. */
type SendResult = { kind: 'taken', by: Incarnation } | { kind: 'nobody' } | { kind: 'doubtful' }

/**
 * Sends requests to the first successor that takes them.
 *
 * Failure guarded against: the reply of a successor is lost, the same ids are sent to a second successor, and both run
 * the requests. Ids are assigned to one successor before the message is sent. They are assigned to another one only if
 * no byte of the message was written or if the first successor refused it.
 */
async function sendToSuccessor (options: HandOverOptions, records: readonly HomeRecord[], executions: readonly HandedOverExecution[]): Promise<SendResult> {
  const { home, log } = options
  for (const successor of options.successors()) {
    const assigned = new Set(home.assign(records.map((record) => record.id), successor.incarnation))
    if (assigned.size === 0) return { kind: 'doubtful' }
    const message = {
      from: options.own,
      records: records.filter((record) => assigned.has(record.id)),
      executions: executions.filter((handed) => assigned.has(handed.request.id))
    }
    switch (await sendTo(options, successor, message)) {
      case 'taken': return { kind: 'taken', by: successor.incarnation }
      case 'doubtful':
        log.warn('hand-over-doubtful', { successor: successor.incarnation, requests: assigned.size })
        return { kind: 'doubtful' }
      case 'refused': home.unassign([...assigned])
    }
  }
  return { kind: 'nobody' }
}

/** Sends a message to one successor, and repeats it on new connections while its outcome is unknown. */
async function sendTo (options: HandOverOptions, successor: NodeRecord, message: HandOver): Promise<'taken' | 'refused' | 'doubtful'> {
  let doubtful = false
  for (let attempt = 1; attempt <= MAX_SENDS && !options.signal.aborted; attempt += 1) {
    const peers = attempt === 1 ? options.peers : options.freshPeers
    try {
      const signal = createTimeoutSignal(PEER_TIMEOUT, options.signal)
      const { taken } = await peers.at(successor.peerAddress).request.handOver.mutate(message, { signal })
      if (taken) return 'taken'
      return doubtful ? 'doubtful' : 'refused'
    } catch (error) {
      const failure = peerFailure(error, successor.peerAddress)
      if (failure.verdict === 'not-run' && !doubtful) return 'refused'
      doubtful = true
    }
  }
  return doubtful ? 'doubtful' : 'refused'
}

async function toHandedExecution (options: HandOverOptions, execution: Execution, position: StreamPosition | undefined): Promise<HandedOverExecution> {
  const { request, answer, accepted, dispatched, recomputedTokens, traceparent, firstTokenAt } = execution
  const now = options.clock.now()
  const end = answer.end()
  const tokens = await readTokens(execution, options.signal)
  return {
    request,
    accepted,
    dispatched,
    recomputedTokens,
    tokens,
    age: now - execution.arrivedAt,
    ...(position === undefined ? {} : { position: { ...position, offset: tokens.length } }),
    ...(firstTokenAt === undefined ? {} : { firstTokenAge: now - firstTokenAt }),
    ...(traceparent === undefined ? {} : { traceparent }),
    ...(end === undefined ? {} : { end: toForwardedPart(end) })
  }
}

/** Reads the tokens that the answer has so far. */
async function readTokens (execution: Execution, signal: AbortSignal): Promise<string[]> {
  const count = execution.answer.offset()
  const tokens: string[] = []
  if (count === 0) return tokens
  for await (const part of execution.answer.read(0, signal)) {
    if (part.kind === 'token') tokens.push(part.token.text)
    if (tokens.length >= count) break
  }
  return tokens
}

/** Estimates the size of an execution in a message, in bytes. */
function estimateSize (execution: Execution): number {
  const { work } = execution.request
  const inputLength = work.kind === 'plain' ? work.call.body.length : work.body.messages.reduce((sum, message) => sum + message.content.length, 0)
  return OVERHEAD_BYTES + BYTES_PER_CHARACTER * (inputLength + execution.answer.text().length)
}

/** Returns the position in the upstream's stream, or undefined if there is no stream or its handle is not known yet. */
function streamPositionOf (execution: Execution): StreamPosition | undefined {
  const { attempt, answer } = execution
  if (attempt === undefined) return execution.position
  if (attempt.handle === '') return undefined
  return { upstream: attempt.upstream, handle: attempt.handle, offset: answer.offset() }
}

/** Removes the records of these ids and returns them. */
function takeRecords (records: Map<RequestId, HomeRecord>, ids: readonly RequestId[]): HomeRecord[] {
  return ids.flatMap((id) => {
    const record = records.get(id)
    records.delete(id)
    return record === undefined ? [] : [record]
  })
}

/** Returns the end of an answer, or undefined if the part does not end it. */
function toAnswerEnd (part: ForwardedPart) {
  switch (part.kind) {
    case 'finished':
    case 'plain':
    case 'failed':
    case 'moved': {
      const end = toAnswerPart(part)
      return end.kind === 'token' ? undefined : end
    }
    default: return undefined
  }
}
