/** `report`: who got what, as a table, JSON, CSV or a page for managers. */
import type { Milliseconds } from '../../clock.js'
import { HOUR, MINUTE } from '../../clock.js'
import { reportDocumentSchema } from '../../report/index.js'
import type { OperatorClient } from './connection.js'
import { invalidUse, jsonText, writeTextFile } from './output.js'
import type { CommandOutput } from './output.js'
import { reportPage } from './report-page.js'
import { reportCsv, reportTable } from './report-table.js'

/** Options of the report command. */
export interface ReportCommandOptions {
  /** A duration before now, such as `2h` or `3d`. */
  readonly since?: string | undefined
  /** ISO 8601 times. */
  readonly from?: string | undefined
  readonly to?: string | undefined
  /** Have every node write its report first. */
  readonly fresh?: boolean | undefined
  readonly json?: boolean | undefined
  readonly csv?: boolean | undefined
  /** File that the page is written to. */
  readonly html?: string | undefined
}

const DURATION = /^(\d{1,4})(m|h|d)$/
const UNITS: Readonly<Record<string, Milliseconds>> = { m: MINUTE, h: HOUR, d: 24 * HOUR }

/**
 * `hornbeamgap report`.
 *
 * @param now wall time
 * @throws ServingError `invalid-request` for a wrong range or a file that cannot be written
 * @example
 * await reportCommand(client, output, { since: '2h', html: 'report.html' }, clock.wall())
 */
export async function reportCommand (client: OperatorClient, output: CommandOutput, options: ReportCommandOptions, now: Milliseconds): Promise<void> {
  const { from, to } = rangeOf(options, now)
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
 * Range that the options ask for; the last 24 hours when they name none.
 *
 * @throws ServingError `invalid-request`
 * @example
 * rangeOf({ since: '2h' }, now)
 */
export function rangeOf (options: ReportCommandOptions, now: Milliseconds): { from: Milliseconds, to: Milliseconds } {
  const to = options.to === undefined ? now : timeOf('--to', options.to)
  if (options.from !== undefined && options.since !== undefined) throw invalidUse('--from and --since exclude each other')
  if (options.from !== undefined) return { from: timeOf('--from', options.from), to }
  return { from: Math.max(0, to - durationOf(options.since ?? '1d')), to }
}

function durationOf (text: string): Milliseconds {
  const match = DURATION.exec(String(text))
  const unit = UNITS[match?.[2] ?? '']
  if (match === null || unit === undefined) throw invalidUse(`--since ${text}: must be a number with m, h or d, such as 2h`)
  return Number(match[1]) * unit
}

function timeOf (option: string, text: string): Milliseconds {
  const time = Date.parse(String(text))
  if (Number.isNaN(time)) throw invalidUse(`${option} ${text}: must be an ISO 8601 time, such as 2026-12-02T09:00Z`)
  return time
}
