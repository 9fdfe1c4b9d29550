/** Lines of a report: the results of one class, one organisation, or one combination of both. */
import type { RequestClass } from '../configuration/index.js'
import type { ClassName, OrganisationName } from '../identifiers.js'
import type { LatencySummary, ReportLine, RequestSums, Share } from './document.js'
import { addLatencies, quantile, recordedCount } from './latency.js'
import type { Latencies, LatencyKind } from './latency.js'
import { addSums, sumsOf, zeroSums } from './sums.js'
import { addRefusals } from './tally.js'
import type { Cell } from './tally.js'

/** Builder of a report line. It accumulates the counts of cells. */
export interface LineBuilder {
  readonly requestClass: RequestClass | undefined
  readonly class: ClassName | undefined
  readonly organisation: OrganisationName | undefined
  readonly sums: RequestSums
  readonly refusals: Map<string, number>
  readonly latencies: Latencies
  tokens: { generated: number, recomputed: number }
  /** Allocated spend. Undefined if no spend was allocated. */
  cost: number | undefined
  /** Adds the counts of a cell. Latencies are added only if the line belongs to a class. */
  add (cell: Cell): void
}

/** Quantile that is reported if the class has no target. */
const DEFAULT_QUANTILE = 0.95

const MEDIAN = 0.5
const THOUSAND = 1_000

/**
 * Creates a builder without any counts.
 *
 * @param about class and organisation of the line. Missing ones are summed over.
 * @example
 * const line = createLineBuilder({ class: name, requestClass })
 * line.add(cell)
 */
export function createLineBuilder (about: { requestClass?: RequestClass | undefined, class?: ClassName, organisation?: OrganisationName }): LineBuilder {
  const line: LineBuilder = {
    requestClass: about.requestClass,
    class: about.class,
    organisation: about.organisation,
    sums: zeroSums(),
    refusals: new Map(),
    latencies: {},
    tokens: { generated: 0, recomputed: 0 },
    cost: undefined,
    add: (cell) => {
      addSums(line.sums, sumsOf(cell.counts))
      for (const [code, count] of cell.refusals) addRefusals(line.refusals, code, count)
      if (line.class !== undefined) addLatencies(line.latencies, cell.latencies)
      line.tokens = {
        generated: line.tokens.generated + cell.counts.generatedTokens,
        recomputed: line.tokens.recomputed + cell.counts.recomputedTokens
      }
    }
  }
  return line
}

/**
 * Builds the line of the report document.
 *
 * @example
 * const reportLine = buildLine(line)
 */
export function buildLine (line: LineBuilder): ReportLine {
  const { sums, requestClass, tokens } = line
  const target = requestClass?.target
  const answered = sums.served + sums.late
  const ended = sums.asked - sums.open
  return {
    ...(line.class === undefined ? {} : { class: line.class }),
    ...(line.organisation === undefined ? {} : { organisation: line.organisation }),
    ...(requestClass === undefined ? {} : { service: requestClass.service }),
    sums,
    refusals: Object.fromEntries([...line.refusals].filter(([, count]) => count !== 0)),
    reliability: achievedShare(answered, ended, target?.reliability),
    inTime: achievedShare(sums.served, answered, target?.quantile),
    ...latencySummary(line, 'firstToken', target?.first_token_ms),
    ...latencySummary(line, 'betweenTokens', target?.between_tokens_ms),
    ...latencySummary(line, 'wholeAnswer', target?.whole_answer_ms),
    generatedTokens: tokens.generated,
    recomputedTokens: tokens.recomputed,
    ...(line.cost === undefined ? {} : costOf(line.cost, sums.served))
  }
}

function achievedShare (part: number, whole: number, target: number | undefined): Share {
  return {
    ...(whole > 0 ? { achieved: part / whole } : {}),
    ...(target === undefined ? {} : { target })
  }
}

function latencySummary (line: LineBuilder, kind: LatencyKind, target: number | undefined): { [kind in LatencyKind]?: LatencySummary } {
  const targetQuantile = line.requestClass?.target.quantile ?? DEFAULT_QUANTILE
  const achieved = quantile(line.latencies, kind, targetQuantile)
  const median = quantile(line.latencies, kind, MEDIAN)
  if (achieved === undefined || median === undefined) return {}
  const count = recordedCount(line.latencies, kind)
  return { [kind]: { count, median, quantile: targetQuantile, achieved, ...(target === undefined ? {} : { target }) } }
}

function costOf (cost: number, inTime: number): Pick<ReportLine, 'cost' | 'costPerThousandInTime'> {
  return inTime === 0 ? { cost } : { cost, costPerThousandInTime: cost / inTime * THOUSAND }
}
