/** Summary of a report in sentences, so that readers need not infer the conclusions from the figures. */
import type { LatencySummary, ReportDocument, ReportGap, ReportLine, RequestSums } from './document.js'
import { sumsAgree } from './sums.js'
import { countText, durationText, moneyText, percentText, refusalText, requestsText, timeText } from './wording.js'

const THOUSAND = 1_000

/** Options of {@link statementsOf}. */
export interface StatementOptions {
  /** Whether sentences name the nodes. Reports for organisations mention gaps but no instances. */
  readonly namesNodes: boolean
}

/**
 * Summarises a report in sentences.
 *
 * @param document complete report, except for its statements
 * @example
 * const sentences = statementsOf(document)
 */
export function statementsOf (document: ReportDocument, options: StatementOptions = { namesNodes: true }): string[] {
  return [
    totalStatement(document),
    agreementStatement(document),
    ...document.classes.flatMap(classStatements),
    ...deploymentStatements(document),
    ...completenessStatements(document, options)
  ]
}

/**
 * Whether a latency target was met.
 *
 * @returns undefined if nothing was measured or no target is set
 * @example
 * meetsTarget(line.firstToken) // true
 */
export function meetsTarget (latency: LatencySummary | undefined): boolean | undefined {
  if (latency?.target === undefined) return undefined
  return latency.achieved <= latency.target
}

function totalStatement ({ total, from, to }: ReportDocument): string {
  const range = `From ${timeText(from)} to ${timeText(to)}`
  if (total.sums.asked === 0) return `${range}, no request was counted.`
  return `${range}, ${requestsText(total.sums.asked)} came in: ${sumsText(total.sums)}.`
}

function sumsText (sums: RequestSums): string {
  const parts = [
    `${countText(sums.served)} served within target`,
    `${countText(sums.late)} served late`,
    `${countText(sums.refused)} refused (not run)`,
    `${countText(sums.lost)} lost`,
    `${countText(sums.unknown)} with unknown outcome`,
    `${countText(sums.open)} still open`
  ]
  return parts.join(', ')
}

function agreementStatement ({ total, classes, lines, organisations }: ReportDocument): string {
  const inconsistent = [total, ...classes, ...lines, ...organisations].filter((line) => !sumsAgree(line.sums))
  if (inconsistent.length === 0) return 'The sums agree for every class and organisation: accepted + refused = served + late + refused + lost + unknown + open.'
  return `THE SUMS DO NOT AGREE in ${inconsistent.length} lines; this report must not be relied on.`
}

function classStatements (line: ReportLine): string[] {
  return [answerStatement(line), ...inTimeStatements(line), ...reliabilityStatements(line), ...refusalStatements(line), ...lossStatements(line)]
}

function answerStatement (line: ReportLine): string {
  const measured = [
    latencyText('the first token', line.firstToken),
    latencyText('the time between tokens', line.betweenTokens),
    latencyText('the whole answer', line.wholeAnswer)
  ].filter((text) => text !== undefined)
  if (measured.length === 0) return `${line.class}: no answer was completed.`
  return `${line.class}: ${measured.join('; ')}.`
}

function latencyText (what: string, latency: LatencySummary | undefined): string | undefined {
  if (latency === undefined) return undefined
  const achieved = `${what} took at most ${durationText(latency.achieved)} for ${percentText(latency.quantile)} of ${countText(latency.count)} ${latency.count === 1 ? 'answer' : 'answers'}`
  if (latency.target === undefined) return `${achieved}, no target`
  return `${achieved}, target ${durationText(latency.target)} ${latency.achieved <= latency.target ? 'met' : 'MISSED'}`
}

function inTimeStatements ({ class: name, inTime, sums }: ReportLine): string[] {
  const { achieved, target } = inTime
  if (achieved === undefined || target === undefined) return []
  const answers = sums.served + sums.late
  return [`${name}: ${percentText(achieved)} of ${countText(answers)} ${answers === 1 ? 'answer' : 'answers'} came within all targeted times, target ${percentText(target)} ${achieved >= target ? 'met' : 'MISSED'}.`]
}

function reliabilityStatements ({ class: name, reliability, sums }: ReportLine): string[] {
  const { achieved, target } = reliability
  if (achieved === undefined || target === undefined) return []
  const verdict = achieved >= target ? 'met' : 'MISSED'
  return [`${name}: ${percentText(achieved)} of the ${requestsText(sums.asked - sums.open)} that ended were answered, target ${percentText(target)} ${verdict}.`]
}

function refusalStatements ({ class: name, refusals }: ReportLine): string[] {
  const reasons = Object.entries(refusals).sort(([, left], [, right]) => right - left)
  if (reasons.length === 0) return []
  return [`${name}: refused because ${reasons.map(([code, count]) => `${refusalText(code)} (${countText(count)})`).join(', ')}. None of these was run.`]
}

function lossStatements ({ class: name, sums }: ReportLine): string[] {
  const statements: string[] = []
  if (sums.lost > 0) statements.push(`${name}: ${requestsText(sums.lost)} accepted and not answered; the callers were told so.`)
  if (sums.unknown > 0) statements.push(`${name}: for ${requestsText(sums.unknown)} nobody can tell whether the work was done; check these by hand before doing it again.`)
  if (sums.unreported > 0) statements.push(`${name}: ${requestsText(sums.unreported)} accepted at nodes that died before reporting it; known from the nodes that took over.`)
  return statements
}

function deploymentStatements (document: ReportDocument): string[] {
  const { targets, total, spend } = document
  const statements: string[] = []
  if (spend !== undefined) statements.push(costStatement(document, spend))
  if (total.generatedTokens > 0) {
    const achieved = total.recomputedTokens / total.generatedTokens * THOUSAND
    const target = targets === undefined ? '' : `, target ${targets.recomputedPerThousandTokens} ${achieved <= targets.recomputedPerThousandTokens ? 'met' : 'MISSED'}`
    statements.push(`${countText(total.recomputedTokens)} tokens were computed again for ${countText(total.generatedTokens)} generated: ${achieved.toFixed(1)} for each 1,000${target}.`)
  }
  return statements
}

function costStatement ({ total, targets, spendUnallocated }: ReportDocument, spend: number): string {
  const costPerThousand = total.costPerThousandInTime
  const target = targets === undefined || costPerThousand === undefined ? '' : `, target ${moneyText(targets.costPerThousandAnswers)} ${costPerThousand <= targets.costPerThousandAnswers ? 'met' : 'MISSED'}`
  const unit = costPerThousand === undefined ? '' : `: ${moneyText(costPerThousand)} for each 1,000 answers within target${target}`
  const idle = spendUnallocated === undefined || spendUnallocated === 0 ? '' : `; ${moneyText(spendUnallocated)} of it for services that answered nothing`
  return `Instances cost ${moneyText(spend)}${unit}${idle}.`
}

function completenessStatements (document: ReportDocument, options: StatementOptions): string[] {
  const { from, madeAt, keptFrom, countedUntil, nodesCounting, gaps, overdue, latencyOmitted } = document
  const statements = gaps.map((gap) => gapStatement(gap, options))
  for (const gap of overdue) statements.push(`${nodeText(gap, options)} is overdue: it last reported at ${timeText(gap.from)}. What it counted since then is not in these figures.`)
  if (nodesCounting > 0 && countedUntil < madeAt) statements.push(`Running nodes report now and then; everything up to ${timeText(countedUntil)} is counted, later requests in part.`)
  if (from < keptFrom) statements.push(`Totals are kept from ${timeText(keptFrom)} on; what was counted before that is deleted and missing here.`)
  if (latencyOmitted.length > 0) statements.push(`Latencies of ${latencyOmitted.length} nodes are missing in part, since their reports were too large; the counts are whole.`)
  if (gaps.length === 0 && overdue.length === 0) statements.push('No node went missing without a last report in this time.')
  return statements
}

function gapStatement (gap: ReportGap, options: StatementOptions): string {
  return `GAP: ${nodeText(gap, options)} went missing without a last report. What it counted between ${timeText(gap.from)} and ${timeText(gap.to)} is unknown and in none of these figures, unless another node took it over.${notedText(gap)}`
}

function notedText ({ noted }: ReportGap): string {
  if (noted.length === 0) return ''
  const parts = noted.map((counts) => `${counts.class} of ${counts.organisation}: ${countText(counts.resumed)} followed on by another node, ${countText(counts.lost)} lost, ${countText(counts.unknown)} unknown`)
  return ` Notes at another node tell of requests open there at its end: ${parts.join('; ')}.`
}

function nodeText (gap: ReportGap, options: StatementOptions): string {
  return options.namesNodes ? `node ${gap.instance} (${gap.incarnation})` : 'one node'
}
