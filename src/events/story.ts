/**
 * The life of one request from the lines of all nodes: its own decisions, what its node believed meanwhile,
 * the decision that ended it, and what is missing.
 */
import type { Milliseconds } from '../clock.js'
import { SECOND } from '../clock.js'
import type { EventName } from './catalogue.js'
import type { LoggedLine } from './line.js'

/** One line of a story. */
export interface StoryEntry {
  readonly line: LoggedLine
  /** The request's own, or what its node came to believe. */
  readonly about: 'request' | 'belief'
  /** The decision that the end follows from. */
  readonly decisive: boolean
}

/** Lines that a process left out while the request was under way. */
export interface Gap {
  readonly process: string
  readonly at: Milliseconds
  readonly event: string
  readonly count: number
}

/** How the request ended, as far as lines tell. */
export type StoryEnd =
  | { readonly kind: 'served', readonly late: boolean }
  | { readonly kind: 'failed', readonly code: string, readonly verdict: string }
  /** Its process has started anew since: the request ended with the life before. */
  | { readonly kind: 'process-ended', readonly startedAgain: Milliseconds }
  | { readonly kind: 'not-told' }

/** A request's life. */
export interface Story {
  readonly id: string
  /** In the order of each process. */
  readonly entries: readonly StoryEntry[]
  readonly end: StoryEnd
  /** One sentence on why it ended so; undefined where the lines don't say. */
  readonly cause: string | undefined
  readonly gaps: readonly Gap[]
}

/** How long before a request what its node came to believe is still told. A reclaimed upstream is gone after some ten seconds. */
const BEFORE: Milliseconds = 15 * SECOND

/** After its end: a crash is known from the registry within three heartbeats. */
const AFTER: Milliseconds = 4 * SECOND

/** Around the lines of a request in which left-out lines may have been its own; they are counted by the second. */
const AROUND: Milliseconds = 2 * SECOND

/** Told in their latest state: they hold until the next such line. */
const STANDING: ReadonlySet<EventName> = new Set<EventName>(['configuration-in-force', 'shares-dealt', 'node-stopping', 'rollout-stage'])

/** Told while they are near in time. */
const DEPENDENCIES: ReadonlySet<EventName> = new Set<EventName>(['store-lost', 'store-regained', 'store-restored', 'requests-cut-off', 'rollout-stage', 'rollout-stopped'])

const UPSTREAM_EVENTS: ReadonlySet<EventName> = new Set<EventName>(['upstream-new', 'upstream-leaving', 'upstream-changed', 'upstream-gone', 'upstream-paused', 'upstream-doubtful', 'upstream-limit', 'upstream-says-leaving', 'upstream-asks-pause'])

/** Decisions that may end a request; sending it is none. */
const DECISIONS: ReadonlySet<EventName> = new Set<EventName>(['quota-refused', 'upstream-not-found', 'repeat-refused', 'move-unanswered', 'attempt-broken', 'send-not-run', 'answer-late'])

/**
 * @param lines of any number of processes, in any order
 * @returns undefined when no line names the request
 * @example
 * tellStory(lines, '05a10e9343c8f54a')?.cause
 */
export function tellStory (lines: readonly LoggedLine[], id: string): Story | undefined {
  const own = byProcess(lines.filter((line) => line.facts.request === id))
  const first = own[0]
  const last = own.at(-1)
  if (first === undefined || last === undefined) return undefined
  const end = endOf(lines, own, last)
  const decisive = decisiveOf(own, end)
  const beliefs = lines.filter((line) => isBelief(line, own, first, last))
  const entries = byProcess([...own, ...beliefs, ...standing(lines, first)]).map((line): StoryEntry => ({ line, about: line.facts.request === id ? 'request' : 'belief', decisive: line === decisive }))
  return { id, entries, end, cause: joined([causeOf(decisive, own, entries), trialOf(own)]), gaps: gapsOf(lines, own) }
}

function byProcess (lines: readonly LoggedLine[]): LoggedLine[] {
  return [...new Set(lines)].sort((left, right) => left.process === right.process ? left.time - right.time : left.process < right.process ? -1 : 1)
}

function isBelief (line: LoggedLine, own: readonly LoggedLine[], first: LoggedLine, last: LoggedLine): boolean {
  if (!own.some(({ process }) => process === line.process)) return false
  if (line.time < first.time - BEFORE || line.time > last.time + AFTER) return false
  if (DEPENDENCIES.has(line.event)) return true
  if (!UPSTREAM_EVENTS.has(line.event)) return false
  if (own.some(({ facts }) => facts.upstream === line.facts.upstream)) return true
  // Where none was found, each that went is a part of the reason.
  return own.some(({ event }) => event === 'upstream-not-found') && line.event !== 'upstream-new' && line.time <= last.time
}

/** The latest line of each kind that was in force at the start of the request. */
function standing (lines: readonly LoggedLine[], first: LoggedLine): LoggedLine[] {
  const latest = new Map<EventName, LoggedLine>()
  for (const line of lines) {
    if (line.process !== first.process || line.time > first.time || !STANDING.has(line.event)) continue
    const known = latest.get(line.event)
    if (known === undefined || known.time <= line.time) latest.set(line.event, line)
  }
  const started = lastStart(lines, first)
  return [...latest.values()].filter((line) => line.time >= started)
}

/** What an earlier life of the process believed says nothing of this one. */
function lastStart (lines: readonly LoggedLine[], first: LoggedLine): Milliseconds {
  return Math.max(-Infinity, ...lines.filter((line) => line.event === 'node-started' && line.process === first.process && line.time <= first.time).map(({ time }) => time))
}

function endOf (lines: readonly LoggedLine[], own: readonly LoggedLine[], last: LoggedLine): StoryEnd {
  const failed = own.find(({ event }) => event === 'request-failed')
  if (failed !== undefined) return { kind: 'failed', code: String(failed.facts.code), verdict: String(failed.facts.verdict) }
  if (own.some(({ event }) => event === 'request-served')) return { kind: 'served', late: own.some(({ event }) => event === 'answer-late') }
  const again = lines.find((line) => line.event === 'node-started' && line.process === last.process && line.time > last.time)
  return again === undefined ? { kind: 'not-told' } : { kind: 'process-ended', startedAgain: again.time }
}

function decisiveOf (own: readonly LoggedLine[], end: StoryEnd): LoggedLine | undefined {
  const decisions = own.filter(({ event }) => DECISIONS.has(event))
  switch (end.kind) {
    case 'failed': return decisions.at(-1) ?? own.find(({ event }) => event === 'request-failed')
    case 'served': return end.late ? own.find(({ event }) => event === 'answer-late') : undefined
    case 'process-ended':
    case 'not-told': return decisions.at(-1)
  }
}

function causeOf (decisive: LoggedLine | undefined, own: readonly LoggedLine[], entries: readonly StoryEntry[]): string | undefined {
  if (decisive === undefined) return undefined
  const { facts } = decisive
  switch (decisive.event) {
    case 'quota-refused': return `${facts.organisation} had used up its quota of ${facts.rate} a second; ${facts.offered} a second were asked of all ${facts.nodes} nodes.`
    case 'upstream-not-found': return notFoundCause(facts)
    case 'attempt-broken': return `Upstream ${facts.upstream} broke off after ${facts.events} events (${facts.reason})${fateOf(decisive, entries)}.`
    case 'send-not-run': return `Upstream ${facts.upstream} did not run it (${facts.reason})${fateOf(decisive, entries)}.`
    case 'repeat-refused': return `${repeatCause(decisive, own, entries)} It was not sent once more: ${facts.reason}.`
    case 'answer-late': return `The first answer took ${facts.waited} ms of ${facts.target}; requests/reading at each upstream were ${facts.loads}.`
    default: return facts.reason === undefined ? undefined : `${facts.reason}.`
  }
}

function notFoundCause ({ service, ready, tried, withheld, upstreamsAge }: LoggedLine['facts']): string {
  if (withheld !== undefined) return `All upstreams of ${service} had asked for fewer requests; the first takes one of this node again after ${withheld} ms.`
  return `Of ${ready} ready upstreams of ${service}, known as of ${upstreamsAge ?? '?'} ms before, ${tried} had been tried and none was left.`
}

/** A version that is rolled out may be why a request failed, or was late, that the versions before would have served. */
function trialOf (own: readonly LoggedLine[]): string | undefined {
  const tried = own.find(({ event, facts }) => event === 'request-sent' && facts.tries !== undefined)
  return tried && `Send ${tried.facts.send} tried version ${tried.facts.tries} of a roll-out, at ${tried.facts.upstream}.`
}

function joined (sentences: readonly (string | undefined)[]): string | undefined {
  const told = sentences.filter((sentence) => sentence !== undefined)
  return told.length === 0 ? undefined : told.join(' ')
}

/** The send before the decision not to repeat it. */
function repeatCause (decisive: LoggedLine, own: readonly LoggedLine[], entries: readonly StoryEntry[]): string {
  const before = own.filter((line) => line.time <= decisive.time && (line.event === 'attempt-broken' || line.event === 'send-not-run')).at(-1)
  return before === undefined ? '' : causeOf(before, own, entries) ?? ''
}

/** What became of the upstream of a line, where its node came to know. */
function fateOf (line: LoggedLine, entries: readonly StoryEntry[]): string {
  const fates = entries.filter((entry) => entry.about === 'belief' && entry.line.facts.upstream === line.facts.upstream && (entry.line.event === 'upstream-leaving' || entry.line.event === 'upstream-gone'))
  const fate = fates[0]?.line
  if (fate === undefined) return ''
  const distance = Math.abs(fate.time - line.time)
  const when = fate.time <= line.time ? `${distance} ms before` : `${distance} ms later`
  return fate.event === 'upstream-leaving' ? `; it was known to be leaving ${when}` : `; its record was gone ${when}`
}

function gapsOf (lines: readonly LoggedLine[], own: readonly LoggedLine[]): Gap[] {
  const gaps: Gap[] = []
  for (const line of lines) {
    if (line.event !== 'lines-left-out') continue
    if (!own.some((one) => one.process === line.process && Math.abs(one.time - line.time) <= AROUND)) continue
    for (const [event, count] of Object.entries(line.facts)) {
      if (typeof count === 'number') gaps.push({ process: line.process, at: line.time, event, count })
    }
  }
  return gaps
}
