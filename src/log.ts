/** Structured logging of state changes, one JSON object per line. Frequent events are counted in metrics instead. */
import loglevel from 'loglevel'
import type { LogLevelDesc } from 'loglevel'

/** Additional fields of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>

/** Logger of one process. */
export interface Log {
  info (event: string, fields?: LogFields): void
  warn (event: string, fields?: LogFields): void
  error (event: string, fields?: LogFields): void
}

/**
 * Creates the logger of a process.
 *
 * @param processName written into each line
 * @param level minimum level that is written, or `silent` for none
 * @param wall wall clock for the timestamps
 * @param write sink that receives each line and the name of its event. Default: standard error.
 * @example
 * const log = createLog('entry-1', 'info', clock.wall)
 * log.info('upstream-leaving', { upstream: 'engine-4', source: 'cloud' })
 */
export function createLog (processName: string, level: LogLevelDesc, wall: () => number, write: (line: string, event: string) => void = writeToStandardError): Log {
  const logger = loglevel.getLogger(`hornbeamgap/${processName}`)
  logger.methodFactory = (method) => (event: string, fields: LogFields = {}) => {
    write(JSON.stringify({ time: new Date(wall()).toISOString(), level: method, process: processName, event, ...fields }), event)
  }
  logger.setLevel(level, false)
  return {
    info: (event, fields) => logger.info(event, fields),
    warn: (event, fields) => logger.warn(event, fields),
    error: (event, fields) => logger.error(event, fields)
  }
}

function writeToStandardError (line: string): void {
  process.stderr.write(line + '\n')
}
