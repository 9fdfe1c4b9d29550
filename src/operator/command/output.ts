/** Output of the commands: result, notes and exit code, as well as formatting as JSON or aligned text. */
import { writeFileSync } from 'node:fs'
import { ServingError } from '../../verdict.js'

/** Destination of a command's output. */
export interface CommandOutput {
  /** Writes a part of the result. */
  out (text: string): void
  /** Writes a note that is not part of the result, such as a warning. */
  note (text: string): void
  /** Sets the exit code of the command. */
  exit (code: number): void
}

const COLUMN_GAP = '  '

/** Matches numbers with an optional unit. Columns that contain one are aligned to the right. */
const NUMBER_PATTERN = /^-?[\d,.]+( ?%| ms| s| min)?$/

/**
 * Formats rows as a text table. Columns that contain numbers are aligned to the right.
 *
 * @example
 * output.out(alignColumns(['class', 'served'], [['booking', '12']]))
 */
export function alignColumns (headings: readonly string[], rows: readonly (readonly string[])[]): string {
  const allRows = [headings, ...rows]
  const widths = headings.map((_, column) => Math.max(...allRows.map((row) => row[column]?.length ?? 0)))
  const alignedRight = headings.map((_, column) => rows.some((row) => NUMBER_PATTERN.test(row[column] ?? '')))
  const lines = allRows.map((row) => row.map((cell, column) => align(cell, widths[column] ?? 0, alignedRight[column] ?? false)).join(COLUMN_GAP).trimEnd())
  return lines.join('\n') + '\n'
}

/**
 * Formats a value as indented JSON with a final line break.
 *
 * @example
 * output.out(jsonText({ revision: 3 }))
 */
export function jsonText (value: unknown): string {
  return JSON.stringify(value, null, 2) + '\n'
}

/**
 * Creates an output that writes the result to standard output and notes to standard error, and sets the exit code of the
 * process.
 *
 * @example
 * const output = createProcessOutput()
 */
export function createProcessOutput (): CommandOutput {
  return {
    out: (text) => { process.stdout.write(text) },
    note: (text) => { process.stderr.write(`${text}\n`) },
    exit: (code) => { process.exitCode = code }
  }
}

/**
 * Writes an output file.
 *
 * @throws ServingError `invalid-request` if the file cannot be written
 * @example
 * writeTextFile('report.html', page)
 */
export function writeTextFile (path: string, text: string): void {
  try {
    writeFileSync(path, text)
  } catch (cause) {
    throw usageError(`${path}: cannot be written: ${(cause as Error).message}`)
  }
}

/**
 * Creates an error for invalid options or arguments of a command.
 *
 * @example
 * throw usageError('--from and --since exclude each other')
 */
export function usageError (message: string): ServingError {
  return new ServingError(message, { code: 'invalid-request', verdict: 'not-run' })
}

function align (cell: string, width: number, right: boolean): string {
  return right ? cell.padStart(width) : cell.padEnd(width)
}
