/** One line of a report: what a class, an organisation or both together got. */
import type { RequestClass } from '../configuration/index.js'
import type { ClassName, OrganisationName } from '../identifiers.js'
import type { LatencySummary, ReportLine, RequestSums, Share } from './document.js'
import { addLatencies, quantile, recordedCount } from './latency.js'
import type { Latencies, LatencyKind } from './latency.js'
import { addSums, sumsOf, zeroSums } from './sums.js'
import { addRefusals } from './tally.js'
import type { Cell } from './tally.js'

/** What a line is about, and what it has summed up so far. */
export interface OpenLine {
  readonly requestClass: RequestClass | undefined
  readonly class: ClassName | undefined
  readonly organisation: OrganisationName | undefined
  readonly sums: RequestSums
  readonly refusals: Map<string, number>
  readonly latencies: Latencies
  tokens: { generated: number, recomputed: number }
  /** Spend allocated to it; undefined while none is known. */
  cost: number | undefined
  add (cell: Cell): void
}

/** Quantile that is shown where no target names one. */
const DEFAULT_QUANTILE = 0.95

const MEDIAN = 0.5
const THOUSAND = 1_000

/**
 * @example
 * const line = createLine({ class: name, requestClass })
 * line.add(cell)
 */
export function createLine (about: { requestClass?: RequestClass | undefined, class?: ClassName, organisation?: OrganisationName }): OpenLine {
  const line: OpenLine = {
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
 * The line as it is reported.
 *
 * @example
 * const reported = finishLine(line)
 */
export function finishLine (line: OpenLine): ReportLine {
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
    reliability: share(answered, ended, target?.reliability),
    inTime: share(sums.served, answered, target?.quantile),
    ...latency(line, 'firstToken', target?.first_token_ms),
    ...latency(line, 'betweenTokens', target?.between_tokens_ms),
    ...latency(line, 'wholeAnswer', target?.whole_answer_ms),
    generatedTokens: tokens.generated,
    recomputedTokens: tokens.recomputed,
    ...(line.cost === undefined ? {} : costOf(line.cost, sums.served))
  }
}

function share (part: number, whole: number, target: number | undefined): Share {
  return {
    ...(whole > 0 ? { achieved: part / whole } : {}),
    ...(target === undefined ? {} : { target })
  }
}

function latency (line: OpenLine, kind: LatencyKind, target: number | undefined): { [kind in LatencyKind]?: LatencySummary } {
  const share = line.requestClass?.target.quantile ?? DEFAULT_QUANTILE
  const achieved = quantile(line.latencies, kind, share)
  const median = quantile(line.latencies, kind, MEDIAN)
  if (achieved === undefined || median === undefined) return {}
  const count = recordedCount(line.latencies, kind)
  return { [kind]: { count, median, quantile: share, achieved, ...(target === undefined ? {} : { target }) } }
}

function costOf (cost: number, inTime: number): Pick<ReportLine, 'cost' | 'costPerThousandInTime'> {
  return inTime === 0 ? { cost } : { cost, costPerThousandInTime: cost / inTime * THOUSAND }
}
