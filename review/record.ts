/** Record of a case: what was sent, answered and run. */
import { appendFileSync, writeFileSync } from 'node:fs'

/** Exit codes of a case. */
export const EXIT = { held: 0, broken: 1, couldNotRun: 2 } as const

export interface Record {
  /** Writes one line with the milliseconds since the start of the case. */
  line (text: string): void
  /** Milliseconds since the start of the case. */
  now (): number
}

/** Starts the record of a case in its folder. */
export function createRecord (folder: string): Record {
  const path = `${folder}/record.txt`
  const start = performance.now()
  writeFileSync(path, '')
  const now = (): number => Math.round(performance.now() - start)
  return {
    now,
    line: (text) => {
      const line = `${String(now()).padStart(6)} ms  ${text}`
      appendFileSync(path, `${line}\n`)
      console.log(line)
    }
  }
}

/** Time after which a case is given up, in milliseconds. */
const LONGEST = 100_000

/** Runs a case and ends the process with its exit code. */
export function runCase (play: () => Promise<boolean>): void {
  setTimeout(() => {
    console.error('the case takes too long')
    process.exit(EXIT.couldNotRun)
  }, LONGEST).unref()
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'] as const) process.once(signal, () => process.exit(EXIT.couldNotRun))
  play().then((isBroken) => process.exit(isBroken ? EXIT.broken : EXIT.held), (error) => {
    console.error(error)
    process.exit(EXIT.couldNotRun)
  })
}
