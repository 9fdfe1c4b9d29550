/** Formats a report as a text table for a terminal, and as comma-separated values (RFC 4180). */
import { countText, durationText, moneyText, percentText } from '../../report/index.js'
import type { LatencySummary, ReportDocument, ReportLine, Share } from '../../report/index.js'
import { alignColumns } from './output.js'

/** Column headings of the text table. */
const HEADINGS = ['class', 'organisation', 'asked', 'served', 'late', 'refused', 'lost', 'unknown', 'open', 'answered', 'first token', 'between tokens', 'whole answer', 'recomputed tokens', 'cost']

/** Column headings of the CSV output. */
const CSV_HEADINGS = [
  'from', 'to', 'class', 'organisation', 'asked', 'accepted', 'served', 'late', 'refused', 'lost', 'unknown', 'open', 'unreported',
  'reliability', 'reliability_target', 'in_time', 'quantile',
  'first_token_ms', 'first_token_target_ms', 'between_tokens_ms', 'between_tokens_target_ms', 'whole_answer_ms', 'whole_answer_target_ms',
  'generated_tokens', 'recomputed_tokens', 'cost', 'cost_per_thousand_in_time'
]

/** Characters that require a CSV cell to be quoted. */
const QUOTED_CHARACTERS = /[",\r\n]/
const CSV_LINE_END = '\r\n'

/**
 * Formats a report as a text table, followed by its statements.
 *
 * @example
 * output.out(reportTable(document))
 */
export function reportTable (document: ReportDocument): string {
  const table = alignColumns(HEADINGS, tableRows(document))
  const note = 'Durations: the target\'s quantile achieved / the target; ! marks a missed target.'
  return [table, note, '', ...document.statements.map((statement) => `- ${statement}`), ''].join('\n')
}

/**
 * Formats a report as CSV with one line per combination of class and organisation. Sums over several lines are not
 * included, because the reader's tool can calculate them.
 *
 * @example
 * output.out(reportCsv(document))
 */
export function reportCsv (document: ReportDocument): string {
  const range = [new Date(document.from).toISOString(), new Date(document.to).toISOString()]
  const rows = document.lines.map((line) => [...range, ...csvCells(line)])
  return [CSV_HEADINGS, ...rows].map((row) => row.map(csvCell).join(',') + CSV_LINE_END).join('')
}

/** Returns each class followed by its organisations, then the organisations over all classes, then the total. */
function tableRows (document: ReportDocument): string[][] {
  const rows = document.classes.flatMap((line) => {
    const organisationLines = document.lines.filter((part) => part.class === line.class)
    return [tableRow(line, line.class ?? '', 'all'), ...organisationLines.map((part) => tableRow(part, '', part.organisation ?? ''))]
  })
  const organisations = document.organisations.map((line, index) => tableRow(line, index === 0 ? 'all classes' : '', line.organisation ?? ''))
  return [...rows, ...organisations, tableRow(document.total, 'all', 'all')]
}

function tableRow (line: ReportLine, name: string, organisation: string): string[] {
  const { sums } = line
  const counts = [sums.asked, sums.served, sums.late, sums.refused, sums.lost, sums.unknown, sums.open].map(countText)
  return [
    name, organisation, ...counts,
    shareCell(line.reliability),
    latencyCell(line.firstToken), latencyCell(line.betweenTokens), latencyCell(line.wholeAnswer),
    countText(line.recomputedTokens),
    line.cost === undefined ? '-' : moneyText(line.cost)
  ]
}

function shareCell ({ achieved, target }: Share): string {
  if (achieved === undefined) return '-'
  return target !== undefined && achieved < target ? `${percentText(achieved)} !` : percentText(achieved)
}

function latencyCell (latency: LatencySummary | undefined): string {
  if (latency === undefined) return '-'
  if (latency.target === undefined) return durationText(latency.achieved)
  const missed = latency.achieved > latency.target ? ' !' : ''
  return `${durationText(latency.achieved)} / ${durationText(latency.target)}${missed}`
}

function csvCells (line: ReportLine): (string | number | undefined)[] {
  const { sums, reliability, inTime } = line
  return [
    line.class, line.organisation, sums.asked, sums.accepted, sums.served, sums.late, sums.refused, sums.lost, sums.unknown, sums.open, sums.unreported,
    reliability.achieved, reliability.target, inTime.achieved, line.wholeAnswer?.quantile,
    line.firstToken?.achieved, line.firstToken?.target, line.betweenTokens?.achieved, line.betweenTokens?.target, line.wholeAnswer?.achieved, line.wholeAnswer?.target,
    line.generatedTokens, line.recomputedTokens, line.cost, line.costPerThousandInTime
  ]
}

function csvCell (cell: string | number | undefined): string {
  const text = cell === undefined ? '' : String(cell)
  return QUOTED_CHARACTERS.test(text) ? `"${text.replaceAll('"', '""')}"` : text
}
