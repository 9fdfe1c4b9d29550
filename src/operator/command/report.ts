/** Command `report`, which shows the requests, latencies and cost of a range as a table, JSON, CSV or an HTML page. */
import type { Milliseconds } from '../../clock.js'
import { HOUR, MINUTE } from '../../clock.js'
import { reportDocumentSchema } from '../../report/index.js'
import type { OperatorClient } from './connection.js'
import { usageError, jsonText, writeTextFile } from './output.js'
import type { CommandOutput } from './output.js'
import { reportPage } from './report-page.js'
import { reportCsv, reportTable } from './report-table.js'

/** Options of the `report` command. */
export interface ReportCommandOptions {
  /** Start of the range as a duration before its end, such as `2h` or `3d`. */
  readonly since?: string | undefined
  /** Start of the range as an ISO 8601 time. Excludes `since`. */
  readonly from?: string | undefined
  /** End of the range as an ISO 8601 time. Defaults to now. */
  readonly to?: string | undefined
  /** Makes every node write its report first. */
  readonly fresh?: boolean | undefined
  /** Prints the report as JSON. */
  readonly json?: boolean | undefined
  /** Prints the report as CSV. Ignored if `json` is set. */
  readonly csv?: boolean | undefined
  /** Path of the HTML page to write. */
  readonly html?: string | undefined
}

/** Duration in minutes, hours or days. */
const DURATION_PATTERN = /^(\d{1,4})(m|h|d)$/
const DURATION_UNITS: Readonly<Record<string, Milliseconds>> = { m: MINUTE, h: HOUR, d: 24 * HOUR }

/**
 * `hornbeamgap report`: prints a report or writes it as an HTML page.
 *
 * @param now wall time
 * @throws ServingError `invalid-request` for an invalid range or a file that cannot be written
 * @example
 * await reportCommand(client, output, { since: '2h', html: 'report.html' }, clock.wall())
 */
export async function reportCommand (client: OperatorClient, output: CommandOutput, options: ReportCommandOptions, now: Milliseconds): Promise<void> {
  const { from, to } = resolveRange(options, now)
  const fresh = options.fresh === true ? '&fresh=true' : ''
  const document = await client.get(`/operator/report?from=${from}&to=${to}${fresh}`, reportDocumentSchema)
  if (options.html !== undefined) {
    writeTextFile(options.html, reportPage(document))
    output.note(`written to ${options.html}`)
  }
  if (options.json === true) output.out(jsonText(document))
  else if (options.csv === true) output.out(reportCsv(document))
  else if (options.html === undefined) output.out(reportTable(document))
}

/**
 * Determines the range from the options. Defaults to the last 24 hours.
 *
 * @param now wall time
 * @throws ServingError `invalid-request` for an invalid time or duration, or if both `from` and `since` are set
 * @example
 * resolveRange({ since: '2h' }, now)
 */
export function resolveRange (options: ReportCommandOptions, now: Milliseconds): { from: Milliseconds, to: Milliseconds } {
  const to = options.to === undefined ? now : parseTime('--to', options.to)
  if (options.from !== undefined && options.since !== undefined) throw usageError('--from and --since exclude each other')
  if (options.from !== undefined) return { from: parseTime('--from', options.from), to }
  return { from: Math.max(0, to - parseDuration(options.since ?? '1d')), to }
}

function parseDuration (text: string): Milliseconds {
  const match = DURATION_PATTERN.exec(String(text))
  const unit = DURATION_UNITS[match?.[2] ?? '']
  if (match === null || unit === undefined) throw usageError(`--since ${text}: must be a number with m, h or d, such as 2h`)
  return Number(match[1]) * unit
}

function parseTime (option: string, text: string): Milliseconds {
  const time = Date.parse(String(text))
  if (Number.isNaN(time)) throw usageError(`${option} ${text}: must be an ISO 8601 time, such as 2026-12-02T09:00Z`)
  return time
}
