/** `explain ID FILE...` and `day FILE...`: what the lines of nodes tell afterwards. */
import { readFileSync } from 'node:fs'
import type { Milliseconds } from '../../clock.js'
import { SECOND } from '../../clock.js'
import { DAY_OUTCOMES, readLine, summarizeDay, reconstructTimeline } from '../../events/index.js'
import type { LoggedLine, RequestTimeline, TimelineEnd, TimelineEntry } from '../../events/index.js'
import { countText } from '../../report/index.js'
import { ServingError } from '../../verdict.js'
import { dayPage } from './day-page.js'
import { alignColumns, invalidUse, jsonText, writeTextFile } from './output.js'
import type { CommandOutput } from './output.js'

/** Options of the day command. */
export interface DayCommandOptions {
  readonly json?: boolean | undefined
  /** File that the page is written to. */
  readonly html?: string | undefined
  /** Seconds in a part. */
  readonly step?: number | undefined
}

/** Name that stands for standard input. */
const STANDARD_INPUT = '-'

/** Descriptor of standard input. */
const INPUT_DESCRIPTOR = 0

/** Seconds in a part of a day; nodes write their sums this often. */
const DAY_STEP = 2

/**
 * Reads lines of nodes from files.
 *
 * @param files paths; `-` is standard input
 * @throws ServingError `invalid-request` for a file that can't be read
 * @example
 * readLogs(['node-1.log', '-']).length
 */
export function readLogs (files: readonly string[]): LoggedLine[] {
  return files.flatMap((file) => readText(file).split('\n').map(readLine).filter((line) => line !== undefined))
}

/**
 * `hornbeamgap explain ID FILE...`: the life of a request, with the decision that ended it marked.
 *
 * @throws ServingError `not-found` when no line names it
 * @example
 * explainFromLogs(readLogs(['node-1.log']), output, '05a10e9343c8f54a', {})
 */
export function explainFromLogs (lines: readonly LoggedLine[], output: CommandOutput, id: string, options: { readonly json?: boolean | undefined }): void {
  const story = reconstructTimeline(lines, id)
  if (story === undefined) throw new ServingError(`no line of ${countText(lines.length)} names request "${id}"; ${leftOutText(lines)}`, { code: 'not-found', verdict: 'not-run' })
  if (options.json === true) return output.out(jsonText(story))
  output.out(`${id}: ${endText(story.end)}\n`)
  if (story.cause !== undefined) output.out(`${story.cause}\n`)
  const start = story.entries.find(({ about }) => about === 'request')?.line.time ?? 0
  output.out('\n' + alignColumns(['', 'time', 'after', 'node', 'event', 'facts'], story.entries.map((entry) => storyRow(entry, id, start))))
  output.out('\n-> marks the decision that the end follows from, · what the node believed.\n')
  for (const text of missingText(story)) output.note(text)
}

/**
 * `hornbeamgap day FILE...`: requests over time by what became of them.
 *
 * @throws ServingError `not-found` when no line has sums, `invalid-request` for a file that can't be written
 * @example
 * dayFromLogs(readLogs(['node-1.log']), output, { html: 'day.html' })
 */
export function dayFromLogs (lines: readonly LoggedLine[], output: CommandOutput, options: DayCommandOptions): void {
  const step = Number(options.step ?? DAY_STEP) * SECOND
  if (!(step > 0)) throw invalidUse(`--step ${options.step}: must be a number of seconds above 0`)
  const day = summarizeDay(lines, step)
  if (day === undefined) throw new ServingError(`no line of ${countText(lines.length)} has sums of requests`, { code: 'not-found', verdict: 'not-run' })
  if (options.html !== undefined) {
    writeTextFile(options.html, dayPage(day))
    output.note(`written to ${options.html}`)
  }
  if (options.json === true) return output.out(jsonText(day))
  if (options.html !== undefined) return
  const rows = [...day.parts.map((part) => [clockText(part.from), ...DAY_OUTCOMES.map((outcome) => countText(part.sums[outcome]))]), ['all', ...DAY_OUTCOMES.map((outcome) => countText(day.total[outcome]))]]
  output.out(alignColumns(['time', ...DAY_OUTCOMES], rows))
}

function endText (end: TimelineEnd): string {
  switch (end.kind) {
    case 'served': return end.late ? 'answered late' : 'answered in time'
    case 'failed': return `failed with ${end.code}, ${end.verdict}`
    case 'process-ended': return `cut off: its node started anew at ${clockText(end.startedAgain)}`
    case 'not-told': return 'its end was not told'
  }
}

function storyRow ({ line, about, decisive }: TimelineEntry, id: string, start: Milliseconds): string[] {
  const facts = Object.entries(line.facts).filter(([, value]) => value !== id).map(([name, value]) => `${name}=${value}`).join(' ')
  return [decisive ? '->' : about === 'belief' ? '·' : '', clockText(line.time), `${line.time - start} ms`, line.process, line.event, facts]
}

function missingText (story: RequestTimeline): string[] {
  const texts = story.gaps.map((gap) => `${gap.process} left out ${countText(gap.count)} lines of ${gap.event} until ${clockText(gap.at)}; some may be of this request.`)
  if (story.end.kind === 'not-told') texts.push('No line tells its end: it was left out, the request was still open, or its process ended and the logs end with it.')
  return texts
}

function leftOutText (lines: readonly LoggedLine[]): string {
  const counts = lines.filter(({ event }) => event === 'lines-left-out').flatMap(({ facts }) => Object.values(facts)).filter((count) => typeof count === 'number')
  return counts.length === 0 ? 'nothing was left out' : `${countText(counts.reduce((sum, count) => sum + count, 0))} lines were left out to bound the volume`
}

function clockText (time: Milliseconds): string {
  return new Date(time).toISOString().slice(11, 23)
}

function readText (file: string): string {
  try {
    return readFileSync(file === STANDARD_INPUT ? INPUT_DESCRIPTOR : file, 'utf8')
  } catch (cause) {
    throw invalidUse(`${file}: cannot be read: ${(cause as Error).message}`)
  }
}
