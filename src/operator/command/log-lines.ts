/** Reads the nodes' log files line by line, without holding a file in memory. */
import { createReadStream } from 'node:fs'
import type { Milliseconds } from '../../clock.js'
import { readLine } from '../../events/index.js'
import type { LoggedLine } from '../../events/index.js'
import { usageError } from './output.js'

/** File name that denotes standard input. */
export const STANDARD_INPUT = '-'

/** Maximum length of a line in characters. Nodes write shorter lines; the rest of a longer one is dropped. */
const MAX_LINE_LENGTH = 1_048_576

/**
 * Reads log lines from files, one file after the other. Empty lines are skipped.
 *
 * @param files paths, where `-` denotes standard input
 * @param visit receives each line, or undefined for a line that is not a log line of a node
 * @throws ServingError `invalid-request` for a file that cannot be read
 * @example
 * await forEachLogLine(['node-1.log', '-'], (line) => load.add(line))
 */
export async function forEachLogLine (files: readonly string[], visit: (line: LoggedLine | undefined) => void): Promise<void> {
  for (const file of files) {
    const stream: NodeJS.ReadableStream = file === STANDARD_INPUT ? process.stdin : createReadStream(file)
    try {
      await forEachLine(stream.setEncoding('utf8') as unknown as AsyncIterable<string>, (text) => visit(readLine(text)))
    } catch (cause) {
      if ((cause as NodeJS.ErrnoException).code === undefined) throw cause
      throw usageError(`${file}: cannot be read: ${(cause as Error).message}`)
    }
  }
}

/**
 * Formats the UTC time of day with milliseconds.
 *
 * @example
 * clockText(0) // '00:00:00.000'
 */
export function clockText (time: Milliseconds): string {
  return new Date(time).toISOString().slice(11, 23)
}

async function forEachLine (chunks: AsyncIterable<string>, visit: (text: string) => void): Promise<void> {
  let rest = ''
  for await (const chunk of chunks) {
    const lines = (rest + chunk).split('\n')
    rest = lines.pop()!.slice(0, MAX_LINE_LENGTH)
    for (const line of lines) if (line.trim() !== '') visit(line)
  }
  if (rest.trim() !== '') visit(rest)
}
