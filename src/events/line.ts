/** Parser for the log lines of gateway nodes. */
import * as z from 'zod'
import type { Milliseconds } from '../clock.js'
import { EVENTS } from './catalogue.js'
import type { EventName } from './catalogue.js'

/** Fields of a log line. */
export type Facts = Readonly<Record<string, string | number | boolean>>

/** One log line. */
export interface LoggedLine {
  /** Wall time of the process that wrote the line. The clocks of processes may differ. */
  readonly time: Milliseconds
  readonly process: string
  readonly event: EventName
  readonly facts: Facts
}

const lineSchema = z.looseObject({ time: z.iso.datetime(), level: z.string(), process: z.string(), event: z.string() })

const factSchema = z.union([z.string(), z.number(), z.boolean()])

/**
 * Parses one log line. Text before the first brace is skipped, because log collectors write a time or a name there.
 *
 * @returns undefined if the text is not a log line of a node, or if its event is unknown to this version
 * @example
 * readLine('{"time":"2026-01-01T00:00:00.000Z","level":"info","process":"a","event":"node-stopped"}')?.event
 */
export function readLine (text: string): LoggedLine | undefined {
  const start = text.indexOf('{')
  if (start < 0) return undefined
  const parsed = lineSchema.safeParse(parseJson(text.slice(start)))
  if (!parsed.success || !isEventName(parsed.data.event)) return undefined
  const { time, level, process, event, ...rest } = parsed.data
  const facts: Record<string, string | number | boolean> = {}
  for (const [name, value] of Object.entries(rest)) {
    const fact = factSchema.safeParse(value)
    if (fact.success) facts[name] = fact.data
  }
  return { time: Date.parse(time), process, event, facts }
}

function isEventName (event: string): event is EventName {
  return event in EVENTS
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    // Logs also contain lines of other programs, and the last line of a killed process may be incomplete.
    return undefined
  }
}
