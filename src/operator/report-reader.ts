/**
 * Reads the snapshots of all nodes and the totals from the key-value service and builds the report document of a range.
 */
import type { Milliseconds } from '../clock.js'
import { HOUR, MINUTE } from '../clock.js'
import type { OrganisationName } from '../identifiers.js'
import { RETENTION } from '../planner/report-folder.js'
import { createReportSummary, decodeSnapshot, decodeTotal, PERIOD, periodOf, periodPrefix, shardPrefix, SHARDS } from '../report/index.js'
import type { ReportDocument, Snapshot, Total } from '../report/index.js'
import { ServingError } from '../verdict.js'
import type { OperatorContext } from './context.js'

/** Range of wall times. */
export interface ReportRange {
  readonly from: Milliseconds
  readonly to: Milliseconds
}

const DAY: Milliseconds = 24 * HOUR

/** Maximum length of the range of one report. */
export const MAX_RANGE: Milliseconds = 14 * DAY

/**
 * Totals are read from this long before the range, because a gap is stored in the period in which it began and may
 * extend into the range.
 */
const GAP_LOOKBACK: Milliseconds = 2 * PERIOD

/**
 * Pause after each value. A pause of 0 only yields to the event loop, so that a large report does not delay callers'
 * requests.
 */
const YIELD_PAUSE: Milliseconds = 0

/**
 * Time for which an organisation's report is cached. Organisations' programs may poll, and each read makes about 50
 * calls to the key-value service.
 */
const ORGANISATION_CACHE_LIFETIME: Milliseconds = 5 * MINUTE

/** Length of the range of an organisation's own report. */
const ORGANISATION_RANGE: Milliseconds = DAY

/** Dependencies of reading reports. */
type ReaderContext = Pick<OperatorContext, 'keyValue' | 'configuration' | 'clock' | 'signal'>

/**
 * Builds the report of a range.
 *
 * Snapshots are read before totals. An epoch that is folded between the two reads is then in both. The total names the
 * epoch, so that the snapshot is ignored. In the opposite order the epoch could be in neither.
 *
 * @param organisation restricts the report to this organisation
 * @throws ServingError `invalid-request` for an invalid range; `internal` for a value that cannot be decoded; also if the
 *   key-value service cannot be reached
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
  for (let period = periodOf(range.from) - GAP_LOOKBACK; period < range.to; period += PERIOD) {
    for (const total of await readTotals(context, period)) {
      summary.addTotal(total)
      await clock.sleep(YIELD_PAUSE, context.signal)
    }
  }
  for (const snapshot of snapshots) {
    summary.addSnapshot(snapshot)
    await clock.sleep(YIELD_PAUSE, context.signal)
  }
  return summary.finish()
}

/**
 * Creates a reader of organisations' own reports over the last day. Each organisation's report is cached for a few
 * minutes and shared by all its callers. Failed reads are not cached.
 *
 * @example
 * const read = createOrganisationReader(context)
 * const document = await read(organisation)
 */
export function createOrganisationReader (context: ReaderContext): (organisation: OrganisationName) => Promise<ReportDocument> {
  const cache = new Map<OrganisationName, { until: Milliseconds, document: Promise<ReportDocument> }>()
  return (organisation) => {
    const now = context.clock.now()
    const cached = cache.get(organisation)
    if (cached !== undefined && now < cached.until) return cached.document
    const wall = context.clock.wall()
    const document = readReport(context, { from: wall - ORGANISATION_RANGE, to: wall }, organisation)
    cache.set(organisation, { until: now + ORGANISATION_CACHE_LIFETIME, document })
    document.catch(() => cache.delete(organisation))
    return document
  }
}

async function readSnapshots ({ keyValue, signal }: ReaderContext): Promise<Snapshot[]> {
  const snapshots: Snapshot[] = []
  for (let shard = 0; shard < SHARDS; shard += 1) {
    const { entries } = await keyValue.list(shardPrefix(shard), signal)
    for (const entry of entries) snapshots.push(requireReadable(entry.key, decodeSnapshot(entry.value)))
  }
  return snapshots
}

async function readTotals ({ keyValue, signal }: ReaderContext, period: Milliseconds): Promise<Total[]> {
  if (period < 0) return []
  const { entries } = await keyValue.list(periodPrefix(period), signal)
  return entries.map((entry) => requireReadable(entry.key, decodeTotal(entry.value)))
}

/**
 * Returns the value, or throws if it could not be decoded. Skipping the value would give sums that look complete but
 * are not.
 */
function requireReadable<T> (key: string, value: T | undefined): T {
  if (value !== undefined) return value
  throw new ServingError(`${key} cannot be read; the report would be incomplete`, { code: 'internal', verdict: 'ran' })
}

function checkRange ({ from, to }: ReportRange): void {
  if (from < to && to - from <= MAX_RANGE) return
  throw new ServingError('the range must begin before it ends and be no longer than 14 days', { code: 'invalid-request', verdict: 'not-run' })
}
