/**
 * Inquiries between nodes on behalf of operators: this node's answers to peers, and queries to all nodes for one
 * operator request.
 */
import { createTimeoutSignal } from '../timeout-signal.js'
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
import { listKnownNodes } from './known-nodes.js'
import type { ExplainAnswer, NodeStatus, StatusAnswer } from './messages.js'

/** Dependencies of queries to all nodes. */
type InquiryContext = Omit<OperatorContext, 'settings'>

/** Dependencies of answers about this node only. */
type LocalContext = Omit<InquiryContext, 'peers' | 'signal' | 'keyValue'>

/** Maximum wait for one peer's answer. */
const ANSWER_TIMEOUT: Milliseconds = 2 * SECOND

/** Number of peers that are queried at the same time. */
const MAX_CONCURRENT_QUERIES = 16

/** Maximum number of other nodes that are queried if the request's home does not know its complete history. */
const MAX_QUERIED_NODES = 400

/**
 * Creates the handlers with which this node answers peers' inquiries.
 *
 * @example
 * const handlers = createInquiryHandlers(context)
 */
export function createInquiryHandlers (context: LocalContext): InquiryHandlers {
  const ownIncarnation = (): Incarnation => context.membership.own().incarnation
  return {
    explain: (id) => {
      const request = context.facts.explain(id)
      return { incarnation: ownIncarnation(), ...(request === undefined ? {} : { request: copyRequestFacts(request) }) }
    },
    state: () => localState(context),
    writeReport: () => context.reports.write()
  }
}

/**
 * Returns the state of every known node, including the configuration revision in force there. Nodes that do not answer
 * are listed with `answered: false`.
 *
 * @example
 * const { nodes } = await fleetStatus(context)
 */
export async function fleetStatus (context: InquiryContext): Promise<StatusAnswer> {
  const nodes = await queryNodes(context, await listKnownNodes(context), (peer, signal) => peer.inquiry.state.query(undefined, { signal }), () => localState(context))
  return {
    revision: context.configuration.revision(),
    nodes: nodes.map(({ record, answer }) => nodeStatus(record, answer))
  }
}

/**
 * Makes every known node write its report to the key-value service now.
 *
 * @returns nodes that did not confirm the write
 * @example
 * const missing = await writeAllReports(context)
 */
export async function writeAllReports (context: InquiryContext): Promise<NodeRecord[]> {
  const writePeerReport = async (peer: PeerClient, signal: AbortSignal): Promise<boolean> => {
    await peer.inquiry.writeReport.mutate(undefined, { signal })
    return true
  }
  const writeOwnReport = async (): Promise<boolean> => {
    await context.reports.write()
    return true
  }
  const answers = await queryNodes(context, await listKnownNodes(context), writePeerReport, writeOwnReport)
  return answers.filter(({ answer }) => answer === undefined).map(({ record }) => record)
}

/**
 * Collects the facts about one request from the nodes. The request's home is queried first. The other nodes, up to
 * MAX_QUERIED_NODES, are queried only if the home does not know the end of the request or the request was handed over.
 *
 * @throws ServingError `not-found` if none of the nodes that answer remembers the request
 * @example
 * const { facts } = await explainRequest(context, id)
 */
export async function explainRequest (context: InquiryContext, id: RequestId): Promise<ExplainAnswer> {
  const records = await listKnownNodes(context)
  const home = records.find((record) => record.incarnation === homeOf(id))
  const homeAnswers = await queryFacts(context, home === undefined ? [] : [home], id)
  const otherRecords = isCompleteHistory(homeAnswers) ? [] : records.filter((record) => record !== home).slice(0, MAX_QUERIED_NODES)
  const answers = [...homeAnswers, ...await queryFacts(context, otherRecords, id)]
  const knownRequests = answers.flatMap(({ answer }) => answer?.request ?? [])
  const silent = answers.filter(({ answer }) => answer === undefined).map(({ record }) => record.instance)
  const [key] = knownRequests.map((request) => request.key)
  if (key === undefined) throw new ServingError(notFoundMessage(answers.length, silent, home === undefined), { code: 'not-found', verdict: 'may-have-run' })
  return {
    id,
    organisation: key.organisation,
    class: key.class,
    facts: answers.flatMap(({ answer }) => describedFacts(answer)).sort((left, right) => left.at - right.at),
    dropped: knownRequests.reduce((sum, request) => sum + request.dropped, 0),
    home_lives: home !== undefined,
    asked: answers.length,
    silent
  }
}

/** Answer of one node to a query. */
interface NodeAnswer<T> {
  readonly record: NodeRecord
  /** Undefined if the query failed or timed out. */
  readonly answer: T | undefined
}

/**
 * Queries the nodes in batches of MAX_CONCURRENT_QUERIES. This node answers locally, without a network call. Failed queries
 * yield an undefined answer.
 */
async function queryNodes<T> (context: InquiryContext, records: readonly NodeRecord[], queryPeer: (peer: PeerClient, signal: AbortSignal) => Promise<T>, queryLocal: () => T | Promise<T>): Promise<NodeAnswer<T>[]> {
  const self = context.membership.own().incarnation
  const answers: NodeAnswer<T>[] = []
  for (let start = 0; start < records.length; start += MAX_CONCURRENT_QUERIES) {
    const batch = records.slice(start, start + MAX_CONCURRENT_QUERIES)
    answers.push(...await Promise.all(batch.map(async (record) => {
      const signal = createTimeoutSignal(ANSWER_TIMEOUT, context.signal)
      const pending = record.incarnation === self ? Promise.resolve(queryLocal()) : queryPeer(context.peers.at(record.peerAddress), signal)
      return { record, answer: await pending.catch(() => undefined) }
    })))
  }
  return answers
}

function queryFacts (context: InquiryContext, records: readonly NodeRecord[], id: RequestId): Promise<NodeAnswer<Explanation>[]> {
  const handlers = createInquiryHandlers(context)
  return queryNodes<Explanation>(context, records, (peer, signal) => peer.inquiry.explain.query({ id }, { signal }), () => handlers.explain(id))
}

/** Whether the answers contain the request's end and no hand-over to or from another node. */
function isCompleteHistory (answers: readonly NodeAnswer<Explanation>[]): boolean {
  const kinds = new Set(answers.flatMap(({ answer }) => answer?.request?.facts ?? []).map(({ fact }) => fact.kind))
  return (kinds.has('ended') || kinds.has('refused')) && !kinds.has('handed-over') && !kinds.has('taken-over')
}

function describedFacts (answer: Explanation | undefined): ExplainAnswer['facts'] {
  if (answer?.request === undefined) return []
  const { incarnation, request } = answer
  return request.facts.map(({ at, fact }) => ({ node: incarnation, at, fact, text: describeFact(fact) }))
}

function notFoundMessage (asked: number, silent: readonly string[], homeGone: boolean): string {
  const missing = silent.length === 0 ? '' : `; no answer from ${silent.join(', ')}`
  const home = homeGone ? '; the node that it belongs to is gone, and what only that node knew is lost' : ''
  return `none of ${asked} nodes remembers this request: it never came, or it is too long ago${missing}${home}`
}

function localState ({ membership, configuration, reports, executions, clock }: LocalContext): NodeState {
  const { confirmedAt } = reports.usage()
  return {
    incarnation: membership.own().incarnation,
    revision: configuration.revision(),
    usable: configuration.usable(clock.now()),
    ...(confirmedAt === undefined ? {} : { reportAge: clock.now() - confirmedAt }),
    open: executions.usage().open
  }
}

function nodeStatus (record: NodeRecord, state: NodeState | undefined): NodeStatus {
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

function copyRequestFacts (request: RequestFacts): NonNullable<Explanation['request']> {
  return { key: request.key, facts: [...request.facts], dropped: request.dropped }
}
