/**
 * Makes a report out of what the nodes wrote and the totals of what was folded. An epoch that is in a
 * total is taken from there and its snapshot is passed over; read the snapshots first and the totals
 * after them, and nothing is missed or counted twice.
 */
import type { Milliseconds } from '../clock.js'
import type { Configuration, RequestClass } from '../configuration/index.js'
import { findClass } from '../configuration/index.js'
import type { ClassName, Incarnation, OrganisationName } from '../identifiers.js'
import type { PeriodLine, ReportDocument, ReportGap, ReportLine } from './document.js'
import { allocateSpend } from './cost.js'
import { sumDeathNotes } from './death.js'
import type { DeathNote } from './death.js'
import { createLine, finishLine } from './line.js'
import type { OpenLine } from './line.js'
import type { Spend } from './ledger.js'
import { isClosed, snapshotName } from './snapshot.js'
import type { Snapshot } from './snapshot.js'
import { statementsOf } from './statements.js'
import { addSums, sumsOf, zeroSums } from './sums.js'
import { addWritten, createTally, PERIOD, periodOf } from './tally.js'
import type { Cell, WrittenCell } from './tally.js'
import { cellsOf, COMMON_PART, gapOf } from './total.js'
import type { Gap, Return, Total } from './total.js'

/** What a report is about. */
export interface ReportScope {
  /** Wall times; rounded outwards to whole periods. */
  readonly from: Milliseconds
  readonly to: Milliseconds
  /** Wall time now. */
  readonly now: Milliseconds
  readonly keptFrom: Milliseconds
  readonly configuration: Configuration | undefined
  /** Only this organisation's own. */
  readonly organisation?: OrganisationName | undefined
}

/** A report being put together. */
export interface ReportSummary {
  /** To be called for all totals before the first snapshot is added. */
  addTotal (total: Total): void
  addSnapshot (snapshot: Snapshot): void
  finish (): ReportDocument
}

/**
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
  const returns: Return[] = []
  const deaths: DeathNote[] = []
  const overdue: ReportGap[] = []
  const omitted: Snapshot['incarnation'][] = []
  const spend: Spend[] = []
  let countedUntil = scope.now
  let nodesCounting = 0

  function inScope (cell: WrittenCell): boolean {
    if (cell.period < from || cell.period >= to) return false
    return scope.organisation === undefined || cell.organisation === scope.organisation
  }

  function concernsScope (one: DeathNote): boolean {
    return scope.organisation === undefined || one.organisation === scope.organisation
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
    spend.push(...snapshot.spend.filter((one) => !isFolded(one.period, COMMON_PART, snapshot)))
    deaths.push(...snapshot.deaths.filter((one) => !isFolded(one.period, COMMON_PART, snapshot)))
    if (snapshot.returned !== undefined) returns.push({ incarnation: snapshot.incarnation, epoch: snapshot.returned.epoch })
    const gap = gapOf(snapshot)
    if (gap !== undefined && !isFolded(periodOf(snapshot.writtenAt), COMMON_PART, snapshot)) gaps.push(gap)
    if (snapshot.latencyOmitted) omitted.push(snapshot.incarnation)
  }

  return {
    addTotal: (total) => {
      folded.set(`${total.period}/${total.part}`, new Set(total.folded.map((one) => one.name)))
      addWritten(tally, total.cells.filter(inScope))
      gaps.push(...total.gaps)
      returns.push(...total.returns)
      deaths.push(...total.deaths)
      spend.push(...total.spend)
      omitted.push(...total.latencyOmitted)
    },
    addSnapshot: (snapshot) => {
      addWritten(tally, cellsOf(snapshot).filter((cell) => inScope(cell) && !isFolded(cell.period, cell.class, snapshot)))
      addCommon(snapshot)
      if (!isClosed(snapshot.state)) addCounting(snapshot)
    },
    finish: () => documentOf(scope, {
      from,
      to,
      countedUntil,
      nodesCounting,
      cells: [...tally.cells()],
      gaps: realGaps(gaps, returns, deaths.filter(concernsScope)).filter((gap) => gap.to > from && gap.from < to),
      overdue,
      latencyOmitted: [...new Set(omitted)],
      spend: spend.filter((one) => one.period >= from && one.period < to)
    })
  }
}

interface Gathered extends Pick<ReportDocument, 'from' | 'to' | 'countedUntil' | 'nodesCounting' | 'gaps' | 'overdue' | 'latencyOmitted'> {
  readonly cells: readonly Cell[]
  readonly spend: readonly Spend[]
}

function documentOf (scope: ReportScope, gathered: Gathered): ReportDocument {
  const { configuration } = scope
  const { cells, spend, ...rest } = gathered
  const lines = group(cells, (cell) => `${cell.key.class}/${cell.key.organisation}`, (cell) => createLine({ requestClass: classOf(configuration, cell), class: cell.key.class, organisation: cell.key.organisation }))
  const classes = group(cells, (cell) => cell.key.class, (cell) => createLine({ requestClass: classOf(configuration, cell), class: cell.key.class }))
  const organisations = group(cells, (cell) => cell.key.organisation, (cell) => createLine({ organisation: cell.key.organisation }))
  const total = group(cells, () => '', () => createLine({}))
  const withCost = scope.organisation === undefined && spend.length > 0
  const cost = withCost ? allocateSpend(spend, { lines, classes, organisations, total }) : undefined
  const document: ReportDocument = {
    format: 1,
    deployment: configuration?.deployment.name ?? 'unknown',
    madeAt: scope.now,
    keptFrom: scope.keptFrom,
    ...rest,
    total: finishLine(total[0] ?? createLine({})),
    classes: finishLines(classes),
    organisations: finishLines(organisations),
    lines: finishLines(lines),
    periods: periodLines(cells),
    ...targetsOf(configuration),
    ...cost,
    statements: []
  }
  return { ...document, statements: statementsOf(document) }
}

function group (cells: readonly Cell[], nameOf: (cell: Cell) => string, create: (cell: Cell) => OpenLine): OpenLine[] {
  const lines = new Map<string, OpenLine>()
  for (const cell of cells) {
    const name = nameOf(cell)
    const line = lines.get(name) ?? create(cell)
    lines.set(name, line)
    line.add(cell)
  }
  return [...lines.entries()].sort(([left], [right]) => left < right ? -1 : 1).map(([, line]) => line)
}

function finishLines (lines: readonly OpenLine[]): ReportLine[] {
  return lines.map(finishLine)
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

/** A gap of a node that came back is none: it reported what it had counted meanwhile. */
function realGaps (gaps: readonly Gap[], returns: readonly Return[], deaths: readonly DeathNote[]): ReportGap[] {
  const returned = new Set(returns.map(snapshotName))
  return gaps
    .filter((gap) => !returned.has(snapshotName(gap)))
    .map(({ incarnation, instance, from, to }) => ({ incarnation, instance, from, to, noted: notedOf(incarnation, deaths) }))
    .sort((left, right) => left.from - right.from)
}

function notedOf (incarnation: Incarnation, deaths: readonly DeathNote[]): ReportGap['noted'] {
  const own = deaths.filter((one) => one.incarnation === incarnation).map((one) => ({ ...one, period: 0 }))
  return sumDeathNotes(own).map(({ class: name, organisation, resumed, lost, unknown }) => ({ class: name, organisation, resumed, lost, unknown }))
}

function classOf (configuration: Configuration | undefined, cell: Cell): RequestClass | undefined {
  return configuration && findClass(configuration, cell.key.class as ClassName)
}

function targetsOf (configuration: Configuration | undefined): Pick<ReportDocument, 'targets'> {
  if (configuration === undefined) return {}
  const { cost_per_thousand_answers: cost, recomputed_per_thousand_tokens: recomputed } = configuration.deployment.target
  return { targets: { costPerThousandAnswers: cost, recomputedPerThousandTokens: recomputed } }
}
