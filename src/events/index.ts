/** Log events of gateway nodes, and analysis of their logs. */
export { EVENTS } from './catalogue.js'
export type { EventFacts, EventLog, EventName } from './catalogue.js'
export { readLine } from './line.js'
export type { Facts, LoggedLine } from './line.js'
export { reconstructTimeline } from './story.js'
export type { LogGap, RequestTimeline, TimelineEnd, TimelineEntry } from './story.js'
export { DAY_OUTCOMES, summarizeDay } from './day.js'
export type { DayOutcome, DayInterval, DaySummary, DaySums } from './day.js'
