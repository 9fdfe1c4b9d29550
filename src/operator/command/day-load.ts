/** Formats the load of a day as text tables. */
import type { LoadCounts, LoadPart, LoadSummary } from '../../events/index.js'
import { countText } from '../../report/index.js'
import { clockText } from './log-lines.js'
import { alignColumns } from './output.js'

/** Groups of the load, each of which is a table. */
export const LOAD_GROUPS = ['class', 'organisation', 'size', 'upstream', 'quota', 'queue'] as const
export type LoadGroup = typeof LOAD_GROUPS[number]

interface LoadTable {
  readonly title: string
  readonly headings: readonly string[]
  /** Rows of one span. */
  readonly rows: (part: LoadPart) => string[][]
}

const COUNT_HEADINGS = ['requests', 'in time', 'late', 'refused', 'failed', 'left']
const CODE_HEADING = 'codes'

/** Text of a number that is not known. */
const UNKNOWN = '-'

const TABLES: Readonly<Record<LoadGroup, readonly LoadTable[]>> = {
  class: [countsTable('class', (part) => part.classes)],
  organisation: [countsTable('organisation', (part) => part.organisations)],
  size: [countsTable('size of the prompt', (part) => part.sizes)],
  upstream: [
    { title: 'In flight, over the upstreams of a service', headings: ['service', 'upstreams', 'minimum', 'median', 'maximum'], rows: inFlightRows },
    { title: 'By upstream', headings: ['upstream', ...COUNT_HEADINGS, 'not run', 'broken', 'in flight', 'first answer 0.5', 'first answer 0.9', CODE_HEADING], rows: upstreamRows }
  ],
  quota: [{ title: 'Refused by quotas', headings: ['organisation', 'cause', 'requests'], rows: ({ quotaRefused }) => Object.entries(quotaRefused).flatMap(([name, causes]) => Object.entries(causes).map(([cause, count]) => [name, cause, countText(count)])) }],
  queue: [{ title: 'Began to wait', headings: ['class', 'requests'], rows: ({ queued }) => Object.entries(queued).map(([name, count]) => [name, countText(count)]) }]
}

/**
 * Formats the load. Each table begins with the rows of the whole day.
 *
 * @param totalsOnly leaves out the rows of the spans
 * @example
 * output.out(loadText(load.summary(), ['upstream'], false))
 */
export function loadText (summary: LoadSummary, groups: readonly LoadGroup[], totalsOnly: boolean): string {
  const tables = groups.flatMap((group) => TABLES[group]).flatMap(({ title, headings, rows }) => {
    const totals = rows(summary.total).map((row) => ['all', ...row])
    const spans = totalsOnly ? [] : summary.parts.flatMap((part) => rows(part).map((row) => [clockText(part.from), ...row]))
    return totals.length === 0 ? [] : [`${title}, parts of ${summary.step / 1_000} s\n${alignColumns(['time', ...headings], [...totals, ...spans])}`]
  })
  return tables.join('\n')
}

/**
 * Says how far the lines are complete.
 *
 * @example
 * for (const note of sourceNotes(summary)) output.note(note)
 */
export function sourceNotes ({ source }: LoadSummary): string[] {
  const leftOut = Object.entries(source.leftOut).map(([event, count]) => `${countText(count)} of ${event}`)
  return [
    `${countText(source.requests)} requests, by the lines of their ends; the sums of ${countText(source.processes.length)} nodes count ${countText(source.requestsSummed)}.`,
    ...(leftOut.length === 0 ? [] : [`Lines left out to bound the volume: ${leftOut.join(', ')}.`]),
    ...(source.unreadable === 0 ? [] : [`${countText(source.unreadable)} of ${countText(source.lines)} lines were not understood: cut off, of other programs, or of newer nodes.`]),
    ...(source.withoutLate === 0 ? [] : [`${countText(source.withoutLate)} answers of older nodes don't state whether they were late; taken from answer-late.`]),
    ...(source.unendedAttempts === 0 ? [] : [`${countText(source.unendedAttempts)} attempts without a line of their end don't count as in flight.`])
  ]
}

function countsTable (name: string, read: (part: LoadPart) => Readonly<Record<string, LoadCounts>>): LoadTable {
  return {
    title: `By ${name}`,
    headings: [name, ...COUNT_HEADINGS, CODE_HEADING],
    rows: (part) => Object.entries(read(part)).map(([key, counts]) => [key, ...countCells(counts), codesText(counts)])
  }
}

function inFlightRows ({ inFlight }: LoadPart): string[][] {
  return Object.entries(inFlight).map(([service, { upstreams, minimum, median, maximum }]) => [service, countText(upstreams), ...[minimum, median, maximum].map(tenthsText)])
}

function upstreamRows ({ upstreams }: LoadPart): string[][] {
  return Object.entries(upstreams).map(([name, load]) => [
    name, ...countCells(load), countText(load.attemptsNotRun), countText(load.attemptsBroken),
    load.inFlight === undefined ? UNKNOWN : tenthsText(load.inFlight),
    ...[load.firstAnswer?.median, load.firstAnswer?.quantile90].map((time) => time === undefined ? UNKNOWN : `${countText(time)} ms`),
    codesText(load)
  ])
}

function countCells ({ requests, inTime, late, refused, failed, left }: LoadCounts): string[] {
  return [requests, inTime, late, sumOf(refused), sumOf(failed), left].map(countText)
}

function codesText ({ refused, failed }: LoadCounts): string {
  const texts = Object.entries({ refused, failed }).map(([outcome, codes]) => [outcome, Object.entries(codes).map(([code, count]) => `${code} ${countText(count)}`).join(', ')])
  return texts.filter(([, codes]) => codes !== '').map(([outcome, codes]) => `${outcome}: ${codes}`).join('; ')
}

function sumOf (numbers: Readonly<Record<string, number>>): number {
  return Object.values(numbers).reduce((sum, number) => sum + number, 0)
}

function tenthsText (value: number): string {
  return value.toFixed(1)
}
