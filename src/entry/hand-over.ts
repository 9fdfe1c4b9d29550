/** Gives the requests of a leaving node to its successors, and takes those of others. */
import { createTimeoutSignal } from '../bound-signal.js'
import type { Clock, Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { Incarnation, RequestId } from '../identifiers.js'
import type { Log } from '../log.js'
import type { NodeRecord } from '../membership/index.js'
import { PEER_TIMEOUT, peerFailure } from '../peer/client.js'
import type { Peers } from '../peer/client.js'
import type { ForwardedPart, HandedExecution, HandOver } from '../peer/request.js'
import type { HomeRecord, HomeTable, StreamPosition } from '../request/index.js'
import { decideContinuation, decideHandOver, splitIntoMessages, verdictForOutcome } from '../request/index.js'
import type { Execution } from './execution.js'
import { toAnswerPart, toPart } from './forwarded.js'
import type { Executions } from './submission.js'

/** What a hand-over needs. */
export interface HandOverOptions {
  readonly own: Incarnation
  readonly home: HomeTable
  readonly executions: Executions
  readonly peers: Peers
  /** Calls on connections of their own, for use after a failure. */
  readonly freshPeers: Peers
  /** Nodes that may take requests, best first. */
  readonly successors: () => readonly NodeRecord[]
  /** Time of the clock when this node ends; undefined: when all calls have ended. It may come closer. */
  readonly deadline: () => Milliseconds | undefined
  readonly clock: Clock
  readonly log: Log
  readonly signal: AbortSignal
}

/** Bounds of one message; a peer accepts four times as much. */
const BOUNDS = { bytes: 4_194_304, items: 64 }

/** Bytes of a request besides its texts. */
const OVERHEAD_BYTES = 512

const BYTES_PER_CHARACTER = 2

/** Ended ids in one message. */
const ENDED_BATCH = 2_000

/** Sends of one message to one successor. */
const MOST_SENDS = 3

/** Before the deadline, so that what cannot be moved is still told to a successor. */
const MARGIN: Milliseconds = SECOND / 2

/** Pause before what could not be moved is tried again. */
const POLL: Milliseconds = 100

/**
 * Hands over everything, each id once. Streams move at once; a call in flight that cannot be moved is
 * waited for, and told as unknown at the deadline. What no successor takes goes on here.
 *
 * @example
 * await handOverAll({ ...options, deadline: () => undefined })
 */
export async function handOverAll (options: HandOverOptions): Promise<void> {
  const { home, executions, clock, signal } = options
  const records = new Map(home.beginHandOver()?.map((record) => [record.id, record]))
  const isOver = (): boolean => clock.now() >= (options.deadline() ?? Infinity) - MARGIN
  while (!signal.aborted) {
    // Without a successor everything ends here, however long it takes.
    if (options.successors().length > 0) await moveStreams(options, records)
    if (executions.open().length === 0 || isOver()) break
    await clock.sleep(POLL, signal).catch(() => {})
  }
  await giveRest(options, records)
  await tellUnknown(executions.open())
}

/**
 * Failure guarded against: the process ends under a call, and its caller sees a connection that breaks.
 * It is told that the call may have run.
 */
async function tellUnknown (open: readonly Execution[]): Promise<void> {
  for (const execution of open) execution.owner.abort('abandoned')
  await Promise.all(open.map((execution) => execution.running))
}

/**
 * Goes on with a request of another node.
 *
 * @example
 * for (const handed of handOver.executions) continueHanded(executions, handed, handOver.from)
 */
export function continueHanded (executions: Executions, handed: HandedExecution, from: Incarnation): void {
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
  const end = handed.end && endOf(handed.end)
  if (end !== undefined) return executions.keepEnded(start, end)
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
      executions.giveUp(start, from)
  }
}

/** Streams, and requests that have not been dispatched, can go on elsewhere at any moment. */
async function moveStreams (options: HandOverOptions, records: Map<RequestId, HomeRecord>): Promise<void> {
  const movable = options.executions.open().filter((execution) => records.has(execution.request.id) && isMovable(execution))
  for (const batch of splitIntoMessages(movable, sizeOf, BOUNDS)) await moveBatch(options, records, batch)
}

function isMovable (execution: Execution): boolean {
  const { request, attempt, dispatched } = execution
  const handle = attempt?.handle === '' ? undefined : attempt?.handle
  return decideHandOver({ request, dispatched: dispatched && attempt !== undefined, handle }) === 'move'
}

async function moveBatch (options: HandOverOptions, records: Map<RequestId, HomeRecord>, batch: readonly Execution[]): Promise<void> {
  const { executions } = options
  const positions = new Map(batch.map((execution) => [execution, positionOf(execution)]))
  await Promise.all(batch.map((execution) => executions.freeze(execution)))
  const frozen = batch.filter((execution) => execution.answer.end() === undefined)
  const handed = await Promise.all(frozen.map((execution) => toHanded(options, execution, positions.get(execution))))
  const taken = take(records, frozen.map((execution) => execution.request.id))
  const result = await sendToSuccessor(options, taken, handed)
  // Nobody has them: they may be offered again.
  if (result.kind === 'nobody') for (const record of taken) records.set(record.id, record)
  for (const execution of frozen) {
    if (result.kind === 'taken') executions.handedOver(execution, result.by)
    else executions.thaw(execution, positions.get(execution))
  }
}

/** Ended ids, answers that are still being read, and calls whose outcome will not be known in time. */
async function giveRest (options: HandOverOptions, records: Map<RequestId, HomeRecord>): Promise<void> {
  const readable = new Map(options.executions.readable().map((execution) => [execution.request.id, execution]))
  const open = new Set(options.executions.open().map((execution) => execution.request.id))
  const rest = [...records.values()].map((record) => withEnd(record, readable.get(record.id), open.has(record.id)))
  for (let start = 0; start < rest.length && !options.signal.aborted; start += ENDED_BATCH) {
    const batch = rest.slice(start, start + ENDED_BATCH)
    const answers = batch.flatMap((record) => readable.get(record.id) ?? [])
    const handed = await Promise.all(answers.map((execution) => toHanded(options, execution, undefined)))
    await sendToSuccessor(options, batch, handed)
  }
}

function withEnd (record: HomeRecord, ended: Execution | undefined, open: boolean): HomeRecord {
  if (record.ended !== undefined) return record
  if (open) return { ...record, ended: { outcome: { kind: 'unknown' }, verdict: 'may-have-run' } }
  const outcome = ended?.outcome ?? { kind: 'unknown' as const }
  const end = ended?.answer.end()
  return { ...record, ended: { outcome, verdict: end?.kind === 'failed' ? end.failure.verdict : verdictForOutcome(outcome) } }
}

type Sent = { kind: 'taken', by: Incarnation } | { kind: 'nobody' } | { kind: 'doubtful' }

/**
 * Failure guarded against: the reply of a successor is lost, a second successor is sent the same ids, and
 * both run them. Ids are assigned to one successor before the message leaves, and go to another only
 * when no byte of it was written or the first one refused.
 */
async function sendToSuccessor (options: HandOverOptions, records: readonly HomeRecord[], executions: readonly HandedExecution[]): Promise<Sent> {
  const { home, log } = options
  for (const successor of options.successors()) {
    const free = new Set(home.assign(records.map((record) => record.id), successor.incarnation))
    if (free.size === 0) return { kind: 'doubtful' }
    const message = {
      from: options.own,
      records: records.filter((record) => free.has(record.id)),
      executions: executions.filter((handed) => free.has(handed.request.id))
    }
    switch (await sendTo(options, successor, message)) {
      case 'taken': return { kind: 'taken', by: successor.incarnation }
      case 'doubtful':
        log.warn('hand-over-doubtful', { successor: successor.incarnation, requests: free.size })
        return { kind: 'doubtful' }
      case 'refused': home.unassign([...free])
    }
  }
  return { kind: 'nobody' }
}

async function sendTo (options: HandOverOptions, successor: NodeRecord, message: HandOver): Promise<'taken' | 'refused' | 'doubtful'> {
  let doubtful = false
  for (let attempt = 1; attempt <= MOST_SENDS && !options.signal.aborted; attempt += 1) {
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

async function toHanded (options: HandOverOptions, execution: Execution, position: StreamPosition | undefined): Promise<HandedExecution> {
  const { request, answer, accepted, dispatched, recomputedTokens, traceparent, firstTokenAt } = execution
  const now = options.clock.now()
  const end = answer.end()
  const tokens = await tokensOf(execution, options.signal)
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
    ...(end === undefined ? {} : { end: toPart(end) })
  }
}

async function tokensOf (execution: Execution, signal: AbortSignal): Promise<string[]> {
  const count = execution.answer.offset()
  const tokens: string[] = []
  if (count === 0) return tokens
  for await (const part of execution.answer.read(0, signal)) {
    if (part.kind === 'token') tokens.push(part.token.text)
    if (tokens.length >= count) break
  }
  return tokens
}

function sizeOf (execution: Execution): number {
  const { work } = execution.request
  const asked = work.kind === 'plain' ? work.call.body.length : work.body.messages.reduce((sum, message) => sum + message.content.length, 0)
  return OVERHEAD_BYTES + BYTES_PER_CHARACTER * (asked + execution.answer.text().length)
}

function positionOf (execution: Execution): StreamPosition | undefined {
  const { attempt, answer } = execution
  if (attempt === undefined) return execution.position
  if (attempt.handle === '') return undefined
  return { upstream: attempt.upstream, handle: attempt.handle, offset: answer.offset() }
}

function take (records: Map<RequestId, HomeRecord>, ids: readonly RequestId[]): HomeRecord[] {
  return ids.flatMap((id) => {
    const record = records.get(id)
    records.delete(id)
    return record === undefined ? [] : [record]
  })
}

function endOf (part: ForwardedPart) {
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
