/** A report as text for a terminal, and as comma-separated values (RFC 4180). */
import { countText, durationText, moneyText, percentText } from '../../report/index.js'
import type { LatencySummary, ReportDocument, ReportLine, Share } from '../../report/index.js'
import { alignColumns } from './output.js'

const HEADS = ['class', 'organisation', 'asked', 'served', 'late', 'refused', 'lost', 'unknown', 'open', 'answered', 'first token', 'between tokens', 'whole answer', 'recomputed tokens', 'cost']

const CSV_HEADS = [
  'from', 'to', 'class', 'organisation', 'asked', 'accepted', 'served', 'late', 'refused', 'lost', 'unknown', 'open', 'unreported',
  'reliability', 'reliability_target', 'in_time', 'quantile',
  'first_token_ms', 'first_token_target_ms', 'between_tokens_ms', 'between_tokens_target_ms', 'whole_answer_ms', 'whole_answer_target_ms',
  'generated_tokens', 'recomputed_tokens', 'cost', 'cost_per_thousand_in_time'
]

const NEEDS_QUOTES = /[",\r\n]/
const CSV_LINE_END = '\r\n'

/**
 * @example
 * output.out(reportTable(document))
 */
export function reportTable (document: ReportDocument): string {
  const table = alignColumns(HEADS, tableRows(document))
  const note = 'Durations: the target\'s quantile achieved / the target; ! marks a missed target.'
  return [table, note, '', ...document.statements.map((statement) => `- ${statement}`), ''].join('\n')
}

/**
 * One line for each class and organisation together; sums over them are left to the reader's tool.
 *
 * @example
 * output.out(reportCsv(document))
 */
export function reportCsv (document: ReportDocument): string {
  const range = [new Date(document.from).toISOString(), new Date(document.to).toISOString()]
  const rows = document.lines.map((line) => [...range, ...csvCells(line)])
  return [CSV_HEADS, ...rows].map((row) => row.map(csvCell).join(',') + CSV_LINE_END).join('')
}

/** Each class with its organisations below it, then the organisations over all classes, then the whole. */
function tableRows (document: ReportDocument): string[][] {
  const rows = document.classes.flatMap((line) => {
    const parts = document.lines.filter((part) => part.class === line.class)
    return [tableRow(line, line.class ?? '', 'all'), ...parts.map((part) => tableRow(part, '', part.organisation ?? ''))]
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
  return NEEDS_QUOTES.test(text) ? `"${text.replaceAll('"', '""')}"` : text
}
