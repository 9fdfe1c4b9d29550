/** Reads reports of all nodes and the totals, and makes the report document of a range. */
import type { Milliseconds } from '../clock.js'
import { HOUR, MINUTE } from '../clock.js'
import type { OrganisationName } from '../identifiers.js'
import { RETENTION } from '../planner/report-folder.js'
import { createReportSummary, decodeSnapshot, decodeTotal, PERIOD, periodOf, periodPrefix, shardPrefix, SHARDS } from '../report/index.js'
import type { ReportDocument, Snapshot, Total } from '../report/index.js'
import { ServingError } from '../verdict.js'
import type { OperatorContext } from './context.js'

/** A range of wall times. */
export interface ReportRange {
  readonly from: Milliseconds
  readonly to: Milliseconds
}

const DAY: Milliseconds = 24 * HOUR

/** Longest range of one report. */
export const LONGEST_RANGE: Milliseconds = 14 * DAY

/** A node's total of gaps may begin in a period before the range. */
const GAP_REACH: Milliseconds = 2 * PERIOD

/** Pause after each value, so that callers' requests are not held up by a large report. */
const BREATH: Milliseconds = 0

/** Organisations are answered from one reading for this long: their programs may poll, and a reading costs the key-value service some fifty calls. */
const ORGANISATION_CACHE: Milliseconds = 5 * MINUTE

/** Range that an organisation sees. */
const ORGANISATION_RANGE: Milliseconds = DAY

type ReaderContext = Pick<OperatorContext, 'keyValue' | 'configuration' | 'clock' | 'signal'>

/**
 * Report over a range.
 *
 * Snapshots are read before totals: an epoch that is folded in between is in both, and the total
 * names it, so it is passed over. In the other order it could be in neither.
 *
 * @throws ServingError when the key-value service cannot be reached
 * @example
 * const document = await readReport(context, { from, to })
 */
export async function readReport (context: ReaderContext, range: ReportRange, organisation?: OrganisationName): Promise<ReportDocument> {
  const { clock, configuration } = context
  const now = clock.wall()
  checkRange(range)
  const summary = createReportSummary({
    ...range,
    now,
    keptFrom: periodOf(now - RETENTION),
    configuration: configuration.current()?.configuration,
    organisation
  })
  const snapshots = await readSnapshots(context)
  for (let period = periodOf(range.from) - GAP_REACH; period < range.to; period += PERIOD) {
    for (const total of await readTotals(context, period)) {
      summary.addTotal(total)
      await clock.sleep(BREATH, context.signal)
    }
  }
  for (const snapshot of snapshots) {
    summary.addSnapshot(snapshot)
    await clock.sleep(BREATH, context.signal)
  }
  return summary.finish()
}

/**
 * Reader of organisations' own reports, which shares one reading of an organisation among all that ask
 * within a few minutes.
 *
 * @example
 * const read = createOrganisationReader(context)
 * const document = await read(organisation)
 */
export function createOrganisationReader (context: ReaderContext): (organisation: OrganisationName) => Promise<ReportDocument> {
  const kept = new Map<OrganisationName, { until: Milliseconds, document: Promise<ReportDocument> }>()
  return (organisation) => {
    const now = context.clock.now()
    const known = kept.get(organisation)
    if (known !== undefined && now < known.until) return known.document
    const wall = context.clock.wall()
    const document = readReport(context, { from: wall - ORGANISATION_RANGE, to: wall }, organisation)
    kept.set(organisation, { until: now + ORGANISATION_CACHE, document })
    document.catch(() => kept.delete(organisation))
    return document
  }
}

async function readSnapshots ({ keyValue, signal }: ReaderContext): Promise<Snapshot[]> {
  const snapshots: Snapshot[] = []
  for (let shard = 0; shard < SHARDS; shard += 1) {
    const { entries } = await keyValue.list(shardPrefix(shard), signal)
    for (const entry of entries) snapshots.push(readable(entry.key, decodeSnapshot(entry.value)))
  }
  return snapshots
}

async function readTotals ({ keyValue, signal }: ReaderContext, period: Milliseconds): Promise<Total[]> {
  if (period < 0) return []
  const { entries } = await keyValue.list(periodPrefix(period), signal)
  return entries.map((entry) => readable(entry.key, decodeTotal(entry.value)))
}

/** A value that cannot be read must not be left out in silence: the sums would look whole. */
function readable<T> (key: string, value: T | undefined): T {
  if (value !== undefined) return value
  throw new ServingError(`${key} cannot be read; the report would be incomplete`, { code: 'internal', verdict: 'ran' })
}

function checkRange ({ from, to }: ReportRange): void {
  if (from < to && to - from <= LONGEST_RANGE) return
  throw new ServingError('the range must begin before it ends and be no longer than 14 days', { code: 'invalid-request', verdict: 'not-run' })
}
