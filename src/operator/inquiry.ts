/** Questions that this node answers for peers, and asks of them for operators. */
import { createTimeoutSignal } from '../bound-signal.js'
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import { homeOf } from '../identifiers.js'
import type { Incarnation, RequestId } from '../identifiers.js'
import type { NodeRecord } from '../membership/index.js'
import type { PeerClient } from '../peer/client.js'
import type { Explanation, InquiryHandlers, NodeState } from '../peer/inquiry.js'
import { describeFact } from '../report/index.js'
import type { RequestFacts } from '../report/index.js'
import { ServingError } from '../verdict.js'
import type { OperatorContext } from './context.js'
import { knownNodes } from './known-nodes.js'
import type { ExplainAnswer, NodeStatus, StatusAnswer } from './messages.js'

type InquiryContext = Omit<OperatorContext, 'settings'>

/** What a node needs to answer about itself. */
type OwnContext = Omit<InquiryContext, 'peers' | 'signal' | 'keyValue'>

/** Bound on one peer's answer. */
const ANSWER_BOUND: Milliseconds = 2 * SECOND

/** Peers asked at a time. */
const CONCURRENT = 16

/** Nodes that are asked where the request's own nodes do not tell the whole story. */
const MOST_ASKED = 400

/**
 * What this node answers when a peer asks for an operator.
 *
 * @example
 * const handlers = createInquiryHandlers(context)
 */
export function createInquiryHandlers (context: OwnContext): InquiryHandlers {
  const own = (): Incarnation => context.membership.own().incarnation
  return {
    explain: (id) => {
      const request = context.facts.explain(id)
      return { incarnation: own(), ...(request === undefined ? {} : { request: copyOf(request) }) }
    },
    state: () => stateOf(context),
    writeReport: () => context.reports.write()
  }
}

/**
 * What is in force at every node. Nodes that do not answer are listed as such.
 *
 * @example
 * const { nodes } = await fleetStatus(context)
 */
export async function fleetStatus (context: InquiryContext): Promise<StatusAnswer> {
  const nodes = await askAll(context, await knownNodes(context), (peer, signal) => peer.inquiry.state.query(undefined, { signal }), () => stateOf(context))
  return {
    revision: context.configuration.revision(),
    nodes: nodes.map(({ record, answer }) => statusOf(record, answer))
  }
}

/**
 * Has every node write its report now.
 *
 * @returns nodes that did not confirm
 * @example
 * const missing = await writeAllReports(context)
 */
export async function writeAllReports (context: InquiryContext): Promise<NodeRecord[]> {
  const written = async (peer: PeerClient, signal: AbortSignal): Promise<boolean> => {
    await peer.inquiry.writeReport.mutate(undefined, { signal })
    return true
  }
  const own = async (): Promise<boolean> => {
    await context.reports.write()
    return true
  }
  const answers = await askAll(context, await knownNodes(context), written, own)
  return answers.filter(({ answer }) => answer === undefined).map(({ record }) => record)
}

/**
 * What happened to one request. Its home and the nodes that it was handed to are asked first; when
 * they cannot tell its end, all others are asked.
 *
 * @throws ServingError `not-found` when no node that answers remembers it
 * @example
 * const { facts } = await explainRequest(context, id)
 */
export async function explainRequest (context: InquiryContext, id: RequestId): Promise<ExplainAnswer> {
  const records = await knownNodes(context)
  const home = records.find((record) => record.incarnation === homeOf(id))
  const first = await askForFacts(context, home === undefined ? [] : [home], id)
  const rest = isWhole(first) ? [] : records.filter((record) => record !== home).slice(0, MOST_ASKED)
  const answers = [...first, ...await askForFacts(context, rest, id)]
  const known = answers.flatMap(({ answer }) => answer?.request ?? [])
  const silent = answers.filter(({ answer }) => answer === undefined).map(({ record }) => record.instance)
  const [key] = known.map((request) => request.key)
  if (key === undefined) throw new ServingError(notFound(answers.length, silent, home === undefined), { code: 'not-found', verdict: 'may-have-run' })
  return {
    id,
    organisation: key.organisation,
    class: key.class,
    facts: answers.flatMap(({ answer }) => factsIn(answer)).sort((left, right) => left.at - right.at),
    dropped: known.reduce((sum, request) => sum + request.dropped, 0),
    home_lives: home !== undefined,
    asked: answers.length,
    silent
  }
}

interface Answered<T> {
  readonly record: NodeRecord
  /** Undefined when the node did not answer in time. */
  readonly answer: T | undefined
}

async function askAll<T> (context: InquiryContext, records: readonly NodeRecord[], ask: (peer: PeerClient, signal: AbortSignal) => Promise<T>, own: () => T | Promise<T>): Promise<Answered<T>[]> {
  const self = context.membership.own().incarnation
  const answers: Answered<T>[] = []
  for (let start = 0; start < records.length; start += CONCURRENT) {
    const batch = records.slice(start, start + CONCURRENT)
    answers.push(...await Promise.all(batch.map(async (record) => {
      const signal = createTimeoutSignal(ANSWER_BOUND, context.signal)
      const asked = record.incarnation === self ? Promise.resolve(own()) : ask(context.peers.at(record.peerAddress), signal)
      return { record, answer: await asked.catch(() => undefined) }
    })))
  }
  return answers
}

function askForFacts (context: InquiryContext, records: readonly NodeRecord[], id: RequestId): Promise<Answered<Explanation>[]> {
  const handlers = createInquiryHandlers(context)
  return askAll<Explanation>(context, records, (peer, signal) => peer.inquiry.explain.query({ id }, { signal }), () => handlers.explain(id))
}

/** Whether the request's end is known and it was never anywhere else. */
function isWhole (answers: readonly Answered<Explanation>[]): boolean {
  const kinds = new Set(answers.flatMap(({ answer }) => answer?.request?.facts ?? []).map(({ fact }) => fact.kind))
  return (kinds.has('ended') || kinds.has('refused')) && !kinds.has('handed-over') && !kinds.has('taken-over')
}

function factsIn (answer: Explanation | undefined): ExplainAnswer['facts'] {
  if (answer?.request === undefined) return []
  const { incarnation, request } = answer
  return request.facts.map(({ at, fact }) => ({ node: incarnation, at, fact, text: describeFact(fact) }))
}

function notFound (asked: number, silent: readonly string[], homeGone: boolean): string {
  const missing = silent.length === 0 ? '' : `; no answer from ${silent.join(', ')}`
  const home = homeGone ? '; the node that it belongs to is gone, and what only that node knew is lost' : ''
  return `none of ${asked} nodes remembers this request: it never came, or it is too long ago${missing}${home}`
}

function stateOf ({ membership, configuration, reports, executions, clock }: OwnContext): NodeState {
  const { confirmedAt } = reports.usage()
  return {
    incarnation: membership.own().incarnation,
    revision: configuration.revision(),
    usable: configuration.usable(clock.now()),
    ...(confirmedAt === undefined ? {} : { reportAge: clock.now() - confirmedAt }),
    open: executions.usage().open
  }
}

function statusOf (record: NodeRecord, state: NodeState | undefined): NodeStatus {
  return {
    instance: record.instance,
    incarnation: record.incarnation,
    failure_domain: record.failureDomain,
    address: record.address,
    leaving: record.leaving,
    answered: state !== undefined,
    ...(state === undefined ? {} : { revision: state.revision, usable: state.usable, open: state.open }),
    ...(state?.reportAge === undefined ? {} : { report_age_ms: Math.round(state.reportAge) })
  }
}

function copyOf (request: RequestFacts): NonNullable<Explanation['request']> {
  return { key: request.key, facts: [...request.facts], dropped: request.dropped }
}
