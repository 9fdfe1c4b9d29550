/** Command `explain ID FILE...`, which evaluates the nodes' log files. */
import { readFileSync } from 'node:fs'
import type { Milliseconds } from '../../clock.js'
import { readLine, reconstructTimeline } from '../../events/index.js'
import type { LoggedLine, RequestTimeline, TimelineEnd, TimelineEntry } from '../../events/index.js'
import { countText } from '../../report/index.js'
import { ServingError } from '../../verdict.js'
import { clockText, STANDARD_INPUT } from './log-lines.js'
import { alignColumns, jsonText, usageError } from './output.js'
import type { CommandOutput } from './output.js'

/** File descriptor of standard input. */
const STANDARD_INPUT_DESCRIPTOR = 0

/**
 * Reads the nodes' log lines from files. Lines that are not log lines of a node are skipped.
 *
 * @param files paths, where `-` denotes standard input
 * @throws ServingError `invalid-request` for a file that cannot be read
 * @example
 * readLogs(['node-1.log', '-']).length
 */
export function readLogs (files: readonly string[]): LoggedLine[] {
  return files.flatMap((file) => readInput(file).split('\n').map(readLine).filter((line) => line !== undefined))
}

/**
 * `hornbeamgap explain ID FILE...`: prints the events of a request with the related state changes that its nodes
 * saw, and marks the decision that led to its end.
 *
 * @throws ServingError `not-found` if no line contains the request id
 * @example
 * explainFromLogs(readLogs(['node-1.log']), output, '05a10e9343c8f54a', {})
 */
export function explainFromLogs (lines: readonly LoggedLine[], output: CommandOutput, id: string, options: { readonly json?: boolean | undefined }): void {
  const story = reconstructTimeline(lines, id)
  if (story === undefined) throw new ServingError(`no line of ${countText(lines.length)} names request "${id}"; ${omittedLinesText(lines)}`, { code: 'not-found', verdict: 'not-run' })
  if (options.json === true) return output.out(jsonText(story))
  output.out(`${id}: ${endText(story.end)}\n`)
  if (story.cause !== undefined) output.out(`${story.cause}\n`)
  const start = story.entries.find(({ about }) => about === 'request')?.line.time ?? 0
  output.out('\n' + alignColumns(['', 'time', 'after', 'node', 'event', 'facts'], story.entries.map((entry) => storyRow(entry, id, start))))
  output.out('\n-> marks the decision that the end follows from, · what the node believed.\n')
  for (const text of gapTexts(story)) output.note(text)
}

function endText (end: TimelineEnd): string {
  switch (end.kind) {
    case 'served': return end.late ? 'answered late' : 'answered in time'
    case 'failed': return `failed with ${end.code}, ${end.verdict}`
    case 'process-ended': return `cut off: its node started anew at ${clockText(end.startedAgain)}`
    case 'not-told': return 'its end was not told'
  }
}

/** Returns the table row of one event. */
function storyRow ({ line, about, decisive }: TimelineEntry, id: string, start: Milliseconds): string[] {
  const facts = Object.entries(line.facts).filter(([, value]) => value !== id).map(([name, value]) => `${name}=${value}`).join(' ')
  return [decisive ? '->' : about === 'belief' ? '·' : '', clockText(line.time), `${line.time - start} ms`, line.process, line.event, facts]
}

/** Returns notes on log lines that are missing from the history of a request. */
function gapTexts (story: RequestTimeline): string[] {
  const texts = story.gaps.map((gap) => `${gap.process} left out ${countText(gap.count)} lines of ${gap.event} until ${clockText(gap.at)}; some may be of this request.`)
  if (story.end.kind === 'not-told') texts.push('No line tells its end: it was left out, the request was still open, or its process ended and the logs end with it.')
  return texts
}

/** Returns how many lines the nodes omitted to bound the log volume. */
function omittedLinesText (lines: readonly LoggedLine[]): string {
  const counts = lines.filter(({ event }) => event === 'lines-left-out').flatMap(({ facts }) => Object.values(facts)).filter((count) => typeof count === 'number')
  return counts.length === 0 ? 'nothing was left out' : `${countText(counts.reduce((sum, count) => sum + count, 0))} lines were left out to bound the volume`
}

function readInput (file: string): string {
  try {
    return readFileSync(file === STANDARD_INPUT ? STANDARD_INPUT_DESCRIPTOR : file, 'utf8')
  } catch (cause) {
    throw usageError(`${file}: cannot be read: ${(cause as Error).message}`)
  }
}
