/**
 * Builds a report from the snapshots of the nodes and the totals of folded epochs. If an epoch is part of a total, its
 * snapshot is ignored. Callers must read the snapshots before the totals: an epoch that is folded and deleted between
 * the two reads is then found in both, and is counted once. In the opposite order it would be missed.
 */
import type { Milliseconds } from '../clock.js'
import type { Configuration, RequestClass } from '../configuration/index.js'
import { findClass } from '../configuration/index.js'
import type { ClassName, Incarnation, OrganisationName } from '../identifiers.js'
import type { PeriodLine, ReportDocument, ReportGap, ReportLine } from './document.js'
import { allocateSpend } from './cost.js'
import { sumDeathRecords } from './death.js'
import type { DeathRecord } from './death.js'
import { buildLine, createLineBuilder } from './line.js'
import type { LineBuilder } from './line.js'
import type { Spend } from './ledger.js'
import { isClosed, snapshotName } from './snapshot.js'
import type { Snapshot } from './snapshot.js'
import { statementsOf } from './statements.js'
import { addSums, sumsOf, zeroSums } from './sums.js'
import { addEncodedCells, createTally, PERIOD, periodOf } from './tally.js'
import type { Cell, EncodedCell } from './tally.js'
import { cellsOf, COMMON_PART, gapOf } from './total.js'
import type { Gap, RevokedGap, Total } from './total.js'

/** Scope of a report. */
export interface ReportScope {
  /** Wall times, rounded outwards to whole periods. */
  readonly from: Milliseconds
  readonly to: Milliseconds
  /** Wall time now. */
  readonly now: Milliseconds
  /** Wall time from which on totals are retained. */
  readonly keptFrom: Milliseconds
  readonly configuration: Configuration | undefined
  /** Restricts the report to this organisation. */
  readonly organisation?: OrganisationName | undefined
}

/** Builder of a report. */
export interface ReportSummary {
  /** Adds a total. All totals must be added before the first snapshot, so that folded epochs are recognised. */
  addTotal (total: Total): void
  addSnapshot (snapshot: Snapshot): void
  finish (): ReportDocument
}

/**
 * Creates a builder for one report.
 *
 * @example
 * const summary = createReportSummary(scope)
 * for (const total of totals) summary.addTotal(total)
 * for (const snapshot of snapshots) summary.addSnapshot(snapshot)
 * const document = summary.finish()
 */
export function createReportSummary (scope: ReportScope): ReportSummary {
  const from = periodOf(scope.from)
  const to = periodOf(scope.to - 1) + PERIOD
  const tally = createTally()
  const folded = new Map<string, ReadonlySet<string>>()
  const gaps: Gap[] = []
  const returns: RevokedGap[] = []
  const deaths: DeathRecord[] = []
  const overdue: ReportGap[] = []
  const latencyOmitted: Snapshot['incarnation'][] = []
  const spend: Spend[] = []
  let countedUntil = scope.now
  let nodesCounting = 0

  function inScope (cell: EncodedCell): boolean {
    if (cell.period < from || cell.period >= to) return false
    return scope.organisation === undefined || cell.organisation === scope.organisation
  }

  function concernsScope (record: DeathRecord): boolean {
    return scope.organisation === undefined || record.organisation === scope.organisation
  }

  function isFolded (period: Milliseconds, part: string, snapshot: Snapshot): boolean {
    return folded.get(`${period}/${part}`)?.has(snapshotName(snapshot)) ?? false
  }

  function addCounting (snapshot: Snapshot): void {
    nodesCounting += 1
    countedUntil = Math.min(countedUntil, snapshot.writtenAt)
    const { incarnation, instance, writtenAt, nextWithin } = snapshot
    if (writtenAt + nextWithin < scope.now) overdue.push({ incarnation, instance, from: writtenAt, to: scope.now, noted: [] })
  }

  function addCommon (snapshot: Snapshot): void {
    spend.push(...snapshot.spend.filter((item) => !isFolded(item.period, COMMON_PART, snapshot)))
    deaths.push(...snapshot.deaths.filter((record) => !isFolded(record.period, COMMON_PART, snapshot)))
    if (snapshot.returned !== undefined) returns.push({ incarnation: snapshot.incarnation, epoch: snapshot.returned.epoch })
    const gap = gapOf(snapshot)
    if (gap !== undefined && !isFolded(periodOf(snapshot.writtenAt), COMMON_PART, snapshot)) gaps.push(gap)
    if (snapshot.latencyOmitted) latencyOmitted.push(snapshot.incarnation)
  }

  return {
    addTotal: (total) => {
      folded.set(`${total.period}/${total.part}`, new Set(total.folded.map((epoch) => epoch.name)))
      addEncodedCells(tally, total.cells.filter(inScope))
      gaps.push(...total.gaps)
      returns.push(...total.returns)
      deaths.push(...total.deaths)
      spend.push(...total.spend)
      latencyOmitted.push(...total.latencyOmitted)
    },
    addSnapshot: (snapshot) => {
      addEncodedCells(tally, cellsOf(snapshot).filter((cell) => inScope(cell) && !isFolded(cell.period, cell.class, snapshot)))
      addCommon(snapshot)
      if (!isClosed(snapshot.state)) addCounting(snapshot)
    },
    finish: () => buildDocument(scope, {
      from,
      to,
      countedUntil,
      nodesCounting,
      cells: [...tally.cells()],
      gaps: confirmedGaps(gaps, returns, deaths.filter(concernsScope)).filter((gap) => gap.to > from && gap.from < to),
      overdue,
      latencyOmitted: [...new Set(latencyOmitted)],
      spend: spend.filter((item) => item.period >= from && item.period < to)
    })
  }
}

/** Data gathered for a report document. */
interface ReportParts extends Pick<ReportDocument, 'from' | 'to' | 'countedUntil' | 'nodesCounting' | 'gaps' | 'overdue' | 'latencyOmitted'> {
  readonly cells: readonly Cell[]
  readonly spend: readonly Spend[]
}

function buildDocument (scope: ReportScope, reportParts: ReportParts): ReportDocument {
  const { configuration } = scope
  const { cells, spend, ...rest } = reportParts
  const lines = groupCells(cells, (cell) => `${cell.key.class}/${cell.key.organisation}`, (cell) => createLineBuilder({ requestClass: classOf(configuration, cell), class: cell.key.class, organisation: cell.key.organisation }))
  const classes = groupCells(cells, (cell) => cell.key.class, (cell) => createLineBuilder({ requestClass: classOf(configuration, cell), class: cell.key.class }))
  const organisations = groupCells(cells, (cell) => cell.key.organisation, (cell) => createLineBuilder({ organisation: cell.key.organisation }))
  const total = groupCells(cells, () => '', () => createLineBuilder({}))
  const withCost = scope.organisation === undefined && spend.length > 0
  const cost = withCost ? allocateSpend(spend, { lines, classes, organisations, total }) : undefined
  const document: ReportDocument = {
    format: 1,
    deployment: configuration?.deployment.name ?? 'unknown',
    madeAt: scope.now,
    keptFrom: scope.keptFrom,
    ...rest,
    total: buildLine(total[0] ?? createLineBuilder({})),
    classes: buildLines(classes),
    organisations: buildLines(organisations),
    lines: buildLines(lines),
    periods: periodLines(cells),
    ...targetsOf(configuration),
    ...cost,
    statements: []
  }
  return { ...document, statements: statementsOf(document) }
}

function groupCells (cells: readonly Cell[], nameOf: (cell: Cell) => string, create: (cell: Cell) => LineBuilder): LineBuilder[] {
  const lines = new Map<string, LineBuilder>()
  for (const cell of cells) {
    const name = nameOf(cell)
    const line = lines.get(name) ?? create(cell)
    lines.set(name, line)
    line.add(cell)
  }
  return [...lines.entries()].sort(([left], [right]) => left < right ? -1 : 1).map(([, line]) => line)
}

function buildLines (lines: readonly LineBuilder[]): ReportLine[] {
  return lines.map(buildLine)
}

function periodLines (cells: readonly Cell[]): PeriodLine[] {
  const lines = new Map<string, PeriodLine>()
  for (const cell of cells) {
    const name = `${cell.key.period}/${cell.key.class}`
    const line = lines.get(name) ?? { period: cell.key.period, class: cell.key.class, sums: zeroSums() }
    lines.set(name, line)
    addSums(line.sums, sumsOf(cell.counts))
  }
  return [...lines.values()].sort((left, right) => left.period - right.period || (left.class < right.class ? -1 : 1))
}

/** Omits the gaps of nodes that turned out to be alive, since these reported the counts later. */
function confirmedGaps (gaps: readonly Gap[], returns: readonly RevokedGap[], deaths: readonly DeathRecord[]): ReportGap[] {
  const returned = new Set(returns.map(snapshotName))
  return gaps
    .filter((gap) => !returned.has(snapshotName(gap)))
    .map(({ incarnation, instance, from, to }) => ({ incarnation, instance, from, to, noted: deathRecordsOfNode(incarnation, deaths) }))
    .sort((left, right) => left.from - right.from)
}

function deathRecordsOfNode (incarnation: Incarnation, deaths: readonly DeathRecord[]): ReportGap['noted'] {
  const own = deaths.filter((record) => record.incarnation === incarnation).map((one) => ({ ...one, period: 0 }))
  return sumDeathRecords(own).map(({ class: name, organisation, resumed, lost, unknown }) => ({ class: name, organisation, resumed, lost, unknown }))
}

function classOf (configuration: Configuration | undefined, cell: Cell): RequestClass | undefined {
  return configuration && findClass(configuration, cell.key.class as ClassName)
}

function targetsOf (configuration: Configuration | undefined): Pick<ReportDocument, 'targets'> {
  if (configuration === undefined) return {}
  const { cost_per_thousand_answers: cost, recomputed_per_thousand_tokens: recomputed } = configuration.deployment.target
  return { targets: { costPerThousandAnswers: cost, recomputedPerThousandTokens: recomputed } }
}
