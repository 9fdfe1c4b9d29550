/** What the command writes: JSON for programs, aligned text for people. */
import { writeFileSync } from 'node:fs'
import { ServingError } from '../../verdict.js'

/** Where a command writes to and what it ends with. */
export interface CommandOutput {
  out (text: string): void
  /** Remarks that are no part of the result. */
  note (text: string): void
  exit (code: number): void
}

const GAP = '  '
const NUMBER = /^-?[\d,.]+( ?%| ms| s| min)?$/

/**
 * Lays rows out in columns; columns of figures are aligned to the right.
 *
 * @example
 * output.out(alignColumns(['class', 'served'], [['booking', '12']]))
 */
export function alignColumns (heads: readonly string[], rows: readonly (readonly string[])[]): string {
  const all = [heads, ...rows]
  const widths = heads.map((_, column) => Math.max(...all.map((row) => row[column]?.length ?? 0)))
  const right = heads.map((_, column) => rows.some((row) => NUMBER.test(row[column] ?? '')))
  const lines = all.map((row) => row.map((cell, column) => align(cell, widths[column] ?? 0, right[column] ?? false)).join(GAP).trimEnd())
  return lines.join('\n') + '\n'
}

/**
 * @example
 * output.out(jsonText({ revision: 3 }))
 */
export function jsonText (value: unknown): string {
  return JSON.stringify(value, null, 2) + '\n'
}

/** @example const output = createProcessOutput() */
export function createProcessOutput (): CommandOutput {
  return {
    out: (text) => { process.stdout.write(text) },
    note: (text) => { process.stderr.write(`${text}\n`) },
    exit: (code) => { process.exitCode = code }
  }
}

/**
 * Writes a file that the command was asked for.
 *
 * @throws ServingError `invalid-request` when it can't be written
 * @example
 * writeTextFile('report.html', page)
 */
export function writeTextFile (path: string, text: string): void {
  try {
    writeFileSync(path, text)
  } catch (cause) {
    throw invalidUse(`${path}: cannot be written: ${(cause as Error).message}`)
  }
}

/**
 * A wrong use of a command.
 *
 * @example
 * throw invalidUse('--from and --since exclude each other')
 */
export function invalidUse (message: string): ServingError {
  return new ServingError(message, { code: 'invalid-request', verdict: 'not-run' })
}

function align (cell: string, width: number, right: boolean): string {
  return right ? cell.padStart(width) : cell.padEnd(width)
}
