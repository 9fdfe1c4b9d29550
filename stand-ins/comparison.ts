/** Compares a report with the outcomes that callers saw and with the orders that plain services ran. */
import type { ReportDocument, RequestSums } from '../src/report/index.js'
import type { CallerRecord, CallerOutcome } from './callers.js'
import { groupRecords } from './callers.js'
import type { BookingLedger } from './plain-service.js'

/** Numbers of requests by the outcome that callers saw. */
export interface OutcomeSums {
  readonly sent: number
  readonly answered: number
  /** Failed with the verdict `not-run`. */
  readonly refused: number
  /** Failed with a verdict that it ran or may have run. */
  readonly uncertain: number
  /** Answered with an incomplete or foreign answer. */
  readonly wrong: number
}

/**
 * Counts the outcomes of requests.
 *
 * @example
 * sumOutcomes(records).answered
 */
export function sumOutcomes (records: readonly CallerRecord[]): OutcomeSums {
  const count = (matches: (outcome: CallerOutcome) => boolean): number => records.filter((record) => matches(record.outcome)).length
  return {
    sent: records.length,
    answered: count((outcome) => outcome.kind === 'answered'),
    refused: count((outcome) => outcome.kind === 'failed' && outcome.verdict === 'not-run'),
    uncertain: count((outcome) => outcome.kind === 'failed' && outcome.verdict !== 'not-run'),
    wrong: count((outcome) => outcome.kind === 'wrong')
  }
}

/**
 * Finds all disagreements between a report, its callers and the ledger of the plain services.
 *
 * A client sends refused and lost requests again. The report may therefore count more refusals and losses
 * than callers saw, but never fewer. The numbers of answers must be equal.
 *
 * @returns a sentence for each disagreement
 * @example
 * const problems = findDisagreements(document, records, platform.ledger)
 */
export function findDisagreements (document: ReportDocument, records: readonly CallerRecord[], ledger: BookingLedger): string[] {
  const groups = groupRecords(records)
  const known = new Set(groups.map((group) => `${group.class}/${group.organisation}`))
  const unexpected = document.lines.filter((line) => !known.has(`${line.class}/${line.organisation}`))
  return [
    ...groups.flatMap((group) => {
      const line = document.lines.find((candidate) => candidate.class === group.class && candidate.organisation === group.organisation)
      const name = `${group.class} of ${group.organisation}`
      return line === undefined ? [`${name}: the report has no line`] : lineProblems(name, line.sums, sumOutcomes(group.records))
    }),
    ...unexpected.map((line) => `${line.class} of ${line.organisation}: the report has a line, nobody sent any`),
    ...totalProblems(document),
    ...records.flatMap((record) => orderProblems(record, ledger))
  ]
}

function lineProblems (name: string, sums: RequestSums, observed: OutcomeSums): string[] {
  const problems: string[] = []
  const answered = sums.served + sums.late
  if (answered !== observed.answered) problems.push(`${name}: the report says ${answered} answered, callers saw ${observed.answered}`)
  if (sums.refused < observed.refused) problems.push(`${name}: the report says ${sums.refused} refused, callers saw ${observed.refused}`)
  if (sums.lost + sums.unknown < observed.uncertain) problems.push(`${name}: the report says ${sums.lost + sums.unknown} lost or unknown, callers saw ${observed.uncertain}`)
  if (sums.open !== 0) problems.push(`${name}: the report says ${sums.open} open, all have ended`)
  if (observed.wrong !== 0) problems.push(`${name}: callers got ${observed.wrong} wrong answers`)
  return problems
}

/** Checks that the report's total is consistent with its outcomes and its lines. */
function totalProblems ({ total, lines }: ReportDocument): string[] {
  const { asked, served, late, refused, lost, unknown, open } = total.sums
  const ended = served + late + refused + lost + unknown + open
  const askedInLines = lines.reduce((sum, line) => sum + line.sums.asked, 0)
  return [
    ...(ended === asked ? [] : [`total: ${asked} asked, but ${ended} accounted for`]),
    ...(askedInLines === asked ? [] : [`total: ${asked} asked, but the lines have ${askedInLines}`])
  ]
}

/** Compares an order's outcome with the ledger. An order is a request whose body has a reference. */
function orderProblems (record: CallerRecord, ledger: BookingLedger): string[] {
  const reference = referenceOf(record)
  if (reference === undefined) return []
  const runs = ledger.runs(reference)
  const { outcome } = record
  if (runs > 1) return [`${reference}: ran ${runs} times`]
  if (outcome.kind === 'answered' && runs === 0) return [`${reference}: its caller was told that it ran, it did not`]
  if (outcome.kind === 'failed' && outcome.verdict === 'not-run' && runs !== 0) return [`${reference}: its caller was told that it did not run, it did`]
  return []
}

function referenceOf ({ request }: CallerRecord): string | undefined {
  const reference = 'call' in request ? (request.call.body as { reference?: unknown } | undefined)?.reference : undefined
  return typeof reference === 'string' ? reference : undefined
}
