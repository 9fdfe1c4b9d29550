/**
 * Structured log lines for changes of state. What happens often is counted, not logged.
 */
import loglevel from 'loglevel'
import type { LogLevelDesc } from 'loglevel'

/** Facts of one line. Values must be JSON. */
export type LogFacts = Readonly<Record<string, string | number | boolean | undefined>>

/** Writes lines of one process. */
export interface Log {
  info (event: string, facts?: LogFacts): void
  warn (event: string, facts?: LogFacts): void
  error (event: string, facts?: LogFacts): void
}

/**
 * @param processName name of the process, written into each line
 * @param level least severe level that is written; `silent` for none
 * @param wall wall clock for the time stamp
 * @param write sink for one line of an event; standard error by default
 * @example
 * const log = createLog('entry-1', 'info', clock.wall)
 * log.info('upstream-leaving', { upstream: 'engine-4', source: 'cloud' })
 */
export function createLog (processName: string, level: LogLevelDesc, wall: () => number, write: (line: string, event: string) => void = toStandardError): Log {
  const logger = loglevel.getLogger(`hornbeamgap/${processName}`)
  logger.methodFactory = (method) => (event: string, facts: LogFacts = {}) => {
    write(JSON.stringify({ time: new Date(wall()).toISOString(), level: method, process: processName, event, ...facts }), event)
  }
  logger.setLevel(level, false)
  return {
    info: (event, facts) => logger.info(event, facts),
    warn: (event, facts) => logger.warn(event, facts),
    error: (event, facts) => logger.error(event, facts)
  }
}

function toStandardError (line: string): void {
  process.stderr.write(line + '\n')
}
