/** Command `day FILE...`, which tells the requests of all nodes over time from their log files. */
import { SECOND } from '../../clock.js'
import { createDayLoad, createDaySumsReader, DAY_OUTCOMES } from '../../events/index.js'
import type { DaySummary } from '../../events/index.js'
import { countText } from '../../report/index.js'
import { ServingError } from '../../verdict.js'
import { LOAD_GROUPS, loadText, sourceNotes } from './day-load.js'
import type { LoadGroup } from './day-load.js'
import { dayPage } from './day-page.js'
import { clockText, forEachLogLine } from './log-lines.js'
import { alignColumns, jsonText, usageError, writeTextFile } from './output.js'
import type { CommandOutput } from './output.js'

/** Options of the `day` command. */
export interface DayCommandOptions {
  /** Prints the summary as JSON. */
  readonly json?: boolean | undefined
  /** Path of the HTML page to write. */
  readonly html?: string | undefined
  /** Length of a time interval, in seconds. */
  readonly step?: number | undefined
  /** Tells the load from the lines of single requests, in place of the nodes' sums. */
  readonly load?: boolean | undefined
  /** Groups of the load to be told, separated by commas. */
  readonly by?: string | undefined
  /** Leaves out the single spans of the load. */
  readonly totals?: boolean | undefined
}

/** Default length of a time interval, in seconds. Nodes log their sums at the same interval. */
const DEFAULT_STEP_SECONDS = 2

/** Default length of a span of the load, in seconds. Bursts take 3 to 6 s, so longer spans would blur them. */
const DEFAULT_LOAD_STEP_SECONDS = 1

/**
 * `hornbeamgap day FILE...`: shows the requests over time by outcome, or with `--load` by class, organisation, size of
 * the prompt and upstream.
 *
 * @throws ServingError `not-found` if no line contains sums, or none tells of a request; `invalid-request` for an invalid
 *   option or a file that cannot be read or written
 * @example
 * await dayCommand(['node-1.log'], output, { html: 'day.html' })
 */
export async function dayCommand (files: readonly string[], output: CommandOutput, options: DayCommandOptions): Promise<void> {
  if (options.load === true) return loadCommand(files, output, options)
  if (options.by !== undefined || options.totals === true) throw usageError('--by and --totals need --load')
  const reader = createDaySumsReader(stepOf(options, DEFAULT_STEP_SECONDS))
  let lines = 0
  await forEachLogLine(files, (line) => {
    lines += 1
    if (line !== undefined) reader.add(line)
  })
  const day = reader.summary()
  if (day === undefined) throw new ServingError(`no line of ${countText(lines)} has sums of requests`, { code: 'not-found', verdict: 'not-run' })
  if (options.html !== undefined) {
    writeTextFile(options.html, dayPage(day))
    output.note(`written to ${options.html}`)
  }
  if (options.json === true) output.out(jsonText(day))
  else if (options.html === undefined) output.out(dayText(day))
}

async function loadCommand (files: readonly string[], output: CommandOutput, options: DayCommandOptions): Promise<void> {
  if (options.html !== undefined) throw usageError('--html and --load exclude each other')
  const groups = groupsOf(options.by)
  const load = createDayLoad(stepOf(options, DEFAULT_LOAD_STEP_SECONDS))
  await forEachLogLine(files, load.add)
  const summary = load.summary()
  if (summary.source.requests === 0) throw new ServingError(`no line of ${countText(summary.source.lines)} tells the end of a request`, { code: 'not-found', verdict: 'not-run' })
  if (options.json === true) return output.out(jsonText(options.totals === true ? { ...summary, parts: [] } : summary))
  output.out(loadText(summary, groups, options.totals === true))
  for (const note of sourceNotes(summary)) output.note(note)
}

function stepOf ({ step: seconds }: DayCommandOptions, defaultSeconds: number): number {
  const step = Number(seconds ?? defaultSeconds) * SECOND
  if (!(step > 0)) throw usageError(`--step ${seconds}: must be a number of seconds above 0`)
  return step
}

function groupsOf (by: string | undefined): readonly LoadGroup[] {
  if (by === undefined) return LOAD_GROUPS
  const names = by.split(',')
  const unknown = names.find((name) => !(LOAD_GROUPS as readonly string[]).includes(name))
  if (unknown !== undefined) throw usageError(`--by ${by}: "${unknown}" is none of ${LOAD_GROUPS.join(', ')}`)
  return LOAD_GROUPS.filter((group) => names.includes(group))
}

function dayText (day: DaySummary): string {
  const rows = [...day.parts.map((part) => [clockText(part.from), ...DAY_OUTCOMES.map((outcome) => countText(part.sums[outcome]))]), ['all', ...DAY_OUTCOMES.map((outcome) => countText(day.total[outcome]))]]
  return alignColumns(['time', ...DAY_OUTCOMES], rows)
}
