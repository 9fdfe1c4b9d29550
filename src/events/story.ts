/**
 * Reconstructs the timeline of one request from the log lines of all nodes: the decisions on the request, the state
 * that its node observed, the decision that led to its end, and gaps in the logs.
 */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { EventName } from './catalogue.js'
import type { LoggedLine } from './line.js'

/** One entry of a timeline. */
export interface TimelineEntry {
  readonly line: LoggedLine
  /** Whether the line is about the request itself or about a state that its node observed. */
  readonly about: 'request' | 'belief'
  /** Whether the line is the decision that led to the end of the request. */
  readonly decisive: boolean
}

/** Log lines of one event that a process left out while the request was open. */
export interface LogGap {
  readonly process: string
  /** Wall time at which the process reported the gap. */
  readonly at: Milliseconds
  readonly event: string
  /** Number of lines that were left out. */
  readonly count: number
}

/** End of a request as far as the logs show it. */
export type TimelineEnd =
  | { readonly kind: 'served', readonly late: boolean }
  | { readonly kind: 'failed', readonly code: string, readonly verdict: string }
  /** The process restarted afterwards, so the request ended with the previous run of the process. */
  | { readonly kind: 'process-ended', readonly startedAgain: Milliseconds }
  /** The logs do not show the end. */
  | { readonly kind: 'not-told' }

/** Timeline of one request. */
export interface RequestTimeline {
  readonly id: string
  /** Grouped by process, and in the order of time within a process. */
  readonly entries: readonly TimelineEntry[]
  readonly end: TimelineEnd
  /** Explanation of the end in a few sentences. Undefined if the logs do not show the cause. */
  readonly cause: string | undefined
  /** Lines that may be missing in the timeline. */
  readonly gaps: readonly LogGap[]
}

/**
 * Time before the first line of a request in which observations of its node are included. A reclaimed upstream is gone
 * after about 10 s.
 */
const CONTEXT_BEFORE: Milliseconds = 15 * SECOND

/** Same after the last line of a request. A crashed upstream disappears from the registry within three heartbeats. */
const CONTEXT_AFTER: Milliseconds = 4 * SECOND

/**
 * Maximum distance between a line of a request and a gap that may contain lines of the request. Processes count the
 * lines that they leave out in windows of one second.
 */
const GAP_TOLERANCE: Milliseconds = 2 * SECOND

/** Events about a state that holds until the next line of the same event. The latest line is included. */
const STATE_EVENTS: ReadonlySet<EventName> = new Set<EventName>(['configuration-in-force', 'shares-dealt', 'node-stopping', 'rollout-stage'])

/** Events about the node and its dependencies, included if they are close to the request in time. */
const DEPENDENCY_EVENTS: ReadonlySet<EventName> = new Set<EventName>(['store-lost', 'store-regained', 'store-restored', 'requests-cut-off', 'rollout-stage', 'rollout-stopped'])

/** Events about one upstream, included if the upstream is relevant to the request. */
const UPSTREAM_EVENTS: ReadonlySet<EventName> = new Set<EventName>(['upstream-new', 'upstream-leaving', 'upstream-changed', 'upstream-gone', 'upstream-paused', 'upstream-slow', 'upstream-doubtful', 'upstream-limit', 'upstream-says-leaving', 'upstream-asks-pause'])

/** Decisions that may lead to the end of a request. Dispatching an attempt is not such a decision. */
const DECISION_EVENTS: ReadonlySet<EventName> = new Set<EventName>(['quota-refused', 'overload-refused', 'upstream-not-found', 'repeat-refused', 'move-unanswered', 'attempt-broken', 'send-not-run', 'answer-late'])

/**
 * Reconstructs the timeline of a request.
 *
 * @param lines log lines of any number of processes, in any order
 * @returns undefined if no line names the request
 * @example
 * reconstructTimeline(lines, '05a10e9343c8f54a')?.cause
 */
export function reconstructTimeline (lines: readonly LoggedLine[], id: string): RequestTimeline | undefined {
  const requestLines = sortByProcess(lines.filter((line) => line.facts.request === id))
  const first = requestLines[0]
  const last = requestLines.at(-1)
  if (first === undefined || last === undefined) return undefined
  const end = findEnd(lines, requestLines, last)
  const decisive = findDecisiveLine(requestLines, end)
  const observations = lines.filter((line) => isNodeObservation(line, requestLines, first, last))
  const entries = sortByProcess([...requestLines, ...observations, ...stateLines(lines, first)]).map((line): TimelineEntry => ({ line, about: line.facts.request === id ? 'request' : 'belief', decisive: line === decisive }))
  return { id, entries, end, cause: joinSentences([describeCause(decisive, requestLines, entries), describeRolloutAttempt(requestLines)]), gaps: findGaps(lines, requestLines) }
}

function sortByProcess (lines: readonly LoggedLine[]): LoggedLine[] {
  return [...new Set(lines)].sort((left, right) => left.process === right.process ? left.time - right.time : left.process < right.process ? -1 : 1)
}

/** Whether a line is an observation that may explain the end of the request. */
function isNodeObservation (line: LoggedLine, requestLines: readonly LoggedLine[], first: LoggedLine, last: LoggedLine): boolean {
  if (!requestLines.some(({ process }) => process === line.process)) return false
  if (line.time < first.time - CONTEXT_BEFORE || line.time > last.time + CONTEXT_AFTER) return false
  if (DEPENDENCY_EVENTS.has(line.event)) return true
  if (!UPSTREAM_EVENTS.has(line.event)) return false
  if (requestLines.some(({ facts }) => facts.upstream === line.facts.upstream)) return true
  // If no upstream was found, every upstream that became unavailable before is part of the cause.
  return requestLines.some(({ event }) => event === 'upstream-not-found') && line.event !== 'upstream-new' && line.time <= last.time
}

/** The latest line of each state event before the request, from the same run of the process. */
function stateLines (lines: readonly LoggedLine[], first: LoggedLine): LoggedLine[] {
  const latest = new Map<EventName, LoggedLine>()
  for (const line of lines) {
    if (line.process !== first.process || line.time > first.time || !STATE_EVENTS.has(line.event)) continue
    const known = latest.get(line.event)
    if (known === undefined || known.time <= line.time) latest.set(line.event, line)
  }
  const started = lastStart(lines, first)
  return [...latest.values()].filter((line) => line.time >= started)
}

/** Time of the last start of the process before the request. State from an earlier run of the process does not apply. */
function lastStart (lines: readonly LoggedLine[], first: LoggedLine): Milliseconds {
  return Math.max(-Infinity, ...lines.filter((line) => line.event === 'node-started' && line.process === first.process && line.time <= first.time).map(({ time }) => time))
}

function findEnd (lines: readonly LoggedLine[], requestLines: readonly LoggedLine[], last: LoggedLine): TimelineEnd {
  const failed = requestLines.find(({ event }) => event === 'request-failed')
  if (failed !== undefined) return { kind: 'failed', code: String(failed.facts.code), verdict: String(failed.facts.verdict) }
  if (requestLines.some(({ event }) => event === 'request-served')) return { kind: 'served', late: requestLines.some(({ event }) => event === 'answer-late') }
  const restart = lines.find((line) => line.event === 'node-started' && line.process === last.process && line.time > last.time)
  return restart === undefined ? { kind: 'not-told' } : { kind: 'process-ended', startedAgain: restart.time }
}

/** Finds the decision that led to the end. */
function findDecisiveLine (requestLines: readonly LoggedLine[], end: TimelineEnd): LoggedLine | undefined {
  const decisions = requestLines.filter(({ event }) => DECISION_EVENTS.has(event))
  switch (end.kind) {
    case 'failed': return decisions.at(-1) ?? requestLines.find(({ event }) => event === 'request-failed')
    case 'served': return end.late ? requestLines.find(({ event }) => event === 'answer-late') : undefined
    case 'process-ended':
    case 'not-told': return decisions.at(-1)
  }
}

function describeCause (decisive: LoggedLine | undefined, requestLines: readonly LoggedLine[], entries: readonly TimelineEntry[]): string | undefined {
  if (decisive === undefined) return undefined
  const { facts } = decisive
  switch (decisive.event) {
    case 'quota-refused': return `${facts.organisation} had used up its quota of ${facts.rate} a second; ${facts.offered} a second were asked of all ${facts.nodes} nodes.`
    case 'overload-refused': return describeOverload(facts)
    case 'upstream-not-found': return describeNotFound(facts)
    case 'attempt-broken': return `Upstream ${facts.upstream} broke off after ${facts.events} events (${facts.reason})${describeUpstreamEnd(decisive, entries)}.`
    case 'send-not-run': return `Upstream ${facts.upstream} did not run it (${facts.reason})${describeUpstreamEnd(decisive, entries)}.`
    case 'repeat-refused': return `${describeLastFailure(decisive, requestLines, entries)} It was not sent once more: ${facts.reason}.`
    case 'answer-late': return `The first answer took ${facts.waited} ms of ${facts.target}; requests/reading at each upstream were ${facts.loads}.`
    default: return facts.reason === undefined ? undefined : `${facts.reason}.`
  }
}

function describeOverload ({ service, cause, backlog, left, queued }: LoggedLine['facts']): string {
  if (cause === 'full') return `The node had no room for more waiting requests; ${queued} waited for ${service}.`
  return `An upstream of ${service} was expected to begin it after ${backlog} ms, with ${left} ms left to its limit; ${queued} requests waited for the service.`
}

function describeNotFound ({ service, ready, tried, withheld, upstreamsAge }: LoggedLine['facts']): string {
  if (withheld !== undefined) return `All upstreams of ${service} had asked for fewer requests; the first takes one of this node again after ${withheld} ms.`
  return `Of ${ready} ready upstreams of ${service}, known as of ${upstreamsAge ?? '?'} ms before, ${tried} had been tried and none was left.`
}

/**
 * Names the roll-out version that an attempt went to. The new version may be the cause of a failure or delay that the
 * earlier versions would not have had.
 */
function describeRolloutAttempt (requestLines: readonly LoggedLine[]): string | undefined {
  const tried = requestLines.find(({ event, facts }) => event === 'request-sent' && facts.tries !== undefined)
  return tried && `Send ${tried.facts.send} tried version ${tried.facts.tries} of a roll-out, at ${tried.facts.upstream}.`
}

function joinSentences (sentences: readonly (string | undefined)[]): string | undefined {
  const present = sentences.filter((sentence) => sentence !== undefined)
  return present.length === 0 ? undefined : present.join(' ')
}

/** Cause of the failed attempt before the decision not to retry. */
function describeLastFailure (decisive: LoggedLine, requestLines: readonly LoggedLine[], entries: readonly TimelineEntry[]): string {
  const before = requestLines.filter((line) => line.time <= decisive.time && (line.event === 'attempt-broken' || line.event === 'send-not-run')).at(-1)
  return before === undefined ? '' : describeCause(before, requestLines, entries) ?? ''
}

/** End of the upstream that a line names, if its node observed the end. */
function describeUpstreamEnd (line: LoggedLine, entries: readonly TimelineEntry[]): string {
  const departures = entries.filter((entry) => entry.about === 'belief' && entry.line.facts.upstream === line.facts.upstream && (entry.line.event === 'upstream-leaving' || entry.line.event === 'upstream-gone'))
  const departure = departures[0]?.line
  if (departure === undefined) return ''
  const distance = Math.abs(departure.time - line.time)
  const when = departure.time <= line.time ? `${distance} ms before` : `${distance} ms later`
  return departure.event === 'upstream-leaving' ? `; it was known to be leaving ${when}` : `; its record was gone ${when}`
}

function findGaps (lines: readonly LoggedLine[], requestLines: readonly LoggedLine[]): LogGap[] {
  const gaps: LogGap[] = []
  for (const line of lines) {
    if (line.event !== 'lines-left-out') continue
    if (!requestLines.some((requestLine) => requestLine.process === line.process && Math.abs(requestLine.time - line.time) <= GAP_TOLERANCE)) continue
    for (const [event, count] of Object.entries(line.facts)) {
      if (typeof count === 'number') gaps.push({ process: line.process, at: line.time, event, count })
    }
  }
  return gaps
}
