/** What a benchmark prints, apart from how it is printed. */

/** One table of figures. */
export interface Table {
  readonly title: string
  readonly columns: readonly string[]
  readonly rows: readonly (readonly (string | number)[])[]
  /** What the table shows, in one or two sentences. */
  readonly note?: string
}

/** Options of every benchmark. */
export interface BenchOptions {
  readonly seed: number
}

/** A benchmark that `npm run bench -- NAME` runs. */
export interface Bench {
  readonly name: string
  readonly description: string
  run (options: BenchOptions): Promise<readonly Table[]> | readonly Table[]
}

/**
 * Lays a table out for a terminal.
 *
 * @example
 * process.stdout.write(formatTable(table))
 */
export function formatTable (table: Table): string {
  const cells = [table.columns, ...table.rows].map((row) => row.map(String))
  const widths = table.columns.map((_, column) => Math.max(...cells.map((row) => row[column]?.length ?? 0)))
  const lines = cells.map((row) => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd())
  const rule = widths.map((width) => '-'.repeat(width)).join('  ')
  const note = table.note === undefined ? [] : ['', table.note]
  return [table.title, '', lines[0], rule, ...lines.slice(1), ...note, '', ''].join('\n')
}
