/** Compares what a report says with what callers saw and with what the plain services ran. */
import type { ReportDocument, RequestSums } from '../src/report/index.js'
import type { CallerRecord, Sight } from './callers.js'
import { groupRecords } from './callers.js'
import type { BookingLedger } from './plain-service.js'

/** What one class and organisation's callers saw. */
export interface SeenSums {
  readonly sent: number
  readonly answered: number
  /** Told that it was not run. */
  readonly refused: number
  /** Told that it may have run, or that it ran without its answer. */
  readonly uncertain: number
  /** Answers that are not the whole answer to the request. */
  readonly wrong: number
}

/**
 * Sums of what callers saw.
 *
 * @example
 * seenSums(records).answered
 */
export function seenSums (records: readonly CallerRecord[]): SeenSums {
  const count = (matches: (sight: Sight) => boolean): number => records.filter((record) => matches(record.sight)).length
  return {
    sent: records.length,
    answered: count((sight) => sight.kind === 'answered'),
    refused: count((sight) => sight.kind === 'failed' && sight.verdict === 'not-run'),
    uncertain: count((sight) => sight.kind === 'failed' && sight.verdict !== 'not-run'),
    wrong: count((sight) => sight.kind === 'wrong')
  }
}

/**
 * Everything in which report, callers and the plain services' ledger do not agree.
 *
 * A caller's client sends again what was refused or lost, so that the report may count more refusals
 * and losses than callers saw; it must never count fewer, and answers must agree exactly.
 *
 * @returns one sentence for each disagreement; none when they agree
 * @example
 * const problems = disagreements(document, records, platform.ledger)
 */
export function disagreements (document: ReportDocument, records: readonly CallerRecord[], ledger: BookingLedger): string[] {
  const groups = groupRecords(records)
  const known = new Set(groups.map((group) => `${group.class}/${group.organisation}`))
  const unexpected = document.lines.filter((line) => !known.has(`${line.class}/${line.organisation}`))
  return [
    ...groups.flatMap((group) => {
      const line = document.lines.find((candidate) => candidate.class === group.class && candidate.organisation === group.organisation)
      const name = `${group.class} of ${group.organisation}`
      return line === undefined ? [`${name}: the report has no line`] : lineProblems(name, line.sums, seenSums(group.records))
    }),
    ...unexpected.map((line) => `${line.class} of ${line.organisation}: the report has a line, nobody sent any`),
    ...totalProblems(document),
    ...records.flatMap((record) => orderProblems(record, ledger))
  ]
}

function lineProblems (name: string, sums: RequestSums, seen: SeenSums): string[] {
  const problems: string[] = []
  const answered = sums.served + sums.late
  if (answered !== seen.answered) problems.push(`${name}: the report says ${answered} answered, callers saw ${seen.answered}`)
  if (sums.refused < seen.refused) problems.push(`${name}: the report says ${sums.refused} refused, callers saw ${seen.refused}`)
  if (sums.lost + sums.unknown < seen.uncertain) problems.push(`${name}: the report says ${sums.lost + sums.unknown} lost or unknown, callers saw ${seen.uncertain}`)
  if (sums.open !== 0) problems.push(`${name}: the report says ${sums.open} open, all have ended`)
  if (seen.wrong !== 0) problems.push(`${name}: callers got ${seen.wrong} wrong answers`)
  return problems
}

/** A report that does not add up in itself proves nothing. */
function totalProblems ({ total, lines }: ReportDocument): string[] {
  const { asked, served, late, refused, lost, unknown, open } = total.sums
  const ended = served + late + refused + lost + unknown + open
  const asLines = lines.reduce((sum, line) => sum + line.sums.asked, 0)
  return [
    ...(ended === asked ? [] : [`total: ${asked} asked, but ${ended} accounted for`]),
    ...(asLines === asked ? [] : [`total: ${asked} asked, but the lines have ${asLines}`])
  ]
}

/** Orders are the requests whose body has a reference; the ledger counts their runs. */
function orderProblems (record: CallerRecord, ledger: BookingLedger): string[] {
  const reference = referenceOf(record)
  if (reference === undefined) return []
  const runs = ledger.runs(reference)
  const { sight } = record
  if (runs > 1) return [`${reference}: ran ${runs} times`]
  if (sight.kind === 'answered' && runs === 0) return [`${reference}: its caller was told that it ran, it did not`]
  if (sight.kind === 'failed' && sight.verdict === 'not-run' && runs !== 0) return [`${reference}: its caller was told that it did not run, it did`]
  return []
}

function referenceOf ({ request }: CallerRecord): string | undefined {
  const reference = 'call' in request ? (request.call.body as { reference?: unknown } | undefined)?.reference : undefined
  return typeof reference === 'string' ? reference : undefined
}
